/**
 * Requests that are no longer sent to backend servers, since servers seem to die under them.
 *
 * Answers the load of one request that ends each server that begins it, repeated by its caller at
 * any entry VM. A run that broke off, or whose caller left, counts at once: the platform's list shows
 * a death only seconds later, and in an outage not at all. The list then tells: a server that is gone
 * or was started anew has died; one that lives on is an incident less. A request that ran to its end
 * anywhere was sound until then, whatever its servers had died of.
 */
import type { AgedIncident, Incident, KnownServers } from './types.js';

/** Incidents from which on a request is refused: fewer also come to neighbours of the guilty one. */
const MOST_INCIDENTS = 3;
/** Incidents from which on a request is worth the word of all entry VMs and a place in the store. */
export const SHARED_FROM = 2;
/** A server that died shows it in the list within this time, ms: three missed heartbeats. */
const VERDICT_MS = 6_000;
/** An incident counts for this long, ms. */
const INCIDENT_TTL_MS = 600_000;
/** A late word of an incident that was cleared is ignored for this long, ms. */
const CLEARED_TTL_MS = 30_000;
/** Incidents that are kept; the oldest give way. */
const MOST_KEPT = 4_096;
/** Requests that ran to their end and are remembered; the oldest give way. */
const MOST_WHOLE = 4_096;
/** Refused callers return this late at the earliest, ms. */
const SOONEST_RETURN_MS = 1_000;

interface Entry {
  readonly incident: Incident;
  /** When it happened, on the clock of this entry VM. */
  readonly atMs: number;
  /** When it was heard of here: verdicts of the list count from then on. */
  readonly heardAtMs: number;
  died: boolean;
}

/** What the list has told of incidents. */
export interface Verdicts {
  readonly died: readonly Incident[];
  readonly cleared: readonly Incident[];
}

/** Tells one incident from all others. */
export function incidentKey({ fingerprint, serverId, bornMs }: Incident): string {
  return `${fingerprint} ${serverId} ${bornMs}`;
}

/** The server is gone or was started anew, by a list that is newer than the word of the incident. */
function hasDied({ incident, heardAtMs }: Entry, known: KnownServers): boolean {
  if (known.confirmedAtMs < heardAtMs) return false;
  const server = known.servers.get(incident.serverId);
  return server === undefined || server.bornMs > incident.bornMs;
}

/** The list had time to show a death, or the server ends by plan, which tells nothing. */
function isCleared({ incident, heardAtMs }: Entry, known: KnownServers): boolean {
  const server = known.servers.get(incident.serverId);
  if (server === undefined || known.missing.has(incident.serverId)) return false;
  if (server.leaving) return known.confirmedAtMs >= heardAtMs;
  return known.confirmedAtMs - Math.max(heardAtMs, known.steadySinceMs) >= VERDICT_MS;
}

export class IncidentTable {
  private readonly entries = new Map<string, Entry>();

  /** Keys of incidents by request. */
  private readonly keysOf = new Map<string, Set<string>>();

  /** Incidents that were cleared, and until when a late word of them is ignored. */
  private readonly clearedUntilMs = new Map<string, number>();

  /** When requests ran to their end last. */
  private readonly wholeAtMs = new Map<string, number>();

  private sharedChanges = 0;

  /** Rises when what is shared changes. */
  get sharedVersion(): number {
    return this.sharedChanges;
  }

  get size(): number {
    return this.entries.size;
  }

  /** Takes an incident in, seen here or told by others; true if it is new. */
  note(nowMs: number, incident: Incident, ageMs = 0): boolean {
    const key = incidentKey(incident);
    if (this.entries.has(key) || (this.clearedUntilMs.get(key) ?? 0) > nowMs) return false;
    if (ageMs >= INCIDENT_TTL_MS) return false;
    if (this.ranWholeSince(nowMs, incident.fingerprint, ageMs)) return false;
    if (this.entries.size >= MOST_KEPT) this.dropOldest();
    this.entries.set(key, { incident, atMs: nowMs - ageMs, heardAtMs: nowMs, died: false });
    const keys = this.keysOf.get(incident.fingerprint) ?? new Set<string>();
    this.keysOf.set(incident.fingerprint, keys.add(key));
    if (keys.size >= SHARED_FROM) this.sharedChanges += 1;
    return true;
  }

  /** Notes that a request ran to its end; returns how many incidents that clears. */
  noteWhole(nowMs: number, fingerprint: string): number {
    this.wholeAtMs.delete(fingerprint);
    this.wholeAtMs.set(fingerprint, nowMs);
    const [oldest] = this.wholeAtMs.keys();
    if (this.wholeAtMs.size > MOST_WHOLE && oldest !== undefined) this.wholeAtMs.delete(oldest);
    const known = this.entriesOf(nowMs, fingerprint);
    known.forEach(({ incident }) => this.clear(nowMs, incident));
    return known.length;
  }

  /** Whether the request is known to have run to its end. */
  ranWhole(fingerprint: string): boolean {
    return this.wholeAtMs.has(fingerprint);
  }

  /** Whether the request ran to its end after what happened `ageMs` ago. */
  ranWholeSince(nowMs: number, fingerprint: string, ageMs: number): boolean {
    return (this.wholeAtMs.get(fingerprint) ?? -Infinity) > nowMs - ageMs;
  }

  /** Takes the word of the platform's list on open incidents. */
  judge(nowMs: number, known: KnownServers): Verdicts {
    const open = [...this.entries.values()].filter(({ died }) => !died);
    const died = open.filter((entry) => hasDied(entry, known));
    died.forEach((entry) => Object.assign(entry, { died: true }));
    const cleared = open.filter((entry) => !entry.died && isCleared(entry, known));
    cleared.forEach(({ incident }) => this.clear(nowMs, incident));
    this.expire(nowMs);
    const incidentsOf = (entries: readonly Entry[]) => entries.map(({ incident }) => incident);
    return { died: incidentsOf(died), cleared: incidentsOf(cleared) };
  }

  /** Whether a request with any of these fingerprints is not sent to a server. */
  isRefused(nowMs: number, fingerprints: readonly string[]): boolean {
    return fingerprints.some((one) => this.count(nowMs, one) >= MOST_INCIDENTS);
  }

  /** Time until a refused request may be served, ms. */
  retryAfterMs(nowMs: number, fingerprints: readonly string[]): number {
    const waits = fingerprints
      .filter((one) => this.isRefused(nowMs, [one]))
      .map((one) => this.refusedForMs(nowMs, one));
    return Math.max(SOONEST_RETURN_MS, ...waits);
  }

  count(nowMs: number, fingerprint: string): number {
    return this.entriesOf(nowMs, fingerprint).length;
  }

  /** All incidents, for a steward that has just been found. */
  all(nowMs: number): readonly AgedIncident[] {
    return [...this.entries.values()]
      .filter(({ atMs }) => nowMs - atMs < INCIDENT_TTL_MS)
      .map(({ incident, atMs }) => ({ ...incident, ageMs: nowMs - atMs }));
  }

  /** Incidents of requests that have several: what all entry VMs and the store should know. */
  shared(nowMs: number): readonly AgedIncident[] {
    return this.all(nowMs).filter((one) => this.count(nowMs, one.fingerprint) >= SHARED_FROM);
  }

  private refusedForMs(nowMs: number, fingerprint: string): number {
    const known = this.entriesOf(nowMs, fingerprint);
    const isOpen = known.filter(({ died }) => died).length < MOST_INCIDENTS;
    const times = known.map(({ atMs, heardAtMs }) =>
      isOpen ? heardAtMs + VERDICT_MS : atMs + INCIDENT_TTL_MS,
    );
    const [endsAtMs = nowMs] = times.sort((a, b) => b - a).slice(MOST_INCIDENTS - 1);
    return endsAtMs - nowMs;
  }

  private entriesOf(nowMs: number, fingerprint: string): readonly Entry[] {
    return [...(this.keysOf.get(fingerprint) ?? [])]
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
    const keys = this.keysOf.get(incident.fingerprint);
    if ((keys?.size ?? 0) >= SHARED_FROM) this.sharedChanges += 1;
    keys?.delete(key);
    if (keys?.size === 0) this.keysOf.delete(incident.fingerprint);
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
