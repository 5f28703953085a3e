/**
 * Issues the slots of brittle servers to the entry VMs, one for each request in flight.
 *
 * The steward issues the slots of all entry VMs, so that the sum over the fleet keeps the room of a
 * server, whatever the VMs know of it. A request that a server turns away shows that its room is
 * smaller than its number of slots; the bound falls, and rises slowly afterwards.
 */
import { pauseAfterRejectionMs } from './pause.js';

/** Fraction of a server's slots that is issued; new connections may hold slots as well. */
const MAX_UTILISATION = 0.9;
/** Factor of the bound after a request was turned away. */
const DECREASE_FACTOR = 0.9;
/** Part of a server's slots by which a lowered bound rises in a second. */
const INCREASE_PER_S = 0.025;
/** Time after which the outcome of a request on a new slot counts as known, ms. */
const DOUBT_MS = 200;
/** Span over which the requests that a server turns away are counted, ms. */
const REJECTION_SPAN_MS = 1_000;
/** Time without a slot after which a probe gets one, ms. */
const PROBE_INTERVAL_MS = 2_000;
/** Time in which entry VMs tell a new steward the slots that they hold, ms. */
const NEW_TERM_MS = 1_500;
/** The same for the slots of a server that has become brittle, ms. */
const NEW_SERVER_MS = 300;
/** Time for which the slots of a lost entry VM stay in use, ms: its requests may still run. */
const LOST_VM_MS = 2_000;
const MS_PER_S = 1000;

export interface BrittleServer {
  readonly slots: number;
  /** Requests that the server may turn away in a second. */
  readonly rejectionsPerS: number;
}

/** Waiting requests that any of some servers could run. */
export interface SlotNeed {
  /** By server, the penalty of its choice in units of utilisation. */
  readonly servers: ReadonlyMap<string, number>;
  readonly needed: number;
}

export interface SlotGrant {
  readonly vm: string;
  readonly serverId: string;
}

interface ServerRecord {
  slots: number;
  rejectionsPerS: number;
  /** Slots that may be in use. */
  bound: number;
  boundAtMs: number;
  /** Slots issued and not returned, by entry VM. */
  readonly leased: Map<string, number>;
  /** Slots of lost entry VMs. */
  lost: readonly { readonly count: number; readonly untilMs: number }[];
  /** Times of the newest slots. */
  issuedAtMs: readonly number[];
  /** Time of the last slot. */
  lastIssuedAtMs: number;
  rejectedAtMs: readonly number[];
  withheldUntilMs: number;
}

interface WaitingVm {
  needs: readonly SlotNeed[];
  readonly untilMs: number;
}

function maxBound(slots: number): number {
  return Math.max(1, Math.floor(slots * MAX_UTILISATION));
}

export class SlotIssuer {
  private readonly servers = new Map<string, ServerRecord>();

  /** Entry VMs that wait for slots; the first one is next. */
  private waiting = new Map<string, WaitingVm>();

  /** Number of slots issued to each entry VM since it connected. */
  private readonly issuedTotals = new Map<string, number>();

  private readonly newTermUntilMs: number;

  constructor(nowMs: number) {
    this.newTermUntilMs = nowMs + NEW_TERM_MS;
  }

  /** Replaces the brittle servers. */
  setServers(nowMs: number, brittle: ReadonlyMap<string, BrittleServer>): void {
    [...this.servers.keys()]
      .filter((id) => !brittle.has(id))
      .forEach((id) => this.servers.delete(id));
    brittle.forEach(({ slots, rejectionsPerS }, id) => {
      const record = this.servers.get(id) ?? this.createRecord(nowMs, slots);
      record.slots = slots;
      record.rejectionsPerS = rejectionsPerS;
      this.servers.set(id, record);
    });
  }

  /** Sets the slots that an entry VM holds of a server, when it connects or learns of the server. */
  hold(vm: string, serverId: string, slots: number): void {
    const record = this.servers.get(serverId);
    if (record === undefined) return;
    if (slots > 0) record.leased.set(vm, slots);
    else record.leased.delete(vm);
  }

  /**
   * Replaces the needs of an entry VM.
   * @param received Number of slots that the VM had received since it connected.
   * @param validMs Time after which the needs expire unless they are repeated.
   */
  request(
    nowMs: number,
    vm: string,
    needs: readonly SlotNeed[],
    received: number,
    validMs: number,
  ): void {
    // Slots that are on their way serve the first needs.
    let underWay = Math.max(0, (this.issuedTotals.get(vm) ?? 0) - received);
    const left = needs.map(({ servers, needed }) => {
      const served = Math.min(underWay, needed);
      underWay -= served;
      return { servers, needed: needed - served };
    });
    this.waiting.set(vm, { needs: left, untilMs: nowMs + validMs });
  }

  /** Takes back slots that an entry VM no longer uses. */
  release(vm: string, serverId: string, slots: number): void {
    const record = this.servers.get(serverId);
    const left = (record?.leased.get(vm) ?? 0) - slots;
    if (left > 0) record?.leased.set(vm, left);
    else record?.leased.delete(vm);
  }

  /**
   * Records that a server turned a request away for want of room, with its slot.
   * @returns Time for which no entry VM may send the server a request, ms; null if it is not brittle.
   */
  noteTurnedAway(nowMs: number, vm: string, serverId: string): number | null {
    const record = this.servers.get(serverId);
    if (record === undefined) return null;
    const inUse = SlotIssuer.inUse(nowMs, record);
    this.release(vm, serverId, 1);
    record.bound = Math.max(
      1,
      DECREASE_FACTOR * Math.min(SlotIssuer.boundAt(nowMs, record), inUse - 1),
    );
    record.boundAtMs = nowMs;
    record.rejectedAtMs = [...record.rejectedAtMs, nowMs];
    const pauseMs = pauseAfterRejectionMs(record.rejectionsPerS);
    record.withheldUntilMs = Math.max(record.withheldUntilMs, nowMs + pauseMs);
    return pauseMs;
  }

  /** Forgets an entry VM that is lost; its slots stay in use for a while. */
  removeVm(nowMs: number, vm: string): void {
    this.waiting.delete(vm);
    this.issuedTotals.delete(vm);
    this.servers.forEach((record) => {
      const count = record.leased.get(vm) ?? 0;
      record.leased.delete(vm);
      if (count === 0) return;
      Object.assign(record, { lost: [...record.lost, { count, untilMs: nowMs + LOST_VM_MS }] });
    });
  }

  /** Issues the slots that are free now to the entry VMs in turn. */
  issue(nowMs: number): readonly SlotGrant[] {
    this.dropExpired(nowMs);
    const grants: SlotGrant[] = [];
    const open = this.openServers(nowMs);
    let isDone = this.waiting.size === 0;
    while (!isDone && open.size > 0) {
      const round = [...this.waiting.keys()].flatMap((vm) => this.issueTo(nowMs, vm, open) ?? []);
      grants.push(...round);
      isDone = round.length === 0;
    }
    return grants;
  }

  /**
   * Issues a slot for a request that could run elsewhere, and whose response shows whether the server
   * is still brittle; null if other requests show it.
   */
  issueProbe(nowMs: number, vm: string, serverId: string): SlotGrant | null {
    this.dropExpired(nowMs);
    const record = this.servers.get(serverId);
    if (record === undefined || nowMs - record.lastIssuedAtMs < PROBE_INTERVAL_MS) return null;
    if (!SlotIssuer.mayIssue(nowMs, record)) return null;
    this.lease(nowMs, vm, serverId);
    return { vm, serverId };
  }

  /** Issues one slot to an entry VM, which is then the last one; null if none is free. */
  private issueTo(nowMs: number, vm: string, open: Map<string, number>): SlotGrant | null {
    const waiting = this.waiting.get(vm);
    if (waiting === undefined) return null;
    for (let at = 0; at < waiting.needs.length; at += 1) {
      const need = waiting.needs[at] as SlotNeed;
      const serverId = need.needed > 0 ? SlotIssuer.chooseServer(need, open) : null;
      if (serverId !== null) {
        const needs = waiting.needs.with(at, { ...need, needed: need.needed - 1 });
        this.waiting.delete(vm);
        this.waiting.set(vm, { ...waiting, needs });
        this.lease(nowMs, vm, serverId);
        this.updateOpen(nowMs, open, serverId);
        return { vm, serverId };
      }
    }
    return null;
  }

  /** The servers of which a slot may be issued, each with its utilisation. */
  private openServers(nowMs: number): Map<string, number> {
    const open = new Map<string, number>();
    this.servers.forEach((_, id) => this.updateOpen(nowMs, open, id));
    return open;
  }

  private updateOpen(nowMs: number, open: Map<string, number>, serverId: string): void {
    const record = this.servers.get(serverId);
    if (record === undefined || !SlotIssuer.mayIssue(nowMs, record)) open.delete(serverId);
    else open.set(serverId, (SlotIssuer.inUse(nowMs, record) + 1) / record.slots);
  }

  /** The server that has the lowest utilisation and penalty; null for none. */
  private static chooseServer(
    { servers }: SlotNeed,
    open: ReadonlyMap<string, number>,
  ): string | null {
    const scored = [...servers].flatMap(([id, penalty]) => {
      const utilisation = open.get(id);
      return utilisation === undefined ? [] : [{ id, score: utilisation + penalty }];
    });
    return (
      scored.reduce<(typeof scored)[number] | null>(
        (best, next) => (best === null || next.score < best.score ? next : best),
        null,
      )?.id ?? null
    );
  }

  private lease(nowMs: number, vm: string, serverId: string): void {
    const record = this.servers.get(serverId);
    if (record === undefined) return;
    record.leased.set(vm, (record.leased.get(vm) ?? 0) + 1);
    record.issuedAtMs = [...record.issuedAtMs, nowMs];
    record.lastIssuedAtMs = nowMs;
    this.issuedTotals.set(vm, (this.issuedTotals.get(vm) ?? 0) + 1);
  }

  private dropExpired(nowMs: number): void {
    [...this.waiting]
      .filter(([, { untilMs }]) => untilMs <= nowMs)
      .forEach(([vm]) => this.waiting.delete(vm));
    this.servers.forEach((record) => {
      Object.assign(record, {
        lost: record.lost.filter(({ untilMs }) => untilMs > nowMs),
        issuedAtMs: record.issuedAtMs.filter((atMs) => nowMs - atMs < DOUBT_MS),
        rejectedAtMs: record.rejectedAtMs.filter((atMs) => nowMs - atMs < REJECTION_SPAN_MS),
      });
    });
  }

  private static inUse(nowMs: number, { leased, lost }: ServerRecord): number {
    const ofLost = lost.filter(({ untilMs }) => untilMs > nowMs);
    const counts = [...leased.values(), ...ofLost.map(({ count }) => count)];
    return counts.reduce((sum, count) => sum + count, 0);
  }

  private static boundAt(nowMs: number, { bound, boundAtMs, slots }: ServerRecord): number {
    const risen = ((nowMs - boundAtMs) / MS_PER_S) * slots * INCREASE_PER_S;
    return Math.min(maxBound(slots), bound + risen);
  }

  /** Whether a slot may be issued: there is room, and as many as are in doubt may be turned away. */
  private static mayIssue(nowMs: number, record: ServerRecord): boolean {
    if (nowMs < record.withheldUntilMs) return false;
    const inDoubt = record.issuedAtMs.length + record.rejectedAtMs.length;
    if (inDoubt >= Math.max(1, Math.floor(record.rejectionsPerS))) return false;
    return SlotIssuer.inUse(nowMs, record) < Math.floor(SlotIssuer.boundAt(nowMs, record));
  }

  private createRecord(nowMs: number, slots: number): ServerRecord {
    return {
      slots,
      rejectionsPerS: 1,
      bound: maxBound(slots),
      boundAtMs: nowMs,
      leased: new Map(),
      lost: [],
      issuedAtMs: [],
      lastIssuedAtMs: nowMs,
      rejectedAtMs: [],
      withheldUntilMs: Math.max(this.newTermUntilMs, nowMs + NEW_SERVER_MS),
    };
  }
}
