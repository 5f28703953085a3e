/**
 * Requests during which backend servers died.
 *
 * After one death the request is a suspect: it is tried once more, with no other suspect on the
 * same engine, so that an innocent neighbour of the guilty one is not blamed twice. After two
 * deaths it is refused for a while. Entry VMs tell each other of every death.
 */

export { RequestIdentity } from './request-identity.js';
export { INCIDENT_TTL_MS, IncidentTable, type Verdicts } from './incident-table.js';
export * from './fingerprint.js';
export * from './types.js';

const DEATHS_TO_BLOCK = 2;
export const BLOCK_MS = 600_000;

/** The death of an engine while it ran a request. */
export interface Death {
  readonly fingerprint: string;
  readonly engineId: string;
  /** How long the request had run there, ms. */
  readonly ranMs: number;
}

interface Record {
  deaths: number;
  /** When each engine's latest death was noted. */
  readonly notedAtMs: Map<string, number>;
  untilMs: number;
}

export class SuspectTable {
  private readonly records = new Map<string, Record>();

  /** Suspects that run now, by engine. */
  private readonly running = new Map<string, Set<string>>();

  /** Notes a death, seen here or by a peer. */
  note(nowMs: number, { fingerprint, engineId, ranMs }: Death): void {
    this.expire(nowMs);
    const record = this.records.get(fingerprint) ?? {
      deaths: 0,
      notedAtMs: new Map<string, number>(),
      untilMs: 0,
    };
    const lastAtMs = record.notedAtMs.get(engineId) ?? -Infinity;
    // What began before the death that was noted last saw the same one.
    if (nowMs - ranMs >= lastAtMs) record.deaths += 1;
    record.notedAtMs.set(engineId, nowMs);
    record.untilMs = nowMs + BLOCK_MS;
    this.records.set(fingerprint, record);
  }

  isSuspect(nowMs: number, fingerprint: string): boolean {
    return this.deaths(nowMs, fingerprint) > 0;
  }

  isBlocked(nowMs: number, fingerprint: string): boolean {
    return this.deaths(nowMs, fingerprint) >= DEATHS_TO_BLOCK;
  }

  /** Forgets a request that ran to its end. */
  clear(fingerprint: string): void {
    this.records.delete(fingerprint);
  }

  /** Milliseconds until a blocked request is taken again. */
  retryAfterMs(nowMs: number, fingerprint: string): number {
    return Math.max(0, (this.records.get(fingerprint)?.untilMs ?? 0) - nowMs);
  }

  /** Engines that run a suspect of this entry VM now. */
  enginesWithSuspect(): readonly string[] {
    return [...this.running.keys()];
  }

  suspectStarted(engineId: string, requestId: string): void {
    const ids = this.running.get(engineId) ?? new Set<string>();
    this.running.set(engineId, ids.add(requestId));
  }

  /** Also called for requests that were no suspects. */
  suspectFinished(engineId: string, requestId: string): void {
    const ids = this.running.get(engineId);
    if (ids?.delete(requestId) === true && ids.size === 0) this.running.delete(engineId);
  }

  /** Deaths that are known of the request. */
  deaths(nowMs: number, fingerprint: string): number {
    const record = this.records.get(fingerprint);
    return record === undefined || record.untilMs <= nowMs ? 0 : record.deaths;
  }

  private expire(nowMs: number): void {
    this.records.forEach((record, fingerprint) => {
      if (record.untilMs <= nowMs) this.records.delete(fingerprint);
    });
  }
}
