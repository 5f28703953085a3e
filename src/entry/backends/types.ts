/** Types of the calls to backend servers. */
import type { Readable } from 'node:stream';
import type { Result } from 'true-myth';
import type { Failure } from '../../core/errors/index.js';
import type { EngineOrder, InventoryReplica, OrderOutcome } from '../../decisions/ledger/index.js';

/** State reported by an engine. */
export interface EngineReport {
  readonly engineId: string;
  readonly memoryMb: number;
  readonly slots: number;
  /** Number of running and queued requests. */
  readonly load: number;
  /** Whether the engine is draining. */
  readonly leaving: boolean;
  readonly replicas: readonly InventoryReplica[];
  readonly checkpoints: { readonly memory: readonly string[]; readonly disk: readonly string[] };
}

/** A completion request to an engine, whose response is always streamed. */
export interface EngineCall {
  readonly address: string;
  readonly path: string;
  readonly requestId: string;
  /** JSON body. */
  readonly body: object;
  readonly priority: number;
  /** Timeout for the first token, ms. */
  readonly firstTokenMs: number;
  readonly signal: AbortSignal;
}

/** A chunk of an engine's response. */
export interface EngineChunk {
  /** Index of its token in the complete response. */
  readonly index: number;
  readonly content: string;
  /** The chunk as sent by the engine. */
  readonly raw: string;
}

/** Failure of a call to a backend server. */
export interface CallFailure {
  readonly failure: Failure;
  /** Whether the server cannot have started the request. */
  readonly provenNotExecuted: boolean;
  /** Whether the connection was lost, in which case the server may have crashed. */
  readonly connectionLost: boolean;
}

/** Response of a plain service, whose body has not been read yet. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Readable;
}

export interface ServiceCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Readable | Uint8Array | null;
  /** Timeout for the headers of the response, and for each chunk of its body, ms. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

export interface Backends {
  report(address: string): Promise<Result<EngineReport, Failure>>;
  order(address: string, order: EngineOrder): Promise<OrderOutcome>;
  /** Yields the chunks of a response in order; throws a `CallError` unless it is complete. */
  complete(call: EngineCall): AsyncGenerator<EngineChunk, void>;
  forward(call: ServiceCall): Promise<Result<ServiceResponse, CallFailure>>;
  close(): Promise<void>;
}

/** Thrown by `complete` if the response is incomplete or missing. */
export class CallError extends Error {
  constructor(readonly detail: CallFailure) {
    super(detail.failure.message);
  }
}
