/** One sending of a request to a backend server, and what came of it. */
import * as http from 'node:http';
import type { PlatformWire } from './types.js';
import type { Run } from './fleet-view.js';

/** Pause between two looks at a server that is silent, ms. */
const SILENCE_POLL_MS = 150;
/** A new connection is given up after this long, ms. */
const CONNECT_TIMEOUT_MS = 400;

/** Longest answer that is held until it is whole, bytes: many fit into a VM's memory side by side. */
const MAX_ANSWER_BYTES = 8_388_608;
/** Informational heads that may come before an answer. */
const MOST_EARLY_HEADS = 16;

export const AttemptEnd = {
  /** A complete answer is there. */
  answered: 'answered',
  /** The event stream ended as it should. */
  streamed: 'streamed',
  /** The server stated that it did not run the request, or never got it. */
  notRun: 'not-run',
  /** No answer that counts; the request may have run. */
  broken: 'broken',
} as const;

export interface Answer {
  readonly status: number;
  readonly statusText: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

export type AttemptResult =
  | { readonly type: typeof AttemptEnd.answered; readonly answer: Answer }
  | { readonly type: typeof AttemptEnd.streamed }
  | {
      readonly type: typeof AttemptEnd.notRun;
      readonly reason: string;
      /** Whether the server answered at all. */
      readonly reached: boolean;
      readonly status: number | null;
    }
  | { readonly type: typeof AttemptEnd.broken; readonly reason: string };

export interface AttemptRequest {
  readonly id: string;
  readonly method: string;
  readonly url: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly agent: http.Agent;
  readonly run: Run;
  readonly signal: AbortSignal;
  /** What to do when the server is silent; null where the request may not go elsewhere. */
  readonly silence: SilenceRule | null;
}

export interface SilenceRule {
  /** Silence from which on the question is asked, ms. */
  readonly afterMs: number;
  /** Whether to leave the server after so much silence, ms. */
  leaves(silentMs: number): boolean;
}

/** What came of bytes of a stream. */
export const StreamStep = {
  /** At least one event is whole. */
  event: 'event',
  /** No event has ended yet. */
  part: 'part',
  /** The bytes can't follow what was sent before. */
  refused: 'refused',
} as const;
export type StreamStep = (typeof StreamStep)[keyof typeof StreamStep];

/** Takes the parts of an event stream as they come. */
export interface StreamSink {
  /** The head of a successful stream; false to take the answer whole instead. */
  begin(res: http.IncomingMessage): boolean;
  /** Bytes of the stream. */
  write(bytes: Buffer): StreamStep;
  /** Whether the stream may end here. */
  isWhole(): boolean;
}

function isEventStream(res: http.IncomingMessage): boolean {
  return (res.headers['content-type'] ?? '').startsWith('text/event-stream');
}

export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Why an answer is not one to this request; null where it is. */
function faultOf(wire: PlatformWire, id: string, res: http.IncomingMessage): string | null {
  const facts = wire.decodeAnswer(res.rawHeaders);
  const status = res.statusCode ?? 0;
  if (facts.id !== null && facts.id !== id) return 'the answer belongs to another request';
  if (!isSuccess(status)) return null;
  if (facts.id === null) return 'the answer names no request';
  if (!facts.sealed) return 'the answer is not signed';
  return facts.encoded ? 'the answer is encoded' : null;
}

/** Whether an answer says where it ends; otherwise its connection's end is its own. */
function isFramed(res: http.IncomingMessage): boolean {
  return (
    res.headers['content-length'] !== undefined || res.headers['transfer-encoding'] !== undefined
  );
}

/**
 * Notes whether a connection was reset when it seems to end. A reset that comes together with the
 * last bytes is reported as a plain end; a connection that was reset has no peer any more.
 */
function watchReset(res: http.IncomingMessage): { wasReset: boolean } {
  const seen = { wasReset: false };
  res.socket.prependOnceListener('end', () => {
    seen.wasReset = res.socket.remoteAddress === undefined;
  });
  return seen;
}

/** Asks again and again, while a server is silent, whether to leave it. */
class SilenceWatch {
  private heardAtMs = performance.now();

  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly rule: SilenceRule,
    private readonly leave: () => void,
  ) {
    this.arm(rule.afterMs);
  }

  noteHeard(): void {
    this.heardAtMs = performance.now();
  }

  stop(): void {
    if (this.timer !== null) clearTimeout(this.timer);
  }

  private arm(ms: number): void {
    this.timer = setTimeout(() => this.look(), ms);
  }

  private look(): void {
    const silentMs = performance.now() - this.heardAtMs;
    if (silentMs < this.rule.afterMs) this.arm(this.rule.afterMs - silentMs);
    else if (this.rule.leaves(silentMs)) this.leave();
    else this.arm(SILENCE_POLL_MS);
  }
}

function relayStream(
  res: http.IncomingMessage,
  sink: StreamSink,
  watch: SilenceWatch | null,
  condemn: (reason: string) => void,
  settle: (result: AttemptResult) => void,
): void {
  const end = isFramed(res) ? { wasReset: false } : watchReset(res);
  res.on('data', (bytes: Buffer) => {
    const step = sink.write(bytes);
    // A byte now and then, without an event, is no progress.
    if (step === StreamStep.event) watch?.noteHeard();
    if (step === StreamStep.refused) condemn('the stream does not follow on');
  });
  res.on('end', () => {
    if (res.complete && !end.wasReset && sink.isWhole()) settle({ type: AttemptEnd.streamed });
    else condemn('the stream ended early');
  });
  res.on('error', (err) => settle({ type: AttemptEnd.broken, reason: err.message }));
  res.on('close', () => settle({ type: AttemptEnd.broken, reason: 'the stream was cut' }));
}

function collect(
  wire: PlatformWire,
  res: http.IncomingMessage,
  condemn: (reason: string) => void,
  settle: (result: AttemptResult) => void,
): void {
  const parts: Buffer[] = [];
  let length = 0;
  const status = res.statusCode ?? 0;
  const end = isFramed(res) ? { wasReset: false } : watchReset(res);
  res.on('data', (bytes: Buffer) => {
    length += bytes.length;
    if (length > MAX_ANSWER_BYTES) condemn('the answer is too long');
    else parts.push(bytes);
  });
  res.on('error', (err) => settle({ type: AttemptEnd.broken, reason: err.message }));
  res.on('close', () => settle({ type: AttemptEnd.broken, reason: 'the answer was cut' }));
  res.on('end', () => {
    if (!res.complete || end.wasReset) {
      settle({ type: AttemptEnd.broken, reason: 'the answer is not complete' });
    } else if (wire.decodeAnswer(res.rawHeaders).notRun) {
      settle({ type: AttemptEnd.notRun, reason: `refused with ${status}`, reached: true, status });
    } else {
      settle({
        type: AttemptEnd.answered,
        answer: {
          status,
          statusText: res.statusMessage ?? '',
          rawHeaders: res.rawHeaders,
          body: Buffer.concat(parts),
        },
      });
    }
  });
}

/** Sends the request; resolves with what came of it and never rejects. */
export function send(
  wire: PlatformWire,
  opts: AttemptRequest,
  sink: StreamSink | null,
): Promise<AttemptResult> {
  return new Promise((resolve) => {
    const { run, signal } = opts;
    const [host, port] = run.server.address.split(':');
    let sent = false;
    let connectTimer: NodeJS.Timeout | null = null;
    const req = http.request({
      host,
      port: Number(port),
      method: opts.method,
      path: opts.url,
      headers: opts.headers as string[],
      agent: opts.agent,
    });
    const abort = () => req.destroy(new Error('given up'));
    const watch =
      opts.silence === null
        ? null
        : new SilenceWatch(opts.silence, () => req.destroy(new Error('the server fell silent')));
    const settle = (result: AttemptResult) => {
      if (connectTimer !== null) clearTimeout(connectTimer);
      watch?.stop();
      signal.removeEventListener('abort', abort);
      resolve(result);
    };
    const condemn = (reason: string) => {
      req.destroy();
      settle({ type: AttemptEnd.broken, reason });
    };
    signal.addEventListener('abort', abort, { once: true });
    if (signal.aborted) abort();

    req.on('socket', (socket) => {
      if (!socket.connecting) {
        sent = true;
        return;
      }
      connectTimer = setTimeout(() => {
        if (!sent) req.destroy(new Error('connecting took too long'));
      }, CONNECT_TIMEOUT_MS);
      socket.once('connect', () => {
        sent = true;
        if (connectTimer !== null) clearTimeout(connectTimer);
      });
    });
    req.on('error', (err) => {
      if (sent) settle({ type: AttemptEnd.broken, reason: err.message });
      else settle({ type: AttemptEnd.notRun, reason: err.message, reached: false, status: null });
    });
    let earlyHeads = 0;
    req.on('information', () => {
      earlyHeads += 1;
      if (earlyHeads > MOST_EARLY_HEADS) condemn('too many heads come before the answer');
    });
    req.on('response', (res) => {
      const hint = res.headers['keep-alive'];
      if (typeof hint === 'string') Object.assign(res.socket, { keepAliveHint: hint });
      watch?.noteHeard();
      const fault = faultOf(wire, opts.id, res);
      if (fault !== null) {
        condemn(fault);
        return;
      }
      const streams =
        sink !== null && res.statusCode === 200 && isEventStream(res) && sink.begin(res);
      if (streams) {
        relayStream(res, sink, watch, condemn, settle);
        return;
      }
      res.on('data', () => watch?.noteHeard());
      collect(wire, res, condemn, settle);
    });
    req.end(opts.body);
  });
}
