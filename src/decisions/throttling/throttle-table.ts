/** Records the request limits that backend servers name in their responses. */
import type { ServerProcess, Throttle } from './types.js';

/** Time for which a withdrawn limit stays in force, ms: responses may overtake each other. */
const HOLD_DOWN_MS = 1_000;
/** Time after its last observation for which the limit of an unlisted server is kept, ms. */
const RETENTION_MS = 60_000;

interface ThrottleRecord {
  readonly bornMs: number;
  /** Null if the limit is withdrawn. */
  readonly requestsPerS: number | null;
  /** Limit that stays in force until `heldUntilMs`. */
  readonly heldPerS: number;
  readonly heldUntilMs: number;
  /** When the response that named or withdrew the limit arrived at an entry VM. */
  readonly observedAtMs: number;
  /** When this entry VM learned it. */
  readonly learnedAtMs: number;
  /** Since when the server has named a limit without a withdrawal. */
  readonly namedSinceMs: number;
}

/** Result of adding a limit that another entry VM observed. */
export const MergeResult = {
  changed: 'changed',
  unchanged: 'unchanged',
  /** This entry VM has a newer observation with another limit. */
  outdated: 'outdated',
} as const;
export type MergeResult = (typeof MergeResult)[keyof typeof MergeResult];

export class ThrottleTable {
  private readonly records = new Map<string, ThrottleRecord>();

  /**
   * Records a response.
   * @param requestsPerS The limit that it names; null for none.
   * @param sentAtMs When its request was sent. A response without a limit withdraws only limits
   * that were known by then.
   * @returns Whether the server's limit changed.
   */
  observe(
    nowMs: number,
    server: ServerProcess,
    requestsPerS: number | null,
    sentAtMs: number,
  ): boolean {
    const before = this.records.get(server.id);
    const isOlder = before !== undefined && before.bornMs > server.bornMs;
    const current = before?.bornMs === server.bornMs ? before : undefined;
    if (isOlder) return false;
    if (requestsPerS === null) {
      const isKnown = current !== undefined && current.requestsPerS !== null;
      if (!isKnown || sentAtMs < current.learnedAtMs) return false;
    }
    this.set(nowMs, server, requestsPerS, nowMs);
    return requestsPerS !== (current?.requestsPerS ?? null);
  }

  /** Adds a limit that another entry VM observed. */
  merge(nowMs: number, { serverId, bornMs, requestsPerS, ageMs }: Throttle): MergeResult {
    const observedAtMs = nowMs - ageMs;
    const before = this.records.get(serverId);
    const isSame = before?.bornMs === bornMs && before.requestsPerS === requestsPerS;
    if (isSame) return MergeResult.unchanged;
    if (before !== undefined && before.bornMs > bornMs) return MergeResult.unchanged;
    if (before?.bornMs === bornMs && before.observedAtMs > observedAtMs) {
      return MergeResult.outdated;
    }
    this.set(nowMs, { id: serverId, bornMs }, requestsPerS, observedAtMs);
    return MergeResult.changed;
  }

  /** The limit that is in force for a server, requests per second; null for none. */
  requestsPerS(nowMs: number, { id, bornMs }: ServerProcess): number | null {
    const record = this.records.get(id);
    if (record === undefined || record.bornMs < bornMs) return null;
    if (record.requestsPerS !== null) return record.requestsPerS;
    return nowMs < record.heldUntilMs ? record.heldPerS : null;
  }

  /** Whether this process of a server, or a later one, is known to have named or withdrawn a limit. */
  isKnown({ id, bornMs }: ServerProcess): boolean {
    return (this.records.get(id)?.bornMs ?? -Infinity) >= bornMs;
  }

  /** Whether a limit of the server is in force, in whichever process. */
  namesLimit(nowMs: number, id: string): boolean {
    return this.requestsPerS(nowMs, { id, bornMs: -Infinity }) !== null;
  }

  /** Since when a server has named a limit, on this entry VM's clock; -Infinity for none. */
  namedSinceMs(serverId: string): number {
    return this.records.get(serverId)?.namedSinceMs ?? -Infinity;
  }

  /** Number of servers that have named a limit. */
  get size(): number {
    return this.records.size;
  }

  /** All limits, including withdrawn ones. */
  all(nowMs: number): readonly Throttle[] {
    return [...this.records].map(([serverId, { bornMs, requestsPerS, observedAtMs }]) => ({
      serverId,
      bornMs,
      requestsPerS,
      ageMs: Math.max(0, nowMs - observedAtMs),
    }));
  }

  /** Forgets servers that are not listed, unless their entries may only have lapsed for a while. */
  retain(nowMs: number, listed: ReadonlyMap<string, unknown>): void {
    [...this.records]
      .filter(([id, { observedAtMs }]) => !listed.has(id) && nowMs - observedAtMs > RETENTION_MS)
      .forEach(([id]) => this.records.delete(id));
  }

  private set(
    nowMs: number,
    { id, bornMs }: ServerProcess,
    requestsPerS: number | null,
    observedAtMs: number,
  ): void {
    const before = this.records.get(id);
    const known = before?.bornMs === bornMs ? before : undefined;
    const namedPerS = known?.requestsPerS ?? null;
    const isWithdrawn = requestsPerS === null && namedPerS !== null;
    this.records.set(id, {
      bornMs,
      requestsPerS,
      heldPerS: namedPerS ?? known?.heldPerS ?? 0,
      heldUntilMs: isWithdrawn ? nowMs + HOLD_DOWN_MS : (known?.heldUntilMs ?? -Infinity),
      observedAtMs,
      learnedAtMs: nowMs,
      namedSinceMs: known !== undefined && namedPerS !== null ? known.namedSinceMs : nowMs,
    });
  }
}
