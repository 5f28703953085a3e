/**
 * Grants the entry VMs shares of customers' rate limits.
 *
 * The outstanding shares and the lender's reserve never sum to more than the full limit. A share is
 * outstanding until its VM has confirmed a smaller share or until the share has expired. Before a
 * VM gets a share, an upper bound of its shares (the allowance) is persisted for the next steward's
 * lender. That lender counts the allowance as outstanding until the VM has reported or every share
 * must have expired. It counts none for customers whose rate the previous lender only lent.
 *
 * If a customer has a small burst and large requests, a VM's share may not cover a single request.
 * The lender therefore reserves enough for the largest recent request. It grants no shares if a
 * VM's share would not cover an average request; each request is then served by a loan.
 */
import { ShareBucket } from './bucket.js';
import { LentOnly } from './lent-only.js';
import {
  type Fractions,
  type RateLimit,
  type RateLimits,
  SHARE_TTL_MS,
  type ShareReport,
} from './types.js';

/** Fraction of a limit that is granted to entry VMs; the rest is lent to VMs that need more. */
const GRANTED_FRACTION = 0.75;
/**
 * Fraction of the granted shares that is split equally, to cover demand that no VM has reported
 * yet.
 */
const EQUAL_FRACTION = 0.25;
/**
 * Interval at which request sizes are averaged over all VMs, ms. Averaging them on each report is
 * too costly.
 */
const SIZES_REFRESH_MS = 250;
/**
 * Largest step to multiples of which allowances are rounded up, so that they are seldom written. In a
 * large fleet, steps of this size would add up to the full limit for a part of the VMs.
 */
const MAX_ALLOWANCE_STEP = 0.1;
/** Factor by which an allowance exceeds the current target share, so that the share can grow. */
const ALLOWANCE_HEADROOM = 1.3;
/** Total demand up to this value counts as zero, units/s; the running sum has rounding errors. */
const MIN_DEMAND_PER_S = 1e-6;
/**
 * Time in which entry VMs are expected to report to a new lender, ms; after that, as long again as it has
 * taken so far.
 */
const REPORTS_WAIT_MS = 100;
/** Sum of outstanding shares up to which there are none: the running sum has rounding errors. */
const MIN_OUTSTANDING = 1e-9;
/** Changes of a share that are not granted are below this, and below a part of an equal share. */
const MAX_IGNORED_CHANGE = 0.01;
/** With 75 VMs and more, equal shares themselves are below `MAX_IGNORED_CHANGE`. */
const IGNORED_PART_OF_EQUAL_SHARE = 0.1;

/** A grant that its VM has not confirmed. */
interface UnconfirmedGrant {
  readonly seq: number;
  readonly fractions: Fractions;
  readonly expiresAtMs: number;
}

/** Sizes of a customer's requests, units. */
interface RequestSizes {
  /** Moving average. */
  readonly average: number;
  /** Recent maximum. */
  readonly largest: number;
}

/** Sizes that are assumed until requests have been reported. */
const DEFAULT_SIZES: RequestSizes = { average: 1_200, largest: 0 };

interface VmShares {
  /** Shares in the VM's latest report. */
  confirmed: Fractions;
  confirmedExpiresAtMs: number;
  unconfirmed: readonly UnconfirmedGrant[];
  demand: ReadonlyMap<string, number>;
  sizes: ReadonlyMap<string, RequestSizes>;
  /** Upper bound of the VM's outstanding shares, by customer, until `outstandingUntilMs`. */
  outstanding: Fractions;
  outstandingUntilMs: number;
}

function addToSums(sums: Map<string, number>, addends: Fractions, sign: 1 | -1): void {
  addends.forEach((addend, customer) =>
    sums.set(customer, (sums.get(customer) ?? 0) + sign * addend),
  );
}

/**
 * Upper bound of a VM's outstanding shares, and the time at which the bound must be computed again.
 */
function outstandingNow(
  nowMs: number,
  { confirmed, confirmedExpiresAtMs, unconfirmed }: VmShares,
): Pick<VmShares, 'outstanding' | 'outstandingUntilMs'> {
  const valid = [
    { fractions: confirmed, expiresAtMs: confirmedExpiresAtMs },
    ...unconfirmed,
  ].filter(({ expiresAtMs }) => expiresAtMs > nowMs);
  const outstanding = new Map<string, number>();
  valid.forEach(({ fractions }) =>
    fractions.forEach((share, customer) =>
      outstanding.set(customer, Math.max(share, outstanding.get(customer) ?? 0)),
    ),
  );
  return {
    outstanding,
    outstandingUntilMs: Math.min(...valid.map(({ expiresAtMs }) => expiresAtMs)),
  };
}

/** Upper bound of each VM's share of any customer's limit, 0 to 1, by VM. */
export type Allowances = ReadonlyMap<string, number>;

/** New shares for one VM. */
export interface GrantMessage {
  readonly seq: number;
  readonly fractions: Fractions;
}

export class RateLender {
  private readonly vms = new Map<string, VmShares>();

  private readonly buckets = new Map<string, ShareBucket>();

  private limits: RateLimits = new Map();

  private lastSeq = 0;

  /**
   * Outstanding shares over all VMs, by customer. This sum and `demandPerS` are updated with each
   * change, because there are too many VMs and reports to compute them on each use.
   */
  private readonly outstandingShares = new Map<string, number>();

  private readonly demandPerS = new Map<string, number>();

  /** Request sizes over all VMs, by customer. */
  private readonly sizes = new Map<string, RequestSizes>();

  private sizedAtMs = -Infinity;

  /** Shares that the previous lender may have granted to VMs that have not reported yet, by VM. */
  private readonly unreported: Map<string, number>;

  private readonly unreportedUntilMs: number;

  /** Allowances that have been persisted. */
  private persisted: Allowances = new Map();

  private readonly onlyLent: LentOnly;

  /**
   * @param previousAllowances Allowances persisted by the previous lender; null if unknown.
   * @param previousLentOnly Customers that it persisted with them, of whose rate it granted no shares.
   */
  constructor(
    startMs: number,
    previousAllowances: Allowances | null,
    previousLentOnly: readonly string[] = [],
  ) {
    // Without known allowances, the full limit counts as granted, under an empty VM name.
    this.unreported = new Map(previousAllowances ?? [['', 1]]);
    this.unreportedUntilMs = startMs + SHARE_TTL_MS;
    this.onlyLent = new LentOnly(new Set(previousAllowances === null ? [] : previousLentOnly));
  }

  /** Whether shares of a rate that was only lent are to be granted once that has been persisted. */
  get mustPersist(): boolean {
    return this.onlyLent.mustStore;
  }

  /**
   * Customers to persist with the allowances, of whose rate no VM holds a share. None is granted before
   * they have been persisted without the customer.
   */
  lentOnly(nowMs: number): readonly string[] {
    // Before the limits are known, nothing has been granted.
    const known = this.limits.size === 0 ? this.onlyLent.previous : this.limits;
    const customers = [...known.keys()].filter(
      (customer) =>
        this.onlyLent.has(customer) && this.outstanding(nowMs, customer) <= MIN_OUTSTANDING,
    );
    this.onlyLent.addBuilt(customers);
    return customers;
  }

  /** Allowances to persist for the next lender. */
  allowances(nowMs: number): Allowances {
    this.expire(nowMs);
    const result = new Map(this.unreported);
    const step = Math.min(MAX_ALLOWANCE_STEP, 1 / Math.max(1, this.vmCount));
    this.vms.forEach((shares, vm) => {
      const bounds = [...this.limits].map(([customer, limit]) =>
        Math.max(
          shares.outstanding.get(customer) ?? 0,
          this.targetShare(vm, customer, limit) * ALLOWANCE_HEADROOM,
        ),
      );
      const upperBound = Math.max(step, ...bounds);
      const rounded = Math.ceil(upperBound / step) * step;
      const before = this.persisted.get(vm) ?? 0;
      // An allowance is lowered only if it is more than two steps too high, so that it is seldom
      // written.
      const isKept = before >= rounded && before <= rounded + 2 * step;
      result.set(vm, Math.min(1, isKept ? before : rounded));
    });
    return result;
  }

  /**
   * Records that the allowances have been persisted, and the customers whose rate is only lent.
   * @param lentOnly Null if it is unknown which customers have been persisted.
   */
  notePersisted(allowances: Allowances, lentOnly: readonly string[] | null = []): void {
    this.persisted = allowances;
    this.onlyLent.setStored(lentOnly);
  }

  /** Removes a VM that has stopped and released its shares. */
  removeVm(nowMs: number, vm: string): void {
    this.dropVm(vm);
    this.unreported.delete(vm);
    this.refreshBuckets(nowMs);
  }

  setLimits(nowMs: number, limits: RateLimits): void {
    this.limits = limits;
    this.refreshLentOnly();
    this.refreshBuckets(nowMs);
  }

  /** Applies a VM's report; `appliedSeq` is the sequence number of the last grant it applied. */
  noteReport(nowMs: number, vm: string, appliedSeq: number, reports: readonly ShareReport[]): void {
    this.unreported.delete(vm);
    const shares = this.vms.get(vm);
    const confirmed = new Map(reports.map(({ customer, fraction }) => [customer, fraction]));
    const known = [...(shares?.unconfirmed ?? [])];
    const applied = known.find(({ seq }) => seq === appliedSeq);
    const next: VmShares = {
      confirmed,
      confirmedExpiresAtMs:
        applied?.expiresAtMs ?? shares?.confirmedExpiresAtMs ?? nowMs + SHARE_TTL_MS,
      unconfirmed: known.filter(({ seq }) => seq > appliedSeq),
      demand: new Map(reports.map(({ customer, demandPerS }) => [customer, demandPerS])),
      sizes: new Map(
        reports.map(({ customer, usualUnits, largestUnits }) => [
          customer,
          { average: usualUnits, largest: largestUnits },
        ]),
      ),
      outstanding: new Map(),
      outstandingUntilMs: Infinity,
    };
    this.dropVm(vm);
    this.vms.set(vm, next);
    addToSums(this.demandPerS, next.demand, 1);
    this.updateOutstanding(nowMs, next);
    this.refreshSizes(nowMs);
    this.refreshBuckets(nowMs);
  }

  /** Returns new shares for a VM that has just reported. */
  grant(nowMs: number, vm: string): GrantMessage {
    this.expire(nowMs);
    const fractions = new Map(
      [...this.limits].map(([customer, limit]) => [
        customer,
        this.nextShare(nowMs, vm, customer, limit),
      ]),
    );
    this.lastSeq += 1;
    const sent = { seq: this.lastSeq, fractions, expiresAtMs: nowMs + SHARE_TTL_MS };
    const shares = this.vms.get(vm);
    if (shares !== undefined) {
      shares.unconfirmed = [...shares.unconfirmed, sent];
      this.updateOutstanding(nowMs, shares);
    }
    this.refreshBuckets(nowMs);
    return { seq: sent.seq, fractions };
  }

  /** Lends `units` from the reserve and returns true, or lends nothing if the reserve has fewer. */
  lend(nowMs: number, customer: string, units: number): boolean {
    this.refreshBuckets(nowMs);
    return this.buckets.get(customer)?.take(nowMs, units) ?? false;
  }

  /** Credits lent units that were not used. */
  refund(nowMs: number, customer: string, units: number): void {
    this.refreshBuckets(nowMs);
    this.buckets.get(customer)?.refund(nowMs, units);
  }

  /** Units that the reserve can lend now. */
  available(nowMs: number, customer: string): number {
    return this.buckets.get(customer)?.available(nowMs) ?? 0;
  }

  /**
   * Milliseconds until the reserve covers `units`; Infinity if it can never cover them.
   * @param ahead Units that are lent before.
   */
  waitMs(nowMs: number, customer: string, units: number, ahead = 0): number {
    const waitMs = this.buckets.get(customer)?.waitMs(nowMs, units, ahead) ?? Infinity;
    return waitMs < Infinity ? waitMs : this.waitForReportsMs(nowMs, customer, units);
  }

  /**
   * Expected time until a new lender knows the limit and the shares that its predecessor granted; Infinity
   * if the limit does not cover `units`.
   */
  private waitForReportsMs(nowMs: number, customer: string, units: number): number {
    const limit = this.limits.get(customer);
    if (limit === undefined) return REPORTS_WAIT_MS;
    if (this.unreported.size === 0 || units > limit.burst) return Infinity;
    const elapsedMs = nowMs - (this.unreportedUntilMs - SHARE_TTL_MS);
    const leftMs = Math.max(0, this.unreportedUntilMs - nowMs);
    return Math.min(leftMs, Math.max(REPORTS_WAIT_MS, elapsedMs));
  }

  /** Upper bound of the outstanding shares of a customer's limit, 0 to 1. */
  outstanding(nowMs: number, customer: string): number {
    this.expire(nowMs);
    const known = this.outstandingShares.get(customer) ?? 0;
    if (this.onlyLent.previous.has(customer)) return Math.min(1, known);
    const unknown = [...this.unreported.values()].reduce((sum, share) => sum + share, 0);
    return Math.min(1, known + unknown);
  }

  /** Number of VMs, with those that have not reported to this lender yet. */
  private get vmCount(): number {
    return this.vms.size + [...this.unreported.keys()].filter((vm) => vm !== '').length;
  }

  /** Updates a VM's outstanding shares after a grant was sent, confirmed or has expired. */
  private updateOutstanding(nowMs: number, shares: VmShares): void {
    const before = shares.outstanding;
    Object.assign(shares, outstandingNow(nowMs, shares));
    addToSums(this.outstandingShares, before, -1);
    addToSums(this.outstandingShares, shares.outstanding, 1);
  }

  private dropVm(vm: string): void {
    const shares = this.vms.get(vm);
    if (shares === undefined) return;
    addToSums(this.outstandingShares, shares.outstanding, -1);
    addToSums(this.demandPerS, shares.demand, -1);
    this.vms.delete(vm);
  }

  private nextShare(nowMs: number, vm: string, customer: string, limit: RateLimit): number {
    const shares = this.vms.get(vm);
    if (shares === undefined || limit.ratePerS === 0) return 0;
    const confirmed =
      shares.confirmedExpiresAtMs > nowMs ? (shares.confirmed.get(customer) ?? 0) : 0;
    const target = this.targetShare(vm, customer, limit);
    const ignored = Math.min(MAX_IGNORED_CHANGE, IGNORED_PART_OF_EQUAL_SHARE / this.vms.size);
    const isKept = target <= confirmed || Math.abs(target - confirmed) < ignored;
    if (isKept || this.onlyLent.mayBeStored(customer)) {
      return Math.min(confirmed, target < confirmed - ignored ? target : confirmed);
    }
    const own = shares.outstanding.get(customer) ?? 0;
    const unassigned = Math.max(0, 1 - this.outstanding(nowMs, customer));
    const allowance = this.persisted.get(vm) ?? 0;
    return Math.max(Math.min(confirmed, own), Math.min(target, own + unassigned, allowance));
  }

  private targetShare(vm: string, customer: string, limit: RateLimit): number {
    if (limit.ratePerS === 0 || limit.burst === 0 || this.onlyLent.has(customer)) return 0;
    const vmCount = this.vms.size;
    const grantedFraction = this.grantedFraction(customer, limit);
    const total = this.demandPerS.get(customer) ?? 0;
    const own = this.vms.get(vm)?.demand.get(customer) ?? 0;
    const byDemand = total <= MIN_DEMAND_PER_S ? 1 / vmCount : own / total;
    return grantedFraction * (EQUAL_FRACTION / vmCount + (1 - EQUAL_FRACTION) * byDemand);
  }

  /** Fraction of a limit that is granted as shares; the reserve covers the largest request. */
  private grantedFraction(customer: string, { burst }: RateLimit): number {
    if (burst === 0) return 0;
    const { largest } = this.sizes.get(customer) ?? DEFAULT_SIZES;
    return Math.min(GRANTED_FRACTION, 1 - largest / burst);
  }

  private refreshLentOnly(): void {
    const vmCount = Math.max(1, this.vmCount);
    this.limits.forEach((limit, customer) => {
      const { average } = this.sizes.get(customer) ?? DEFAULT_SIZES;
      const shareUnits = (limit.burst * this.grantedFraction(customer, limit)) / vmCount;
      this.onlyLent.update(customer, shareUnits, average);
    });
  }

  private refreshSizes(nowMs: number): void {
    if (nowMs - this.sizedAtMs < SIZES_REFRESH_MS) return;
    this.sizedAtMs = nowMs;
    this.sizes.clear();
    this.limits.forEach((_, customer) => {
      const known = [...this.vms.values()]
        .flatMap(({ sizes }) => sizes.get(customer) ?? [])
        .filter(({ average }) => average > 0);
      if (known.length === 0) return;
      const average = known.reduce((sum, entry) => sum + entry.average, 0) / known.length;
      this.sizes.set(customer, {
        average,
        largest: Math.max(...known.map((entry) => entry.largest)),
      });
    });
    this.refreshLentOnly();
  }

  private refreshBuckets(nowMs: number): void {
    this.expire(nowMs);
    [...this.buckets.keys()]
      .filter((customer) => !this.limits.has(customer))
      .forEach((customer) => this.buckets.delete(customer));
    this.limits.forEach((limit, customer) => {
      const bucket = this.buckets.get(customer) ?? new ShareBucket(limit, nowMs);
      this.buckets.set(customer, bucket);
      bucket.configure(nowMs, limit, Math.max(0, 1 - this.outstanding(nowMs, customer)));
    });
  }

  private expire(nowMs: number): void {
    if (nowMs >= this.unreportedUntilMs) this.unreported.clear();
    this.vms.forEach((shares, vm) => {
      if (shares.outstandingUntilMs > nowMs) return;
      const unconfirmed = shares.unconfirmed.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
      Object.assign(shares, { unconfirmed });
      this.updateOutstanding(nowMs, shares);
      if (shares.confirmedExpiresAtMs <= nowMs && unconfirmed.length === 0) this.dropVm(vm);
    });
  }
}
