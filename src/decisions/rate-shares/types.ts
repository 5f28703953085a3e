/** Types of the rate limit shares that entry VMs and the lender exchange. */

/** Limit of one customer over the whole fleet. */
export interface RateLimit {
  /** Units per second; 0 means no limit. */
  readonly ratePerS: number;
  /** Units that can be spent at once. */
  readonly burst: number;
}

export type RateLimits = ReadonlyMap<string, RateLimit>;

/** Report of an entry VM to the lender about one customer. */
export interface ShareReport {
  readonly customer: string;
  /** The VM's share of rate and burst, 0 to 1. */
  readonly fraction: number;
  /** Requested units per second, including those of rejected requests. */
  readonly demandPerS: number;
  /** Moving average of the units of a request; 0 if there were none. */
  readonly usualUnits: number;
  /** Units of the largest recent request; 0 if there were none. */
  readonly largestUnits: number;
}

/** Shares of one entry VM, by customer; they replace its previous shares. */
export type Fractions = ReadonlyMap<string, number>;

/** Lifetime of a share, counted from the time at which the VM sent the report, ms. */
export const SHARE_TTL_MS = 6_000;
