/** Keeps or waits for the steward's lease in the platform's store. */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type LeaseEffect,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
  type LeaseHeir,
  LeaseKeeper,
  type LeasePost,
  leaseSchema,
  type HeirTerm,
  type ToldLease,
} from '../../decisions/leases/index.js';
import { PlatformOutcome } from '../platform/index.js';
import type { RelayStore } from './types.js';

const LEASE_KEY = 'bilberrystand/steward';
const TICK_MS = 50;
/** A lease that lapsed is used on when the store named this VM as its holder this lately, ms. */
const OWN_SEEN_MS = 1_500;

/** A renewal that took effect after the lease was given up. */
export type LandedLease = Extract<LeaseEffect, { type: typeof LeaseEffectType.landed }>;

export interface LeaseTaskOptions {
  readonly vm: string;
  /** Where peers reach this entry VM. */
  readonly address: string;
  readonly durationMs: number;
  readonly marginMs: number;
  readonly store: RelayStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether a steward is heard, so that the lease need not be read. */
  hearsSteward(): boolean;
  /** What is left for a successor, given what the steward before left. */
  note(before: unknown): unknown;
  /** A note has been written. */
  noted(note: unknown): void;
  /** Who goes on should this VM end; null for nobody. */
  heir(): Omit<LeaseHeir, 'epoch'> | null;
  /** Tells the heir of a renewal that took effect after the lease was given up. */
  tellLanded(landed: LandedLease): void;
  /** Whether engines refuse old fencing numbers, so that a lapsed lease may be used on. */
  enginesCheckFences(): boolean;
}

export class LeaseTask implements Task {
  readonly name = 'lease';

  private readonly keeper: LeaseKeeper;

  private timer: NodeJS.Timeout | null = null;

  /** Fencing number that orders are given under; 0 while this entry VM is no steward. */
  private actingFence = 0;

  private storeAnswers = true;

  /** Whether a lease that lapsed in an outage of the store is used on. */
  private goesOn = false;

  private higherFence = 0;

  /** When a call was sent that showed this VM as holder. */
  private ownSeenAtMs = -Infinity;

  /** What the steward before left. */
  noteLeft: unknown = undefined;

  constructor(private readonly opts: LeaseTaskOptions) {
    const { vm, address, durationMs, marginMs } = opts;
    const note = (before: unknown) => opts.note(before);
    const heir = () => opts.heir();
    this.keeper = new LeaseKeeper({ self: vm, address, durationMs, marginMs, note, heir });
  }

  /** Fencing number to order with at this very moment; 0 for none. */
  fence(): number {
    const nowMs = this.opts.clock.nowMs();
    if (this.keeper.holds(nowMs)) {
      this.goesOn = false;
      return this.keeper.epoch;
    }
    if (!this.mayGoOn()) this.actingFence = 0;
    return this.actingFence;
  }

  /** Who is steward, as far as this entry VM knows; null where there is none. */
  post(): LeasePost | null {
    return this.keeper.post;
  }

  /** Says that this VM will not act as a steward that others may know of; false where it may. */
  renounce(): boolean {
    return this.fence() === 0 && this.keeper.renounce(this.opts.clock.nowMs());
  }

  /** Another steward with this fencing number was heard of. */
  noteFence(fence: number): void {
    this.higherFence = Math.max(this.higherFence, fence);
  }

  /** The lease that is held here, for telling others; null while it is not. */
  held(): ToldLease | null {
    return this.keeper.held(this.opts.clock.nowMs());
  }

  /**
   * A steward said what it has written.
   * @param heirTerm How long this VM may go on, if it is the heir.
   */
  noteTold({ lease, version, leftMs }: ToldLease, heirTerm?: HeirTerm): void {
    this.handle({ type: LeaseEventType.told, lease, version, leftMs, heirTerm });
  }

  /** The note has changed and should be written now. */
  renewSoon(): void {
    this.handle({ type: LeaseEventType.renewSoon });
  }

  /** Nobody is steward under this fencing number any more; `newest` is the latest that is known. */
  noteGone(fence: number, newest: number): void {
    this.handle({ type: LeaseEventType.holderGone, epoch: fence, newest });
  }

  /** Latest fencing number that this VM knows of. */
  get newestFence(): number {
    return this.keeper.newest;
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  /** Gives the lease up for good, for a planned stop; the steward is followed on. */
  release(): void {
    this.actingFence = 0;
    this.handle({ type: LeaseEventType.release });
  }

  private tick(): void {
    if (this.fence() === 0 && this.opts.hearsSteward()) return;
    this.handle({ type: LeaseEventType.tick });
  }

  /**
   * A lease that lapsed while the store is out of reach or slow is used on until another one is
   * known; not after a pause of this VM, in which another one may have been taken.
   */
  private mayGoOn(): boolean {
    const seenLately = this.opts.clock.nowMs() - this.ownSeenAtMs < OWN_SEEN_MS;
    if (!this.storeAnswers || seenLately) this.goesOn = true;
    return (
      this.goesOn &&
      this.actingFence > 0 &&
      this.opts.enginesCheckFences() &&
      this.keeper.holder === this.opts.vm &&
      this.higherFence <= this.actingFence
    );
  }

  private handle(event: LeaseEvent): void {
    const effects = this.keeper.handle(this.opts.clock.nowMs(), event);
    effects.forEach((effect) => {
      void this.perform(effect);
    });
  }

  private async perform(effect: LeaseEffect): Promise<void> {
    switch (effect.type) {
      case LeaseEffectType.read:
        await this.read();
        break;
      case LeaseEffectType.write:
        await this.write(effect);
        break;
      case LeaseEffectType.noted:
        this.opts.noted(effect.note);
        break;
      case LeaseEffectType.acquired:
        this.actingFence = effect.epoch;
        this.noteLeft = effect.note;
        this.opts.logger.info('lease-acquired', { fence: effect.epoch });
        break;
      case LeaseEffectType.landed:
        this.opts.tellLanded(effect);
        break;
      default:
        this.opts.logger.info('lease-lost', { fence: this.actingFence, goesOn: this.mayGoOn() });
    }
  }

  private async read(): Promise<void> {
    const sentAtMs = this.opts.clock.nowMs();
    const answer = await this.opts.store.read(LEASE_KEY);
    this.noteAnswer(answer.type === PlatformOutcome.ok);
    if (answer.type !== PlatformOutcome.ok) {
      this.handle({ type: LeaseEventType.readFailed });
      return;
    }
    const lease = leaseSchema.safeParse(answer.value?.value);
    if (lease.data?.holder === this.opts.vm) this.ownSeenAtMs = sentAtMs;
    this.handle({
      type: LeaseEventType.read,
      lease: lease.success ? lease.data : null,
      version: answer.value?.version ?? 0,
    });
  }

  private async write(effect: LeaseEffect & { type: typeof LeaseEffectType.write }): Promise<void> {
    const sentAtMs = this.opts.clock.nowMs();
    const answer = await this.opts.store.write(LEASE_KEY, effect.lease, effect.version);
    if (answer.type === PlatformOutcome.ok) this.ownSeenAtMs = sentAtMs;
    this.noteAnswer(answer.type !== PlatformOutcome.unknown);
    switch (answer.type) {
      case PlatformOutcome.ok:
        this.handle({ type: LeaseEventType.written, version: answer.version });
        break;
      case PlatformOutcome.conflict:
        this.handle({ type: LeaseEventType.conflict });
        break;
      default:
        this.handle({ type: LeaseEventType.writeUnknown });
    }
  }

  private noteAnswer(answered: boolean): void {
    if (answered !== this.storeAnswers) {
      this.opts.logger.info(answered ? 'store-back' : 'store-lost');
    }
    this.storeAnswers = answered;
  }
}
