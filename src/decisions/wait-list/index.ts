/**
 * Requests that wait on one entry VM for a model, an adapter or a free slot.
 *
 * The most urgent goes first, then the one whose objective is missed first. A request is refused as
 * soon as it can't be served in a useful time: without a load under way that is when its turn does
 * not come within a part of its objective, with one when the load ends too late for its deadline.
 */

export interface Waiter {
  readonly id: string;
  readonly service: string;
  readonly model: string | null;
  readonly adapter: string | null;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly objectiveAtMs: number;
  /** When its caller or its route gives up, if nothing has come by then. */
  readonly deadlineAtMs: number;
}

/** Part of the deadline that a request may wait before it is refused. */
const WAIT_PART = 0.45;
/** A load that ends within this part of the deadline is worth waiting for. */
const LOAD_PART = 0.7;
/** Callers return this late at the earliest, ms. */
const SOONEST_RETURN_MS = 250;
/** Return time where nothing is known of when the request can be served, ms. */
const USUAL_RETURN_MS = 1_000;

/** Order in which waiting requests are served. */
export function byUrgency(a: Waiter, b: Waiter): number {
  return a.priority - b.priority || a.objectiveAtMs - b.objectiveAtMs;
}

/** When a request is given up that is still waiting; `readyAtMs` is the end of a load under way. */
export function giveUpAtMs(waiter: Waiter, readyAtMs: number | null): number {
  const life = waiter.deadlineAtMs - waiter.arrivedAtMs;
  const patience = waiter.arrivedAtMs + life * WAIT_PART;
  if (readyAtMs === null) return patience;
  const latest = waiter.arrivedAtMs + life * LOAD_PART;
  return readyAtMs <= latest ? latest : patience;
}

/** Time after which a refused caller should return, ms. */
export function retryAfterMs(nowMs: number, readyAtMs: number | null): number {
  if (readyAtMs === null) return USUAL_RETURN_MS;
  return Math.max(SOONEST_RETURN_MS, readyAtMs - nowMs);
}
