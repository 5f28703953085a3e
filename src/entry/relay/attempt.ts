/** One attempt to send a request to a backend server, and its result. */
import * as http from 'node:http';
import type { PlatformWire, ResponseMetadata } from './types.js';
import type { Run } from './fleet-view.js';

/** Interval at which an idle attempt is re-evaluated, ms. */
const IDLE_POLL_MS = 150;
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

export interface BackendResponse {
  readonly status: number;
  readonly statusText: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

export type AttemptResult =
  | { readonly type: typeof AttemptEnd.answered; readonly response: BackendResponse }
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
    };

export interface AttemptRequest {
  readonly id: string;
  readonly method: string;
  readonly url: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly agent: http.Agent;
  readonly run: Run;
  readonly signal: AbortSignal;
  /** Null if the request may not be retried elsewhere. */
  readonly idlePolicy: IdlePolicy | null;
  /**
   * Whether the server refused an earlier attempt of this request. The attempt then uses a new
   * connection, on which the server can't repeat that refusal.
   */
  readonly wasRefused: boolean;
  /** Called with the head of a response that belongs to the request. */
  onHead(metadata: ResponseMetadata, status: number): void;
}

/** When to abandon an idle attempt: no byte arrives or, in a stream, no event is completed. */
export interface IdlePolicy {
  /** Idle time after which `shouldAbandon` is first called, ms. */
  readonly afterMs: number;
  /** Whether to abandon the attempt after this idle time. */
  shouldAbandon(idleMs: number): boolean;
}

/** Result of writing bytes to a stream sink. */
export const WriteResult = {
  /** At least one event was completed. */
  event: 'event',
  /** No event was completed. */
  part: 'part',
  /** An event is out of order or too long. */
  refused: 'refused',
} as const;
export type WriteResult = (typeof WriteResult)[keyof typeof WriteResult];

/** Receives an event stream chunk by chunk. */
export interface StreamSink {
  /** Starts a stream with its response head; false to buffer the response instead. */
  begin(res: http.IncomingMessage): boolean;
  write(bytes: Buffer): WriteResult;
  /** Whether the stream may end here, without an incomplete event. */
  isComplete(): boolean;
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
function responseFault(
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

/** Whether a response has a length or is chunked. Otherwise its connection's end is its end. */
function isFramed(res: http.IncomingMessage): boolean {
  return (
    res.headers['content-length'] !== undefined || res.headers['transfer-encoding'] !== undefined
  );
}

/**
 * Detects whether a connection that ends was reset. Node.js reports a reset that arrives together
 * with the last bytes as a normal end, but a reset socket no longer has a remote address.
 */
function watchReset(res: http.IncomingMessage): { wasReset: boolean } {
  const state = { wasReset: false };
  res.socket.prependOnceListener('end', () => {
    state.wasReset = res.socket.remoteAddress === undefined;
  });
  return state;
}

/** Polls the idle policy while an attempt is idle. */
class IdleDetector {
  private activeAtMs = performance.now();

  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly policy: IdlePolicy,
    private readonly abandon: () => void,
  ) {
    this.arm(policy.afterMs);
  }

  noteActivity(): void {
    this.activeAtMs = performance.now();
  }

  stop(): void {
    if (this.timer !== null) clearTimeout(this.timer);
  }

  private arm(ms: number): void {
    this.timer = setTimeout(() => this.poll(), ms);
  }

  private poll(): void {
    const idleMs = performance.now() - this.activeAtMs;
    if (idleMs < this.policy.afterMs) this.arm(this.policy.afterMs - idleMs);
    else if (this.policy.shouldAbandon(idleMs)) this.abandon();
    else this.arm(IDLE_POLL_MS);
  }
}

/** Result of an attempt whose connection the server closed. */
function lost(reason: string): AttemptResult {
  return { type: AttemptEnd.broken, reason, connectionLost: true };
}

function relayStream(
  res: http.IncomingMessage,
  sink: StreamSink,
  idleDetector: IdleDetector | null,
  fail: (reason: string) => void,
  settle: (result: AttemptResult) => void,
): void {
  const framed = isFramed(res);
  const conn = framed ? { wasReset: false } : watchReset(res);
  let hasEvents = false;
  // The end of a connection without any event looks the same whether the server has finished or not.
  const isComplete = () =>
    res.complete && !conn.wasReset && sink.isComplete() && (framed || hasEvents);
  res.on('data', (bytes: Buffer) => {
    const written = sink.write(bytes);
    hasEvents ||= written === WriteResult.event;
    // Bytes that complete no event, such as keep-alive comments, do not reset the idle time.
    if (written === WriteResult.event) idleDetector?.noteActivity();
    if (written === WriteResult.refused) fail('events out of order or event too long');
  });
  res.on('end', () => {
    if (isComplete()) settle({ type: AttemptEnd.streamed });
    else settle(lost('event stream ended prematurely'));
  });
  res.on('error', (err) => settle(lost(err.message)));
  res.on('close', () => settle(lost('connection closed during the event stream')));
}

function bufferResponse(
  { notRun }: ResponseMetadata,
  res: http.IncomingMessage,
  fail: (reason: string) => void,
  settle: (result: AttemptResult) => void,
): void {
  const chunks: Buffer[] = [];
  let length = 0;
  const status = res.statusCode ?? 0;
  const conn = isFramed(res) ? { wasReset: false } : watchReset(res);
  res.on('data', (bytes: Buffer) => {
    length += bytes.length;
    if (length > MAX_RESPONSE_BYTES) fail(`response body exceeds ${MAX_RESPONSE_BYTES} bytes`);
    else chunks.push(bytes);
  });
  res.on('error', (err) => settle(lost(err.message)));
  res.on('close', () => settle(lost('connection closed during the response')));
  res.on('end', () => {
    if (!res.complete || conn.wasReset) {
      settle(lost('response is incomplete'));
    } else if (notRun) {
      settle({
        type: AttemptEnd.notRun,
        reason: `refused with ${status}`,
        reached: true,
        status,
      });
    } else {
      settle({
        type: AttemptEnd.answered,
        response: {
          status,
          statusText: res.statusMessage ?? '',
          rawHeaders: res.rawHeaders,
          body: Buffer.concat(chunks),
        },
      });
    }
  });
}

/** Sends the request; resolves with the result of the attempt and never rejects. */
export function send(
  wire: PlatformWire,
  opts: AttemptRequest,
  sink: StreamSink | null,
): Promise<AttemptResult> {
  return new Promise((resolve) => {
    const { run, signal } = opts;
    const [host, port] = run.server.address.split(':');
    let connected = false;
    // Whether this side has given up the attempt, so that its end says nothing about the server.
    let abandoned = false;
    let connectTimer: NodeJS.Timeout | null = null;
    const req = http.request({
      host,
      port: Number(port),
      method: opts.method,
      path: opts.url,
      headers: opts.headers as string[],
      agent: opts.wasRefused ? false : opts.agent,
    });
    const abandon = (reason: string) => {
      abandoned = true;
      req.destroy(new Error(reason));
    };
    const abort = () => abandon('request aborted');
    const idleDetector =
      opts.idlePolicy === null
        ? null
        : new IdleDetector(opts.idlePolicy, () => abandon('backend server unresponsive'));
    const settle = (result: AttemptResult) => {
      if (connectTimer !== null) clearTimeout(connectTimer);
      idleDetector?.stop();
      signal.removeEventListener('abort', abort);
      const isBroken = result.type === AttemptEnd.broken;
      resolve(isBroken && abandoned ? { ...result, connectionLost: false } : result);
    };
    const fail = (reason: string) => {
      req.destroy();
      settle({ type: AttemptEnd.broken, reason, connectionLost: false });
    };
    signal.addEventListener('abort', abort, { once: true });
    if (signal.aborted) abort();

    req.on('socket', (socket) => {
      if (!socket.connecting) {
        connected = true;
        return;
      }
      connectTimer = setTimeout(() => {
        if (!connected) req.destroy(new Error(`connect timed out after ${CONNECT_TIMEOUT_MS} ms`));
      }, CONNECT_TIMEOUT_MS);
      socket.once('connect', () => {
        connected = true;
        if (connectTimer !== null) clearTimeout(connectTimer);
      });
    });
    req.on('error', (err) => {
      if (connected) settle(lost(err.message));
      else settle({ type: AttemptEnd.notRun, reason: err.message, reached: false, status: null });
    });
    let infoCount = 0;
    req.on('information', () => {
      infoCount += 1;
      if (infoCount > MAX_INFO_RESPONSES) fail(`more than ${MAX_INFO_RESPONSES} 1xx responses`);
    });
    req.on('response', (res) => {
      const keepAliveHint = res.headers['keep-alive'];
      if (typeof keepAliveHint === 'string') Object.assign(res.socket, { keepAliveHint });
      idleDetector?.noteActivity();
      const metadata = wire.decodeResponse(res.rawHeaders);
      if (metadata.id === opts.id) opts.onHead(metadata, res.statusCode ?? 0);
      const fault = responseFault(metadata, opts.id, res.statusCode ?? 0, req.reusedSocket);
      if (fault !== null) {
        fail(fault);
        return;
      }
      const streams =
        sink !== null && res.statusCode === 200 && isEventStream(res) && sink.begin(res);
      if (streams) {
        relayStream(res, sink, idleDetector, fail, settle);
        return;
      }
      res.on('data', () => idleDetector?.noteActivity());
      bufferResponse(metadata, res, fail, settle);
    });
    req.end(opts.body);
  });
}
