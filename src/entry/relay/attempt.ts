/** One attempt to send a request to a backend server, and its result. */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { ByteCollector } from '../../core/bytes/index.js';
import { contain } from '../../core/contain/index.js';
import * as errors from '../../core/errors/index.js';
import { PieceCount } from '../../decisions/fragments/index.js';
import { IdleDetector, type IdlePolicy } from './idle-detector.js';
import { RelayedAgent } from './connections.js';
import type { ServerWays } from './peer-connector.js';
import type { RelayedStream } from './relayed-stream.js';
import type { HeldResponse, ResponseMemory } from './response-memory.js';
import {
  announcedLength,
  BodyEnd,
  bodyEnd,
  headFault,
  type ResponseHead,
} from './response-head.js';
import { ResponsePause } from './response-pause.js';
import {
  StreamRelay,
  type StreamSink,
  TOO_SMALL_PIECES,
  type StreamEnding,
} from './stream-relay.js';
import type { PlatformWire, ResponseMetadata } from './types.js';
import type { WorkTurns } from './work-turns.js';
import type { Run } from './fleet-view.js';

/** Timeout of a new connection, ms. */
const CONNECT_TIMEOUT_MS = 400;

/** Maximum buffered response, bytes. A VM's memory must hold many buffered responses at once. */
const MAX_RESPONSE_BYTES = 8_388_608;
/** Maximum number of informational (1xx) responses before the final one. */
const MAX_INFO_RESPONSES = 16;

export const AttemptEnd = {
  /** The response is complete. */
  answered: 'answered',
  /** The event stream is complete. */
  streamed: 'streamed',
  /** The request was not executed: the server states so, or the connection was never made. */
  notRun: 'not-run',
  /** No valid response was received; the request may have run. */
  broken: 'broken',
} as const;

/** How an attempt over a peer broke. */
export const RelayedEnd = {
  /** At the server, or by this side. */
  server: 'server',
  /** The connection to the peer was lost, which says nothing about the server. */
  peerLost: 'peer-lost',
} as const;
export type RelayedEnd = (typeof RelayedEnd)[keyof typeof RelayedEnd];

export interface BackendResponse {
  readonly status: number;
  readonly statusText: string;
  readonly rawHeaders: readonly string[];
  /** Length to announce to the caller, bytes; null for none. */
  readonly contentLength: number | null;
  readonly body: Buffer;
}

export type AttemptResult =
  | {
      readonly type: typeof AttemptEnd.answered;
      readonly response: BackendResponse;
      /** The bytes of the response; to be released once the caller has them. */
      readonly held: HeldResponse;
    }
  | { readonly type: typeof AttemptEnd.streamed }
  | {
      readonly type: typeof AttemptEnd.notRun;
      readonly reason: string;
      /** Whether the server responded; false if no connection was made. */
      readonly reached: boolean;
      readonly status: number | null;
    }
  | {
      readonly type: typeof AttemptEnd.broken;
      readonly reason: string;
      /** Whether the server closed the connection before its response was complete. */
      readonly connectionLost: boolean;
      /** Only for an attempt over a peer. */
      readonly relayedEnd?: RelayedEnd;
    };

type Broken = Extract<AttemptResult, { type: typeof AttemptEnd.broken }>;

export interface AttemptRequest {
  readonly id: string;
  readonly method: string;
  readonly url: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** For direct connections to the server. */
  readonly agent: http.Agent;
  /** The ways to the server; null for direct connections only. */
  readonly ways: ServerWays | null;
  readonly run: Run;
  readonly signal: AbortSignal;
  /** Null if the request may not be retried elsewhere. */
  readonly idlePolicy: IdlePolicy | null;
  /**
   * Whether the server refused an earlier attempt of this request. The attempt then uses a new
   * connection, on which the server can't repeat that refusal.
   */
  readonly wasRefused: boolean;
  /** Counts the bytes of the responses of all requests. */
  readonly memory: Pick<ResponseMemory, 'open'>;
  /** Bounds the time for which one turn of the event loop reads and relays responses. */
  readonly turns: Pick<WorkTurns, 'isOpen' | 'run' | 'noteRead' | 'whenNext'>;
  /** Called with the head of a response that belongs to the request. */
  onHead(metadata: ResponseMetadata, status: number): void;
  /** Called when a handler of the attempt has thrown an exception, which ends the attempt. */
  onException(err: unknown): void;
}

export function headOf(res: http.IncomingMessage): ResponseHead {
  const { rawHeaders, statusCode: status = 0, statusMessage: statusText = '' } = res;
  return { status, statusText, rawHeaders };
}

function isEventStream(res: http.IncomingMessage): boolean {
  return (res.headers['content-type'] ?? '').startsWith('text/event-stream');
}

export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/**
 * Why a response is not accepted for the request `id`; null if it is. Without a request id, only a
 * refusal on a new connection is accepted: on a reused one, it may be a copy of an earlier refusal.
 */
function ownershipFault(
  metadata: ResponseMetadata,
  id: string,
  status: number,
  isReused: boolean,
): string | null {
  if (metadata.id !== null && metadata.id !== id) return 'response belongs to another request';
  if (metadata.id === null && (isReused || !metadata.notRun)) return 'response has no request id';
  if (!isSuccess(status)) return null;
  if (!metadata.signed) return 'response is not signed';
  return metadata.encoded ? 'response has a content encoding' : null;
}

/**
 * Detects whether the connection that ends a response was reset. Node.js reports a reset that arrives
 * together with the last bytes as a normal end, but a reset socket no longer has a remote address.
 */
function watchReset(res: http.IncomingMessage, end: BodyEnd): { wasReset: boolean } {
  const state = { wasReset: false };
  // Other responses leave their connection open, and must leave no listener on it.
  if (end !== BodyEnd.connection) return state;
  const { socket } = res;
  socket.prependOnceListener('end', () => {
    state.wasReset = socket.remoteAddress === undefined;
  });
  return state;
}

/** Result of an attempt whose connection the server closed. */
function lost(reason: string): AttemptResult {
  return { type: AttemptEnd.broken, reason, connectionLost: true };
}

/** How the handlers of a response end the attempt. */
interface AttemptEnding extends StreamEnding {
  settle(result: AttemptResult): void;
}

/** Result of an attempt for which no connection was made. */
function notReached(reason: string): AttemptResult {
  return { type: AttemptEnd.notRun, reason, reached: false, status: null };
}

function relayStream(
  res: http.IncomingMessage,
  end: BodyEnd,
  sink: StreamSink,
  idleDetector: IdleDetector | null,
  held: HeldResponse,
  turns: AttemptRequest['turns'],
  ending: AttemptEnding,
): void {
  const onException = (err: unknown) => ending.onException(err);
  const conn = watchReset(res, end);
  const relay = new StreamRelay(res, sink, idleDetector, held, turns, ending);
  // The end of a connection without any event looks the same whether the server has finished or not.
  const isComplete = () =>
    res.complete &&
    !conn.wasReset &&
    sink.isComplete() &&
    (end !== BodyEnd.connection || relay.hasRelayedEvent);
  const handleEnd = () => {
    relay.relayPending();
    if (isComplete()) ending.settle({ type: AttemptEnd.streamed });
    else ending.settle(lost('event stream ended prematurely'));
  };
  const handleLoss = (reason: string) => {
    relay.relayPending();
    ending.settle(lost(reason));
  };
  res.on(
    'data',
    contain((bytes: Buffer) => relay.handleData(bytes), onException),
  );
  res.on('end', contain(handleEnd, onException));
  res.on(
    'error',
    contain((err: Error) => handleLoss(err.message), onException),
  );
  res.on(
    'close',
    contain(() => handleLoss('connection closed during the event stream'), onException),
  );
}

function bufferResponse(
  { notRun }: ResponseMetadata,
  res: http.IncomingMessage,
  head: ResponseHead,
  end: BodyEnd,
  held: HeldResponse,
  ending: AttemptEnding,
): void {
  const onException = (err: unknown) => ending.onException(err);
  const body = new ByteCollector();
  const { status, statusText, rawHeaders } = head;
  const conn = watchReset(res, end);
  const pieces = new PieceCount();
  const handleData = (bytes: Buffer) => {
    if (!pieces.add(performance.now(), bytes.length)) {
      ending.fail(TOO_SMALL_PIECES);
      return;
    }
    if (body.length + bytes.length > MAX_RESPONSE_BYTES) {
      ending.fail(`response body exceeds ${MAX_RESPONSE_BYTES} bytes`);
      return;
    }
    const { heldBytes } = body;
    body.push(bytes);
    if (body.heldBytes !== heldBytes) held.hold(body.heldBytes);
  };
  const handleEnd = () => {
    if (!res.complete || conn.wasReset) {
      ending.settle(lost('response is incomplete'));
    } else if (notRun) {
      ending.settle({
        type: AttemptEnd.notRun,
        reason: `refused with ${status}`,
        reached: true,
        status,
      });
    } else {
      ending.settle({
        type: AttemptEnd.answered,
        response: {
          status,
          statusText,
          rawHeaders,
          contentLength: announcedLength(end, head, body.length),
          body: body.take(),
        },
        held,
      });
    }
  };
  res.on('data', contain(handleData, onException));
  res.on('error', (err) => ending.settle(lost(err.message)));
  res.on('close', () => ending.settle(lost('connection closed during the response')));
  res.on('end', contain(handleEnd, onException));
}

/** Owns the connection to the backend server from the start of an attempt to its end. */
class Attempt implements AttemptEnding {
  private req: http.ClientRequest | null = null;

  /** The agent of a connection over a peer; null while the connection is direct. */
  private relayedAgent: RelayedAgent | null = null;

  private connected = false;

  private connectTimer: NodeJS.Timeout | null = null;

  private idleDetector: IdleDetector | null = null;

  /** Whether this side has given up the attempt, so that its end says nothing about the server. */
  private abandoned = false;

  private infoCount = 0;

  private settled = false;

  private hasResponse = false;

  private readonly held: HeldResponse;

  private readonly abort = () => this.abandon('request aborted');

  constructor(
    private readonly wire: PlatformWire,
    private readonly opts: AttemptRequest,
    private readonly sink: StreamSink | null,
    private readonly resolve: (result: AttemptResult) => void,
  ) {
    const { id } = opts.run.server;
    this.held = opts.memory.open(id, () => this.fail('responses exceed their share of the memory'));
  }

  start(): void {
    const { opts } = this;
    if (opts.ways?.isRelayed() === true) this.requestOverPeer(opts.ways);
    else this.request(opts.wasRefused ? false : opts.agent);
    if (opts.idlePolicy !== null) {
      this.idleDetector = new IdleDetector(
        opts.idlePolicy,
        () => this.abandon('backend server unresponsive'),
        (err) => this.onException(err),
      );
    }
    opts.signal.addEventListener('abort', this.abort, { once: true });
    if (opts.signal.aborted) this.abort();
  }

  private requestOverPeer(ways: ServerWays): void {
    this.relayedAgent = new RelayedAgent((signal) => ways.open(signal));
    this.request(this.relayedAgent);
  }

  private request(agent: http.Agent | false): void {
    const { opts } = this;
    const [host, port] = opts.run.server.address.split(':');
    const req = http.request({
      host,
      port: Number(port),
      method: opts.method,
      path: opts.url,
      headers: opts.headers as string[],
      agent,
    });
    this.req = req;
    // The events of a request that was replaced by one over a peer no longer count.
    const contained = <Args extends readonly unknown[]>(handler: (...args: Args) => void) =>
      contain(
        (...args: Args) => {
          if (this.req === req) handler(...args);
        },
        (err) => this.onException(err),
      );
    req.on(
      'socket',
      contained((socket: Socket) => this.handleSocket(socket)),
    );
    req.on(
      'error',
      contained((err: Error) => this.handleError(err)),
    );
    req.on(
      'information',
      contained(() => this.handleInformation()),
    );
    req.on(
      'response',
      contained((res: http.IncomingMessage) => this.handleResponse(res)),
    );
    // Without a handler, Node.js destroys the connection and reports nothing.
    req.on(
      'upgrade',
      contained((_res: http.IncomingMessage, socket: Duplex) => this.handleUpgrade(socket)),
    );
    // No way of ending the connection leaves the attempt unsettled. A response settles it by its own
    // events, which may follow later: its last bytes are read at the pace of the caller.
    req.on(
      'close',
      contained(() => {
        if (!this.hasResponse) this.settle(lost('connection closed without a response'));
      }),
    );
    req.end(opts.body);
  }

  get isSettled(): boolean {
    return this.settled;
  }

  settle(result: AttemptResult): void {
    if (this.settled) return;
    this.settled = true;
    if (this.connectTimer !== null) clearTimeout(this.connectTimer);
    this.idleDetector?.stop();
    this.relayedAgent?.cancel();
    this.opts.signal.removeEventListener('abort', this.abort);
    if (result.type !== AttemptEnd.answered) this.held.release();
    this.resolve(result.type === AttemptEnd.broken ? this.withCause(result) : result);
  }

  private withCause(result: Broken): Broken {
    const { relayed, abandoned } = this;
    const isPeerLost = relayed?.isPeerLost === true;
    const connectionLost = result.connectionLost && !abandoned && !isPeerLost;
    if (relayed === null) return { ...result, connectionLost };
    const relayedEnd = isPeerLost ? RelayedEnd.peerLost : RelayedEnd.server;
    return { ...result, connectionLost, relayedEnd };
  }

  fail(reason: string): void {
    this.req?.destroy();
    this.settle({ type: AttemptEnd.broken, reason, connectionLost: false });
  }

  onException(err: unknown): void {
    this.opts.onException(err);
    if (this.req === null) this.settle(notReached(errors.describe(err)));
    else this.fail(`attempt failed: ${errors.describe(err)}`);
  }

  private abandon(reason: string): void {
    this.abandoned = true;
    this.req?.destroy(new Error(reason));
    // A response that is complete but not read yet gives no event any more.
    this.handleError(new Error(reason));
  }

  private handleSocket(socket: Socket): void {
    if (!socket.connecting) {
      // A new connection that has failed already, as without a free descriptor, was never made.
      this.connected = !socket.destroyed || this.req?.reusedSocket === true;
      return;
    }
    // The connection may have been made while this process was busy, and its event not handled yet.
    this.connectTimer = setTimeout(
      () => setImmediate(() => this.checkConnected()),
      CONNECT_TIMEOUT_MS,
    );
    socket.once('connect', () => {
      this.connected = true;
      if (this.connectTimer !== null) clearTimeout(this.connectTimer);
    });
  }

  private checkConnected(): void {
    if (this.connected || this.settled) return;
    this.req?.destroy(new Error(`connect timed out after ${CONNECT_TIMEOUT_MS} ms`));
  }

  /** The connection over a peer; null for a direct one. */
  private get relayed(): RelayedStream | null {
    return this.relayedAgent?.stream ?? null;
  }

  private handleError({ message }: Error): void {
    if (this.connected) this.settle(lost(message));
    else if (!this.requestOverPeerInstead()) this.settle(notReached(message));
  }

  /** Sends the request over a peer if the server can't be reached directly; false if it is not sent. */
  private requestOverPeerInstead(): boolean {
    const { ways } = this.opts;
    if (ways === null || this.abandoned || this.settled || this.relayedAgent !== null) return false;
    ways.noteUnreachable();
    if (!ways.isRelayed()) return false;
    if (this.connectTimer !== null) clearTimeout(this.connectTimer);
    this.requestOverPeer(ways);
    return true;
  }

  private handleUpgrade(socket: Duplex): void {
    socket.destroy();
    this.fail('response switches protocols unasked');
  }

  private handleInformation(): void {
    this.infoCount += 1;
    if (this.infoCount > MAX_INFO_RESPONSES)
      this.fail(`more than ${MAX_INFO_RESPONSES} 1xx responses`);
  }

  private handleResponse(res: http.IncomingMessage): void {
    const { opts, sink, idleDetector } = this;
    this.hasResponse = true;
    const head = headOf(res);
    const { status, rawHeaders } = head;
    const keepAliveHint = res.headers['keep-alive'];
    if (typeof keepAliveHint === 'string') Object.assign(res.socket, { keepAliveHint });
    idleDetector?.noteActivity();
    const metadata = this.wire.decodeResponse(rawHeaders);
    this.noteHead(metadata, status);
    const fault =
      headFault(head) ?? ownershipFault(metadata, opts.id, status, this.req?.reusedSocket === true);
    if (metadata.id === opts.id) opts.onHead(metadata, status);
    if (fault !== null) {
      this.fail(fault);
      return;
    }
    const end = bodyEnd(opts.method, head);
    if (sink !== null && status === 200 && isEventStream(res) && sink.begin(res)) {
      relayStream(res, end, sink, idleDetector, this.held, opts.turns, this);
      return;
    }
    const pausing = new ResponsePause(res, idleDetector);
    res.on('data', () => {
      idleDetector?.noteActivity();
      pausing.noteRead(opts.turns);
    });
    bufferResponse(metadata, res, head, end, this.held, this);
  }

  private noteHead(metadata: ResponseMetadata, status: number): void {
    const { relayed, opts } = this;
    if (relayed === null) opts.ways?.noteAnswer();
    if (relayed === null || metadata.id !== opts.id) return;
    const { leaving, requestsPerS, notRun, retryAfterMs } = metadata;
    const pauseMs = status === 503 ? retryAfterMs : null;
    relayed.sendStatement({ leaving, requestsPerS, notRun, pauseMs });
  }
}

/** Sends the request; resolves with the result of the attempt and never rejects. */
export function send(
  wire: PlatformWire,
  opts: AttemptRequest,
  sink: StreamSink | null,
): Promise<AttemptResult> {
  return new Promise((resolve) => {
    const attempt = new Attempt(wire, opts, sink, resolve);
    contain(
      () => attempt.start(),
      (err) => attempt.onException(err),
    )();
  });
}
