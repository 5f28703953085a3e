/** Acquires, renews and watches the steward's lease in the platform store. */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type LeaseEffect,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
  type LeaseSuccessor,
  LeaseManager,
  type ActiveSteward,
  leaseSchema,
  type SuccessorTerm,
  type SentLease,
} from '../../decisions/leases/index.js';
import { PlatformOutcome } from '../platform/index.js';
import type { RelayStore } from './types.js';

const LEASE_KEY = 'bilberrystand/steward';
const TICK_MS = 50;
/**
 * An expired lease may stay in use if the last store call that showed this VM as holder was sent
 * less than this long ago, ms.
 */
const MAX_HOLDER_AGE_MS = 1_500;
/** Pause between two calls by which a successor shows that it reaches the store, ms. */
const PROBE_PAUSE_MS = 250;
/** Time without an answer after a failed call from which the store counts as lost, ms: one call may fail. */
const STORE_LOST_MS = 300;

/** A renewal that took effect after the lease was released. */
export type LateRenewal = Extract<LeaseEffect, { type: typeof LeaseEffectType.lateRenewal }>;

export interface LeaseTaskOptions {
  readonly vm: string;
  /** Address at which peers reach this entry VM. */
  readonly address: string;
  readonly durationMs: number;
  readonly marginMs: number;
  readonly store: RelayStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether a steward is connected; the lease is then not read from the store. */
  isStewardConnected(): boolean;
  /** Returns the handover note for the next steward; `previous` is the note in the lease. */
  note(previous: unknown): unknown;
  /** The details of that note; `previous` are those in the lease. */
  noteDetails(previous: unknown): unknown;
  /** Called when a write of the lease with this handover note has taken effect. */
  onNoteWritten(note: unknown, noteDetails: unknown): void;
  /** The designated successor, which may take over immediately if this VM exits; null for none. */
  heir(): Omit<LeaseSuccessor, 'epoch'> | null;
  /** Sends the successor a renewal that took effect after the lease was released. */
  sendLateRenewal(renewal: LateRenewal): void;
  /** Link rate of this VM for the log, Mbit/s; null if it is unknown. */
  readonly linkMbps: number | null;
  /** Time for which this VM leaves a free lease to VMs with better links, ms. */
  acquireWaitMs(): number;
  /** Called when a call by which this VM shows that it reaches the store was answered. */
  onProbeAnswered(): void;
  /** Whether engines reject old fencing tokens. Only then may an expired lease stay in use. */
  enginesCheckFences(): boolean;
}

export class LeaseTask implements Task {
  readonly name = 'lease';

  private readonly manager: LeaseManager;

  private timer: NodeJS.Timeout | null = null;

  /** Fencing token under which engine orders are sent; 0 while this entry VM is not the steward. */
  private actingFence = 0;

  /** Whether the last call to the store was answered. */
  private storeAvailable = true;

  /** When a call was last answered, and when this VM last probed the store. */
  private answeredAtMs = -Infinity;

  private probedAtMs = -Infinity;

  /** When a call failed after the last answered one. */
  private failedAtMs = -Infinity;

  /** Whether a lease that expired while the store was unreachable or slow stays in use. */
  private goesOn = false;

  /** Highest fencing token received from a steward or inferred from an engine's rejection. */
  private highestSeenFence = 0;

  /** When the last store call that showed this VM as holder was sent. */
  private holderSeenAtMs = -Infinity;

  /** Handover note of the previous steward; undefined without such a note. */
  previousNote: unknown = undefined;

  /** Details of that note. */
  previousNoteDetails: unknown = undefined;

  constructor(private readonly opts: LeaseTaskOptions) {
    const { vm, address, durationMs, marginMs } = opts;
    const note = (previous: unknown) => opts.note(previous);
    const noteDetails = (previous: unknown) => opts.noteDetails(previous);
    const heir = () => opts.heir();
    const acquireWaitMs = () => opts.acquireWaitMs();
    const timing = { durationMs, marginMs, acquireWaitMs };
    this.manager = new LeaseManager({ self: vm, address, ...timing, note, noteDetails, heir });
  }

  /**
   * Fencing token that is valid now; 0 if this VM may not act as steward. Must be read in the same
   * synchronous step that sends an engine order.
   */
  fence(): number {
    const nowMs = this.opts.clock.nowMs();
    if (this.manager.holds(nowMs)) {
      this.goesOn = false;
      return this.manager.epoch;
    }
    if (!this.mayUseExpiredLease()) this.actingFence = 0;
    return this.actingFence;
  }

  /** The active steward as last seen by this entry VM; null if there is none. */
  activeSteward(): ActiveSteward | null {
    return this.manager.activeSteward;
  }

  /**
   * Confirms that this VM does not and will not act as steward under any fencing token that other
   * VMs may have seen.
   * @returns False if this cannot be confirmed.
   */
  confirmInactive(): boolean {
    return this.fence() === 0 && this.manager.confirmInactive(this.opts.clock.nowMs());
  }

  /** Records a fencing token under which a steward acts. */
  noteFence(fence: number): void {
    this.highestSeenFence = Math.max(this.highestSeenFence, fence);
  }

  /** The lease that this VM holds, for sending to other VMs; null if it holds none. */
  heldLease(): SentLease | null {
    return this.manager.heldLease(this.opts.clock.nowMs());
  }

  /**
   * Handles a message with the lease that a steward has written.
   * @param heirTerm Period in which this VM may take over, if it is the designated successor.
   */
  handleLeaseMessage({ lease, version, leftMs }: SentLease, heirTerm?: SuccessorTerm): void {
    this.handle({ type: LeaseEventType.sent, lease, version, leftMs, heirTerm });
  }

  /** Renews without waiting for the interval, because the handover note changed. */
  renewNow(): void {
    this.handle({ type: LeaseEventType.renewImmediately });
  }

  /**
   * Records that no VM acts as steward under `fence` any more.
   * @param newest Highest fencing token that the reporting VM has seen.
   */
  noteInactive(fence: number, newest: number): void {
    this.handle({ type: LeaseEventType.epochRetired, epoch: fence, newestEpoch: newest });
  }

  /** Highest fencing token that this VM has seen. */
  get newestFence(): number {
    return this.manager.newestEpoch;
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  /** Releases the lease permanently before a planned stop; the link to the steward stays in use. */
  release(): void {
    this.actingFence = 0;
    this.handle({ type: LeaseEventType.release });
  }

  /**
   * Hands the lease over to its successor while this VM goes on running; it may acquire the lease
   * again later.
   * @returns False if it is not handed over, as a store call is in flight for example.
   */
  handOver(): boolean {
    if (!this.manager.holds(this.opts.clock.nowMs())) return false;
    this.handle({ type: LeaseEventType.handOver, isStoreLost: this.isStoreLost });
    if (this.manager.holds(this.opts.clock.nowMs())) return false;
    this.actingFence = 0;
    return true;
  }

  /** Whether the last store call for the lease was not answered. */
  get isStoreFailing(): boolean {
    return !this.storeAvailable;
  }

  /** Whether the store calls for the lease have failed for some time. */
  get isStoreLost(): boolean {
    return !this.storeAvailable && this.opts.clock.nowMs() - this.failedAtMs >= STORE_LOST_MS;
  }

  /** Age of the last store call for the lease that was answered, ms; null if there was none. */
  storeAgeMs(): number | null {
    const ageMs = this.opts.clock.nowMs() - this.answeredAtMs;
    return Number.isFinite(ageMs) ? ageMs : null;
  }

  /** Calls the store if this VM is the designated successor, to show whether it reaches the store. */
  probeStore(): void {
    const nowMs = this.opts.clock.nowMs();
    if (!this.manager.isNamedSuccessor || nowMs - this.probedAtMs < PROBE_PAUSE_MS) return;
    this.probedAtMs = nowMs;
    void this.opts.store.read(LEASE_KEY).then(({ type }) => {
      const isAnswered = type === PlatformOutcome.ok;
      this.noteStoreCall(isAnswered, nowMs);
      if (isAnswered) this.opts.onProbeAnswered();
    });
  }

  private tick(): void {
    if (this.fence() === 0 && this.opts.isStewardConnected()) return;
    this.handle({ type: LeaseEventType.tick });
  }

  /**
   * Whether an expired lease may stay in use. It may if the store was unreachable or slow when the
   * lease expired, until a higher fencing token or another holder is seen. A suspension of this VM
   * alone is no reason, since another VM may have acquired the lease in the meantime.
   */
  private mayUseExpiredLease(): boolean {
    const seenRecently = this.opts.clock.nowMs() - this.holderSeenAtMs < MAX_HOLDER_AGE_MS;
    if (!this.storeAvailable || seenRecently) this.goesOn = true;
    return (
      this.goesOn &&
      this.actingFence > 0 &&
      this.opts.enginesCheckFences() &&
      this.manager.holder === this.opts.vm &&
      this.highestSeenFence <= this.actingFence
    );
  }

  private handle(event: LeaseEvent): void {
    const effects = this.manager.handle(this.opts.clock.nowMs(), event);
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
      case LeaseEffectType.notePersisted:
        this.opts.onNoteWritten(effect.note, effect.noteDetails);
        break;
      case LeaseEffectType.acquired:
        this.actingFence = effect.epoch;
        this.previousNote = effect.note;
        this.previousNoteDetails = effect.noteDetails;
        this.opts.logger.info('lease-acquired', {
          fence: effect.epoch,
          by: effect.isTakeover === true ? 'handover' : 'expiry',
          linkMbps: this.opts.linkMbps,
        });
        break;
      case LeaseEffectType.lateRenewal:
        this.opts.sendLateRenewal(effect);
        break;
      default:
        this.opts.logger.info('lease-lost', {
          fence: this.actingFence,
          goesOn: this.mayUseExpiredLease(),
        });
    }
  }

  private async read(): Promise<void> {
    const sentAtMs = this.opts.clock.nowMs();
    const answer = await this.opts.store.read(LEASE_KEY);
    this.noteStoreCall(answer.type === PlatformOutcome.ok, sentAtMs);
    if (answer.type !== PlatformOutcome.ok) {
      this.handle({ type: LeaseEventType.readFailed });
      return;
    }
    const lease = leaseSchema.safeParse(answer.value?.value);
    if (lease.data?.holder === this.opts.vm) this.holderSeenAtMs = sentAtMs;
    this.handle({
      type: LeaseEventType.read,
      lease: lease.success ? lease.data : null,
      version: answer.value?.version ?? 0,
    });
  }

  private async write(effect: LeaseEffect & { type: typeof LeaseEffectType.write }): Promise<void> {
    const sentAtMs = this.opts.clock.nowMs();
    const answer = await this.opts.store.write(LEASE_KEY, effect.lease, effect.version);
    if (answer.type === PlatformOutcome.ok) this.holderSeenAtMs = sentAtMs;
    this.noteStoreCall(answer.type !== PlatformOutcome.unknown, sentAtMs);
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

  private noteStoreCall(answered: boolean, sentAtMs: number): void {
    // Probes overlap: a later call may have been answered before an earlier one failed.
    if (!answered && sentAtMs < this.answeredAtMs) return;
    if (answered) this.answeredAtMs = Math.max(this.answeredAtMs, sentAtMs);
    if (answered !== this.storeAvailable) {
      this.opts.logger.info(answered ? 'store-back' : 'store-lost');
      if (!answered) this.failedAtMs = this.opts.clock.nowMs();
    }
    this.storeAvailable = answered;
  }
}
