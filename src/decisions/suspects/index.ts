/**
 * Requests during which backend servers died.
 *
 * After one death the request is a suspect: it is tried once more, with no other suspect on the
 * same engine, so that an innocent neighbour of the guilty one is not blamed twice. After two
 * deaths it is refused for a while. Entry VMs tell each other of every death.
 */
import { createHash } from 'node:crypto';

const DEATHS_TO_BLOCK = 2;
export const BLOCK_MS = 600_000;

/** The death of an engine while it ran a request. */
export interface Death {
  readonly fingerprint: string;
  /** The same for all who saw this death. */
  readonly deathId: string;
}

interface Record {
  readonly deathIds: Set<string>;
  untilMs: number;
}

/** What identifies a request however often and wherever it is sent. */
export function fingerprintOf(target: string, body: string): string {
  return createHash('sha256').update(target).update('\0').update(body).digest('hex');
}

export class SuspectTable {
  private readonly records = new Map<string, Record>();

  private readonly busyEngines = new Set<string>();

  /** Notes a death, seen here or by a peer. */
  note(nowMs: number, { fingerprint, deathId }: Death): void {
    this.expire(nowMs);
    const record = this.records.get(fingerprint) ?? { deathIds: new Set<string>(), untilMs: 0 };
    record.deathIds.add(deathId);
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
    return [...this.busyEngines];
  }

  suspectStarted(engineId: string): void {
    this.busyEngines.add(engineId);
  }

  suspectFinished(engineId: string): void {
    this.busyEngines.delete(engineId);
  }

  private deaths(nowMs: number, fingerprint: string): number {
    const record = this.records.get(fingerprint);
    return record === undefined || record.untilMs <= nowMs ? 0 : record.deathIds.size;
  }

  private expire(nowMs: number): void {
    this.records.forEach((record, fingerprint) => {
      if (record.untilMs <= nowMs) this.records.delete(fingerprint);
    });
  }
}
