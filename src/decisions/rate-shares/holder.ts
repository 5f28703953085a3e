/**
 * Admits requests from this entry VM's share of each customer's rate limit.
 *
 * Shares expire, so that the share of a lost VM can be granted to others. A bucket starts empty,
 * because it is unknown how much this VM's previous process has spent.
 */
import { ShareBucket } from './bucket.js';
import type { Fractions, RateLimit, RateLimits, ShareReport } from './types.js';

/** Time constant of the exponential moving average of demand, ms. */
const DEMAND_WINDOW_MS = 2_000;
/**
 * Time after the request for a loan after which its unspent units are returned to the lender, ms. The
 * lender counts a loan as spent at once, so this bounds by how much later the units are spent.
 */
export const LOAN_TTL_MS = 1_000;
/** Time constant with which the recorded largest request size decays, ms. */
const LARGEST_DECAY_MS = 30_000;
/** Weight of a new request in the moving average of request sizes. */
const AVERAGE_WEIGHT = 0.1;
const MS_PER_S = 1000;

interface Loan {
  readonly units: number;
  readonly expiresAtMs: number;
}

interface CustomerShare {
  readonly bucket: ShareBucket;
  loans: Loan[];
  demandPerS: number;
  demandAtMs: number;
  usualUnits: number;
  largestUnits: number;
  /** Units that are to be returned to the lender. */
  unreturned: number;
}

export class ShareHolder {
  private readonly customerShares = new Map<string, CustomerShare>();

  private limits: RateLimits = new Map();

  private expiresAtMs = 0;

  /** Changes the limits; a lower limit takes effect at once. */
  setLimits(nowMs: number, limits: RateLimits): void {
    this.limits = limits;
    this.customerShares.forEach((share, customer) => {
      const limit = limits.get(customer);
      if (limit === undefined) this.customerShares.delete(customer);
      else share.bucket.configure(nowMs, limit, share.bucket.fraction);
    });
  }

  /** Replaces all shares; customers that are not named get none. */
  grant(nowMs: number, fractions: Fractions, expiresAtMs: number): void {
    this.expiresAtMs = expiresAtMs;
    this.limits.forEach((limit, customer) => {
      const fraction = fractions.get(customer) ?? 0;
      this.customerShare(nowMs, customer, limit).bucket.configure(nowMs, limit, fraction);
    });
  }

  /** Drops all shares and loans. */
  clear(): void {
    this.customerShares.clear();
    this.expiresAtMs = 0;
  }

  /** Adds units that the lender lent from its reserve. */
  addLoan(nowMs: number, customer: string, units: number, expiresAtMs: number): void {
    const limit = this.limits.get(customer);
    if (limit === undefined) return;
    this.customerShare(nowMs, customer, limit).loans.push({ units, expiresAtMs });
  }

  /** Takes `units` from this VM's share alone, which leaves the loans to other requests. */
  takeFromShare(nowMs: number, customer: string, units: number): boolean {
    this.expire(nowMs);
    return this.customerShares.get(customer)?.bucket.take(nowMs, units) === true;
  }

  /** Takes `units` for a request; returns false if this VM's share and loans do not cover them. */
  take(nowMs: number, customer: string, units: number): boolean {
    const limit = this.limits.get(customer);
    if (limit === undefined || limit.ratePerS === 0) return true;
    this.expire(nowMs);
    const share = this.customerShare(nowMs, customer, limit);
    return share.bucket.take(nowMs, units) || this.takeWithLoans(nowMs, share, units);
  }

  /** Records demand for `units`, whether or not the request is admitted. */
  noteDemand(nowMs: number, customer: string, units: number): void {
    const limit = this.limits.get(customer);
    if (limit === undefined) return;
    const share = this.customerShare(nowMs, customer, limit);
    const demandPerS = this.decayedDemand(nowMs, share) + (units * MS_PER_S) / DEMAND_WINDOW_MS;
    const largestUnits = Math.max(units, this.decayedLargest(nowMs, share));
    const average = share.usualUnits === 0 ? units : share.usualUnits;
    const usualUnits = average + (units - average) * AVERAGE_WEIGHT;
    Object.assign(share, { demandPerS, largestUnits, usualUnits, demandAtMs: nowMs });
  }

  /** Units that this VM's share and loans cover now. */
  available(nowMs: number, customer: string): number {
    this.expire(nowMs);
    const share = this.customerShares.get(customer);
    if (share === undefined) return 0;
    ShareHolder.expireLoans(nowMs, share);
    const lent = share.loans.reduce((sum, loan) => sum + loan.units, 0);
    return lent + share.bucket.available(nowMs);
  }

  /**
   * Credits the units of a request that was not executed. What this VM's share can't hold was lent,
   * and is to be returned.
   */
  refund(nowMs: number, customer: string, units: number): void {
    const share = this.customerShares.get(customer);
    if (share === undefined) return;
    this.expire(nowMs);
    share.unreturned += share.bucket.refund(nowMs, units);
  }

  /** Units to return to the lender, by customer. */
  unreturned(): ReadonlyMap<string, number> {
    const all = [...this.customerShares].map(
      ([customer, { unreturned }]) => [customer, unreturned] as const,
    );
    return new Map(all.filter(([, units]) => units > 0));
  }

  /** Records that all units of `unreturned` were sent to the lender. */
  noteReturned(): void {
    this.customerShares.forEach((share) => Object.assign(share, { unreturned: 0 }));
  }

  /** Units that the lender can lend this VM at most: the burst without this VM's share of it. */
  maxLoan(customer: string): number {
    const burst = this.limits.get(customer)?.burst ?? 0;
    return burst * (1 - (this.customerShares.get(customer)?.bucket.fraction ?? 0));
  }

  /** Milliseconds until this VM's share covers `units`; Infinity if it can never cover them. */
  waitMs(nowMs: number, customer: string, units: number): number {
    this.expire(nowMs);
    return this.customerShares.get(customer)?.bucket.waitMs(nowMs, units) ?? Infinity;
  }

  /** State of all shares; units of loans that have expired are then among those to return. */
  report(nowMs: number): readonly ShareReport[] {
    this.expire(nowMs);
    this.customerShares.forEach((share) => ShareHolder.expireLoans(nowMs, share));
    return [...this.customerShares].map(([customer, share]) => ({
      customer,
      fraction: share.bucket.fraction,
      demandPerS: this.decayedDemand(nowMs, share),
      usualUnits: share.usualUnits,
      largestUnits: this.decayedLargest(nowMs, share),
    }));
  }

  private customerShare(nowMs: number, customer: string, limit: RateLimit): CustomerShare {
    const existing = this.customerShares.get(customer);
    if (existing !== undefined) return existing;
    const bucket = new ShareBucket(limit, nowMs);
    const share: CustomerShare = {
      bucket,
      loans: [],
      demandPerS: 0,
      demandAtMs: nowMs,
      usualUnits: 0,
      largestUnits: 0,
      unreturned: 0,
    };
    this.customerShares.set(customer, share);
    return share;
  }

  private takeWithLoans(nowMs: number, share: CustomerShare, units: number): boolean {
    ShareHolder.expireLoans(nowMs, share);
    const lent = share.loans.reduce((sum, loan) => sum + loan.units, 0);
    const fromBucket = Math.min(units, share.bucket.available(nowMs));
    if (lent + fromBucket < units) return false;
    share.bucket.take(nowMs, fromBucket);
    let left = units - fromBucket;
    const rest = share.loans.map((loan) => {
      const spent = Math.min(left, loan.units);
      left -= spent;
      return { ...loan, units: loan.units - spent };
    });
    Object.assign(share, { loans: rest.filter((loan) => loan.units > 0) });
    return true;
  }

  /** Moves the units of expired loans to those that are to be returned. */
  private static expireLoans(nowMs: number, share: CustomerShare): void {
    if (share.loans.every((loan) => loan.expiresAtMs > nowMs)) return;
    const expired = share.loans.filter((loan) => loan.expiresAtMs <= nowMs);
    Object.assign(share, {
      loans: share.loans.filter((loan) => loan.expiresAtMs > nowMs),
      unreturned: expired.reduce((sum, loan) => sum + loan.units, share.unreturned),
    });
  }

  private decayedDemand(nowMs: number, share: CustomerShare): number {
    return share.demandPerS * Math.exp((share.demandAtMs - nowMs) / DEMAND_WINDOW_MS);
  }

  private decayedLargest(nowMs: number, { demandAtMs, largestUnits }: CustomerShare): number {
    return largestUnits * Math.exp((demandAtMs - nowMs) / LARGEST_DECAY_MS);
  }

  private expire(nowMs: number): void {
    if (nowMs < this.expiresAtMs) return;
    this.customerShares.forEach((share, customer) => {
      const limit = this.limits.get(customer);
      if (limit !== undefined) share.bucket.configure(nowMs, limit, 0);
    });
  }
}
