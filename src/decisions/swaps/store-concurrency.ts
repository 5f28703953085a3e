/**
 * Limits the number of concurrent loads from the weight store.
 *
 * Engines that restart empty all need loads at once. The store serves only a certain number of
 * concurrent loads at full speed and does not publish that number; above it, all loads slow down in
 * proportion. Further concurrent loads do not raise the throughput and delay the first models,
 * which would otherwise be usable in half the time.
 */

/** Maximum number of concurrent loads until a slowdown shows the capacity of the store. */
const INITIAL_MAX_CONCURRENT = 4;
/** Ratio of actual to expected load time from which concurrent loads count as the cause. */
const SLOWDOWN_THRESHOLD = 1.4;

export class StoreConcurrencyLimiter {
  private maxConcurrent = INITIAL_MAX_CONCURRENT;

  /** Maximum number of concurrent loads. */
  get atOnce(): number {
    return this.maxConcurrent;
  }

  /**
   * Records the end of a load and lowers the limit if other loads slowed it down.
   * @param peakConcurrent Peak number of concurrent loads while it ran, itself included.
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
