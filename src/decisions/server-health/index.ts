/**
 * Outlier detection: finds backend servers that fail, or that respond more slowly than their peers.
 *
 * A server is ejected for some time after consecutive failures. If more than half of the reachable
 * servers were ejected, all reachable servers stay eligible instead. An unreachable server is
 * ejected even if it is the only one: otherwise, requests in a partitioned data centre would wait
 * for servers on the other side until it is too late to use another entry VM. A server that is
 * slower than its peers gets fewer requests, but still some, so that its recovery is detected.
 */

/** Weighted sum of consecutive failures at which a server is ejected. */
const FAILURES_TO_EJECT = 2;
/** Duration of the first ejection; doubles with each consecutive ejection up to the maximum. */
const MIN_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 8_000;
/**
 * Initial backoff before an unreachable server is retried; doubles with each failure up to the
 * maximum.
 */
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 2_000;
/** Maximum fraction of the reachable servers that may be ejected at the same time. */
const MAX_EJECTED_FRACTION = 0.5;
/** Weight of the newest response in a server's moving average. */
const EWMA_WEIGHT = 0.25;
/** An average expires after this time without a response, since the server may have recovered. */
const AVERAGE_TTL_MS = 4_000;
/** A server is slow if its average is at least this multiple of its peers' median. */
const SLOW_RATIO = 2;
const MAX_SLOWNESS = 10;

interface HealthRecord {
  /** Weighted sum of consecutive failures. */
  failures: number;
  /** Consecutive ejections. */
  ejections: number;
  ejectedUntilMs: number;
  /** Consecutive failed connection attempts. */
  failedConnects: number;
  /** When the last of these attempts failed. */
  connectFailedAtMs: number;
  unreachableUntilMs: number;
  /** When a partition from the server ended; connection attempts begun before say nothing. */
  forgottenAtMs: number;
  /** Moving average of the time to the first byte, relative to the expected time. */
  averageRatio: number;
  measuredAtMs: number;
  /** When the server last sent a byte. */
  lastReceivedAtMs: number;
}

/** A failed connection attempt to a server. */
export interface ConnectFailure {
  readonly id: string;
  readonly atMs: number;
}

interface Identified {
  readonly id: string;
}

function createRecord(): HealthRecord {
  return {
    failures: 0,
    ejections: 0,
    ejectedUntilMs: -Infinity,
    failedConnects: 0,
    connectFailedAtMs: -Infinity,
    unreachableUntilMs: -Infinity,
    forgottenAtMs: -Infinity,
    averageRatio: 0,
    measuredAtMs: -Infinity,
    lastReceivedAtMs: -Infinity,
  };
}

export class ServerHealth {
  private readonly records = new Map<string, HealthRecord>();

  /**
   * Records a response, which resets the failure counts.
   * @param ratio Time to its first byte, divided by the expected time; null if that was not measured.
   */
  noteAnswer(nowMs: number, id: string, ratio: number | null): void {
    const record = this.recordOf(id);
    record.failures = 0;
    record.ejections = 0;
    record.failedConnects = 0;
    record.lastReceivedAtMs = nowMs;
    if (ratio === null) return;
    const isExpired = nowMs - record.measuredAtMs > AVERAGE_TTL_MS;
    record.averageRatio = isExpired
      ? ratio
      : record.averageRatio + (ratio - record.averageRatio) * EWMA_WEIGHT;
    record.measuredAtMs = nowMs;
  }

  /** Records that a server sent data for any request. */
  noteDataReceived(nowMs: number, id: string): void {
    this.recordOf(id).lastReceivedAtMs = nowMs;
  }

  /** When a server last sent data, ms; -Infinity if it never did. */
  lastReceivedAtMs(id: string): number {
    return this.records.get(id)?.lastReceivedAtMs ?? -Infinity;
  }

  /**
   * Records a failure of a server. Returns true if this failure ejects the server. The first bytes of
   * a response that then broke off do not show that the server is faster than its peers.
   */
  noteFailure(nowMs: number, id: string, weight = 1): boolean {
    const record = this.recordOf(id);
    record.failures += weight;
    if (weight >= 1) record.measuredAtMs = -Infinity;
    if (record.failures < FAILURES_TO_EJECT || nowMs < record.ejectedUntilMs) return false;
    const ejectionMs = Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** record.ejections);
    record.ejections += 1;
    record.ejectedUntilMs = nowMs + ejectionMs;
    return true;
  }

  /**
   * Records a failed connection attempt, begun at `startedAtMs`. Failures before the next retry is
   * due are ignored.
   */
  noteConnectFailure(nowMs: number, id: string, startedAtMs = nowMs): void {
    const record = this.recordOf(id);
    if (nowMs < record.unreachableUntilMs || startedAtMs < record.forgottenAtMs) return;
    const retryMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** record.failedConnects);
    record.failedConnects += 1;
    record.connectFailedAtMs = nowMs;
    record.unreachableUntilMs = nowMs + retryMs;
  }

  /** Forgets failures of servers that this VM reaches again after a partition from all of them. */
  forgetFailures(nowMs: number, ids: Iterable<string>): void {
    [...ids].forEach((id) => {
      const record = this.records.get(id);
      if (record === undefined) return;
      Object.assign(record, {
        failures: 0,
        ejections: 0,
        ejectedUntilMs: -Infinity,
        failedConnects: 0,
        unreachableUntilMs: -Infinity,
        forgottenAtMs: nowMs,
      });
    });
  }

  /** Servers that can't be reached now, each with the time of its last failed connection attempt. */
  unreachable(nowMs: number): readonly ConnectFailure[] {
    return [...this.records]
      .filter(([, { unreachableUntilMs }]) => nowMs < unreachableUntilMs)
      .map(([id, { connectFailedAtMs }]) => ({ id, atMs: connectFailedAtMs }));
  }

  /**
   * Returns the reachable servers that are not ejected, or all reachable servers if more than half
   * of them are ejected.
   * @param canReachOverPeer Whether a server that can't be reached directly is reachable all the same.
   */
  eligible<T extends Identified>(
    nowMs: number,
    all: readonly T[],
    canReachOverPeer: (server: T) => boolean = () => false,
  ): readonly T[] {
    const reachable = all.filter(
      (server) =>
        (this.records.get(server.id)?.unreachableUntilMs ?? 0) <= nowMs || canReachOverPeer(server),
    );
    const healthy = reachable.filter(
      ({ id }) => (this.records.get(id)?.ejectedUntilMs ?? 0) <= nowMs,
    );
    const ejected = reachable.length - healthy.length;
    return ejected <= reachable.length * MAX_EJECTED_FRACTION ? healthy : reachable;
  }

  /**
   * Returns a server's average as a multiple of its peers' median, at most `MAX_SLOWNESS`; 1 if the
   * server is not slow.
   */
  slowness(nowMs: number, id: string, peers: readonly string[]): number {
    const own = this.averageOf(nowMs, id);
    if (own === null) return 1;
    const others = peers
      .filter((peer) => peer !== id)
      .flatMap((peer) => this.averageOf(nowMs, peer) ?? [])
      .sort((a, b) => a - b);
    const median = others[Math.floor((others.length - 1) / 2)];
    if (median === undefined || own < median * SLOW_RATIO) return 1;
    return Math.min(MAX_SLOWNESS, own / median);
  }

  private averageOf(nowMs: number, id: string): number | null {
    const record = this.records.get(id);
    if (record === undefined || nowMs - record.measuredAtMs > AVERAGE_TTL_MS) return null;
    return record.averageRatio;
  }

  private recordOf(id: string): HealthRecord {
    const record = this.records.get(id) ?? createRecord();
    this.records.set(id, record);
    return record;
  }
}
