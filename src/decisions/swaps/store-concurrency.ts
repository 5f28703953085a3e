/**
 * Limits the number of concurrent loads from the weight store.
 *
 * When engines restart without models, all of them need loads at once. The store serves only a
 * certain number of concurrent loads at full speed and does not publish that number. Above it, all
 * loads slow down in proportion. Further concurrent loads then do not raise the throughput; they
 * only delay the first models, which would otherwise be usable in half the time.
 */

/** Maximum number of concurrent loads until a slowdown shows the capacity of the store. */
const INITIAL_MAX_CONCURRENT = 4;
/** Ratio of actual to expected load time at which other concurrent loads count as the cause. */
const SLOWDOWN_THRESHOLD = 1.4;

export class StoreConcurrencyLimiter {
  private maxConcurrent = INITIAL_MAX_CONCURRENT;

  /** Maximum number of concurrent loads. */
  get atOnce(): number {
    return this.maxConcurrent;
  }

  /**
   * Records the end of a load. Lowers the limit if concurrent loads slowed this load down.
   * @param peakConcurrent Peak number of concurrent loads during this load, including this load.
   */
  recordLoad(actualMs: number, expectedMs: number, peakConcurrent: number): void {
    const slowdown = actualMs / expectedMs;
    if (peakConcurrent < 2 || slowdown < SLOWDOWN_THRESHOLD) return;
    this.maxConcurrent = Math.min(
      this.maxConcurrent,
      Math.max(1, Math.round(peakConcurrent / slowdown)),
    );
  }
}
