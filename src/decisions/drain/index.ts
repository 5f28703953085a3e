/** Estimates the waiting time of queued requests from the rate at which the queue drains. */

/** Period over which the rate is measured. */
const RATE_WINDOW_MS = 5_000;
/** Minimum number of samples; with fewer, the rate is unknown. */
const MIN_SAMPLES = 8;

export class DrainEstimator {
  private readonly servedAtMs = new Map<string, number[]>();

  /** Records that a queued request of this kind was served. */
  recordServed(nowMs: number, kind: string): void {
    const times = this.recent(nowMs, kind);
    times.push(nowMs);
    this.servedAtMs.set(kind, times);
  }

  /** Expected wait behind `ahead` requests of this kind, ms; null while the rate is unknown. */
  expectedWaitMs(nowMs: number, kind: string, ahead: number): number | null {
    const times = this.recent(nowMs, kind);
    const [first] = times;
    if (first === undefined || times.length < MIN_SAMPLES) return null;
    const perMs = times.length / Math.max(1, nowMs - first);
    return ahead / perMs;
  }

  private recent(nowMs: number, kind: string): number[] {
    const times = this.servedAtMs.get(kind) ?? [];
    const firstRecent = times.findIndex((atMs) => atMs > nowMs - RATE_WINDOW_MS);
    return firstRecent < 0 ? [] : times.slice(firstRecent);
  }
}
