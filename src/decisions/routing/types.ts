/** Replicas that can run a request, and how busy their engines are. */

/** An engine as the request path knows it. */
export interface EngineRoute {
  readonly engineId: string;
  readonly dataCentre: string;
  readonly address: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Names of the targets that are loaded. */
  readonly targets: readonly string[];
  /** Requests that it runs and holds waiting, from all entry VMs, as it last reported. */
  readonly load: number;
  readonly leaving: boolean;
}

export interface RouteQuery {
  readonly target: string;
  /** Requests with the same prompt prefix share a key; null where none is worth keeping together. */
  readonly prefixKey: string | null;
  /** Engines that this request must not go to now. */
  readonly exclude: readonly string[];
  /** Engines that it goes to only where no other holds the target. */
  readonly avoid: readonly string[];
}

export const RouteOutcome = {
  /** Goes to `engine`. */
  chosen: 'chosen',
  /** Replicas exist, but all are busy. */
  busy: 'busy',
  /** No replica is loaded that may be used. */
  cold: 'cold',
} as const;

export type RouteDecision =
  | { readonly type: typeof RouteOutcome.chosen; readonly engine: EngineRoute }
  | { readonly type: typeof RouteOutcome.busy }
  | { readonly type: typeof RouteOutcome.cold };

/** Chooses the engine of a request. */
export interface Router {
  /** Replaces what is known of an engine. */
  update(route: EngineRoute): void;
  /** Forgets engines that are not in `engineIds`. */
  retain(engineIds: ReadonlySet<string>): void;
  route(nowMs: number, query: RouteQuery): RouteDecision;
  started(engineId: string): void;
  /** @param healthy False where the engine failed the request. */
  finished(nowMs: number, engineId: string, healthy: boolean): void;
}
