/**
 * Tracks requests during which engines crashed.
 *
 * After one crash, each request that ran on the engine is a suspect. A suspect is retried once, on
 * an engine without another suspect, so that a second crash is not counted for a request that did
 * not cause it. After two crashes the request is blocked for some time. Entry VMs report every
 * crash to each other.
 */

export { RequestIdentity, sharedSegments } from './request-identity.js';
export { IncidentTable, reportKey, type ResolvedIncidents } from './incident-table.js';
export { CrashSegments } from './crash-segments.js';
export * from './fingerprint.js';
export * from './types.js';

/** Crashes after which a request is blocked. */
const CRASHES_TO_BLOCK = 2;
/** A request is blocked for this time after its last crash. */
export const BLOCK_MS = 600_000;

/** Maximum difference between the times that different entry VMs record for one crash. */
const REPORT_JITTER_MS = 200;

/** Crash of an engine during a request. */
export interface EngineCrash {
  readonly fingerprint: string;
  readonly engineId: string;
  /** Time for which the request had run on the engine, ms. */
  readonly ranMs: number;
  /** Time since the crash, ms. */
  readonly agoMs: number;
  /** Fingerprints of the prompt's shared segments, unless the response shows that they are sound. */
  readonly segments: readonly string[];
}

interface SuspectRecord {
  /** Times of crashes by engine, in order. */
  readonly crashedAtMs: Map<string, readonly number[]>;
  /** Time at which the crashes no longer count, which also ends a block. */
  untilMs: number;
}

export class SuspectTable {
  private readonly records = new Map<string, SuspectRecord>();

  /** Ids of the suspect requests in progress, by engine. */
  private readonly running = new Map<string, Set<string>>();

  /** Records a crash that was observed here or reported by a peer. */
  note(nowMs: number, { fingerprint, engineId, ranMs, agoMs }: EngineCrash): void {
    this.expire(nowMs);
    const record = this.records.get(fingerprint) ?? { crashedAtMs: new Map(), untilMs: 0 };
    const times = record.crashedAtMs.get(engineId) ?? [];
    const lastAtMs = times.at(-1) ?? -Infinity;
    const crashedAtMs = nowMs - agoMs;
    // A run that began before the last recorded crash was ended by that crash. A crash within the
    // jitter of the last one is another report of the same crash.
    const isNew = crashedAtMs - ranMs >= lastAtMs && crashedAtMs > lastAtMs + REPORT_JITTER_MS;
    if (isNew) record.crashedAtMs.set(engineId, [...times, crashedAtMs]);
    record.untilMs = Math.max(record.untilMs, crashedAtMs + BLOCK_MS);
    this.records.set(fingerprint, record);
  }

  /** All crashes that still count, for an entry VM that may not have received all reports. */
  knownCrashes(nowMs: number): readonly EngineCrash[] {
    this.expire(nowMs);
    return [...this.records].flatMap(([fingerprint, { crashedAtMs }]) =>
      [...crashedAtMs].flatMap(([engineId, times]) =>
        times.map((atMs) => ({
          fingerprint,
          engineId,
          ranMs: 0,
          agoMs: nowMs - atMs,
          segments: [],
        })),
      ),
    );
  }

  isSuspect(nowMs: number, fingerprint: string): boolean {
    return this.crashCount(nowMs, fingerprint) > 0;
  }

  isBlocked(nowMs: number, fingerprint: string): boolean {
    return this.crashCount(nowMs, fingerprint) >= CRASHES_TO_BLOCK;
  }

  /** Removes the record of a request that ran to completion. */
  clear(fingerprint: string): void {
    this.records.delete(fingerprint);
  }

  /** Time until a blocked request is accepted again, ms. */
  retryAfterMs(nowMs: number, fingerprint: string): number {
    return Math.max(0, (this.records.get(fingerprint)?.untilMs ?? 0) - nowMs);
  }

  /** Engines that run a suspect request of this entry VM. */
  enginesWithSuspect(): readonly string[] {
    return [...this.running.keys()];
  }

  suspectStarted(engineId: string, requestId: string): void {
    const ids = this.running.get(engineId) ?? new Set<string>();
    this.running.set(engineId, ids.add(requestId));
  }

  /** Records the end of a request. No effect if the request is not a suspect. */
  suspectFinished(engineId: string, requestId: string): void {
    const ids = this.running.get(engineId);
    if (ids?.delete(requestId) === true && ids.size === 0) this.running.delete(engineId);
  }

  /** Number of crashes that occurred while the request ran and that still count. */
  crashCount(nowMs: number, fingerprint: string): number {
    const record = this.records.get(fingerprint);
    if (record === undefined || record.untilMs <= nowMs) return 0;
    return [...record.crashedAtMs.values()].reduce((sum, times) => sum + times.length, 0);
  }

  private expire(nowMs: number): void {
    this.records.forEach((record, fingerprint) => {
      if (record.untilMs <= nowMs) this.records.delete(fingerprint);
    });
  }
}
