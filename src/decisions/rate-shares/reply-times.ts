/** Estimates after which time a reply of the lender counts as lost, from the observed reply times. */

/** Time for a reply while none has been observed, ms. */
const INITIAL_TIMEOUT_MS = 500;
/**
 * Minimum time for a reply, ms. A steward on a busy machine may stop for 300 ms; its replies arrive,
 * and further requests would only delay them.
 */
const MIN_TIMEOUT_MS = 400;
/** Maximum time for a reply, ms. */
const MAX_TIMEOUT_MS = 2_000;
/** Weight of a reply in the moving average, and of its deviation in the average deviation. */
const AVERAGE_WEIGHT = 0.125;
const DEVIATION_WEIGHT = 0.25;
/** Number of average deviations by which the timeout exceeds the average. */
const TIMEOUT_DEVIATIONS = 4;

export class ReplyTimes {
  private average: number | null = null;

  private deviation = 0;

  /** Expected time of a reply, ms; 0 while none has been observed. */
  get expectedMs(): number {
    return this.average ?? 0;
  }

  /** Records the time of a reply, ms, without the time for which the lender has queued the request. */
  note(tookMs: number): void {
    if (this.average === null) {
      this.average = tookMs;
      this.deviation = tookMs / 2;
      return;
    }
    const error = tookMs - this.average;
    this.average += AVERAGE_WEIGHT * error;
    this.deviation += DEVIATION_WEIGHT * (Math.abs(error) - this.deviation);
  }

  /**
   * Time after which a reply counts as lost, ms.
   * @param repeats Number of requests without a reply before this one; each doubles the time.
   */
  timeoutMs(repeats: number): number {
    const single =
      this.average === null
        ? INITIAL_TIMEOUT_MS
        : this.average + TIMEOUT_DEVIATIONS * this.deviation;
    return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, single) * 2 ** repeats);
  }
}
