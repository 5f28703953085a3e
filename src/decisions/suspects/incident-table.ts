/**
 * Detects requests that crash backend servers, so that they are refused instead of forwarded.
 *
 * The caller of such a request may repeat it at any entry VM, and each repeat crashes another
 * server. A run that is interrupted, or that its caller aborts, therefore counts as an incident at
 * once: the platform's server list shows a crash only seconds later, and not at all during an
 * outage. The list resolves the incident afterwards. A server that is missing or has restarted has
 * crashed. If the server keeps running, the incident is cleared. A request that runs to completion
 * on any server clears its earlier incidents, because it did not cause those crashes.
 */
import type { AgedIncident, Incident, KnownServers } from './types.js';

/**
 * A request with this many incidents is refused. A request that only ran beside a crashing one may
 * have some incidents too, but usually fewer.
 */
const INCIDENTS_TO_REFUSE = 3;
/** Number of incidents at which a request's incidents are reported to all entry VMs and stored. */
export const MIN_SHARED_INCIDENTS = 2;
/** A crash is visible in the server list within this time: three missed heartbeats. */
const CRASH_VISIBLE_MS = 6_000;
/** Time after which an incident no longer counts. */
const INCIDENT_TTL_MS = 600_000;
/** Late reports of a cleared incident are ignored for this time. */
const CLEARED_TTL_MS = 30_000;
/** Maximum number of incidents; the oldest are evicted. */
const MAX_INCIDENTS = 4_096;
/** Maximum number of recorded completed requests; the oldest are evicted. */
const MAX_COMPLETED = 4_096;
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

  /** Time until which late reports of a cleared incident are ignored, by incident key. */
  private readonly clearedUntilMs = new Map<string, number>();

  /** When requests last ran to completion, by fingerprint. */
  private readonly completedAtMs = new Map<string, number>();

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
    if (this.entries.has(key) || (this.clearedUntilMs.get(key) ?? 0) > nowMs) return false;
    if (ageMs >= INCIDENT_TTL_MS) return false;
    if (this.hasCompletedSince(nowMs, incident.fingerprint, ageMs)) return false;
    if (this.entries.size >= MAX_INCIDENTS) this.dropOldest();
    this.entries.set(key, { incident, atMs: nowMs - ageMs, recordedAtMs: nowMs, died: false });
    const keys = this.keysByFingerprint.get(incident.fingerprint) ?? new Set<string>();
    this.keysByFingerprint.set(incident.fingerprint, keys.add(key));
    if (keys.size >= MIN_SHARED_INCIDENTS) this.sharedChangeCount += 1;
    return true;
  }

  /** Records that a request ran to completion; returns the number of incidents that this clears. */
  noteCompleted(nowMs: number, fingerprint: string): number {
    this.completedAtMs.delete(fingerprint);
    this.completedAtMs.set(fingerprint, nowMs);
    const [oldest] = this.completedAtMs.keys();
    if (this.completedAtMs.size > MAX_COMPLETED && oldest !== undefined)
      this.completedAtMs.delete(oldest);
    const known = this.entriesOf(nowMs, fingerprint);
    known.forEach(({ incident }) => this.clear(nowMs, incident));
    return known.length;
  }

  /** Whether the request has run to completion before. */
  ranWhole(fingerprint: string): boolean {
    return this.completedAtMs.has(fingerprint);
  }

  /** Whether the request has run to completion after an event that occurred `ageMs` ago. */
  hasCompletedSince(nowMs: number, fingerprint: string, ageMs: number): boolean {
    return (this.completedAtMs.get(fingerprint) ?? -Infinity) > nowMs - ageMs;
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

  /** Whether a request with any of these fingerprints is refused. */
  isRefused(nowMs: number, fingerprints: readonly string[]): boolean {
    return fingerprints.some((one) => this.count(nowMs, one) >= INCIDENTS_TO_REFUSE);
  }

  /** Time until a refused request may be accepted again, ms. */
  retryAfterMs(nowMs: number, fingerprints: readonly string[]): number {
    const remainingMs = fingerprints
      .filter((one) => this.isRefused(nowMs, [one]))
      .map((one) => this.refusedForMs(nowMs, one));
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

  /**
   * Incidents of requests with at least `MIN_SHARED_INCIDENTS`, to report to all entry VMs and to
   * store.
   */
  shared(nowMs: number): readonly AgedIncident[] {
    return this.all(nowMs).filter(
      (one) => this.count(nowMs, one.fingerprint) >= MIN_SHARED_INCIDENTS,
    );
  }

  private refusedForMs(nowMs: number, fingerprint: string): number {
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
    this.clearedUntilMs.set(incidentKey(incident), nowMs + CLEARED_TTL_MS);
    this.drop(incident);
  }

  private drop(incident: Incident): void {
    const key = incidentKey(incident);
    this.entries.delete(key);
    const keys = this.keysByFingerprint.get(incident.fingerprint);
    if ((keys?.size ?? 0) >= MIN_SHARED_INCIDENTS) this.sharedChangeCount += 1;
    keys?.delete(key);
    if (keys?.size === 0) this.keysByFingerprint.delete(incident.fingerprint);
  }

  private dropOldest(): void {
    const [oldest] = this.entries.values();
    if (oldest !== undefined) this.drop(oldest.incident);
  }

  private expire(nowMs: number): void {
    [...this.entries.values()]
      .filter(({ atMs }) => nowMs - atMs >= INCIDENT_TTL_MS)
      .forEach(({ incident }) => this.drop(incident));
    [...this.clearedUntilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([key]) => this.clearedUntilMs.delete(key));
  }
}
