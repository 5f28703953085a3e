/**
 * Decides which reports of a member carry its rate shares, which are the larger part of a report.
 * The lender's grants extend the shares by 6 s, so that shares may be reported far less often.
 */

/** Maximum time between two reports with shares, ms. */
const MAX_PAUSE_MS = 400;
/** The same, as a number of intervals between reports. */
const MAX_PAUSE_INTERVALS = 2;
/** Bound of that pause, ms: shares stay valid for 6 s, also if three reports with them are lost. */
const LONGEST_PAUSE_MS = 1_400;
/** Factor by which a customer's demand must have grown to be reported at once. */
const DEMAND_FACTOR = 1.5;

/** What a member reports of its share of one customer's rate. */
export interface ShareState {
  readonly customer: string;
  /** Share of the rate, 0 to 1. */
  readonly fraction: number;
  /** Units per second. */
  readonly demandPerS: number;
}

export class SharesPacer {
  private sentAtMs = -Infinity;

  private sent: ReadonlyMap<string, ShareState> = new Map();

  /** Whether the next report carries the shares. */
  isDue(nowMs: number, intervalMs: number, shares: readonly ShareState[]): boolean {
    const pauseMs = Math.min(
      LONGEST_PAUSE_MS,
      Math.max(MAX_PAUSE_MS, intervalMs * MAX_PAUSE_INTERVALS),
    );
    if (nowMs - this.sentAtMs >= pauseMs || shares.length < this.sent.size) return true;
    return shares.some((share) => this.hasChanged(share));
  }

  /** Records that a report carried these shares. */
  noteSent(nowMs: number, shares: readonly ShareState[]): void {
    this.sentAtMs = nowMs;
    this.sent = new Map(shares.map((share) => [share.customer, share]));
  }

  /** Makes the next report carry the shares, as a new steward knows none. */
  reset(): void {
    this.sentAtMs = -Infinity;
  }

  /** A lower demand is no reason: the lender then only takes back what it has granted. */
  private hasChanged({ customer, fraction, demandPerS }: ShareState): boolean {
    const before = this.sent.get(customer);
    if (before === undefined) return true;
    return fraction !== before.fraction || demandPerS > before.demandPerS * DEMAND_FACTOR;
  }
}
