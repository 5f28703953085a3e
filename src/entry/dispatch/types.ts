/** Types of the dispatcher, which assigns requests to engines. */
import type { Failure } from '../../core/errors/index.js';
import type { Target } from '../../decisions/catalog/index.js';
import type { EngineRoute } from '../../decisions/routing/index.js';
import type { EngineCrash } from '../../decisions/suspects/index.js';

export interface DispatchRequest {
  readonly id: string;
  readonly target: Target;
  readonly customer: string;
  readonly weight: number;
  readonly tokens: number;
  readonly deadlineAtMs: number;
  readonly prefixKey: string | null;
  readonly fingerprint: string;
  /** Engines on which earlier attempts failed; others are preferred. */
  readonly avoid: readonly string[];
}

export const DispatchOutcome = { engine: 'engine', refused: 'refused' } as const;

/** Engine assigned to a request, or the reason for refusing it; it has not run in either case. */
export type Dispatched =
  | { readonly type: typeof DispatchOutcome.engine; readonly engine: EngineRoute }
  | {
      readonly type: typeof DispatchOutcome.refused;
      readonly failure: Failure;
      readonly retryAfterMs: number;
    };

/** Result of a request at an engine, as far as it concerns the engine. */
export const EngineOutcome = {
  healthy: 'healthy',
  failed: 'failed',
  /** The target is not loaded there, or connections are refused: the route is out of date. */
  absent: 'absent',
} as const;
export type EngineOutcome = (typeof EngineOutcome)[keyof typeof EngineOutcome];

export interface Dispatcher {
  /** Waits for an engine. Each assigned engine must be released. */
  acquire(req: DispatchRequest, signal: AbortSignal): Promise<Dispatched>;
  release(req: DispatchRequest, engine: EngineRoute, outcome: EngineOutcome): void;
  /** Records that an engine crashed while running the request, and notifies the peers. */
  reportCrash(crash: EngineCrash): void;
  /** Records that the request ran to completion: neither it nor its segments are suspects. */
  noteCompleted(fingerprint: string, segments: readonly string[]): void;
  /** Time until a request that crashed too many engines may be retried, ms; null for all others. */
  blockedForMs(fingerprint: string): number | null;
  /**
   * Time until requests with these prompt segments may be retried, ms; null unless other requests
   * with them crashed too many engines.
   */
  promptBlockedForMs(segments: readonly string[]): number | null;
}
