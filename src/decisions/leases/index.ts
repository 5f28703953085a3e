/**
 * Holds or waits for a lease that is kept by conditional updates.
 *
 * The holder counts the lease from before it sent the renewing call. Others count from when they
 * last saw the version change, plus a margin; so the lease lapses for its holder first.
 *
 * A lease names an heir with a fencing number of its own. When the holder says that it has given the
 * lease up, or a new process of its VM says that it does not hold it, the heir goes on at once with
 * what is left of it, and confirms that in the store meanwhile. Nobody else takes the lease before it
 * has run out, unless the heir is gone too.
 *
 * A connection that is refused proves nothing: a cut may reset connections.
 */
import {
  type Lease,
  type LeaseEffect,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
  type HeirTerm,
  type LeaseHeir,
  type LeasePost,
  type LeaseSettings,
  type ToldLease,
} from './types.js';

export { type HeirCandidate, HeirChoice } from './heir.js';
export * from './types.js';

/** The lease is renewed when this part of it has passed. */
const RENEW_AFTER = 1 / 3;
/** Others look at the lease this often, as a part of its duration. */
const WATCH_EVERY = 1 / 2;

/** Events that answer no call. */
const NOT_ANSWERS: ReadonlySet<string> = new Set([
  LeaseEventType.tick,
  LeaseEventType.release,
  LeaseEventType.holderGone,
  LeaseEventType.renewSoon,
  LeaseEventType.told,
]);

interface PendingWrite {
  readonly lease: Lease;
  /** Note of the lease that it replaces. */
  readonly noteBefore: unknown;
  readonly sentAtMs: number;
  /** Version that it replaces. */
  readonly version: number;
}

/** A lease that this entry VM is heir to. */
interface Inheritance {
  readonly lease: Lease;
  readonly heir: LeaseHeir;
  readonly untilMs: number;
}

/** The first fencing number that neither the holder nor any heir of a lease has had. */
function epochAfter(lease: Lease | null): number {
  return Math.max(lease?.epoch ?? 0, lease?.heir?.epoch ?? 0) + 1;
}

export class LeaseKeeper {
  private version = 0;

  private seen: Lease | null = null;

  /** When the version was last seen to change. */
  private changedAtMs = 0;

  /** End of the lease that this entry VM holds; 0 while it holds none. */
  private heldUntilMs = 0;

  private heldEpoch = 0;

  /** Latest epoch that was ever held here. */
  private lastEpoch = 0;

  /** Latest fencing number that an heir of this VM's leases was given. */
  private lastHeirEpoch = 0;

  private pending: PendingWrite | null = null;

  /** One call at a time, so that no answer is taken for that of another call. */
  private calling = false;

  private nextCallAtMs = 0;

  private stopping = false;

  /** Nobody acts under this epoch or an earlier one, so that their lease need not run out. */
  private goneEpoch = 0;

  /** Latest epoch that anybody told of. */
  private newestEpoch = 0;

  /** Whether the lease was lost to another holder that has not been seen yet. */
  private lostUnseen = false;

  private inheritance: Inheritance | null = null;

  private renouncedAtMs = -Infinity;

  /** Whether the lease is held by inheritance and the store does not show it yet. */
  private unconfirmed = false;

  constructor(private readonly cfg: LeaseSettings) {}

  /** Whether the lease is held at this very moment; asked again in the step that sends an order. */
  holds(nowMs: number): boolean {
    return nowMs < this.heldUntilMs;
  }

  /** The fencing number, while the lease is held. */
  get epoch(): number {
    return this.heldEpoch;
  }

  /** Entry VM that holds the lease, as last seen. */
  get holder(): string | null {
    return this.seen?.holder ?? null;
  }

  /** Latest epoch that this entry VM knows of. */
  get newest(): number {
    return Math.max(this.newestEpoch, this.seen?.epoch ?? 0);
  }

  /** Who acts under the lease as last seen: its holder, or its heir once the holder is gone. */
  get post(): LeasePost | null {
    const { seen } = this;
    if (seen === null) return null;
    const { holder, address, epoch, heir } = seen;
    if (heir !== undefined && epoch <= this.goneEpoch && heir.epoch > this.goneEpoch) {
      return { vm: heir.vm, address: heir.address, fence: heir.epoch };
    }
    if (holder === null || address === undefined) return null;
    return { vm: holder, address, fence: epoch };
  }

  /**
   * Says that this entry VM will not act under any epoch that others may know of.
   * @returns False where it may.
   */
  renounce(nowMs: number): boolean {
    const mayInherit = this.inheritance !== null && nowMs < this.inheritance.untilMs;
    const mayAct = !this.stopping && (this.pending !== null || mayInherit);
    if (this.holds(nowMs) || mayAct || this.lostUnseen) return false;
    // A word that names it heir may still be on its way.
    this.renouncedAtMs = nowMs;
    return true;
  }

  /** The lease that is held, for telling others. */
  held(nowMs: number): ToldLease | null {
    if (!this.holds(nowMs) || this.seen === null) return null;
    return { lease: this.seen, version: this.version, leftMs: this.heldUntilMs - nowMs };
  }

  handle(nowMs: number, event: LeaseEvent): readonly LeaseEffect[] {
    if (!NOT_ANSWERS.has(event.type)) this.calling = false;
    const lost = this.dropLapsed(nowMs);
    return [...lost, ...this.step(nowMs, event)];
  }

  private step(nowMs: number, event: LeaseEvent): readonly LeaseEffect[] {
    switch (event.type) {
      case LeaseEventType.tick:
        return this.tick(nowMs);
      case LeaseEventType.read:
        return this.noteRead(nowMs, event.lease, event.version);
      case LeaseEventType.readFailed:
        return [];
      case LeaseEventType.written:
        return this.noteWritten(nowMs, event.version);
      case LeaseEventType.conflict:
        return this.noteConflict(nowMs);
      case LeaseEventType.writeUnknown:
        return this.read(nowMs);
      case LeaseEventType.release:
        return this.release(nowMs);
      case LeaseEventType.holderGone:
        this.goneEpoch = Math.max(this.goneEpoch, event.epoch);
        this.newestEpoch = Math.max(this.newestEpoch, event.newest);
        this.nextCallAtMs = Math.min(this.nextCallAtMs, nowMs);
        return this.inherit(nowMs);
      case LeaseEventType.told:
        return this.noteTold(nowMs, event, event.heirTerm);
      case LeaseEventType.renewSoon:
        if (this.holds(nowMs)) this.nextCallAtMs = Math.min(this.nextCallAtMs, nowMs);
        return [];
      default:
        return [];
    }
  }

  private tick(nowMs: number): readonly LeaseEffect[] {
    if (nowMs < this.nextCallAtMs || this.calling) return [];
    if (this.pending !== null) return this.read(nowMs);
    if (this.holds(nowMs)) return this.write(nowMs, this.heldEpoch);
    return this.read(nowMs);
  }

  private read(nowMs: number): readonly LeaseEffect[] {
    this.calling = true;
    this.nextCallAtMs = nowMs + this.cfg.durationMs * WATCH_EVERY;
    return [{ type: LeaseEffectType.read }];
  }

  private write(nowMs: number, epoch: number): readonly LeaseEffect[] {
    const renewal = (this.seen?.renewal ?? 0) + 1;
    const { self: holder, address, durationMs } = this.cfg;
    const noteBefore = this.seen?.note;
    const note = this.cfg.note?.(noteBefore);
    const heir = this.nextHeir(epoch);
    const lease: Lease = { holder, address, epoch, durationMs, renewal, heir, note };
    this.calling = true;
    this.pending = { lease, noteBefore, sentAtMs: nowMs, version: this.version };
    this.nextCallAtMs = nowMs + durationMs * RENEW_AFTER;
    return [{ type: LeaseEffectType.write, lease, version: this.version }];
  }

  /** The heir of the next write. Who is named anew gets a fencing number that nobody has had. */
  private nextHeir(epoch: number): LeaseHeir | undefined {
    const named = this.cfg.heir?.() ?? null;
    if (named === null) return undefined;
    const before = this.seen?.heir;
    if (before?.vm === named.vm && before.epoch > epoch) return { ...named, epoch: before.epoch };
    this.lastHeirEpoch = Math.max(epoch, this.lastHeirEpoch) + 1;
    return { ...named, epoch: this.lastHeirEpoch };
  }

  private noteConflict(nowMs: number): readonly LeaseEffect[] {
    const { pending } = this;
    this.pending = null;
    // Only a renewal of the holder before can have come between; another holder shows in the read.
    const isHeir = this.unconfirmed && this.holds(nowMs);
    if (!isHeir) {
      this.lostUnseen = this.holds(nowMs);
      return [...this.drop(), ...this.read(nowMs)];
    }
    const knowsNewer = pending !== null && this.version > pending.version;
    return knowsNewer ? this.write(nowMs, this.heldEpoch) : this.read(nowMs);
  }

  private noteRead(nowMs: number, lease: Lease | null, version: number): readonly LeaseEffect[] {
    const isSame = version === this.version && this.seen !== null;
    this.lostUnseen = false;
    if (!isSame) this.changedAtMs = nowMs;
    this.version = version;
    const { pending } = this;
    this.pending = null;
    if (pending !== null && lease !== null && this.isOwn(lease, pending.lease)) {
      this.seen = lease;
      return this.hold(nowMs, pending);
    }
    if (this.unconfirmed && this.holds(nowMs) && (lease?.epoch ?? 0) < this.heldEpoch) {
      return this.write(nowMs, this.heldEpoch);
    }
    // What was told of this version may be newer: the heir goes on before it writes.
    if (!isSame || (lease?.epoch ?? 0) > (this.seen?.epoch ?? 0)) this.seen = lease;
    if (lease !== null && lease.holder === this.cfg.self && lease.epoch === this.heldEpoch)
      return [];
    return [...this.drop(), ...this.takeIfFree(nowMs, lease)];
  }

  /** What the holder says spares a read, and dates the lease from its renewal. */
  private noteTold(
    nowMs: number,
    { lease, version, leftMs }: ToldLease,
    term: HeirTerm | undefined,
  ): readonly LeaseEffect[] {
    if (this.holds(nowMs)) {
      this.noteLanded(lease, version, term);
      return [];
    }
    this.noteInheritance(lease, term);
    const isNews =
      version > this.version || (version === this.version && lease.epoch > (this.seen?.epoch ?? 0));
    if (this.calling || !isNews) return this.inherit(nowMs);
    this.version = version;
    this.seen = lease;
    this.changedAtMs = nowMs - Math.max(0, lease.durationMs - leftMs);
    return this.inherit(nowMs);
  }

  private noteInheritance(lease: Lease, term: HeirTerm | undefined): void {
    const { heir } = lease;
    if (heir?.vm !== this.cfg.self || term === undefined) return;
    if (term.fromMs <= this.renouncedAtMs) return;
    const known = this.inheritance;
    if (known !== null && known.heir.epoch > heir.epoch) return;
    const isLater = known?.heir.epoch !== heir.epoch || term.untilMs > known.untilMs;
    if (isLater) this.inheritance = { lease, heir, untilMs: term.untilMs };
  }

  /** The holder before tells the heir that its last renewal has taken effect after all. */
  private noteLanded(lease: Lease, version: number, term: HeirTerm | undefined): void {
    const isOurs = lease.heir?.vm === this.cfg.self && lease.heir.epoch === this.heldEpoch;
    if (!this.unconfirmed || !isOurs || term === undefined) return;
    this.version = Math.max(this.version, version);
    this.heldUntilMs = Math.max(this.heldUntilMs, term.untilMs);
  }

  /** Goes on with the lease of a holder that is gone, for what is left of it. */
  private inherit(nowMs: number): readonly LeaseEffect[] {
    const { inheritance } = this;
    if (inheritance === null || this.stopping || this.holds(nowMs)) return [];
    const { lease, heir, untilMs } = inheritance;
    const isDue = lease.epoch <= this.goneEpoch && heir.epoch > this.goneEpoch;
    const isPast = heir.epoch <= this.lastEpoch || heir.epoch < this.newest;
    const isLate = nowMs >= untilMs || isPast;
    if (!isDue || isLate) return [];
    this.inheritance = null;
    this.unconfirmed = true;
    this.heldUntilMs = untilMs;
    this.heldEpoch = heir.epoch;
    this.lastEpoch = heir.epoch;
    const { self: holder, address } = this.cfg;
    this.seen = { ...lease, holder, address, epoch: heir.epoch, heir: undefined };
    this.nextCallAtMs = nowMs;
    return [
      { type: LeaseEffectType.acquired, epoch: heir.epoch, note: lease.note },
      { type: LeaseEffectType.noted, note: lease.note },
    ];
  }

  private isOwn(lease: Lease, written: Lease): boolean {
    return (
      lease.holder === written.holder &&
      lease.epoch === written.epoch &&
      lease.renewal === written.renewal
    );
  }

  private takeIfFree(nowMs: number, lease: Lease | null): readonly LeaseEffect[] {
    if (this.stopping) return [];
    if (lease === null || lease.holder === null) return this.write(nowMs, epochAfter(lease));
    // A lease of this VM's process before: it does not act under it any more.
    const isFormer = lease.holder === this.cfg.self && lease.epoch > this.lastEpoch;
    if (isFormer) this.goneEpoch = Math.max(this.goneEpoch, lease.epoch);
    // An heir goes on for no longer than the holder would have.
    const isLapsedHere = lease.holder === this.cfg.self && !isFormer;
    const othersHeir = lease.heir?.vm === this.cfg.self ? undefined : lease.heir;
    const isOver = isLapsedHere || (othersHeir?.epoch ?? lease.epoch) <= this.goneEpoch;
    const freeAtMs = this.changedAtMs + lease.durationMs + this.cfg.marginMs;
    if (nowMs < freeAtMs && !isOver) {
      this.nextCallAtMs = Math.min(this.nextCallAtMs, freeAtMs);
      return [];
    }
    this.inheritance = null;
    return this.write(nowMs, epochAfter(lease));
  }

  private noteWritten(nowMs: number, version: number): readonly LeaseEffect[] {
    const { pending } = this;
    if (pending === null) return [];
    this.pending = null;
    this.version = version;
    this.seen = pending.lease;
    this.changedAtMs = nowMs;
    return this.hold(nowMs, pending);
  }

  private hold(
    nowMs: number,
    { lease, noteBefore, sentAtMs }: PendingWrite,
  ): readonly LeaseEffect[] {
    if (lease.holder !== this.cfg.self) return [];
    if (this.stopping) return this.leave(lease, sentAtMs + lease.durationMs);
    this.unconfirmed = false;
    // A lease that lapsed before its renewal was confirmed goes on under a new fencing number.
    const lapsed = !this.holds(nowMs) && lease.epoch <= this.lastEpoch;
    if (lapsed) return this.write(nowMs, epochAfter(lease));
    const isNew = this.heldEpoch !== lease.epoch || !this.holds(nowMs);
    this.heldUntilMs = sentAtMs + lease.durationMs;
    this.heldEpoch = lease.epoch;
    this.lastEpoch = Math.max(this.lastEpoch, lease.epoch);
    const noted = { type: LeaseEffectType.noted, note: lease.note } as const;
    return isNew && this.holds(nowMs)
      ? [{ type: LeaseEffectType.acquired, epoch: lease.epoch, note: noteBefore }, noted]
      : [noted];
  }

  private dropLapsed(nowMs: number): readonly LeaseEffect[] {
    return this.heldUntilMs > 0 && !this.holds(nowMs) ? this.drop() : [];
  }

  private drop(): readonly LeaseEffect[] {
    if (this.heldUntilMs === 0) return [];
    this.heldUntilMs = 0;
    this.heldEpoch = 0;
    this.unconfirmed = false;
    return [{ type: LeaseEffectType.lost }];
  }

  private release(nowMs: number): readonly LeaseEffect[] {
    this.stopping = true;
    const held = this.holds(nowMs) ? this.seen : null;
    if (held !== null) this.goneEpoch = Math.max(this.goneEpoch, this.heldEpoch);
    const lost = this.drop();
    // The answer to a renewal under way decides what is left.
    if (held === null || this.pending !== null || this.calling) return lost;
    return [...lost, ...this.leave(held, nowMs)];
  }

  /** Leaves the lease to its heir; without one, to anybody. */
  private leave(lease: Lease, untilMs: number): readonly LeaseEffect[] {
    const { version } = this;
    if (lease.heir !== undefined) {
      return [{ type: LeaseEffectType.landed, lease, version, untilMs }];
    }
    const free: Lease = {
      holder: null,
      epoch: lease.epoch,
      durationMs: this.cfg.durationMs,
      note: this.cfg.note?.(lease.note),
      renewal: lease.renewal + 1,
    };
    this.calling = true;
    return [{ type: LeaseEffectType.write, lease: free, version }];
  }
}
