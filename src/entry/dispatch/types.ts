/** Requests that wait for an engine. */
import type { Failure } from '../../core/errors/index.js';
import type { Target } from '../../decisions/catalog/index.js';
import type { EngineRoute } from '../../decisions/routing/index.js';
import type { Death } from '../../decisions/suspects/index.js';

export interface DispatchRequest {
  readonly id: string;
  readonly target: Target;
  readonly customer: string;
  readonly weight: number;
  readonly tokens: number;
  readonly deadlineAtMs: number;
  readonly prefixKey: string | null;
  readonly fingerprint: string;
  /** Engines that failed the request before. */
  readonly avoid: readonly string[];
}

export const DispatchOutcome = { engine: 'engine', refused: 'refused' } as const;

/** Where a request goes, or why it goes nowhere. It was not run in either case. */
export type Dispatched =
  | { readonly type: typeof DispatchOutcome.engine; readonly engine: EngineRoute }
  | {
      readonly type: typeof DispatchOutcome.refused;
      readonly failure: Failure;
      readonly retryAfterMs: number;
    };

/** How an engine did with a request. */
export const EngineVerdict = {
  healthy: 'healthy',
  failed: 'failed',
  /** It does not hold the target, or takes no connection: the routes are out of date. */
  absent: 'absent',
} as const;
export type EngineVerdict = (typeof EngineVerdict)[keyof typeof EngineVerdict];

export interface Dispatcher {
  /** Waits for an engine. Each engine that was given must be released. */
  acquire(req: DispatchRequest, signal: AbortSignal): Promise<Dispatched>;
  release(req: DispatchRequest, engine: EngineRoute, verdict: EngineVerdict): void;
  /** Notes that an engine died while it ran the request, and tells the peers. */
  noteDeath(death: Death): void;
  /** Notes that the request ran to its end. */
  noteWhole(fingerprint: string): void;
  /** Whether the request crashed too many backend servers; then when it may come back. */
  blockedForMs(fingerprint: string): number | null;
}
