/**
 * Which servers are cold, and the rate of requests that they get meanwhile.
 *
 * A server is cold for some time after the start of its process, while its entry states it, and for a
 * time after an evacuation of its data centre was taken back, until its entry can state it. The
 * entries reach the steward and VMs without a steward; the steward tells the others.
 */
import type { ColdTerms } from '../fleet-plan/index.js';
import type { ServerProcess } from '../throttling/types.js';

/** Requests that a cold server may get in any second: a multiple of its rate, and a number. */
export interface ColdBounds {
  readonly overage: number;
  readonly slack: number;
}

export interface ListedColdServer extends ServerProcess {
  readonly service: string;
  /** Time for which its entry states that it stays cold, ms; Infinity if that is unreadable. */
  readonly coldMs?: number;
}

/** A cold server, as entry VMs tell it each other. */
export interface SharedCold {
  readonly serverId: string;
  readonly bornMs: number;
  /** Time for which it stays cold, ms. */
  readonly forMs: number;
}

/** A cold server with its limit in requests per second. */
export interface ColdServer extends SharedCold {
  readonly requestsPerS: number;
}

/** Possible difference of the clocks of a server and an entry VM, ms. */
const CLOCK_MARGIN_MS = 500;
/** Time after an evacuation in which an entry that states a cold server arrives, ms. */
const PRESUMED_MS = 3_000;
/**
 * Time for which the steward limits a server after it is no longer cold, ms. VMs that still count it
 * as cold get permits until then. It covers the delay with which they learn the end of an evacuation.
 */
export const LINGER_MS = 2_000;
/**
 * Requests that reach a server in a second at most: a multiple of the rate for which permits are
 * issued, and a number of requests. Permits of the 0.25 s before are used in it, reports and orders
 * have rates of their own, and VMs that lose the steward use their reserve. Measured in
 * test/properties/throttling/cold-servers.test.ts.
 */
const MAX_IN_SECOND = { factor: 2.1, extra: 5 } as const;
/** Lowest rate of permits, requests per second: only a request shows that a server is warm. */
const MIN_PER_S = 0.1;

/**
 * Time for which a server that has become cold gets nothing, ms: the bound holds for any second, and
 * a burst may have reached the server just before.
 */
export const COLD_WITHHELD_MS = 1_000;
/** Time for which a server with an unreadable statement counts as cold, ms. */
const UNREADABLE_MS = 10_000;

interface ColdRecord {
  readonly bornMs: number;
  readonly perS: number;
  /** The entry that was applied last. */
  readonly entry: ListedColdServer;
  /** Ends of the times for which each source counts the server as cold, ms. */
  readonly startedUntilMs: number;
  readonly statedUntilMs: number;
  readonly presumedUntilMs: number;
  readonly toldUntilMs: number;
  /** Since when the server is cold without a pause. */
  readonly sinceMs: number;
}

function untilMs(record: ColdRecord): number {
  const { startedUntilMs, statedUntilMs, presumedUntilMs, toldUntilMs } = record;
  return Math.max(startedUntilMs, statedUntilMs, presumedUntilMs, toldUntilMs);
}

export class ColdServers {
  private readonly records = new Map<string, ColdRecord>();

  /** What other VMs have told, also of servers that are not listed yet, by server. */
  private readonly told = new Map<string, { readonly bornMs: number; readonly untilMs: number }>();

  /** End of the last time for which a server is known to be cold, ms. */
  private lastEndMs = -Infinity;

  constructor(private readonly bounds: ColdBounds) {}

  /** Whether any server is cold, or was lately. */
  isAnyKnown(nowMs: number): boolean {
    return nowMs < this.lastEndMs + LINGER_MS;
  }

  /**
   * Applies the list of servers.
   * @param unixMs Current Unix time, for the start times of the servers.
   * @returns The servers that are cold by their entries and were not before.
   */
  noteServers(
    nowMs: number,
    unixMs: number,
    servers: readonly ListedColdServer[],
    termsOf: (service: string) => ColdTerms | null,
  ): readonly SharedCold[] {
    const listed = new Set(servers.map(({ id }) => id));
    [...this.records.keys()].filter((id) => !listed.has(id)).forEach((id) => this.forget(id));
    this.told.forEach(({ untilMs: endMs }, id) => {
      if (nowMs >= endMs) this.told.delete(id);
    });
    return servers.flatMap((server) => {
      const terms = termsOf(server.service);
      if (terms === null) {
        this.forget(server.id);
        return [];
      }
      const before = this.of(server);
      const ageMs = Math.max(0, unixMs - server.bornMs);
      const startedUntilMs =
        before?.startedUntilMs ?? nowMs + terms.startMs + CLOCK_MARGIN_MS - ageMs;
      const { id, coldMs: entryMs = 0 } = server;
      const coldMs = Number.isFinite(entryMs) ? entryMs : UNREADABLE_MS;
      const isNewEntry = before?.entry !== server;
      const statedUntilMs = isNewEntry ? nowMs + coldMs : before.statedUntilMs;
      this.set(nowMs, id, {
        ...this.base(server),
        perS: terms.perS,
        startedUntilMs,
        statedUntilMs,
      });
      const isNew = coldMs > 0 && isNewEntry && (before?.statedUntilMs ?? -Infinity) <= nowMs;
      return isNew ? [{ serverId: id, bornMs: server.bornMs, forMs: coldMs }] : [];
    });
  }

  /**
   * Counts servers as cold until their entries can state whether they are.
   * @returns Those that have limits when they are cold.
   */
  presume(nowMs: number, servers: readonly ListedColdServer[]): readonly SharedCold[] {
    return servers.flatMap((server) => {
      const before = this.of(server);
      if (before === undefined) return [];
      const { id, bornMs } = server;
      this.set(nowMs, id, { ...before, presumedUntilMs: nowMs + PRESUMED_MS });
      return [{ serverId: id, bornMs, forMs: PRESUMED_MS }];
    });
  }

  /**
   * Adds what another entry VM tells.
   * @param isFinal Whether it replaces what was told before, as the word of the steward does.
   */
  merge(nowMs: number, { serverId, bornMs, forMs }: SharedCold, isFinal: boolean): void {
    const known = this.told.get(serverId);
    if (known !== undefined && known.bornMs > bornMs) return;
    const isLater = isFinal || known?.bornMs !== bornMs || nowMs + forMs > known.untilMs;
    if (!isLater) return;
    const toldUntilMs = nowMs + forMs;
    this.told.set(serverId, { bornMs, untilMs: toldUntilMs });
    const record = this.of({ id: serverId, bornMs });
    if (record !== undefined) this.set(nowMs, serverId, { ...record, toldUntilMs });
  }

  /**
   * The rate for which permits are issued, requests per second; null if the server is not cold.
   * @param lingerMs Time for which the rate stays in force after the server is no longer cold.
   */
  requestsPerS(nowMs: number, { id, bornMs }: ServerProcess, lingerMs = 0): number | null {
    const record = this.records.get(id);
    if (record === undefined || record.bornMs < bornMs) return null;
    if (nowMs >= untilMs(record) + lingerMs) return null;
    const { overage, slack } = this.bounds;
    const { factor, extra } = MAX_IN_SECOND;
    const { perS } = record;
    return Math.max(MIN_PER_S, Math.min(perS, (perS * overage + slack - extra) / factor));
  }

  /** Since when a server is cold that was warm before; -Infinity for one that has just started. */
  sinceMs(id: string): number {
    return this.records.get(id)?.sinceMs ?? -Infinity;
  }

  /** The cold servers, with those that were cold in the last `lingerMs`. */
  all(nowMs: number, lingerMs = 0): readonly ColdServer[] {
    return [...this.records].flatMap(([serverId, record]) => {
      const requestsPerS = this.requestsPerS(
        nowMs,
        { id: serverId, bornMs: record.bornMs },
        lingerMs,
      );
      if (requestsPerS === null) return [];
      const forMs = Math.max(0, untilMs(record) - nowMs);
      return [{ serverId, bornMs: record.bornMs, forMs, requestsPerS }];
    });
  }

  private of({ id, bornMs }: ServerProcess): ColdRecord | undefined {
    const record = this.records.get(id);
    return record?.bornMs === bornMs ? record : undefined;
  }

  /** The record of a server process, or an empty one. */
  private base(server: ListedColdServer): ColdRecord {
    const never = { startedUntilMs: -Infinity, statedUntilMs: -Infinity, sinceMs: -Infinity };
    const { bornMs } = server;
    const told = this.told.get(server.id);
    const toldUntilMs = told?.bornMs === bornMs ? told.untilMs : -Infinity;
    const empty = { ...never, presumedUntilMs: -Infinity, toldUntilMs, bornMs, perS: 0 };
    return { ...(this.of(server) ?? empty), entry: server };
  }

  private set(nowMs: number, id: string, record: ColdRecord): void {
    const before = this.records.get(id);
    const wasCold = before?.bornMs === record.bornMs && nowMs < untilMs(before);
    const isCold = nowMs < untilMs(record);
    // A process that has just started has got no burst before.
    const hasStarted = before?.bornMs !== record.bornMs && nowMs < record.startedUntilMs;
    const sinceMs = isCold && !wasCold && !hasStarted ? nowMs : record.sinceMs;
    this.records.set(id, { ...record, sinceMs });
    this.lastEndMs = Math.max(this.lastEndMs, untilMs(record));
  }

  private forget(id: string): void {
    this.records.delete(id);
  }
}
