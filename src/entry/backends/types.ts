/** Calls to backend servers. */
import type { Readable } from 'node:stream';
import type { Result } from 'true-myth';
import type { Failure } from '../../core/errors/index.js';
import type { EngineOrder, InventoryReplica, OrderOutcome } from '../../decisions/ledger/index.js';

/** What an engine tells of itself. */
export interface EngineReport {
  readonly engineId: string;
  readonly memoryMb: number;
  readonly slots: number;
  /** Requests that it runs and holds waiting. */
  readonly load: number;
  readonly leaving: boolean;
  readonly replicas: readonly InventoryReplica[];
  readonly checkpoints: { readonly memory: readonly string[]; readonly disk: readonly string[] };
}

/** A request to an engine; it always streams. */
export interface EngineCall {
  readonly address: string;
  readonly path: string;
  readonly requestId: string;
  /** JSON body. */
  readonly body: object;
  readonly priority: number;
  /** Longest wait for the first token, ms. */
  readonly firstTokenMs: number;
  readonly signal: AbortSignal;
}

/** One part of an engine's answer. */
export interface EngineChunk {
  /** Position of its token in the whole answer. */
  readonly index: number;
  readonly content: string;
  /** The part as the engine wrote it. */
  readonly raw: string;
}

/** How an engine's answer broke off. */
export interface CallFailure {
  readonly failure: Failure;
  /** The engine cannot have begun. */
  readonly provenNotRun: boolean;
  /** The connection ended; the engine may have died. */
  readonly connectionLost: boolean;
}

/** A plain service's answer; its body is still to be read. */
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
  /** Longest wait for the headers of the answer, ms. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

export interface Backends {
  report(address: string): Promise<Result<EngineReport, Failure>>;
  order(address: string, order: EngineOrder): Promise<OrderOutcome>;
  /** Yields the parts of a whole answer in order; throws a `CallError` where it breaks off. */
  complete(call: EngineCall): AsyncGenerator<EngineChunk, void>;
  forward(call: ServiceCall): Promise<Result<ServiceResponse, CallFailure>>;
  close(): Promise<void>;
}

/** Thrown by `complete` when the answer is not whole. */
export class CallError extends Error {
  constructor(readonly detail: CallFailure) {
    super(detail.failure.message);
  }
}
