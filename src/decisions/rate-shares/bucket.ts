/** A token bucket whose part of the customer's limit changes. */
import type { RateLimit } from './types.js';

const MS_PER_S = 1000;

export class PartBucket {
  private level = 0;

  private currentFraction = 0;

  constructor(
    private limit: RateLimit,
    private atMs: number,
  ) {}

  get fraction(): number {
    return this.currentFraction;
  }

  /** Changes limit and part; units above the new burst are dropped, none are made. */
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

  /** Takes all of `units` or nothing. */
  take(nowMs: number, units: number): boolean {
    if (this.available(nowMs) < units) return false;
    this.level -= units;
    return true;
  }

  /** Puts back what was taken and not used. */
  refund(nowMs: number, units: number): void {
    this.refill(nowMs);
    this.level = Math.min(this.cap(), this.level + units);
  }

  /** Milliseconds until `units` are there; Infinity where they never will be. */
  waitMs(nowMs: number, units: number): number {
    const missing = units - this.available(nowMs);
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
