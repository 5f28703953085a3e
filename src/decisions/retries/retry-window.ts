/**
 * Sliding-window retry budget that holds across all entry VMs: in any window, the retries of a
 * service are limited to a fraction of its requests plus a fixed allowance.
 *
 * Without this budget, a simultaneous failure of all servers of a data centre makes every entry VM
 * retry all of its requests at once and overload the remaining servers. Each VM counts its own
 * requests and uses an equal share of the fixed allowance, so the limit holds without coordination.
 * A new process uses none of the allowance until the retries of its predecessor have left the
 * window.
 */

/** Number of entry VMs assumed until the actual number is known; larger than any deployment. */
const ASSUMED_MEMBERS = 400;
/**
 * Time buckets per window. One more bucket is kept, so that no retry leaves the window too early.
 */
const BUCKETS_PER_WINDOW = 20;
/** Minimum length of the window, ms; a shorter window is extended to this length. */
const MIN_WINDOW_MS = 100;
/** Fraction of the limit that is used, since a server may count a request in a later window. */
const SAFETY_FACTOR = 0.9;

/** Limit on retries across all entry VMs. */
export interface RetryBound {
  /** Retries per request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Fixed allowance: retries per window in addition to `ratio`. */
  readonly slack: number;
}

/** Counts of one service in one time bucket. */
interface Bucket {
  readonly index: number;
  requests: number;
  retries: number;
}

export class RetryWindow {
  /** Time buckets by service. */
  private readonly buckets = new Map<string, Bucket[]>();

  /** Number of entry VMs; null while it is unknown. */
  private members: number | null = null;

  private readonly bucketMs: number;

  /** Index of the first time bucket in which the fixed allowance may be used. */
  private readonly allowanceFromIndex: number;

  constructor(
    private readonly bound: RetryBound,
    startedAtMs: number,
  ) {
    this.bucketMs = Math.max(MIN_WINDOW_MS, bound.windowMs) / BUCKETS_PER_WINDOW;
    this.allowanceFromIndex = Math.floor(startedAtMs / this.bucketMs) + BUCKETS_PER_WINDOW + 1;
  }

  /** Sets the number of entry VMs; a lower number than before is ignored. */
  noteMembers(count: number): void {
    this.members = Math.max(this.members ?? 0, count);
  }

  noteRequest(nowMs: number, service: string): void {
    this.bucketAt(nowMs, service).requests += 1;
  }

  /** Takes one retry of a service; false if the limit is reached. */
  spend(nowMs: number, service: string): boolean {
    const bucket = this.bucketAt(nowMs, service);
    const kept = this.buckets.get(service) ?? [];
    // The oldest kept bucket may be partly outside the window. Its retries still count, but its
    // requests do not, so the limit is never too high.
    const inWindow = kept.filter(({ index }) => bucket.index - index < BUCKETS_PER_WINDOW);
    const requests = inWindow.reduce((sum, { requests: count }) => sum + count, 0);
    const retries = kept.reduce((sum, { retries: count }) => sum + count, 0);
    const mayUseSlack = bucket.index >= this.allowanceFromIndex;
    const slack = mayUseSlack ? this.bound.slack / (this.members ?? ASSUMED_MEMBERS) : 0;
    if (retries + 1 > (this.bound.ratio * requests + slack) * SAFETY_FACTOR) return false;
    bucket.retries += 1;
    return true;
  }

  private bucketAt(nowMs: number, service: string): Bucket {
    const index = Math.floor(nowMs / this.bucketMs);
    const kept = (this.buckets.get(service) ?? []).filter(
      (entry) => index - entry.index <= BUCKETS_PER_WINDOW,
    );
    this.buckets.set(service, kept);
    const last = kept.at(-1);
    if (last !== undefined && last.index >= index) return last;
    const bucket = { index, requests: 0, retries: 0 };
    kept.push(bucket);
    return bucket;
  }
}
