/**
 * Admits requests from the part of each customer's rate that this entry VM holds.
 *
 * A part ends by itself, so that what a lost VM held can be given to others. A bucket starts empty:
 * what its predecessor had spent is not known.
 */
import { PartBucket } from './bucket.js';
import type { Fractions, RateLimit, RateLimits, ShareReport } from './types.js';

/** Time over which demand is averaged, ms. */
const DEMAND_WINDOW_MS = 2_000;
/** A loan that was not spent by then is dropped, ms. */
const LOAN_TTL_MS = 1_000;
/** Time over which the largest request is forgotten, ms. */
const LARGEST_WINDOW_MS = 30_000;
/** Weight of a new request in the usual size. */
const USUAL_WEIGHT = 0.1;
const MS_PER_S = 1000;

interface Loan {
  readonly units: number;
  readonly expiresAtMs: number;
}

interface Holding {
  readonly bucket: PartBucket;
  loans: Loan[];
  demandPerS: number;
  demandAtMs: number;
  usualUnits: number;
  largestUnits: number;
}

export class ShareHolder {
  private readonly holdings = new Map<string, Holding>();

  private limits: RateLimits = new Map();

  private expiresAtMs = 0;

  /** Changes the limits; a lower one counts at once. */
  setLimits(nowMs: number, limits: RateLimits): void {
    this.limits = limits;
    this.holdings.forEach((holding, customer) => {
      const limit = limits.get(customer);
      if (limit === undefined) this.holdings.delete(customer);
      else holding.bucket.configure(nowMs, limit, holding.bucket.fraction);
    });
  }

  /** Replaces the parts; those that are not named end. */
  grant(nowMs: number, fractions: Fractions, expiresAtMs: number): void {
    this.expiresAtMs = expiresAtMs;
    this.limits.forEach((limit, customer) => {
      const fraction = fractions.get(customer) ?? 0;
      this.holdingOf(nowMs, customer, limit).bucket.configure(nowMs, limit, fraction);
    });
  }

  /** Lets every part and loan go. */
  clear(): void {
    this.holdings.clear();
    this.expiresAtMs = 0;
  }

  /** Adds units that the lender took from its own part. */
  addLoan(nowMs: number, customer: string, units: number): void {
    const limit = this.limits.get(customer);
    if (limit === undefined) return;
    this.holdingOf(nowMs, customer, limit).loans.push({
      units,
      expiresAtMs: nowMs + LOAN_TTL_MS,
    });
  }

  /** Takes `units` for a request; false where the parts held here do not cover them. */
  take(nowMs: number, customer: string, units: number): boolean {
    const limit = this.limits.get(customer);
    if (limit === undefined || limit.ratePerS === 0) return true;
    this.expire(nowMs);
    const holding = this.holdingOf(nowMs, customer, limit);
    return holding.bucket.take(nowMs, units) || this.takeLoan(nowMs, holding, units);
  }

  /** Notes that a customer asked for `units`, whatever becomes of the request. */
  noteDemand(nowMs: number, customer: string, units: number): void {
    const limit = this.limits.get(customer);
    if (limit === undefined) return;
    const holding = this.holdingOf(nowMs, customer, limit);
    const demandPerS = this.demandNow(nowMs, holding) + (units * MS_PER_S) / DEMAND_WINDOW_MS;
    const largestUnits = Math.max(units, this.largestNow(nowMs, holding));
    const before = holding.usualUnits === 0 ? units : holding.usualUnits;
    const usualUnits = before + (units - before) * USUAL_WEIGHT;
    Object.assign(holding, { demandPerS, largestUnits, usualUnits, demandAtMs: nowMs });
  }

  /** Units that the parts and loans held here cover now. */
  available(nowMs: number, customer: string): number {
    this.expire(nowMs);
    const holding = this.holdings.get(customer);
    if (holding === undefined) return 0;
    const lent = holding.loans
      .filter((loan) => loan.expiresAtMs > nowMs)
      .reduce((sum, loan) => sum + loan.units, 0);
    return lent + holding.bucket.available(nowMs);
  }

  /** Puts back what a request took that did not run. */
  refund(nowMs: number, customer: string, units: number): void {
    this.holdings.get(customer)?.bucket.refund(nowMs, units);
  }

  /** Milliseconds until the part held here covers `units`; Infinity where it never will. */
  waitMs(nowMs: number, customer: string, units: number): number {
    this.expire(nowMs);
    return this.holdings.get(customer)?.bucket.waitMs(nowMs, units) ?? Infinity;
  }

  report(nowMs: number): readonly ShareReport[] {
    this.expire(nowMs);
    return [...this.holdings].map(([customer, holding]) => ({
      customer,
      fraction: holding.bucket.fraction,
      demandPerS: this.demandNow(nowMs, holding),
      usualUnits: holding.usualUnits,
      largestUnits: this.largestNow(nowMs, holding),
    }));
  }

  private holdingOf(nowMs: number, customer: string, limit: RateLimit): Holding {
    const known = this.holdings.get(customer);
    if (known !== undefined) return known;
    const bucket = new PartBucket(limit, nowMs);
    const holding: Holding = {
      bucket,
      loans: [],
      demandPerS: 0,
      demandAtMs: nowMs,
      usualUnits: 0,
      largestUnits: 0,
    };
    this.holdings.set(customer, holding);
    return holding;
  }

  private takeLoan(nowMs: number, holding: Holding, units: number): boolean {
    const live = holding.loans.filter((loan) => loan.expiresAtMs > nowMs);
    const lent = live.reduce((sum, loan) => sum + loan.units, 0);
    const fromBucket = Math.min(units, holding.bucket.available(nowMs));
    if (lent + fromBucket < units) {
      Object.assign(holding, { loans: live });
      return false;
    }
    holding.bucket.take(nowMs, fromBucket);
    let left = units - fromBucket;
    const rest = live.map((loan) => {
      const spent = Math.min(left, loan.units);
      left -= spent;
      return { ...loan, units: loan.units - spent };
    });
    Object.assign(holding, { loans: rest.filter((loan) => loan.units > 0) });
    return true;
  }

  private demandNow(nowMs: number, holding: Holding): number {
    return holding.demandPerS * Math.exp((holding.demandAtMs - nowMs) / DEMAND_WINDOW_MS);
  }

  private largestNow(nowMs: number, { demandAtMs, largestUnits }: Holding): number {
    return largestUnits * Math.exp((demandAtMs - nowMs) / LARGEST_WINDOW_MS);
  }

  private expire(nowMs: number): void {
    if (nowMs < this.expiresAtMs) return;
    this.holdings.forEach((holding, customer) => {
      const limit = this.limits.get(customer);
      if (limit !== undefined) holding.bucket.configure(nowMs, limit, 0);
    });
  }
}
