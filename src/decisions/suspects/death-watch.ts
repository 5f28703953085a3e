/**
 * Tells which broken requests were running when their backend server died.
 *
 * A connection that breaks may be the answer that was lost, or the server that died. The server's
 * entry tells: it restarts or vanishes within seconds.
 */
import type { Death } from './index.js';

/** A server that died shows it in its entry within this time, ms: three missed heartbeats. */
const SHOWS_WITHIN_MS = 6_000;

/** What the platform lists of a server. */
export interface ListedServer {
  readonly bornMs: number;
  readonly leaving: boolean;
}

/** A server broke off while it ran a request. */
export interface Break {
  readonly fingerprint: string;
  readonly serverId: string;
  readonly bornMs: number;
  readonly atMs: number;
}

export class DeathWatch {
  private breaks: readonly Break[] = [];

  /** Breaks whose servers showed no verdict in time; each is returned once. */
  takeUnresolved(nowMs: number): readonly Break[] {
    const live = this.live(nowMs);
    const unresolved = this.breaks.filter((entry) => !live.includes(entry));
    this.breaks = live;
    return unresolved;
  }

  /** Notes that a server broke off while it ran a request. */
  noteBreak(nowMs: number, fingerprint: string, serverId: string, bornMs: number): void {
    this.breaks = [...this.breaks, { fingerprint, serverId, bornMs, atMs: nowMs }];
  }

  /** The requests whose servers have died, each told once. */
  deaths(nowMs: number, servers: ReadonlyMap<string, ListedServer>): readonly Death[] {
    const live = this.live(nowMs);
    const died = live.filter(({ serverId, bornMs }) => {
      const server = servers.get(serverId);
      return server === undefined || server.bornMs > bornMs;
    });
    this.breaks = this.breaks.filter((entry) => !died.includes(entry));
    return died.map(({ fingerprint, serverId, atMs }) => ({
      fingerprint,
      engineId: serverId,
      ranMs: nowMs - atMs,
    }));
  }

  private live(nowMs: number): readonly Break[] {
    return this.breaks.filter(({ atMs }) => nowMs - atMs < SHOWS_WITHIN_MS);
  }
}
