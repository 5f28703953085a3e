/**
 * Which backend servers fail or answer slowly, judged against their peers.
 *
 * A server that fails several times in a row is left out for a while, never more than half of a
 * set. One that can't be reached is left out also where it is the only one: in a data centre that is
 * cut off, all requests for what lies beyond the cut would hang on it and miss their time to go to
 * another entry VM. One that is slower than its peers gets less work, and a little of it, so that its recovery
 * shows.
 */

const FAILURES_TO_EJECT = 2;
const FIRST_EJECTION_MS = 1_000;
const LONGEST_EJECTION_MS = 8_000;
/** A server that can't be reached is tried again after this, doubled each time up to the longest, ms. */
const FIRST_RETRY_MS = 500;
const LONGEST_RETRY_MS = 2_000;
/** Part of a set of servers that may be left out at once. */
const MOST_EJECTED = 0.5;
/** Weight of the newest answer in a server's average. */
const NEWEST_PART = 0.25;
/** Averages are forgotten after this long, ms: servers recover. */
const FORGET_MS = 4_000;
/** A server counts as slow above this multiple of its peers' median. */
const SLOW_FROM = 2;
const MOST_SLOWNESS = 10;

interface Record {
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
  unreached: number;
  unreachedUntilMs: number;
  averageMs: number;
  measuredAtMs: number;
  heardAtMs: number;
}

interface Identified {
  readonly id: string;
}

function createRecord(): Record {
  return {
    failures: 0,
    ejections: 0,
    ejectedUntilMs: -Infinity,
    unreached: 0,
    unreachedUntilMs: -Infinity,
    averageMs: 0,
    measuredAtMs: -Infinity,
    heardAtMs: -Infinity,
  };
}

export class ServerHealth {
  private readonly records = new Map<string, Record>();

  /** Notes an answer; `tookMs` is the time to its first byte, divided by what was expected. */
  noteAnswer(nowMs: number, id: string, took: number): void {
    const record = this.recordOf(id);
    record.failures = 0;
    record.ejections = 0;
    record.unreached = 0;
    const old = nowMs - record.measuredAtMs > FORGET_MS;
    record.averageMs = old ? took : record.averageMs + (took - record.averageMs) * NEWEST_PART;
    record.measuredAtMs = nowMs;
    record.heardAtMs = nowMs;
  }

  /** Notes that a server sent something, to any request. */
  noteHeard(nowMs: number, id: string): void {
    this.recordOf(id).heardAtMs = nowMs;
  }

  /** When a server sent something last, ms; -Infinity where it never did. */
  heardAtMs(id: string): number {
    return this.records.get(id)?.heardAtMs ?? -Infinity;
  }

  /** Notes that a server failed; true if it is left out from now on. */
  noteFailure(nowMs: number, id: string, weight = 1): boolean {
    const record = this.recordOf(id);
    record.failures += weight;
    if (record.failures < FAILURES_TO_EJECT || nowMs < record.ejectedUntilMs) return false;
    const ejectionMs = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** record.ejections);
    record.ejections += 1;
    record.ejectedUntilMs = nowMs + ejectionMs;
    return true;
  }

  /** Notes that no connection to a server came about. */
  noteUnreached(nowMs: number, id: string): void {
    const record = this.recordOf(id);
    if (nowMs < record.unreachedUntilMs) return;
    const retryMs = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** record.unreached);
    record.unreached += 1;
    record.unreachedUntilMs = nowMs + retryMs;
  }

  /** The servers to choose among; all in reach when too many of them would be left out. */
  sound<T extends Identified>(nowMs: number, all: readonly T[]): readonly T[] {
    const servers = all.filter(({ id }) => (this.records.get(id)?.unreachedUntilMs ?? 0) <= nowMs);
    const fit = servers.filter(({ id }) => (this.records.get(id)?.ejectedUntilMs ?? 0) <= nowMs);
    const ejected = servers.length - fit.length;
    return ejected <= servers.length * MOST_EJECTED ? fit : servers;
  }

  /** How much slower a server is than the median of its peers, 1 for not. */
  slowness(nowMs: number, id: string, peers: readonly string[]): number {
    const own = this.averageOf(nowMs, id);
    if (own === null) return 1;
    const others = peers
      .filter((peer) => peer !== id)
      .flatMap((peer) => this.averageOf(nowMs, peer) ?? [])
      .sort((a, b) => a - b);
    const median = others[Math.floor((others.length - 1) / 2)];
    if (median === undefined || own < median * SLOW_FROM) return 1;
    return Math.min(MOST_SLOWNESS, own / median);
  }

  private averageOf(nowMs: number, id: string): number | null {
    const record = this.records.get(id);
    if (record === undefined || nowMs - record.measuredAtMs > FORGET_MS) return null;
    return record.averageMs;
  }

  private recordOf(id: string): Record {
    const record = this.records.get(id) ?? createRecord();
    this.records.set(id, record);
    return record;
  }
}
