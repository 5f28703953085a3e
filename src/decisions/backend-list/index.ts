/**
 * The list of backend servers, built from their entries in the platform store.
 *
 * An unreadable entry, or one older than an entry seen before, is ignored. Servers whose entries
 * expired while the store was unreachable are retained for a grace period, in which they can
 * register again. When the store returns from a copy, its entries may be older than this list: a
 * server that has left, or that is leaving, stays so until the server registers again.
 */
import type { BackendServer } from '../fleet-plan/index.js';
import * as storeVersions from '../store-versions/index.js';

/** Grace period after an outage: servers with expired entries register again in about 2 s. */
const REREGISTRATION_MS = 2_300;
/**
 * Time after the store has returned from a copy in which it may list servers that have left. Their
 * entries expire after three heartbeats.
 */
const COPY_SETTLES_MS = 5_000;

/** One entry of the list or of a change feed. */
export interface ListedEntry {
  readonly id: string;
  readonly revision: number;
  /** Null if the entry was removed or is unreadable. */
  readonly server: BackendServer | null;
  readonly deleted: boolean;
}

interface KnownServer {
  readonly server: BackendServer;
  /**
   * Whether the entry comes from the steward's list, which does not contain the server's models.
   */
  readonly fromSteward: boolean;
}

export class BackendList {
  private readonly known = new Map<string, KnownServer>();

  private readonly newestRevision = new Map<string, number>();

  private readonly newestBornMs = new Map<string, number>();

  /** Start times of the server processes that stated in a response that they are draining, by id. */
  private readonly statedLeaving = new Map<string, number>();

  /** Ends of the times for which servers without an entry are retained after an outage, ms, by id. */
  private readonly retainedUntilMs = new Map<string, number>();

  /** The ids of these servers; replaced when they change. */
  private missingIds: ReadonlySet<string> = new Set();

  private graceUntilMs = -Infinity;

  /** Era of the store; null before the first answer. */
  private era: number | null = null;

  /** Version of the store when it was first seen after it had returned from a copy. */
  private copyVersion = -1;

  private copySettledAtMs = -Infinity;

  /** Servers that the store's copy lists although they have left. */
  private readonly heldBack = new Map<string, KnownServer>();

  /** The published list; replaced when it changes. */
  private view: ReadonlyMap<string, BackendServer> = new Map();

  get servers(): ReadonlyMap<string, BackendServer> {
    return this.view;
  }

  /** Servers without an entry that are retained during the grace period. */
  get missing(): ReadonlySet<string> {
    return this.missingIds;
  }

  /** Whether a newer entry of the server has been seen. */
  isOutdated(id: string, revision: number): boolean {
    return revision < (this.newestRevision.get(id) ?? 0);
  }

  /** Records the store version of an answer that is applied next. */
  noteStoreVersion(nowMs: number, version: number): void {
    const era = storeVersions.eraOf(version);
    if (this.era !== null && era > this.era) {
      this.copyVersion = version;
      this.copySettledAtMs = nowMs + COPY_SETTLES_MS;
      this.startGracePeriod(nowMs);
    }
    this.era = Math.max(this.era ?? 0, era);
  }

  /** Starts the grace period after neither this VM nor its steward could reach the store. */
  startGracePeriod(nowMs: number): void {
    this.graceUntilMs = nowMs + REREGISTRATION_MS;
  }

  /**
   * Applies entries of the platform store.
   * @param isComplete Whether `entries` is the complete list. If so, servers that are not in it are
   * removed or, during the grace period, retained as missing.
   * @returns True if the list has changed.
   */
  applyEntries(nowMs: number, entries: readonly ListedEntry[], isComplete: boolean): boolean {
    const before = this.view;
    entries.forEach((entry) => this.applyEntry(nowMs, entry));
    if (isComplete) {
      const listed = new Set(entries.map(({ id }) => id));
      [...this.known.keys()]
        .filter((id) => !listed.has(id))
        .forEach((id) => this.remove(nowMs, id));
      this.retainHeldBack(listed);
    }
    this.rebuildView();
    return before !== this.view;
  }

  /**
   * Replaces the list with the steward's list.
   * @param missing Servers that the steward retains without an entry. They are not added here,
   * because this VM may have seen their removal. Those that are listed here are removed unless this
   * VM is in a grace period of its own: the steward alone was cut off then, and the store was not down.
   * @returns True if the list has changed.
   */
  applyStewardList(
    nowMs: number,
    servers: readonly BackendServer[],
    missing: ReadonlySet<string>,
  ): boolean {
    const before = this.view;
    const listed = new Set(servers.map(({ id }) => id));
    [...this.known.keys()].filter((id) => !listed.has(id)).forEach((id) => this.forget(id));
    this.retainHeldBack(listed);
    missing.forEach((id) => this.remove(nowMs, id));
    servers
      .filter(({ id }) => !missing.has(id))
      .forEach((server) => this.applyStewardServer(server, nowMs < this.copySettledAtMs));
    this.rebuildView();
    return before !== this.view;
  }

  /** Whether the server comes from the steward's list, which does not contain its models. */
  isFromSteward(id: string): boolean {
    return this.known.get(id)?.fromSteward === true;
  }

  /**
   * Records that a server process stated in a response that it is draining, which its entry may
   * tell later or never.
   * @returns True if the list has changed.
   */
  noteLeaving({ id, bornMs }: BackendServer): boolean {
    this.statedLeaving.set(id, bornMs);
    const entry = this.known.get(id);
    if (entry === undefined || entry.server.leaving || entry.server.bornMs !== bornMs) return false;
    this.known.set(id, { ...entry, server: { ...entry.server, leaving: true } });
    this.rebuildView();
    return true;
  }

  private withStatement(server: BackendServer): BackendServer {
    const isLeaving = this.statedLeaving.get(server.id) === server.bornMs;
    return isLeaving && !server.leaving ? { ...server, leaving: true } : server;
  }

  /**
   * Removes missing servers after the grace period, and lists those that were held back once their
   * entries must have expired if they had left. Returns true if the list has changed.
   */
  expire(nowMs: number): boolean {
    const before = this.view;
    this.retainedUntilMs.forEach((untilMs, id) => {
      if (nowMs >= untilMs) this.forget(id);
    });
    if (nowMs >= this.copySettledAtMs) {
      this.heldBack.forEach((held, id) => this.known.set(id, held));
      this.heldBack.clear();
    }
    this.rebuildView();
    return before !== this.view;
  }

  private retainHeldBack(listed: ReadonlySet<string>): void {
    [...this.heldBack.keys()]
      .filter((id) => !listed.has(id))
      .forEach((id) => this.heldBack.delete(id));
  }

  /**
   * Combines an entry of the store's copy with what is known of its server.
   * @returns The server as it is to be listed; null if it has left and is held back.
   */
  private mergeCopied(entry: KnownServer): BackendServer | null {
    const { server } = entry;
    const old = this.known.get(server.id)?.server;
    const isKnownProcess = this.newestBornMs.get(server.id) === server.bornMs;
    if (isKnownProcess && old === undefined) {
      this.heldBack.set(server.id, entry);
      return null;
    }
    return isKnownProcess && old?.leaving === true ? { ...server, leaving: true } : server;
  }

  private applyEntry(nowMs: number, { id, revision, server: stored, deleted }: ListedEntry): void {
    if (this.isOutdated(id, revision)) return;
    this.newestRevision.set(id, revision);
    this.heldBack.delete(id);
    if (deleted) {
      this.remove(nowMs, id);
      return;
    }
    const server = stored === null ? null : this.withStatement(stored);
    if (server === null || server.bornMs < (this.newestBornMs.get(id) ?? 0)) return;
    const old = this.known.get(id)?.server;
    const isOutdated =
      old !== undefined && old.bornMs === server.bornMs && server.orderCount < old.orderCount;
    this.retainedUntilMs.delete(id);
    if (isOutdated) return;
    const isCopied = nowMs < this.copySettledAtMs && revision <= this.copyVersion;
    const entry = { server, fromSteward: false };
    const merged = isCopied ? this.mergeCopied(entry) : server;
    this.newestBornMs.set(id, server.bornMs);
    if (merged !== null) this.known.set(id, { ...entry, server: merged });
  }

  /** @param mayBeCopied Whether the steward may know the server from the store's copy only. */
  private applyStewardServer(sent: BackendServer, mayBeCopied: boolean): void {
    const listed = this.withStatement(sent);
    const { id, bornMs } = listed;
    if (bornMs < (this.newestBornMs.get(id) ?? 0)) return;
    const entry = { server: listed, fromSteward: true };
    const server = mayBeCopied ? this.mergeCopied(entry) : listed;
    this.newestBornMs.set(id, bornMs);
    this.retainedUntilMs.delete(id);
    if (server === null) return;
    const old = this.known.get(id)?.server;
    const same =
      old !== undefined &&
      old.bornMs === bornMs &&
      old.address === server.address &&
      old.service === server.service &&
      old.version === server.version &&
      old.leaving === server.leaving &&
      old.slots === server.slots;
    this.known.set(id, { server: same ? old : server, fromSteward: true });
  }

  /** Removes a server without an entry, or retains it until the end of the grace period. */
  private remove(nowMs: number, id: string): void {
    if (!this.known.has(id) || this.retainedUntilMs.has(id)) return;
    if (nowMs < this.graceUntilMs) this.retainedUntilMs.set(id, this.graceUntilMs);
    else this.forget(id);
  }

  private forget(id: string): void {
    this.known.delete(id);
    this.retainedUntilMs.delete(id);
  }

  private rebuildView(): void {
    const next = new Map([...this.known].map(([id, { server }]) => [id, server]));
    const same =
      next.size === this.view.size &&
      [...next].every(([id, server]) => this.view.get(id) === server);
    if (!same) this.view = next;
    const missing = new Set(this.retainedUntilMs.keys());
    const areSame =
      missing.size === this.missingIds.size && [...missing].every((id) => this.missingIds.has(id));
    if (!areSame) this.missingIds = missing;
  }
}
