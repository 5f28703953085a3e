/** Types for choosing the engine of a request. */

/** State of an engine, as used on the request path. */
export interface EngineRoute {
  readonly engineId: string;
  readonly dataCentre: string;
  readonly address: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Names of the targets that are loaded. */
  readonly targets: readonly string[];
  /** Running and queued requests from all entry VMs, according to the engine's last report. */
  readonly load: number;
  readonly leaving: boolean;
}

export interface RouteQuery {
  readonly target: string;
  /** Key that requests with the same prompt prefix share; null for no prefix affinity. */
  readonly prefixKey: string | null;
  /** Ids of engines that must not be chosen. */
  readonly exclude: readonly string[];
  /**
   * Ids of engines that are used only if all other engines with the target are excluded or
   * draining.
   */
  readonly avoid: readonly string[];
}

export const RouteOutcome = {
  /** The request goes to `engine`. */
  chosen: 'chosen',
  /** Engines have the target loaded, but none that may be chosen has a free slot. */
  busy: 'busy',
  /** No engine has the target loaded, except draining engines. */
  cold: 'cold',
} as const;

export type RouteDecision =
  | { readonly type: typeof RouteOutcome.chosen; readonly engine: EngineRoute }
  | { readonly type: typeof RouteOutcome.busy }
  | { readonly type: typeof RouteOutcome.cold };

/** Chooses engines for requests. */
export interface Router {
  /** Replaces the state of an engine. */
  update(route: EngineRoute): void;
  /** Removes engines that are not in `engineIds`. */
  retain(engineIds: ReadonlySet<string>): void;
  route(nowMs: number, query: RouteQuery): RouteDecision;
  /** Records that a request was sent to an engine. */
  started(engineId: string): void;
  /**
   * Records that a request to an engine has ended.
   * @param healthy False if the engine failed the request.
   */
  finished(nowMs: number, engineId: string, healthy: boolean): void;
}
