/**
 * Holds this entry VM's slots of brittle servers. Each request in flight to such a server uses one,
 * and the next request may use it again. Slots that stay unused are returned to the steward.
 *
 * Without a steward, the VM uses the slots that it has, and few requests beside them. While the steward is
 * of an older build that issues none, the VM uses an equal part of each server's slots.
 */
import { pauseAfterRejectionMs } from './pause.js';

/** Fraction of a server's slots that all entry VMs together use while a steward issues none. */
const UNISSUED_FRACTION = 0.9;
/**
 * Time from when no slots are issued until the VM uses its part, ms: requests with slots of other VMs,
 * and of an earlier process of this one, may be in flight until then.
 */
const UNISSUED_WAIT_MS = 2_000;
/** Time for which an unused slot is kept, ms. */
const IDLE_MS = 100;
/** The same without a steward, ms: nobody could issue it again. */
const IDLE_ALONE_MS = 5_000;
/**
 * Time for which a slot is used for further requests, ms. It is then returned, so that the entry VMs
 * that wait get slots in turn.
 */
const REUSE_MS = 1_000;
/**
 * Requests without a slot that all entry VMs together may send a server in a second without a
 * steward, as a fraction of those that it may turn away.
 */
const ALONE_FRACTION = 0.25;
const MS_PER_S = 1000;

interface FreeSlot {
  readonly issuedAtMs: number;
  readonly untilMs: number;
}

/** The slot of a request in flight. */
interface UsedSlot {
  readonly issuedAtMs: number;
  /** Whether the request was sent without a slot; the steward does not know of it. */
  readonly isAlone: boolean;
}

interface ServerSlots {
  rejectionsPerS: number;
  /** In the order in which they were taken. */
  used: readonly UsedSlot[];
  free: readonly FreeSlot[];
  /** Requests in flight that the server has turned away. */
  turnedAway: number;
  pausedUntilMs: number;
  /** When the next request without a slot may be sent if there is no steward. */
  aloneAtMs: number;
}

export class SlotHolder {
  private readonly servers = new Map<string, ServerSlots>();

  /** Requests in flight by server, brittle or not. */
  private readonly inFlight = new Map<string, number>();

  /** Slots to return to the steward, by server. */
  private readonly returned = new Map<string, number>();

  private hasSteward = false;

  /** Number of entry VMs that the last steward named; null before the first. */
  private members: number | null = null;

  /** From when this VM uses an equal part of each server's slots; Infinity while slots are issued. */
  private partFromMs = Infinity;

  /**
   * @param phase Differs between entry VMs, 0 to 1: they lose a steward at the same time, and may not
   * all send their first request without a slot together.
   */
  constructor(private readonly phase: number) {}

  /** Sets whether a steward is connected, and the number of entry VMs that it names. */
  setSteward(nowMs: number, isConnected: boolean, members: number): void {
    if (isConnected) this.members = Math.max(1, members);
    if (isConnected === this.hasSteward) return;
    this.hasSteward = isConnected;
    if (!isConnected) this.returned.clear();
    this.servers.forEach((record) => {
      Object.assign(record, { aloneAtMs: nowMs + this.phase * this.aloneIntervalMs(record) });
      if (isConnected) Object.assign(record, { free: SlotHolder.shortened(nowMs, record) });
    });
  }

  /**
   * Sets the number of entry VMs that a connected steward names which issues no slots; null if no such
   * steward is connected.
   */
  setUnissued(nowMs: number, members: number | null): void {
    if (members === null) {
      this.partFromMs = Infinity;
      return;
    }
    this.partFromMs = Math.min(this.partFromMs, nowMs + UNISSUED_WAIT_MS);
    const isFirst = this.members === null;
    this.members = Math.max(1, members);
    if (!isFirst) return;
    this.servers.forEach((record) => {
      Object.assign(record, { aloneAtMs: nowMs + this.phase * this.aloneIntervalMs(record) });
    });
  }

  /**
   * Replaces the brittle servers, each with the requests that it may turn away in a second. Requests
   * in flight to a server that has become brittle hold slots of it.
   * @returns Whether a server was added.
   */
  setBrittle(nowMs: number, brittle: ReadonlyMap<string, number>): boolean {
    [...this.servers.keys()]
      .filter((id) => !brittle.has(id))
      .forEach((id) => {
        this.servers.delete(id);
        this.returned.delete(id);
      });
    const added = [...brittle.keys()].filter((id) => !this.servers.has(id));
    brittle.forEach((rejectionsPerS, id) => {
      const record = this.servers.get(id) ?? this.createRecord(nowMs, id);
      if (record.rejectionsPerS === rejectionsPerS) return;
      record.rejectionsPerS = rejectionsPerS;
      record.aloneAtMs = nowMs + this.phase * this.aloneIntervalMs(record);
    });
    return added.length > 0;
  }

  /** Number of this entry VM's requests in flight to a server, brittle or not. */
  inFlightAt(serverId: string): number {
    return this.inFlight.get(serverId) ?? 0;
  }

  isBrittle(serverId: string): boolean {
    return this.servers.has(serverId);
  }

  /**
   * Whether a request may be sent to the server now.
   * @param slots Requests that the server runs at once; 0 if unknown.
   */
  allows(nowMs: number, serverId: string, slots = 0): boolean {
    const record = this.servers.get(serverId);
    if (record === undefined) return true;
    if (nowMs < record.pausedUntilMs) return false;
    const hasPart = nowMs >= this.partFromMs;
    if (hasPart && this.inFlightAt(serverId) < this.ownPart(slots)) return true;
    if (!hasPart && record.free.some(({ untilMs }) => untilMs > nowMs)) return true;
    return !this.hasSteward && nowMs >= record.aloneAtMs;
  }

  /** Counts a request that is sent now, and uses a slot for it. */
  start(nowMs: number, serverId: string): void {
    this.inFlight.set(serverId, (this.inFlight.get(serverId) ?? 0) + 1);
    const record = this.servers.get(serverId);
    if (record === undefined) return;
    const at = record.free.findIndex(({ untilMs }) => untilMs > nowMs);
    const isAlone = at < 0;
    if (isAlone) record.aloneAtMs = nowMs + this.aloneIntervalMs(record);
    const issuedAtMs = record.free[at]?.issuedAtMs ?? nowMs;
    record.free = record.free.filter((_, index) => index !== at);
    record.used = [...record.used, { issuedAtMs, isAlone }];
  }

  /** Records that a server has turned a request away for want of room; its slot is gone. */
  noteTurnedAway(nowMs: number, serverId: string): void {
    const record = this.servers.get(serverId);
    if (record === undefined) return;
    record.turnedAway += 1;
    this.pause(nowMs, serverId, pauseAfterRejectionMs(record.rejectionsPerS));
  }

  /** Sends the server nothing for a time, and returns its slots as they become free. */
  pause(nowMs: number, serverId: string, pauseMs: number): void {
    const record = this.servers.get(serverId);
    if (record === undefined) return;
    record.pausedUntilMs = Math.max(record.pausedUntilMs, nowMs + pauseMs);
    record.used = record.used.map(({ isAlone }) => ({ issuedAtMs: -Infinity, isAlone }));
    this.addReturned(serverId, record.free.length);
    record.free = [];
  }

  /** Ends a request; its slot is free for another one, or is returned. */
  end(nowMs: number, serverId: string): void {
    const left = (this.inFlight.get(serverId) ?? 0) - 1;
    if (left > 0) this.inFlight.set(serverId, left);
    else this.inFlight.delete(serverId);
    const record = this.servers.get(serverId);
    const ended = record?.used[0];
    if (record === undefined || ended === undefined) return;
    const { issuedAtMs } = ended;
    record.used = record.used.slice(1);
    if (record.turnedAway > 0) {
      record.turnedAway -= 1;
      return;
    }
    if (ended.isAlone) return;
    const mayReuse = nowMs - issuedAtMs < REUSE_MS;
    if (mayReuse || !this.hasSteward) {
      const untilMs = nowMs + (this.hasSteward ? IDLE_MS : IDLE_ALONE_MS);
      record.free = [...record.free, { issuedAtMs, untilMs }];
    } else this.addReturned(serverId, 1);
  }

  /** Adds slots from the steward. */
  receive(nowMs: number, serverId: string, slots: number): void {
    const record = this.servers.get(serverId);
    if (record === undefined || nowMs < record.pausedUntilMs) {
      this.addReturned(serverId, slots);
      return;
    }
    const added = Array.from({ length: slots }, () => ({
      issuedAtMs: nowMs,
      untilMs: nowMs + IDLE_MS,
    }));
    record.free = [...record.free, ...added];
  }

  /** Takes the slots to return to the steward, by server. */
  takeReturned(nowMs: number): ReadonlyMap<string, number> {
    this.servers.forEach((record, id) => {
      const valid = record.free.filter(({ untilMs }) => untilMs > nowMs);
      this.addReturned(id, record.free.length - valid.length);
      Object.assign(record, { free: valid });
    });
    const taken = new Map(this.returned);
    this.returned.clear();
    return taken;
  }

  /** Puts back slots that could not be returned. */
  restoreReturned(slots: ReadonlyMap<string, number>): void {
    slots.forEach((count, id) => this.addReturned(id, count));
  }

  /** The slots that this entry VM holds, by server, for a steward that does not know them. */
  held(): ReadonlyMap<string, number> {
    this.returned.clear();
    this.servers.forEach((record) => {
      const used = record.used.map(({ issuedAtMs }) => ({ issuedAtMs, isAlone: false }));
      Object.assign(record, { used });
    });
    return new Map(
      [...this.servers].map(([id, { used, free, turnedAway }]) => [
        id,
        used.length - turnedAway + free.length,
      ]),
    );
  }

  /** Free slots that were kept without a steward, and that another VM may need now. */
  private static shortened(nowMs: number, { free }: ServerSlots): readonly FreeSlot[] {
    return free.map(({ issuedAtMs, untilMs }) => ({
      issuedAtMs,
      untilMs: Math.min(untilMs, nowMs + IDLE_MS),
    }));
  }

  private addReturned(serverId: string, count: number): void {
    if (count > 0) this.returned.set(serverId, (this.returned.get(serverId) ?? 0) + count);
  }

  /** Interval at which this VM sends a server requests without a slot, ms. */
  /** The equal part of a server's slots that each entry VM uses while none are issued. */
  private ownPart(slots: number): number {
    return Math.floor((slots * UNISSUED_FRACTION) / (this.members ?? Infinity));
  }

  private aloneIntervalMs({ rejectionsPerS }: ServerSlots): number {
    const perS = (rejectionsPerS * ALONE_FRACTION) / (this.members ?? Infinity);
    return MS_PER_S / perS;
  }

  private createRecord(nowMs: number, serverId: string): ServerSlots {
    const record = {
      rejectionsPerS: NaN,
      used: Array.from({ length: this.inFlight.get(serverId) ?? 0 }, () => ({
        issuedAtMs: nowMs,
        isAlone: false,
      })),
      free: [],
      turnedAway: 0,
      pausedUntilMs: -Infinity,
      aloneAtMs: Infinity,
    };
    this.servers.set(serverId, record);
    return record;
  }
}
