/**
 * The list of backend servers, built from their entries in the platform store.
 *
 * An unreadable entry, or one older than an entry seen before, is ignored. Servers whose entries
 * expired while the store was unreachable are retained for a grace period, in which they can
 * register again.
 */
import type { BackendServer } from '../fleet-plan/index.js';

/** Grace period after an outage: servers with expired entries register again in about 2 s. */
const REREGISTRATION_MS = 2_300;

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

  /** Servers retained without an entry since an outage. The set is replaced when it changes. */
  private missingIds: ReadonlySet<string> = new Set();

  private graceUntilMs = -Infinity;

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

  /** Starts the grace period after the store was unreachable. */
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
    }
    this.rebuildView();
    return before !== this.view;
  }

  /**
   * Replaces the list with the steward's list.
   * @param missing Servers that the steward retains without an entry. They are not added here,
   * because this VM may have seen their removal.
   * @returns True if the list has changed.
   */
  applyStewardList(servers: readonly BackendServer[], missing: ReadonlySet<string>): boolean {
    const before = this.view;
    const listed = new Set(servers.map(({ id }) => id));
    [...this.known.keys()].filter((id) => !listed.has(id)).forEach((id) => this.known.delete(id));
    this.missingIds = new Set();
    servers
      .filter(({ id }) => !missing.has(id))
      .forEach((server) => this.applyStewardServer(server));
    this.rebuildView();
    return before !== this.view;
  }

  /** Whether the server comes from the steward's list, which does not contain its models. */
  isFromSteward(id: string): boolean {
    return this.known.get(id)?.fromSteward === true;
  }

  /** Removes missing servers after the grace period. Returns true if the list has changed. */
  expireMissing(nowMs: number): boolean {
    if (this.missingIds.size === 0 || nowMs < this.graceUntilMs) return false;
    this.missingIds.forEach((id) => this.known.delete(id));
    this.missingIds = new Set();
    this.rebuildView();
    return true;
  }

  private applyEntry(nowMs: number, { id, revision, server, deleted }: ListedEntry): void {
    if (this.isOutdated(id, revision)) return;
    this.newestRevision.set(id, revision);
    if (deleted) {
      this.remove(nowMs, id);
      return;
    }
    if (server === null || server.bornMs < (this.newestBornMs.get(id) ?? 0)) return;
    const old = this.known.get(id)?.server;
    const isOutdated =
      old !== undefined && old.bornMs === server.bornMs && server.orderCount < old.orderCount;
    this.setMissing(id, false);
    if (isOutdated) return;
    this.newestBornMs.set(id, server.bornMs);
    this.known.set(id, { server, fromSteward: false });
  }

  private applyStewardServer(server: BackendServer): void {
    const { id, bornMs } = server;
    if (bornMs < (this.newestBornMs.get(id) ?? 0)) return;
    this.newestBornMs.set(id, bornMs);
    const old = this.known.get(id)?.server;
    const same =
      old !== undefined &&
      old.bornMs === bornMs &&
      old.address === server.address &&
      old.service === server.service &&
      old.leaving === server.leaving &&
      old.slots === server.slots;
    this.known.set(id, { server: same ? old : server, fromSteward: true });
  }

  private remove(nowMs: number, id: string): void {
    if (!this.known.has(id)) return;
    if (nowMs < this.graceUntilMs) this.setMissing(id, true);
    else this.known.delete(id);
  }

  private setMissing(id: string, isMissing: boolean): void {
    if (this.missingIds.has(id) === isMissing) return;
    const others = [...this.missingIds].filter((other) => other !== id);
    this.missingIds = new Set(isMissing ? [...others, id] : others);
  }

  private rebuildView(): void {
    const next = new Map([...this.known].map(([id, { server }]) => [id, server]));
    const same =
      next.size === this.view.size &&
      [...next].every(([id, server]) => this.view.get(id) === server);
    if (!same) this.view = next;
  }
}
