/**
 * Requests during which backend servers died.
 *
 * After one death the request is a suspect: it is tried once more, with no other suspect on the
 * same engine, so that an innocent neighbour of the guilty one is not blamed twice. After two
 * deaths it is refused for a while. Entry VMs tell each other of every death.
 */

export { RequestIdentity } from './request-identity.js';
export { incidentKey, IncidentTable, SHARED_FROM, type Verdicts } from './incident-table.js';
export * from './fingerprint.js';
export * from './types.js';

const DEATHS_TO_BLOCK = 2;
export const BLOCK_MS = 600_000;

/** A word of a death comes this much sooner or later at different entry VMs, ms. */
const WORD_JITTER_MS = 200;

/** The death of an engine while it ran a request. */
export interface Death {
  readonly fingerprint: string;
  readonly engineId: string;
  /** How long the request had run there, ms. */
  readonly ranMs: number;
  /** Time since the death, ms. */
  readonly agoMs: number;
}

interface Record {
  /** When each engine died, in order. */
  readonly diedAtMs: Map<string, readonly number[]>;
  untilMs: number;
}

export class SuspectTable {
  private readonly records = new Map<string, Record>();

  /** Suspects that run now, by engine. */
  private readonly running = new Map<string, Set<string>>();

  /** Notes a death, seen here or by a peer. */
  note(nowMs: number, { fingerprint, engineId, ranMs, agoMs }: Death): void {
    this.expire(nowMs);
    const record = this.records.get(fingerprint) ?? { diedAtMs: new Map(), untilMs: 0 };
    const known = record.diedAtMs.get(engineId) ?? [];
    const lastAtMs = known.at(-1) ?? -Infinity;
    const diedAtMs = nowMs - agoMs;
    // What began before the death that was noted last saw the same one; so did who tells it again.
    const isNew = diedAtMs - ranMs >= lastAtMs && diedAtMs > lastAtMs + WORD_JITTER_MS;
    if (isNew) record.diedAtMs.set(engineId, [...known, diedAtMs]);
    record.untilMs = Math.max(record.untilMs, diedAtMs + BLOCK_MS);
    this.records.set(fingerprint, record);
  }

  /** All deaths that count, for an entry VM that may not have heard of them. */
  known(nowMs: number): readonly Death[] {
    this.expire(nowMs);
    return [...this.records].flatMap(([fingerprint, { diedAtMs }]) =>
      [...diedAtMs].flatMap(([engineId, times]) =>
        times.map((atMs) => ({ fingerprint, engineId, ranMs: 0, agoMs: nowMs - atMs })),
      ),
    );
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
    if (record === undefined || record.untilMs <= nowMs) return 0;
    return [...record.diedAtMs.values()].reduce((sum, times) => sum + times.length, 0);
  }

  private expire(nowMs: number): void {
    this.records.forEach((record, fingerprint) => {
      if (record.untilMs <= nowMs) this.records.delete(fingerprint);
    });
  }
}
