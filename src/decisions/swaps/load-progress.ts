/**
 * Foretells the end of a model load.
 *
 * A load begins when its engine accepts the order, which may be long after it was planned: the engine
 * first ends the runs of the model that it unloads. Loads from the weight store slow each other down
 * beyond the number that the store serves at full speed.
 */

/** A load of an engine. */
export class LoadProgress {
  /** Work left, ms at full speed; negative once the load is overdue. */
  private leftMs: number;

  private advancedAtMs: number | null = null;

  private startedAtMs: number | null = null;

  private speed = 1;

  /** Maximum number of concurrent loads from the weight store during this one, itself included. */
  maxConcurrent = 1;

  /** @param usualMs Duration at full speed, ms. */
  constructor(
    readonly usualMs: number,
    readonly fromStore: boolean,
  ) {
    this.leftMs = usualMs;
  }

  /**
   * Counts the work done since the last call.
   * @param acceptedAtMs When the engine accepted the load; null if it has not.
   * @param concurrent Loads from the weight store in progress.
   * @param fullSpeedLoads Number of them that the store serves at full speed.
   */
  advance(
    nowMs: number,
    acceptedAtMs: number | null,
    concurrent: number,
    fullSpeedLoads: number,
  ): void {
    if (acceptedAtMs === null) return;
    this.startedAtMs ??= acceptedAtMs;
    this.leftMs = this.leftAt(nowMs);
    this.advancedAtMs = nowMs;
    if (!this.fromStore) return;
    this.maxConcurrent = Math.max(this.maxConcurrent, concurrent);
    // The store is not known to speed a load up again when others have ended.
    this.speed = Math.min(this.speed, fullSpeedLoads / Math.max(1, concurrent));
  }

  /** Expected end, ms. A load that is overdue is expected to last as long again. */
  endsAtMs(nowMs: number): number {
    if (this.startedAtMs === null) return nowMs + this.usualMs;
    return nowMs + Math.abs(this.leftAt(nowMs)) / this.speed;
  }

  /** Time since the engine accepted the load, ms; 0 if it has not. */
  durationMs(nowMs: number): number {
    return this.startedAtMs === null ? 0 : nowMs - this.startedAtMs;
  }

  private leftAt(nowMs: number): number {
    const sinceMs = this.advancedAtMs ?? this.startedAtMs ?? nowMs;
    return this.leftMs - (nowMs - sinceMs) * this.speed;
  }
}
