/**
 * When targets were used, to tell how soon each is likely to be wanted again.
 *
 * The time between uses is remembered as a decaying histogram of gaps in powers of two, so that a
 * model used in bursts every evening and one used now and then are told apart.
 */
const BUCKETS = 24;
const FIRST_BUCKET_MS = 250;
const DECAY = 0.97;
/** Gaps below this belong to one burst and say nothing of the next. */
const BURST_GAP_MS = 2_000;

interface Record {
  lastAtMs: number;
  readonly gaps: number[];
}

function bucketOf(gapMs: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, gapMs / FIRST_BUCKET_MS)));
  return Math.min(BUCKETS - 1, bucket);
}

export class UsageHistory {
  private readonly records = new Map<string, Record>();

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
   * Chance that the target is used within the next `horizonMs`, given how long it has been idle.
   * Without any gap of that length on record it falls with the idle time.
   */
  chanceWithin(nowMs: number, target: string, horizonMs: number): number {
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
