/**
 * How many loads run from the weight store at once.
 *
 * Answers the load of a fleet whose engines come back empty: the store has a number of loads that it
 * does not tell, beyond which all slow down in proportion. Nothing is won by more, and all end later;
 * fewer end one after the other, and the first are of use in half the time.
 */

/** Loads at once until the store has shown what it takes. */
const FIRST_AT_ONCE = 4;
/** A load that takes this many times its usual time was slowed down by the others. */
const SLOWED_FROM = 1.4;

export class StorePace {
  private most = FIRST_AT_ONCE;

  /** Loads that may run at once. */
  get atOnce(): number {
    return this.most;
  }

  /** A load has ended; `together` ran at once with it at most, itself included. */
  noteEnd(tookMs: number, usualMs: number, together: number): void {
    const slowdown = tookMs / usualMs;
    if (together < 2 || slowdown < SLOWED_FROM) return;
    this.most = Math.min(this.most, Math.max(1, Math.round(together / slowdown)));
  }
}
