/** Customers' rates, shared out over the entry VMs. */

/** Limit of one customer over the whole fleet. */
export interface RateLimit {
  /** Units a second; 0 means no limit. */
  readonly ratePerS: number;
  readonly burst: number;
}

export type RateLimits = ReadonlyMap<string, RateLimit>;

/** What an entry VM tells the lender about one customer. */
export interface ShareReport {
  readonly customer: string;
  /** Part of the rate and burst that it holds, 0 to 1. */
  readonly fraction: number;
  /** Units asked of it a second, refused ones too. */
  readonly demandPerS: number;
  /** Units of a usual request and of the largest one of late; 0 where none came. */
  readonly usualUnits: number;
  readonly largestUnits: number;
}

/** Parts of one entry VM, by customer; they replace what it had. */
export type Fractions = ReadonlyMap<string, number>;

/** How long a part holds after the report that it answers was sent, ms. */
export const SHARE_TTL_MS = 6_000;
