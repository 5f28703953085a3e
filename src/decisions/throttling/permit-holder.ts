/**
 * Holds this entry VM's permits for requests to throttled servers, and decides when to ask the
 * steward for more.
 *
 * Without a steward, a few entry VMs may still send requests, each at a small part of the limit.
 */
import { ShareBucket } from '../rate-shares/index.js';

/** Time for which a permit is valid, ms. */
const PERMIT_TTL_MS = 250;
/** Interval at which a permit for a probe is requested, ms. */
const PROBE_MS = 1_000;
/** Time for which the expected interval between permits is used, ms. */
const INTERVAL_TTL_MS = 1_000;
/** Number of entry VMs that may send requests without a steward. */
export const RESERVE_HOLDERS = 4;
/**
 * Rate of one entry VM without a steward, as a fraction of the limit. All reserve holders together
 * use half of the limit, because the steward may still issue permits to the other entry VMs.
 */
const RESERVE_FRACTION = 1 / (2 * RESERVE_HOLDERS);

interface ServerPermits {
  /** Expiry times of the permits, ms. */
  expiries: readonly number[];
  askedAtMs: number;
  probedAtMs: number;
  /** Number of permits that were asked for and not received yet. */
  missing: number;
  /** Expected time between two permits, ms, and when the steward sent it. */
  intervalMs: number;
  intervalAtMs: number;
}

export class PermitHolder {
  private readonly servers = new Map<string, ServerPermits>();

  /** Buckets that are used without a steward, by server. */
  private readonly reserves = new Map<string, ShareBucket>();

  private mayUseReserve = false;

  private hasSteward = false;

  /** Sets whether this entry VM may send requests without a steward. */
  setReserve(mayUseReserve: boolean): void {
    this.mayUseReserve = mayUseReserve;
  }

  /** Sets whether a steward is connected; the reserves start empty when it is lost. */
  setSteward(isConnected: boolean): void {
    if (isConnected) this.reserves.clear();
    this.hasSteward = isConnected;
  }

  /** Adds permits from the steward. */
  receive(nowMs: number, serverId: string, permits: number, intervalMs: number): void {
    const record = this.recordOf(serverId);
    const added = Array.from({ length: permits }, () => nowMs + PERMIT_TTL_MS);
    record.expiries = [...record.expiries, ...added];
    record.missing = Math.max(0, record.missing - permits);
    Object.assign(record, { intervalMs, intervalAtMs: nowMs });
  }

  /** Whether a request may be sent to a server with this limit now. */
  allows(nowMs: number, serverId: string, requestsPerS: number): boolean {
    const { expiries } = this.recordOf(serverId);
    if (expiries.some((atMs) => atMs > nowMs)) return true;
    return this.reserveOf(nowMs, serverId, requestsPerS).available(nowMs) >= 1;
  }

  /** Uses a permit for a request that is sent now; false if there is none. */
  take(nowMs: number, serverId: string, requestsPerS: number): boolean {
    const record = this.recordOf(serverId);
    const used = record.expiries.findIndex((atMs) => atMs > nowMs);
    if (used >= 0) {
      record.expiries = record.expiries.filter((_, at) => at !== used);
      return true;
    }
    return this.reserveOf(nowMs, serverId, requestsPerS).take(nowMs, 1);
  }

  /**
   * Whether to ask the steward now for the permits of `needed` waiting requests. The caller then
   * sends the request.
   * @param repeatMs Interval at which an unanswered request is repeated.
   */
  shouldAsk(nowMs: number, serverId: string, needed: number, repeatMs: number): boolean {
    const record = this.recordOf(serverId);
    const isAnswered = record.missing === 0;
    if (!isAnswered && nowMs - record.askedAtMs < repeatMs) return false;
    record.askedAtMs = nowMs;
    record.missing = needed;
    return true;
  }

  /** Whether to ask the steward now for a permit for a probe. The caller then sends the request. */
  shouldProbe(nowMs: number, serverId: string): boolean {
    const record = this.recordOf(serverId);
    if (nowMs - record.probedAtMs < PROBE_MS) return false;
    record.probedAtMs = nowMs;
    return true;
  }

  /** Expected time until `needed` permits of any of the servers, ms; null if unknown. */
  expectedWaitMs(nowMs: number, serverIds: readonly string[], needed: number): number | null {
    const records = serverIds.map((id) => this.recordOf(id));
    const isKnown = records.every(({ intervalAtMs }) => nowMs - intervalAtMs < INTERVAL_TTL_MS);
    if (records.length === 0 || !isKnown) return null;
    const permitsPerMs = records.reduce((sum, { intervalMs }) => sum + 1 / intervalMs, 0);
    return needed / permitsPerMs;
  }

  /** Removes the permits that expired unused; returns their numbers by server. */
  expire(nowMs: number): ReadonlyMap<string, number> {
    const expired = [...this.servers].map(([serverId, record]) => {
      const valid = record.expiries.filter((atMs) => atMs > nowMs);
      const count = record.expiries.length - valid.length;
      Object.assign(record, { expiries: valid });
      return [serverId, count] as const;
    });
    return new Map(expired.filter(([, count]) => count > 0));
  }

  /** Forgets the servers that are no longer listed. */
  retain(listed: ReadonlyMap<string, unknown>): void {
    [this.servers, this.reserves].forEach((records) =>
      [...records.keys()].filter((id) => !listed.has(id)).forEach((id) => records.delete(id)),
    );
  }

  private reserveOf(nowMs: number, serverId: string, requestsPerS: number): ShareBucket {
    const isUsable = this.mayUseReserve && !this.hasSteward;
    const limit = { ratePerS: requestsPerS * RESERVE_FRACTION, burst: 1 };
    const bucket = this.reserves.get(serverId) ?? new ShareBucket(limit, nowMs);
    bucket.configure(nowMs, limit, isUsable ? 1 : 0);
    this.reserves.set(serverId, bucket);
    return bucket;
  }

  private recordOf(serverId: string): ServerPermits {
    const existing = this.servers.get(serverId);
    if (existing !== undefined) return existing;
    const record = {
      expiries: [],
      askedAtMs: -Infinity,
      probedAtMs: -Infinity,
      missing: 0,
      intervalMs: Infinity,
      intervalAtMs: -Infinity,
    };
    this.servers.set(serverId, record);
    return record;
  }
}
