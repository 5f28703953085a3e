/** How fast waiting requests are served, to tell which ones will not be served in time. */
const WINDOW_MS = 5_000;
/** Fewer requests than this say nothing about the pace. */
const MIN_SAMPLES = 8;

export class DrainEstimator {
  private readonly servedAtMs = new Map<string, number[]>();

  /** Notes that a waiting request of this kind was served. */
  served(nowMs: number, kind: string): void {
    const times = this.recent(nowMs, kind);
    times.push(nowMs);
    this.servedAtMs.set(kind, times);
  }

  /** Expected wait behind `ahead` requests of this kind, ms; null while the pace is unknown. */
  expectedWaitMs(nowMs: number, kind: string, ahead: number): number | null {
    const times = this.recent(nowMs, kind);
    const [first] = times;
    if (first === undefined || times.length < MIN_SAMPLES) return null;
    const perMs = times.length / Math.max(1, nowMs - first);
    return ahead / perMs;
  }

  private recent(nowMs: number, kind: string): number[] {
    const times = this.servedAtMs.get(kind) ?? [];
    const firstKept = times.findIndex((atMs) => atMs > nowMs - WINDOW_MS);
    return firstKept < 0 ? [] : times.slice(firstKept);
  }
}
