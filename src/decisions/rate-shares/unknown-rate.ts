/**
 * Decides whether a request waits until this entry VM has received its customer's rate share.
 *
 * After a restart of all entry VMs, all callers retry at once, but a new VM has no shares until the
 * steward has answered its report. Until then, it is unknown whether a request exceeds the rate.
 * Most requests can be served a moment later.
 */

/** Time without a share after which no share is expected soon, ms. */
const EXPECTED_WITHIN_MS = 3_000;
/** Fraction of a request's time budget for which it waits for a share. */
export const UNKNOWN_RATE_WAIT_FRACTION = 0.3;

/** A request of a customer whose rate share is not available on this entry VM. */
export interface UnknownRate {
  readonly arrivedAtMs: number;
  /** Time from arrival until the caller or the route times out, ms. */
  readonly budgetMs: number;
  /** Time at which a share was last available, or at which this entry VM started. */
  readonly unknownSinceMs: number;
}

export function shouldWaitForRate(nowMs: number, unknown: UnknownRate): boolean {
  const { arrivedAtMs, budgetMs, unknownSinceMs } = unknown;
  const isExpected = nowMs - unknownSinceMs < EXPECTED_WITHIN_MS;
  return isExpected && nowMs - arrivedAtMs < budgetMs * UNKNOWN_RATE_WAIT_FRACTION;
}
