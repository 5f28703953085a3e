/**
 * Records when targets are used and estimates the probability of their next use.
 *
 * The times between uses of a target are kept in a decaying histogram with buckets in powers of
 * two, which distinguishes a model used in bursts every evening from one used now and then.
 */

/** Number of histogram buckets; the last one has no upper bound. */
const BUCKETS = 24;
/** Lower bound of the first bucket, ms; it doubles with each further bucket. */
const FIRST_BUCKET_MS = 250;
/** Factor applied to all weights when a gap is recorded. */
const DECAY = 0.97;
/** Shortest gap that is recorded, ms. Shorter gaps lie within a burst, not between bursts. */
const BURST_GAP_MS = 2_000;

interface UsageRecord {
  lastAtMs: number;
  /** Weight of each histogram bucket. */
  readonly gaps: number[];
}

function bucketOf(gapMs: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, gapMs / FIRST_BUCKET_MS)));
  return Math.min(BUCKETS - 1, bucket);
}

export class UsageHistory {
  private readonly records = new Map<string, UsageRecord>();

  note(nowMs: number, target: string): void {
    const record = this.records.get(target);
    if (record === undefined) {
      this.records.set(target, { lastAtMs: nowMs, gaps: new Array<number>(BUCKETS).fill(0) });
      return;
    }
    const gapMs = nowMs - record.lastAtMs;
    if (gapMs >= BURST_GAP_MS) {
      record.gaps.forEach((weight, index) => {
        record.gaps[index] = weight * DECAY;
      });
      const bucket = bucketOf(gapMs);
      record.gaps[bucket] = (record.gaps[bucket] ?? 0) + 1;
    }
    record.lastAtMs = nowMs;
  }

  lastUsedAtMs(target: string): number {
    return this.records.get(target)?.lastAtMs ?? -Infinity;
  }

  /**
   * Returns the probability that the target is used within the next `horizonMs`, given its idle
   * time. If no recorded gap is as long as the idle time, the probability falls with the idle time.
   */
  probabilityWithin(nowMs: number, target: string, horizonMs: number): number {
    const record = this.records.get(target);
    if (record === undefined) return 0;
    const idleMs = nowMs - record.lastAtMs;
    const longer = record.gaps.reduce(
      (sum, weight, index) => sum + (FIRST_BUCKET_MS * 2 ** (index + 1) > idleMs ? weight : 0),
      0,
    );
    const endBucket = bucketOf(idleMs + horizonMs);
    const soon = record.gaps.reduce((sum, weight, index) => {
      const open = FIRST_BUCKET_MS * 2 ** (index + 1) > idleMs;
      return sum + (open && index <= endBucket ? weight : 0);
    }, 0);
    const prior = horizonMs / (horizonMs + Math.max(idleMs, 1));
    return (soon + prior) / (longer + 1);
  }
}
