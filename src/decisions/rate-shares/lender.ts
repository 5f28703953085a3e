/**
 * Shares customers' rates out over the entry VMs.
 *
 * The parts that are out and the lender's own never sum to more than the whole. A part counts as
 * out until its VM has confirmed a smaller one or until it has ended. Before a VM gets any, the most
 * that it may get is written down for a successor, who counts that as out until the VM has reported
 * or the time of every part is over.
 *
 * Answers the load of a small customer with large requests: cut into parts, its burst covers none of
 * them anywhere. The lender keeps enough for the largest request of late, and shares out nothing
 * where a VM's part would not cover a usual one; then each request asks the lender.
 */
import { PartBucket } from './bucket.js';
import {
  type Fractions,
  type RateLimit,
  type RateLimits,
  SHARE_TTL_MS,
  type ShareReport,
} from './types.js';

/** Part of each rate that goes to the entry VMs; the lender keeps the rest for whoever runs dry. */
const SHARED_OUT = 0.75;
/** Part of what is shared out that goes equally to all, for demand that is not seen yet. */
const EQUAL_PART = 0.25;
/** The sizes of requests are summed over all VMs this often, ms: there are many VMs and reports. */
const SIZES_MS = 250;
/** Most that a VM may get is written down in steps of this, and with room to grow. */
const ALLOWANCE_STEP = 0.1;
const ALLOWANCE_ROOM = 1.3;
/** Demand that is only the rounding of a sum, units a second. */
const LEAST_DEMAND_PER_S = 1e-6;
/** A part is changed only by more than this. */
const SMALLEST_CHANGE = 0.01;

interface Sent {
  readonly seq: number;
  readonly fractions: Fractions;
  readonly expiresAtMs: number;
}

/** Units of a customer's requests at one VM. */
interface RequestSizes {
  readonly usual: number;
  readonly largest: number;
}

/** Sizes while none are known. */
const FIRST_SIZES: RequestSizes = { usual: 1_200, largest: 0 };

interface VmShares {
  /** As the VM confirmed it last. */
  confirmed: Fractions;
  confirmedExpiresAtMs: number;
  unconfirmed: readonly Sent[];
  demand: ReadonlyMap<string, number>;
  sizes: ReadonlyMap<string, RequestSizes>;
  /** The most that may be out with the VM, by customer, until `outUntilMs`. */
  out: Fractions;
  outUntilMs: number;
}

function addAll(sums: Map<string, number>, parts: Fractions, sign: 1 | -1): void {
  parts.forEach((part, customer) => sums.set(customer, (sums.get(customer) ?? 0) + sign * part));
}

/** The most that may be out with a VM, and until when that holds. */
function outNow(
  nowMs: number,
  { confirmed, confirmedExpiresAtMs, unconfirmed }: VmShares,
): Pick<VmShares, 'out' | 'outUntilMs'> {
  const valid = [
    { fractions: confirmed, expiresAtMs: confirmedExpiresAtMs },
    ...unconfirmed,
  ].filter(({ expiresAtMs }) => expiresAtMs > nowMs);
  const out = new Map<string, number>();
  valid.forEach(({ fractions }) =>
    fractions.forEach((part, customer) =>
      out.set(customer, Math.max(part, out.get(customer) ?? 0)),
    ),
  );
  return { out, outUntilMs: Math.min(...valid.map(({ expiresAtMs }) => expiresAtMs)) };
}

/** The most that each VM may hold of any customer's limit, 0 to 1. */
export type Allowances = ReadonlyMap<string, number>;

/** New parts for one VM. */
export interface GrantMessage {
  readonly seq: number;
  readonly fractions: Fractions;
}

export class RateLender {
  private readonly vms = new Map<string, VmShares>();

  private readonly buckets = new Map<string, PartBucket>();

  private limits: RateLimits = new Map();

  private lastSeq = 0;

  /** Sums over all VMs, by customer, kept with each change: there are many VMs and reports. */
  private readonly out = new Map<string, number>();

  private readonly demandPerS = new Map<string, number>();

  /** Sizes of customers' requests over all VMs. */
  private readonly sizes = new Map<string, RequestSizes>();

  private sizedAtMs = -Infinity;

  /** What a predecessor may have given to VMs that have not reported. */
  private readonly unreported: Map<string, number>;

  private readonly unreportedUntilMs: number;

  /** As it is written down. */
  private written: Allowances = new Map();

  /** @param left What the predecessor wrote down; null where that is not known. */
  constructor(startMs: number, left: Allowances | null) {
    this.unreported = new Map(left ?? [['', 1]]);
    this.unreportedUntilMs = startMs + SHARE_TTL_MS;
  }

  /** What should be written down for a successor. */
  allowances(nowMs: number): Allowances {
    this.expire(nowMs);
    const wanted = new Map(this.unreported);
    this.vms.forEach((shares, vm) => {
      const parts = [...this.limits].map(([customer, limit]) =>
        Math.max(
          shares.out.get(customer) ?? 0,
          this.wantedPart(vm, customer, limit) * ALLOWANCE_ROOM,
        ),
      );
      const most = Math.max(ALLOWANCE_STEP, ...parts);
      const inSteps = Math.ceil(most / ALLOWANCE_STEP) * ALLOWANCE_STEP;
      const before = this.written.get(vm) ?? 0;
      // Lowered only when it is far too high, so that it is seldom written.
      const keeps = before >= inSteps && before <= inSteps + 2 * ALLOWANCE_STEP;
      wanted.set(vm, Math.min(1, keeps ? before : inSteps));
    });
    return wanted;
  }

  /** The allowances have been written down. */
  noteWritten(allowances: Allowances): void {
    this.written = allowances;
  }

  /** A VM stops and holds nothing any more. */
  noteLeft(nowMs: number, vm: string): void {
    this.remove(vm);
    this.unreported.delete(vm);
    this.refreshBuckets(nowMs);
  }

  setLimits(nowMs: number, limits: RateLimits): void {
    this.limits = limits;
    this.refreshBuckets(nowMs);
  }

  /** Notes a report; `appliedSeq` is the last grant that the VM has taken in. */
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
          { usual: usualUnits, largest: largestUnits },
        ]),
      ),
      out: new Map(),
      outUntilMs: Infinity,
    };
    this.remove(vm);
    this.vms.set(vm, next);
    addAll(this.demandPerS, next.demand, 1);
    this.recount(nowMs, next);
    this.refreshSizes(nowMs);
    this.refreshBuckets(nowMs);
  }

  /** New parts for a VM that has just reported. */
  grant(nowMs: number, vm: string): GrantMessage {
    this.expire(nowMs);
    const fractions = new Map(
      [...this.limits].map(([customer, limit]) => [
        customer,
        this.nextPart(nowMs, vm, customer, limit),
      ]),
    );
    this.lastSeq += 1;
    const sent = { seq: this.lastSeq, fractions, expiresAtMs: nowMs + SHARE_TTL_MS };
    const shares = this.vms.get(vm);
    if (shares !== undefined) {
      shares.unconfirmed = [...shares.unconfirmed, sent];
      this.recount(nowMs, shares);
    }
    this.refreshBuckets(nowMs);
    return { seq: sent.seq, fractions };
  }

  /** Lends all of `units` from the lender's own part, or nothing. */
  lend(nowMs: number, customer: string, units: number): boolean {
    this.refreshBuckets(nowMs);
    return this.buckets.get(customer)?.take(nowMs, units) ?? false;
  }

  /** Milliseconds until the lender's own part covers `units`; Infinity where it never will. */
  waitMs(nowMs: number, customer: string, units: number): number {
    return this.buckets.get(customer)?.waitMs(nowMs, units) ?? Infinity;
  }

  /** Part of a customer's limit that is out, or may be. */
  outstanding(nowMs: number, customer: string): number {
    this.expire(nowMs);
    const known = this.out.get(customer) ?? 0;
    const unknown = [...this.unreported.values()].reduce((sum, part) => sum + part, 0);
    return Math.min(1, known + unknown);
  }

  /** Counts anew what is out with a VM, once something was sent, confirmed or has ended. */
  private recount(nowMs: number, shares: VmShares): void {
    const before = shares.out;
    Object.assign(shares, outNow(nowMs, shares));
    addAll(this.out, before, -1);
    addAll(this.out, shares.out, 1);
  }

  private remove(vm: string): void {
    const shares = this.vms.get(vm);
    if (shares === undefined) return;
    addAll(this.out, shares.out, -1);
    addAll(this.demandPerS, shares.demand, -1);
    this.vms.delete(vm);
  }

  private nextPart(nowMs: number, vm: string, customer: string, limit: RateLimit): number {
    const shares = this.vms.get(vm);
    if (shares === undefined || limit.ratePerS === 0) return 0;
    const held = shares.confirmedExpiresAtMs > nowMs ? (shares.confirmed.get(customer) ?? 0) : 0;
    const wanted = this.wantedPart(vm, customer, limit);
    if (wanted <= held || Math.abs(wanted - held) < SMALLEST_CHANGE) {
      return Math.min(held, wanted < held - SMALLEST_CHANGE ? wanted : held);
    }
    const own = shares.out.get(customer) ?? 0;
    const free = Math.max(0, 1 - this.outstanding(nowMs, customer));
    const most = this.written.get(vm) ?? 0;
    return Math.max(Math.min(held, own), Math.min(wanted, own + free, most));
  }

  private wantedPart(vm: string, customer: string, limit: RateLimit): number {
    const count = this.vms.size;
    const { usual, largest } = this.sizes.get(customer) ?? FIRST_SIZES;
    const sharedOut = Math.min(SHARED_OUT, 1 - largest / limit.burst);
    if ((limit.burst * sharedOut) / count < usual) return 0;
    const total = this.demandPerS.get(customer) ?? 0;
    const own = this.vms.get(vm)?.demand.get(customer) ?? 0;
    const byDemand = total <= LEAST_DEMAND_PER_S ? 1 / count : own / total;
    return sharedOut * (EQUAL_PART / count + (1 - EQUAL_PART) * byDemand);
  }

  private refreshSizes(nowMs: number): void {
    if (nowMs - this.sizedAtMs < SIZES_MS) return;
    this.sizedAtMs = nowMs;
    this.sizes.clear();
    this.limits.forEach((_, customer) => {
      const known = [...this.vms.values()]
        .flatMap(({ sizes }) => sizes.get(customer) ?? [])
        .filter(({ usual }) => usual > 0);
      if (known.length === 0) return;
      const usual = known.reduce((sum, one) => sum + one.usual, 0) / known.length;
      this.sizes.set(customer, { usual, largest: Math.max(...known.map((one) => one.largest)) });
    });
  }

  private refreshBuckets(nowMs: number): void {
    this.expire(nowMs);
    [...this.buckets.keys()]
      .filter((customer) => !this.limits.has(customer))
      .forEach((customer) => this.buckets.delete(customer));
    this.limits.forEach((limit, customer) => {
      const bucket = this.buckets.get(customer) ?? new PartBucket(limit, nowMs);
      this.buckets.set(customer, bucket);
      bucket.configure(nowMs, limit, Math.max(0, 1 - this.outstanding(nowMs, customer)));
    });
  }

  private expire(nowMs: number): void {
    if (nowMs >= this.unreportedUntilMs) this.unreported.clear();
    this.vms.forEach((shares, vm) => {
      if (shares.outUntilMs > nowMs) return;
      const unconfirmed = shares.unconfirmed.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
      Object.assign(shares, { unconfirmed });
      this.recount(nowMs, shares);
      if (shares.confirmedExpiresAtMs <= nowMs && unconfirmed.length === 0) this.remove(vm);
    });
  }
}
