/**
 * Requests that wait on one entry VM for a model, an adapter or a free slot.
 *
 * The most urgent goes first, then the one whose objective is missed first. A request is refused as
 * soon as it can't be served in a useful time: without a load under way that is when its turn does
 * not come within a part of its objective, with one when the load ends too late for its deadline: at
 * once if no server holds what it needs. Its caller is expected back when the load ends.
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

/** What is known of the servers that a waiting request could run on. */
export interface Outlook {
  /** End of the first load of what it needs; null where none is under way or foreseen. */
  readonly readyAtMs: number | null;
  /** Whether a server holds what it needs, and may have room soon. */
  readonly isHeld: boolean;
}

/** When a request is given up that is still waiting. */
export function giveUpAtMs(waiter: Waiter, { readyAtMs, isHeld }: Outlook): number {
  const life = waiter.deadlineAtMs - waiter.arrivedAtMs;
  const patience = waiter.arrivedAtMs + life * WAIT_PART;
  if (readyAtMs === null) return patience;
  const latest = waiter.arrivedAtMs + life * LOAD_PART;
  if (readyAtMs <= latest) return latest;
  return isHeld ? patience : waiter.arrivedAtMs;
}

/** Time after which a refused caller should return, ms. */
export function retryAfterMs(nowMs: number, readyAtMs: number | null): number {
  if (readyAtMs === null) return USUAL_RETURN_MS;
  return Math.max(SOONEST_RETURN_MS, readyAtMs - nowMs);
}

/** A caller that was told when to come back. */
export interface ExpectedReturn extends Pick<Waiter, 'service' | 'model' | 'adapter'> {
  readonly atMs: number;
}

/** A caller that is this late does not come back, ms. */
const RETURN_GRACE_MS = 1_000;
/** Callers that are expected back at most; the oldest give way. */
const MOST_EXPECTED = 256;

/** Callers that were refused for a load that ends too late, so that the load is still made. */
export class ExpectedReturns {
  private expected: readonly ExpectedReturn[] = [];

  note(expected: ExpectedReturn): void {
    this.expected = [...this.expected, expected].slice(-MOST_EXPECTED);
  }

  /** Callers that may still come back. */
  all(nowMs: number): readonly ExpectedReturn[] {
    this.expected = this.expected.filter(({ atMs }) => nowMs < atMs + RETURN_GRACE_MS);
    return this.expected;
  }
}
