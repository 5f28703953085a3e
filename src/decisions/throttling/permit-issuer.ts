/**
 * Issues permits for requests to throttled servers, one for each request, at the rate of the limit
 * that the server names.
 *
 * The steward issues the permits of all entry VMs, so the sum over the fleet keeps the limit. Entry
 * VMs that wait for a permit of a server get them in turn. Reports and engine orders, which the
 * steward itself sends, reach the server as well: they have small rates of their own.
 */
import { ShareBucket } from '../rate-shares/index.js';

/** Permits that may be issued at once. */
const MIN_BURST = 1;
/** Time in which the burst of a higher limit accumulates, s; covers the interval of issuing. */
const BURST_S = 0.1;
/** Limits below this count as this, requests/s: only a request shows that a limit has changed. */
const MIN_RATE_PER_S = 0.1;
/** Rates of report calls and engine orders as fractions of the limit, in addition to the permits. */
const REPORT_FRACTION = 0.25;
const ORDER_FRACTION = 0.125;
/**
 * Requests for which a newly named limit is withheld: the server has got too many just before. The
 * time that they take at the limit's rate is at most `MAX_WITHHELD_MS`.
 */
const WITHHELD_REQUESTS = 5;
const MAX_WITHHELD_MS = 2_500;
/** Time without a permit after which a probe gets one, ms. */
const PROBE_INTERVAL_MS = 2_000;
const MS_PER_S = 1000;

/** Outcome for one entry VM of asking for permits, or of its turn. */
export interface PermitGrant {
  readonly vm: string;
  readonly serverId: string;
  readonly permits: number;
  /** Expected time between two permits of one entry VM, ms. */
  readonly intervalMs: number;
}

/** A limit that is in force. */
export interface NamedLimit {
  readonly requestsPerS: number;
  /** Since when the server has named a limit. */
  readonly namedSinceMs: number;
  /** Time after that for which no permit is issued at least, ms. */
  readonly minWithheldMs?: number;
}

interface WaitingVm {
  readonly vm: string;
  /** Number of permits that it still needs. */
  readonly needed: number;
  readonly untilMs: number;
}

interface ServerRecord {
  ratePerS: number;
  readonly permits: ShareBucket;
  readonly reports: ShareBucket;
  readonly orders: ShareBucket;
  /** Entry VMs that wait for a permit; the first one is next. */
  waiting: readonly WaitingVm[];
  /** When the last permit was issued. */
  issuedAtMs: number;
  /** Time until which the server gets nothing. */
  withheldUntilMs: number;
}

function permitLimit(ratePerS: number) {
  return { ratePerS, burst: Math.max(MIN_BURST, ratePerS * BURST_S) };
}

function controlLimit(ratePerS: number, fraction: number) {
  return { ratePerS: ratePerS * fraction, burst: MIN_BURST };
}

function withheldUntilMs(
  ratePerS: number,
  { namedSinceMs, minWithheldMs = 0 }: Omit<NamedLimit, 'requestsPerS'>,
): number {
  const usualMs = Math.min(MAX_WITHHELD_MS, (WITHHELD_REQUESTS / ratePerS) * MS_PER_S);
  return namedSinceMs + Math.max(minWithheldMs, usualMs);
}

/** Expected time between two permits of one entry VM that waits, ms. */
function intervalOf({ waiting, ratePerS }: ServerRecord): number {
  return (Math.max(1, waiting.length) * MS_PER_S) / ratePerS;
}

export class PermitIssuer {
  private readonly servers = new Map<string, ServerRecord>();

  /** Replaces the limits in force, by server. */
  setLimits(nowMs: number, limits: ReadonlyMap<string, NamedLimit>): void {
    [...this.servers.keys()]
      .filter((id) => !limits.has(id))
      .forEach((id) => this.servers.delete(id));
    limits.forEach(({ requestsPerS, ...named }, id) => {
      const ratePerS = Math.max(MIN_RATE_PER_S, requestsPerS);
      const record = this.servers.get(id) ?? this.createRecord(nowMs, ratePerS);
      record.ratePerS = ratePerS;
      record.withheldUntilMs = withheldUntilMs(ratePerS, named);
      record.permits.configure(nowMs, permitLimit(ratePerS), 1);
      record.reports.configure(nowMs, controlLimit(ratePerS, REPORT_FRACTION), 1);
      record.orders.configure(nowMs, controlLimit(ratePerS, ORDER_FRACTION), 1);
      this.servers.set(id, record);
    });
  }

  /**
   * Records that an entry VM needs `needed` permits in all; replaces its earlier request.
   * @param validMs Time after which the request expires unless it is repeated.
   */
  request(nowMs: number, vm: string, serverId: string, needed: number, validMs: number): void {
    const record = this.servers.get(serverId);
    if (record === undefined) return;
    const entry = { vm, needed, untilMs: nowMs + validMs };
    const isWaiting = record.waiting.some((other) => other.vm === vm);
    record.waiting = isWaiting
      ? record.waiting.map((other) => (other.vm === vm ? entry : other))
      : [...record.waiting, entry];
  }

  /** Number of throttled servers. */
  get size(): number {
    return this.servers.size;
  }

  /** Issues the permits that are available now to the entry VMs in turn. */
  issue(nowMs: number): readonly PermitGrant[] {
    return [...this.servers].flatMap(([serverId, record]) =>
      this.issueFor(nowMs, serverId, record),
    );
  }

  /** Expected time between two permits of one entry VM, ms; null if there is no limit. */
  intervalMs(serverId: string): number | null {
    const record = this.servers.get(serverId);
    return record === undefined ? null : intervalOf(record);
  }

  /** Takes back permits that an entry VM did not use. */
  refund(nowMs: number, serverId: string, permits: number): void {
    this.servers.get(serverId)?.permits.refund(nowMs, permits);
  }

  /**
   * Issues a permit for a request that could run elsewhere, and whose response shows whether the
   * limit still holds; null if other requests show it.
   */
  issueProbe(nowMs: number, vm: string, serverId: string): PermitGrant | null {
    const record = this.servers.get(serverId);
    if (record === undefined || record.waiting.length > 0) return null;
    if (nowMs < record.withheldUntilMs) return null;
    if (nowMs - record.issuedAtMs < PROBE_INTERVAL_MS) return null;
    if (!record.permits.take(nowMs, 1)) return null;
    record.issuedAtMs = nowMs;
    return { vm, serverId, permits: 1, intervalMs: intervalOf(record) };
  }

  /** The limit of a server, requests per second; null for none. */
  requestsPerS(serverId: string): number | null {
    return this.servers.get(serverId)?.ratePerS ?? null;
  }

  /** Whether an engine order may be sent to the server now. */
  allowsOrder(nowMs: number, serverId: string): boolean {
    const record = this.servers.get(serverId);
    if (record === undefined) return true;
    if (nowMs < record.withheldUntilMs) return false;
    if (record.orders.available(nowMs) >= 1) return true;
    return record.waiting.length === 0 && record.permits.available(nowMs) >= 1;
  }

  /** Counts an engine order that is sent to the server; `allowsOrder` must hold. */
  noteOrder(nowMs: number, serverId: string): void {
    const record = this.servers.get(serverId);
    if (record === undefined || record.orders.take(nowMs, 1)) return;
    record.permits.take(nowMs, 1);
  }

  /** Whether a report may be fetched from the server now; counts it if so. */
  takeReport(nowMs: number, serverId: string): boolean {
    const record = this.servers.get(serverId);
    if (record === undefined) return true;
    return nowMs >= record.withheldUntilMs && record.reports.take(nowMs, 1);
  }

  private issueFor(nowMs: number, serverId: string, record: ServerRecord): readonly PermitGrant[] {
    const grants: PermitGrant[] = [];
    let waiting = record.waiting.filter(({ untilMs, needed }) => untilMs > nowMs && needed > 0);
    const intervalMs = intervalOf({ ...record, waiting });
    const isWithheld = nowMs < record.withheldUntilMs;
    while (!isWithheld && waiting.length > 0 && record.permits.take(nowMs, 1)) {
      const [next, ...rest] = waiting as [WaitingVm, ...WaitingVm[]];
      grants.push({ vm: next.vm, serverId, permits: 1, intervalMs });
      const needed = next.needed - 1;
      waiting = needed > 0 ? [...rest, { ...next, needed }] : rest;
    }
    const issuedAtMs = grants.length > 0 ? nowMs : record.issuedAtMs;
    Object.assign(record, { waiting, issuedAtMs });
    return grants;
  }

  private createRecord(nowMs: number, ratePerS: number): ServerRecord {
    return {
      ratePerS,
      permits: new ShareBucket(permitLimit(ratePerS), nowMs),
      reports: new ShareBucket(controlLimit(ratePerS, REPORT_FRACTION), nowMs),
      orders: new ShareBucket(controlLimit(ratePerS, ORDER_FRACTION), nowMs),
      waiting: [],
      issuedAtMs: nowMs,
      withheldUntilMs: -Infinity,
    };
  }
}
