/**
 * Whether a request waits until its customer's rate is known here.
 *
 * Answers the load of callers that come back all at once after all entry VMs have ended: a VM that
 * was just started knows no part of any rate until the steward has heard it. Nobody is over a rate
 * that is not known, and most would be served a moment later.
 */

/** A rate that was not heard of for longer than this is not expected soon, ms. */
const EXPECTED_WITHIN_MS = 3_000;
/** Part of the time until its caller gives up that a request waits so. */
const PATIENCE_PART = 0.3;

/** A request whose customer's rate is not known. */
export interface UnheardRate {
  /** When the request came. */
  readonly arrivedAtMs: number;
  /** Time until its caller or its route gives up, ms. */
  readonly lifeMs: number;
  /** When the rate was known last, or when this entry VM was started. */
  readonly unheardSinceMs: number;
}

export function waitsForRate(nowMs: number, unheard: UnheardRate): boolean {
  const { arrivedAtMs, lifeMs, unheardSinceMs } = unheard;
  const isExpected = nowMs - unheardSinceMs < EXPECTED_WITHIN_MS;
  return isExpected && nowMs - arrivedAtMs < lifeMs * PATIENCE_PART;
}
