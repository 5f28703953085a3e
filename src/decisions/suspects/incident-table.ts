/**
 * Detects requests that crash backend servers, so that they are refused instead of forwarded.
 *
 * The caller of such a request may repeat it at any entry VM, and each repeat crashes another
 * server. A run that is interrupted, or that its caller aborts, therefore counts as an incident at
 * once: the platform's server list shows a crash only seconds later, and not at all during an
 * outage. The list resolves the incident afterwards. A server that is missing or has restarted has
 * crashed. If the server keeps running, the incident is cleared. A request that runs to completion
 * on any server clears its earlier incidents, because it did not cause those crashes.
 *
 * Different requests that share a prompt segment may crash servers too. An incident is therefore
 * recorded for each of these segments as well, and weighed by other rules; see `segment-evidence`.
 */
import { isSegmentFingerprint } from './fingerprint.js';
import { RecentTimes } from './recent-times.js';
import {
  companionsOf,
  isSegmentSuspected,
  probeDelayMs,
  type SegmentIncident,
} from './segment-evidence.js';
import { type AgedIncident, type Incident, type KnownServers, RunProgress } from './types.js';

/**
 * A request with this many incidents is refused. A request that only ran beside a crashing one may
 * have some incidents too, but usually fewer.
 */
const INCIDENTS_TO_REFUSE = 3;
/**
 * Number of incidents at which those of a request or segment are reported to all entry VMs and
 * stored. A single one is reported if the server had begun the run.
 */
const MIN_SHARED_INCIDENTS = 2;
/** A crash is visible in the server list within this time: three missed heartbeats. */
const CRASH_VISIBLE_MS = 6_000;
/** Time after which an incident no longer counts. */
const INCIDENT_TTL_MS = 600_000;
/** Late reports of a cleared incident are ignored for this time. */
const CLEARED_TTL_MS = 30_000;
/** Maximum difference between the times that different entry VMs record for one event, ms. */
const REPORT_JITTER_MS = 200;
/** Maximum number of incidents; the oldest are evicted. */
const MAX_INCIDENTS = 4_096;
/** Maximum number of recorded completed requests, and of proven segments. */
const MAX_COMPLETED = 4_096;
/** Number of proofs of other segments from which on a segment without any counts as new. */
const MIN_PROOFS = 20;
/** Maximum number of server processes that are known to have closed connections. */
const MAX_LOST_SERVERS = 1_024;
/** Maximum number of segments whose last probe is kept. */
const MAX_PROBED = 1_024;
/** Lower bound on the Retry-After time of a refused request. */
const MIN_RETRY_AFTER_MS = 1_000;

interface IncidentEntry {
  readonly incident: Incident;
  /** When the incident occurred, on the clock of this entry VM. */
  readonly atMs: number;
  /** When the incident was recorded here. Only server lists confirmed since then resolve it. */
  readonly recordedAtMs: number;
  /** Whether the server list has confirmed the crash. */
  died: boolean;
}

/** Incidents that a server list has resolved. */
export interface ResolvedIncidents {
  /** The server has crashed. */
  readonly died: readonly Incident[];
  /** The server keeps running. */
  readonly cleared: readonly Incident[];
}

/** Key of an incident; a fingerprint has at most one incident per server process. */
export function incidentKey({ fingerprint, serverId, bornMs }: Incident): string {
  return `${fingerprint} ${serverId} ${bornMs}`;
}

/** Key of a server's process. */
function serverKey({ serverId, bornMs }: Incident): string {
  return `${serverId} ${bornMs}`;
}

const STRENGTHS = [RunProgress.abandoned, RunProgress.unclear, RunProgress.begun] as const;

/** Whether an incident is stronger evidence against a segment than the recorded one. */
function isStronger({ run }: Incident, recorded: Incident): boolean {
  if (run === undefined || recorded.run === undefined) return false;
  return STRENGTHS.indexOf(run.progress) > STRENGTHS.indexOf(recorded.run.progress);
}

/** Key of an incident with its evidence: a stronger report of a known incident has another key. */
export function reportKey(incident: Incident): string {
  return `${incidentKey(incident)} ${incident.run?.progress ?? ''}`;
}

/**
 * Whether the server list lacks the server or shows a restart. A list that was confirmed before the
 * incident was recorded does not count.
 */
function hasServerCrashed({ incident, recordedAtMs }: IncidentEntry, known: KnownServers): boolean {
  if (known.confirmedAtMs < recordedAtMs) return false;
  const server = known.servers.get(incident.serverId);
  return server === undefined || server.bornMs > incident.bornMs;
}

/**
 * Whether the server has not crashed: a crash would be visible by now, or the server is draining,
 * so its exit is planned.
 */
function isCleared({ incident, recordedAtMs }: IncidentEntry, known: KnownServers): boolean {
  const server = known.servers.get(incident.serverId);
  if (server === undefined || known.missing.has(incident.serverId)) return false;
  if (server.leaving) return known.confirmedAtMs >= recordedAtMs;
  return known.confirmedAtMs - Math.max(recordedAtMs, known.confirmedSinceMs) >= CRASH_VISIBLE_MS;
}

export class IncidentTable {
  private readonly entries = new Map<string, IncidentEntry>();

  /** Keys of the incidents of each request. */
  private readonly keysByFingerprint = new Map<string, Set<string>>();

  /** When incidents were cleared, by incident key; reports of earlier incidents are then late. */
  private readonly clearedAtMs = new Map<string, number>();

  /** When requests last ran to completion. */
  private readonly completed = new RecentTimes(MAX_COMPLETED);

  /** When segments were last proven to be sound. Separate: there are far fewer than requests. */
  private readonly proven = new RecentTimes(MAX_COMPLETED);

  /** When server processes last closed the connection of a run. */
  private readonly lostServers = new RecentTimes(MAX_LOST_SERVERS);

  /** When refused segments were last probed. */
  private readonly probed = new RecentTimes(MAX_PROBED);

  /** Number of times that a segment was proven to be sound. */
  private proofs = 0;

  private sharedChangeCount = 0;

  /** Increases when the result of `shared` changes. */
  get sharedVersion(): number {
    return this.sharedChangeCount;
  }

  get size(): number {
    return this.entries.size;
  }

  /**
   * Records an incident that was observed here or reported by others. Returns true if it was added.
   */
  note(nowMs: number, incident: Incident, ageMs = 0): boolean {
    const key = incidentKey(incident);
    const progress = incident.run?.progress;
    if (progress !== undefined && progress !== RunProgress.abandoned) {
      this.lostServers.note(serverKey(incident), nowMs);
    }
    const existing = this.entries.get(key);
    if (existing !== undefined && !isStronger(incident, existing.incident)) return false;
    if (nowMs - ageMs <= (this.clearedAtMs.get(key) ?? -Infinity) + REPORT_JITTER_MS) return false;
    if (ageMs >= INCIDENT_TTL_MS) return false;
    if (this.hasCompletedSince(nowMs, incident.fingerprint, ageMs)) return false;
    if (this.entries.size >= MAX_INCIDENTS) this.dropOldest();
    const died = existing?.died === true;
    this.entries.set(key, { incident, atMs: nowMs - ageMs, recordedAtMs: nowMs, died });
    const keys = this.keysByFingerprint.get(incident.fingerprint) ?? new Set<string>();
    this.keysByFingerprint.set(incident.fingerprint, keys.add(key));
    if (this.isShared(incident.fingerprint)) this.sharedChangeCount += 1;
    return true;
  }

  /** Whether the incidents of a request or segment are reported to all entry VMs and stored. */
  isShared(fingerprint: string): boolean {
    const keys = [...(this.keysByFingerprint.get(fingerprint) ?? [])];
    const isBegun = (key: string) =>
      this.entries.get(key)?.incident.run?.progress === RunProgress.begun;
    return keys.length >= MIN_SHARED_INCIDENTS || keys.some(isBegun);
  }

  /**
   * Records that a request ran to completion, or that a segment is sound; returns the number of
   * incidents that this clears.
   */
  noteCompleted(nowMs: number, fingerprint: string): number {
    this.completionsOf(fingerprint).note(fingerprint, nowMs);
    if (isSegmentFingerprint(fingerprint)) this.proofs += 1;
    const known = this.entriesOf(nowMs, fingerprint);
    known.forEach(({ incident }) => this.clear(nowMs, incident));
    return known.length;
  }

  /** Whether the request has run to completion before, or the segment was proven to be sound. */
  ranWhole(fingerprint: string): boolean {
    return this.completionsOf(fingerprint).get(fingerprint) !== null;
  }

  /** Whether the request has run to completion after an event that occurred `ageMs` ago. */
  hasCompletedSince(nowMs: number, fingerprint: string, ageMs: number): boolean {
    return (this.completionsOf(fingerprint).get(fingerprint) ?? -Infinity) > nowMs - ageMs;
  }

  /** Resolves open incidents by the platform's server list. */
  resolve(nowMs: number, known: KnownServers): ResolvedIncidents {
    const open = [...this.entries.values()].filter(({ died }) => !died);
    const died = open.filter((entry) => hasServerCrashed(entry, known));
    died.forEach((entry) => Object.assign(entry, { died: true }));
    const cleared = open.filter((entry) => !entry.died && isCleared(entry, known));
    cleared.forEach(({ incident }) => this.clear(nowMs, incident));
    this.expire(nowMs);
    const incidentsOf = (entries: readonly IncidentEntry[]) =>
      entries.map(({ incident }) => incident);
    return { died: incidentsOf(died), cleared: incidentsOf(cleared) };
  }

  /** Whether a request with these fingerprints, those of its segments included, is refused. */
  isRefused(nowMs: number, fingerprints: readonly string[]): boolean {
    return this.refusedFor(nowMs, fingerprints).length > 0;
  }

  /**
   * Segments any of which may be at fault for the crashes that tell against this one; empty if there
   * is not enough evidence. Requests with all of them are refused.
   */
  suspectedWith(nowMs: number, segment: string): readonly string[] {
    const incidents = this.segmentIncidents(nowMs, segment);
    if (!isSegmentSuspected(incidents, this.isNew(segment))) return [];
    const companions = companionsOf(incidents).filter((one) => this.count(nowMs, one) > 0);
    const special = this.moreSpecialSuspects(nowMs, segment).filter(
      (one) => !companions.includes(one),
    );
    const explained = new Set(
      special.flatMap((one) => this.segmentIncidents(nowMs, one).map(({ serverKey: key }) => key)),
    );
    const unexplained = incidents.filter(({ serverKey: key }) => !explained.has(key));
    const isAtFaultAlone =
      isSegmentSuspected(unexplained, this.isNew(segment)) ||
      unexplained.some(({ run }) => run.progress === RunProgress.begun);
    return isAtFaultAlone ? companions : [...companions, ...special];
  }

  /**
   * Suspected segments that were only in runs with this one. They explain its incidents at the same
   * servers, since sound runs with it broke off there too.
   */
  private moreSpecialSuspects(nowMs: number, segment: string): readonly string[] {
    return [...this.keysByFingerprint.keys()].filter((other) => {
      const isSingle = this.keysByFingerprint.get(other)?.size === 1;
      if (other === segment || isSingle || !isSegmentFingerprint(other)) return false;
      const incidents = this.segmentIncidents(nowMs, other);
      return (
        isSegmentSuspected(incidents, this.isNew(other)) &&
        companionsOf(incidents).includes(segment)
      );
    });
  }

  /**
   * Whether a refused request may run to probe its segments. Only one request may until the next
   * probe is due.
   */
  takeProbe(nowMs: number, fingerprints: readonly string[]): boolean {
    const refused = this.refusedFor(nowMs, fingerprints);
    // A request that is refused for further segments would crash for those, and prove nothing.
    const isDue = refused.every(
      (one) =>
        isSegmentFingerprint(one) &&
        this.probeAtMs(nowMs, one) <= nowMs &&
        this.suspectedWith(nowMs, one).length >= refused.length,
    );
    if (isDue) refused.forEach((one) => this.probed.note(one, nowMs));
    return isDue;
  }

  /** Time until a refused request may be accepted again, ms. */
  retryAfterMs(nowMs: number, fingerprints: readonly string[]): number {
    const remainingMs = this.refusedFor(nowMs, fingerprints).map((one) =>
      this.refusedForMs(nowMs, one),
    );
    return Math.max(MIN_RETRY_AFTER_MS, ...remainingMs);
  }

  /** Number of incidents of the request that still count. */
  count(nowMs: number, fingerprint: string): number {
    return this.entriesOf(nowMs, fingerprint).length;
  }

  /** All incidents, to report to a newly connected steward. */
  all(nowMs: number): readonly AgedIncident[] {
    return [...this.entries.values()]
      .filter(({ atMs }) => nowMs - atMs < INCIDENT_TTL_MS)
      .map(({ incident, atMs }) => ({ ...incident, ageMs: nowMs - atMs }));
  }

  /** Incidents to report to all entry VMs and to store. */
  shared(nowMs: number): readonly AgedIncident[] {
    return [...this.keysByFingerprint.keys()]
      .filter((fingerprint) => this.isShared(fingerprint))
      .flatMap((fingerprint) => this.entriesOf(nowMs, fingerprint))
      .map(({ incident, atMs }) => ({ ...incident, ageMs: nowMs - atMs }));
  }

  /** The fingerprints for which a request that has all of them is refused. */
  private refusedFor(nowMs: number, fingerprints: readonly string[]): readonly string[] {
    return fingerprints.filter((one) => {
      if (!isSegmentFingerprint(one)) return this.count(nowMs, one) >= INCIDENTS_TO_REFUSE;
      const suspected = this.suspectedWith(nowMs, one);
      const isSuspected =
        suspected.length > 0 && suspected.every((other) => fingerprints.includes(other));
      return isSuspected || this.isRepeated(nowMs, one, fingerprints);
    });
  }

  /**
   * Whether a request with a new segment was itself begun by a server that then crashed. Most likely
   * it is at fault, and another crash would not tell whether the segment is.
   */
  private isRepeated(nowMs: number, segment: string, fingerprints: readonly string[]): boolean {
    if (!this.isNew(segment)) return false;
    return this.segmentIncidents(nowMs, segment).some(
      ({ run }) => run.progress === RunProgress.begun && fingerprints.includes(run.request),
    );
  }

  /** When the next probe of a segment is due. */
  private probeAtMs(nowMs: number, fingerprint: string): number {
    const times = this.entriesOf(nowMs, fingerprint).map(({ atMs }) => atMs);
    const sinceMs = Math.max(...times, this.probed.get(fingerprint) ?? -Infinity);
    const incidents = this.segmentIncidents(nowMs, fingerprint);
    return sinceMs + probeDelayMs(incidents, this.isNew(fingerprint));
  }

  private segmentIncidents(nowMs: number, fingerprint: string): readonly SegmentIncident[] {
    return this.entriesOf(nowMs, fingerprint).flatMap(({ incident, died }) => {
      const { run } = incident;
      if (run === undefined) return [];
      const key = serverKey(incident);
      return [{ run, serverKey: key, isConfirmed: died || this.lostServers.get(key) !== null }];
    });
  }

  /**
   * Whether a segment was never proven to be sound, though others were. Shortly after the start of
   * this entry VM it is not known what was.
   */
  private isNew(segment: string): boolean {
    return this.proofs >= MIN_PROOFS && !this.ranWhole(segment);
  }

  private completionsOf(fingerprint: string): RecentTimes {
    return isSegmentFingerprint(fingerprint) ? this.proven : this.completed;
  }

  private refusedForMs(nowMs: number, fingerprint: string): number {
    if (isSegmentFingerprint(fingerprint)) return this.probeAtMs(nowMs, fingerprint) - nowMs;
    const known = this.entriesOf(nowMs, fingerprint);
    const isUnconfirmed = known.filter(({ died }) => died).length < INCIDENTS_TO_REFUSE;
    const times = known.map(({ atMs, recordedAtMs }) =>
      isUnconfirmed ? recordedAtMs + CRASH_VISIBLE_MS : atMs + INCIDENT_TTL_MS,
    );
    const [endsAtMs = nowMs] = times.sort((a, b) => b - a).slice(INCIDENTS_TO_REFUSE - 1);
    return endsAtMs - nowMs;
  }

  private entriesOf(nowMs: number, fingerprint: string): readonly IncidentEntry[] {
    return [...(this.keysByFingerprint.get(fingerprint) ?? [])]
      .flatMap((key) => this.entries.get(key) ?? [])
      .filter(({ atMs }) => nowMs - atMs < INCIDENT_TTL_MS);
  }

  private clear(nowMs: number, incident: Incident): void {
    this.clearedAtMs.set(incidentKey(incident), nowMs);
    this.drop(incident);
  }

  private drop(incident: Incident): void {
    const key = incidentKey(incident);
    if (this.isShared(incident.fingerprint)) this.sharedChangeCount += 1;
    this.entries.delete(key);
    const keys = this.keysByFingerprint.get(incident.fingerprint);
    keys?.delete(key);
    if (keys?.size === 0) this.keysByFingerprint.delete(incident.fingerprint);
  }

  /** Evicts the oldest incident, preferably one that is the only one of its request or segment. */
  private dropOldest(): void {
    const [oldest] = this.entries.values();
    const single = [...this.entries.values()].find(
      ({ incident }) => this.keysByFingerprint.get(incident.fingerprint)?.size === 1,
    );
    const evicted = single ?? oldest;
    if (evicted !== undefined) this.drop(evicted.incident);
  }

  private expire(nowMs: number): void {
    [...this.entries.values()]
      .filter(({ atMs }) => nowMs - atMs >= INCIDENT_TTL_MS)
      .forEach(({ incident }) => this.drop(incident));
    [...this.clearedAtMs]
      .filter(([, atMs]) => nowMs - atMs >= CLEARED_TTL_MS)
      .forEach(([key]) => this.clearedAtMs.delete(key));
  }
}
