/**
 * Holds or waits for a lease that is kept by conditional updates.
 *
 * The holder counts the lease from before it sent the renewing call. Others count from when they
 * last saw the version change, plus a margin; so the lease lapses for its holder first.
 */
import {
  type Lease,
  type LeaseEffect,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
  type LeaseSettings,
  type LeaseSuccessor,
} from './types.js';

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

  private pending: PendingWrite | null = null;

  /** One call at a time, so that no answer is taken for that of another call. */
  private calling = false;

  private nextCallAtMs = 0;

  private stopping = false;

  /** Epoch whose holder's process has ended, so that its lease need not run out. */
  private goneEpoch: number | null = null;

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

  /** Where its peers reach the holder, as last seen. */
  get holderAddress(): string | null {
    return this.seen?.address ?? null;
  }

  /** The lease that is held, for telling others. */
  held(nowMs: number): { lease: Lease; version: number; leftMs: number } | null {
    if (!this.holds(nowMs) || this.seen === null) return null;
    return { lease: this.seen, version: this.version, leftMs: this.heldUntilMs - nowMs };
  }

  /** Fencing number of the lease as last seen. */
  get seenEpoch(): number {
    return this.seen?.epoch ?? 0;
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
        this.pending = null;
        return [...this.drop(), ...this.read(nowMs)];
      case LeaseEventType.writeUnknown:
        return this.read(nowMs);
      case LeaseEventType.release:
        return this.release(nowMs, event.successor);
      case LeaseEventType.holderGone:
        this.goneEpoch = event.epoch;
        this.nextCallAtMs = Math.min(this.nextCallAtMs, nowMs);
        return [];
      case LeaseEventType.told:
        return this.noteTold(nowMs, event.lease, event.version, event.leftMs);
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
    const lease: Lease = { holder, address, epoch, durationMs, renewal, note };
    this.calling = true;
    this.pending = { lease, noteBefore, sentAtMs: nowMs };
    this.nextCallAtMs = nowMs + durationMs * RENEW_AFTER;
    return [{ type: LeaseEffectType.write, lease, version: this.version }];
  }

  private noteRead(nowMs: number, lease: Lease | null, version: number): readonly LeaseEffect[] {
    if (version !== this.version || this.seen === null) this.changedAtMs = nowMs;
    this.version = version;
    this.seen = lease;
    const { pending } = this;
    this.pending = null;
    if (pending !== null && lease !== null && this.isOwn(lease, pending.lease)) {
      return this.hold(nowMs, pending);
    }
    if (lease !== null && lease.holder === this.cfg.self && lease.epoch === this.heldEpoch)
      return [];
    return [...this.drop(), ...this.takeIfFree(nowMs, lease)];
  }

  /** What the holder says spares a read, and dates the lease from its renewal. */
  private noteTold(
    nowMs: number,
    lease: Lease,
    version: number,
    leftMs: number,
  ): readonly LeaseEffect[] {
    if (this.calling || this.holds(nowMs) || version <= this.version) return [];
    this.version = version;
    this.seen = lease;
    this.changedAtMs = nowMs - Math.max(0, lease.durationMs - leftMs);
    const isSuccessor = lease.holder === this.cfg.self && !this.stopping;
    return isSuccessor ? this.write(nowMs, lease.epoch + 1) : [];
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
    if (lease === null || lease.holder === null) return this.write(nowMs, (lease?.epoch ?? 0) + 1);
    const isOver = lease.holder === this.cfg.self || lease.epoch === this.goneEpoch;
    const freeAtMs = this.changedAtMs + lease.durationMs + this.cfg.marginMs;
    if (nowMs < freeAtMs && !isOver) {
      this.nextCallAtMs = Math.min(this.nextCallAtMs, freeAtMs);
      return [];
    }
    return this.write(nowMs, lease.epoch + 1);
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
    // A lease that lapsed before its renewal was confirmed goes on under a new fencing number.
    const lapsed = !this.holds(nowMs) && lease.epoch <= this.lastEpoch;
    if (lapsed) return this.write(nowMs, lease.epoch + 1);
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
    return [{ type: LeaseEffectType.lost }];
  }

  private release(nowMs: number, successor?: LeaseSuccessor): readonly LeaseEffect[] {
    this.stopping = true;
    if (!this.holds(nowMs) || this.pending !== null) return this.drop();
    const lease: Lease = {
      holder: successor?.vm ?? null,
      address: successor?.address,
      epoch: this.heldEpoch,
      durationMs: this.cfg.durationMs,
      note: this.cfg.note?.(this.seen?.note),
      renewal: (this.seen?.renewal ?? 0) + 1,
    };
    return [...this.drop(), { type: LeaseEffectType.write, lease, version: this.version }];
  }
}
