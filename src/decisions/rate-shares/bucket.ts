/** A token bucket for a variable share of a customer's rate limit. */
import type { RateLimit } from './types.js';

const MS_PER_S = 1000;

export class ShareBucket {
  private level = 0;

  private currentFraction = 0;

  constructor(
    private limit: RateLimit,
    private atMs: number,
  ) {}

  get fraction(): number {
    return this.currentFraction;
  }

  /** Changes limit and share. Units above the new burst are dropped; none are added. */
  configure(nowMs: number, limit: RateLimit, fraction: number): void {
    this.refill(nowMs);
    this.limit = limit;
    this.currentFraction = fraction;
    this.level = Math.min(this.level, this.cap());
  }

  available(nowMs: number): number {
    this.refill(nowMs);
    return this.level;
  }

  /** Takes `units` and returns true, or takes nothing if fewer are available. */
  take(nowMs: number, units: number): boolean {
    if (this.available(nowMs) < units) return false;
    this.level -= units;
    return true;
  }

  /** Credits units that were taken and not used. Returns the units beyond the burst, which are not. */
  refund(nowMs: number, units: number): number {
    this.refill(nowMs);
    const credited = Math.min(units, Math.max(0, this.cap() - this.level));
    this.level += credited;
    return units - credited;
  }

  /**
   * Milliseconds until `units` are available; Infinity if the bucket can never cover them.
   * @param ahead Units that others take before.
   */
  waitMs(nowMs: number, units: number, ahead = 0): number {
    const missing = ahead + units - this.available(nowMs);
    if (missing <= 0) return 0;
    const perMs = (this.limit.ratePerS * this.currentFraction) / MS_PER_S;
    return units > this.cap() || perMs === 0 ? Infinity : missing / perMs;
  }

  private cap(): number {
    return this.limit.burst * this.currentFraction;
  }

  private refill(nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.atMs) / MS_PER_S;
    this.atMs = Math.max(this.atMs, nowMs);
    const gained = elapsedS * this.limit.ratePerS * this.currentFraction;
    this.level = Math.min(Math.max(this.cap(), this.level), this.level + gained);
  }
}
