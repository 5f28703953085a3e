/**
 * State machine that acquires and renews a lease through conditional updates of a stored object.
 *
 * The holder counts the duration of the lease from the time at which it sent the renewal. The other
 * entry VMs count the duration from the time at which they saw the new version, and add a margin.
 * The lease therefore expires at its holder first.
 *
 * A lease names a designated successor with a fencing token of its own. The successor acts when the
 * holder reports that it has released the lease, or when a new process of the holder's VM reports
 * that it does not hold the lease. The successor then takes over the remaining time immediately and
 * writes the takeover to the store afterwards. No other entry VM acquires the lease before it has
 * expired, unless the successor is inactive too.
 *
 * When the store returns from an older copy, a lease may be lost that is still held. Its holder
 * writes it again. Any other entry VM waits until a lost lease must have expired. Fencing tokens of
 * each era of the store are higher than those of the eras before, so that none is assigned twice.
 *
 * A refused connection does not prove that the holder is inactive: a network partition may reset
 * connections.
 */
import * as storeVersions from '../store-versions/index.js';
import {
  type Lease,
  type LeaseEffect,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
  type SuccessorTerm,
  type LeaseSuccessor,
  type ActiveSteward,
  type LeaseSettings,
  type SentLease,
} from './types.js';

export * from './handover.js';
export { type SuccessorCandidate, SuccessorSelector } from './successor.js';
export * from './types.js';

/** The lease is renewed after this fraction of its duration. */
const RENEW_AFTER_FRACTION = 1 / 3;
/** Fencing tokens of one era of the store, and those that one of its revisions leaves room for. */
const EPOCHS_PER_ERA = 2 ** 34;
const EPOCHS_PER_REVISION = 4;
/** Interval at which other entry VMs read the lease, as a fraction of its duration. */
const READ_INTERVAL_FRACTION = 1 / 2;

/** Events that are not the result of a store call. */
const EVENTS_WITHOUT_CALL: ReadonlySet<string> = new Set([
  LeaseEventType.tick,
  LeaseEventType.release,
  LeaseEventType.handOver,
  LeaseEventType.epochRetired,
  LeaseEventType.renewImmediately,
  LeaseEventType.sent,
]);

interface PendingWrite {
  readonly lease: Lease;
  /** Handover note of the replaced lease. */
  readonly noteBefore: unknown;
  /** Details of that note. */
  readonly detailsBefore: unknown;
  readonly sentAtMs: number;
  /** Version of the replaced lease. */
  readonly version: number;
}

/** A lease that names this entry VM as its successor. */
interface Succession {
  readonly lease: Lease;
  readonly heir: LeaseSuccessor;
  readonly untilMs: number;
}

/**
 * A fencing token above those of the lease's holder, its successor and the eras before. In an era, a
 * lease may be replaced by a late write of the era before, so that its token is lost. The revision
 * that is replaced is therefore part of the token.
 */
function epochAfter(lease: Lease | null, version: number): number {
  const era = storeVersions.eraOf(version);
  const lowest =
    era === 0 ? 0 : era * EPOCHS_PER_ERA + storeVersions.revisionOf(version) * EPOCHS_PER_REVISION;
  return Math.max(lease?.epoch ?? 0, lease?.heir?.epoch ?? 0, lowest) + 1;
}

export class LeaseManager {
  private version = 0;

  private lastSeen: Lease | null = null;

  /**
   * Time from which the lease duration is counted: when its version was first seen or, if the
   * holder sent the lease, when the holder renewed it.
   */
  private versionChangedAtMs = 0;

  /** Expiry of the lease that this entry VM holds; 0 while it holds none. */
  private heldUntilMs = 0;

  private heldEpoch = 0;

  /** Highest epoch under which this process has held the lease. */
  private lastHeldEpoch = 0;

  /** Highest fencing token that this process has assigned to a successor. */
  private lastSuccessorEpoch = 0;

  private pending: PendingWrite | null = null;

  /** Only one store call runs at a time, so that each result belongs to a known call. */
  private callInFlight = false;

  private nextCallAtMs = 0;

  private stopping = false;

  /**
   * No process acts under this epoch or a lower one, so a lease with such an epoch can be acquired
   * before it expires.
   */
  private retiredEpoch = 0;

  /** Highest epoch that another entry VM has reported. */
  private newestReportedEpoch = 0;

  /** Expiry of the lease that a conflict has ended, until the lease has been read. */
  private conflictHeldUntilMs = 0;

  /** Era of the store in which a version of the lease was last seen; null before the first one. */
  private seenEra: number | null = null;

  /** Era to which the store returned from a copy since this process started; null for none. */
  private returnedInEra: number | null = null;

  /** Whether the lease was lost and its new holder has not been read from the store yet. */
  private newHolderUnknown = false;

  private succession: Succession | null = null;

  /** Version of the lease that was last found free, and since when it was free; null before that. */
  private freeSince: { readonly version: number; readonly atMs: number } | null = null;

  /** Time until which a lease that was handed over may be held by its successor. */
  private handedOverUntilMs = 0;

  /** Time at which this entry VM last confirmed that it is inactive. */
  private inactiveSinceMs = -Infinity;

  /** Whether the lease was taken over as successor and the store has not confirmed it yet. */
  private takeoverUnconfirmed = false;

  constructor(private readonly cfg: LeaseSettings) {}

  /** Whether the lease is held. Callers check it again right before they send an engine order. */
  holds(nowMs: number): boolean {
    return nowMs < this.heldUntilMs;
  }

  /** Fencing token of the lease; valid only while the lease is held. */
  get epoch(): number {
    return this.heldEpoch;
  }

  /** Entry VM that held the lease when it was last read or reported. */
  get holder(): string | null {
    return this.lastSeen?.holder ?? null;
  }

  /** Whether the last known lease names this entry VM as its successor. */
  get isNamedSuccessor(): boolean {
    return this.lastSeen?.heir?.vm === this.cfg.self;
  }

  /**
   * Highest epoch known to this entry VM, also that of a successor: another VM that was named before
   * may no longer take over.
   */
  get newestEpoch(): number {
    const { epoch = 0, heir } = this.lastSeen ?? {};
    return Math.max(this.newestReportedEpoch, epoch, heir?.epoch ?? 0);
  }

  /** The active steward: the last known lease's holder, or the successor of a retired holder. */
  get activeSteward(): ActiveSteward | null {
    const { lastSeen } = this;
    if (lastSeen === null) return null;
    const { holder, address, epoch, heir } = lastSeen;
    if (heir !== undefined && epoch <= this.retiredEpoch && heir.epoch > this.retiredEpoch) {
      return { vm: heir.vm, address: heir.address, fence: heir.epoch };
    }
    if (holder === null || address === undefined) return null;
    return { vm: holder, address, fence: epoch };
  }

  /**
   * Confirms that this entry VM does not act, and will not act, under any epoch known to others.
   * @returns False if it holds the lease or may still acquire or take it over.
   */
  confirmInactive(nowMs: number): boolean {
    const maySucceed = this.succession !== null && nowMs < this.succession.untilMs;
    const mayAct = !this.stopping && (this.pending !== null || maySucceed);
    if (this.holds(nowMs) || mayAct || this.newHolderUnknown) return false;
    // A message that names this VM as successor may still be in flight. `updateSuccession` ignores
    // a message whose term began before this time.
    this.inactiveSinceMs = nowMs;
    return true;
  }

  /** The held lease, to send to other entry VMs; null while none is held. */
  heldLease(nowMs: number): SentLease | null {
    if (!this.holds(nowMs) || this.lastSeen === null) return null;
    return { lease: this.lastSeen, version: this.version, leftMs: this.heldUntilMs - nowMs };
  }

  handle(nowMs: number, event: LeaseEvent): readonly LeaseEffect[] {
    if (!EVENTS_WITHOUT_CALL.has(event.type)) this.callInFlight = false;
    const lost = this.clearExpired(nowMs);
    return [...lost, ...this.step(nowMs, event)];
  }

  private step(nowMs: number, event: LeaseEvent): readonly LeaseEffect[] {
    switch (event.type) {
      case LeaseEventType.tick:
        return this.tick(nowMs);
      case LeaseEventType.read:
        return this.onRead(nowMs, event.lease, event.version);
      case LeaseEventType.readFailed:
        return [];
      case LeaseEventType.written:
        return this.onWritten(nowMs, event.version);
      case LeaseEventType.conflict:
        return this.onConflict(nowMs);
      case LeaseEventType.writeUnknown:
        return this.read(nowMs);
      case LeaseEventType.release:
        return this.release(nowMs);
      case LeaseEventType.handOver:
        return this.handOverInOffice(nowMs, event.isStoreLost === true);
      case LeaseEventType.epochRetired:
        this.retiredEpoch = Math.max(this.retiredEpoch, event.epoch);
        this.newestReportedEpoch = Math.max(this.newestReportedEpoch, event.newestEpoch);
        this.nextCallAtMs = Math.min(this.nextCallAtMs, nowMs);
        return this.takeOver(nowMs);
      case LeaseEventType.sent:
        return this.onLeaseReceived(nowMs, event, event.heirTerm);
      case LeaseEventType.renewImmediately:
        if (this.holds(nowMs)) this.nextCallAtMs = Math.min(this.nextCallAtMs, nowMs);
        return [];
      default:
        return [];
    }
  }

  private tick(nowMs: number): readonly LeaseEffect[] {
    if (nowMs < this.nextCallAtMs || this.callInFlight) return [];
    if (this.pending !== null) return this.read(nowMs);
    if (this.holds(nowMs)) return this.write(nowMs, this.heldEpoch);
    return this.read(nowMs);
  }

  private read(nowMs: number): readonly LeaseEffect[] {
    this.callInFlight = true;
    this.nextCallAtMs = nowMs + this.cfg.durationMs * READ_INTERVAL_FRACTION;
    return [{ type: LeaseEffectType.read }];
  }

  private write(nowMs: number, epoch: number): readonly LeaseEffect[] {
    const renewal = (this.lastSeen?.renewal ?? 0) + 1;
    const { self: holder, address, durationMs } = this.cfg;
    const isOutdated = this.mayBeOutdated(this.lastSeen, this.version);
    const noteBefore = isOutdated ? null : this.lastSeen?.note;
    const detailsBefore = isOutdated ? undefined : this.lastSeen?.noteDetails;
    const note = this.cfg.note?.(noteBefore);
    const isRenewal = this.holds(nowMs) && epoch === this.heldEpoch && !this.takeoverUnconfirmed;
    const noteDetails = isRenewal ? this.cfg.noteDetails?.(detailsBefore) : detailsBefore;
    const heir = this.nextSuccessor(epoch);
    const era = storeVersions.eraOf(this.version);
    const notes = { note, noteDetails };
    const lease: Lease = { holder, address, epoch, durationMs, renewal, heir, ...notes, era };
    this.callInFlight = true;
    const { version } = this;
    this.pending = { lease, noteBefore, detailsBefore, sentAtMs: nowMs, version };
    this.nextCallAtMs = nowMs + durationMs * RENEW_AFTER_FRACTION;
    return [{ type: LeaseEffectType.write, lease, version }];
  }

  /** Successor for the next write. A newly named one gets an unused fencing token. */
  private nextSuccessor(epoch: number): LeaseSuccessor | undefined {
    const named = this.cfg.heir?.() ?? null;
    if (named === null) return undefined;
    const prev = this.lastSeen?.heir;
    if (prev?.vm === named.vm && prev.epoch > epoch) return { ...named, epoch: prev.epoch };
    this.lastSuccessorEpoch = Math.max(epoch, this.lastSuccessorEpoch) + 1;
    return { ...named, epoch: this.lastSuccessorEpoch };
  }

  private onConflict(nowMs: number): readonly LeaseEffect[] {
    const { pending } = this;
    this.pending = null;
    // During a takeover, only a renewal by the previous holder can have been written in between. If
    // another entry VM holds the lease, the read shows that.
    const isTakingOver = this.takeoverUnconfirmed && this.holds(nowMs);
    if (!isTakingOver) {
      this.newHolderUnknown = this.holds(nowMs);
      this.conflictHeldUntilMs = this.heldUntilMs;
      return [...this.clearHeld(), ...this.read(nowMs)];
    }
    const isNewerKnown = pending !== null && this.version > pending.version;
    return isNewerKnown ? this.write(nowMs, this.heldEpoch) : this.read(nowMs);
  }

  private onRead(nowMs: number, lease: Lease | null, version: number): readonly LeaseEffect[] {
    const isSame = version === this.version && (this.lastSeen !== null || lease === null);
    const heldUntilMs = Math.max(this.heldUntilMs, this.conflictHeldUntilMs);
    this.conflictHeldUntilMs = 0;
    this.newHolderUnknown = false;
    if (!isSame) this.versionChangedAtMs = nowMs;
    this.version = version;
    const { pending } = this;
    this.pending = null;
    this.noteEra(version);
    if (this.mayBeOutdated(lease, version)) return this.onOutdated(nowMs, lease, heldUntilMs);
    if (pending !== null && lease !== null && this.isSameWrite(lease, pending.lease)) {
      this.lastSeen = lease;
      return this.onOwnWrite(nowMs, pending);
    }
    if (this.takeoverUnconfirmed && this.holds(nowMs) && (lease?.epoch ?? 0) < this.heldEpoch) {
      return this.write(nowMs, this.heldEpoch);
    }
    // A received lease may be newer than the stored lease of the same version, because a successor
    // takes over before it writes to the store.
    // A received lease of the same epoch may lack the handover note.
    if (!isSame || (lease?.epoch ?? 0) >= (this.lastSeen?.epoch ?? 0)) this.lastSeen = lease;
    if (lease !== null && lease.holder === this.cfg.self && lease.epoch === this.heldEpoch)
      return [];
    return [...this.clearHeld(), ...this.acquireIfFree(nowMs, lease)];
  }

  private noteEra(version: number): void {
    const era = storeVersions.eraOf(version);
    if (this.seenEra !== null && era > this.seenEra) this.returnedInEra = era;
    this.seenEra = Math.max(this.seenEra ?? 0, era);
  }

  /**
   * Whether a later lease may have been lost when the store returned from a copy. A store without a
   * lease is new, unless this process has seen an earlier era of it.
   */
  private mayBeOutdated(lease: Lease | null, version: number): boolean {
    const era = storeVersions.eraOf(version);
    return lease === null ? this.returnedInEra === era : (lease.era ?? 0) < era;
  }

  /** Handles a lease that the store may have held before a lease that it has lost. */
  private onOutdated(
    nowMs: number,
    lease: Lease | null,
    heldUntilMs: number,
  ): readonly LeaseEffect[] {
    this.lastSeen = lease;
    if (this.stopping) return [];
    if (nowMs < heldUntilMs) return this.write(nowMs, epochAfter(lease, this.version));
    const lost = this.clearHeld();
    const durationMs = Math.max(this.cfg.durationMs, lease?.durationMs ?? 0);
    const freeAtMs = this.versionChangedAtMs + durationMs + this.cfg.marginMs + this.acquireWaitMs;
    if (nowMs >= freeAtMs) {
      this.succession = null;
      return [...lost, ...this.write(nowMs, epochAfter(lease, this.version))];
    }
    this.nextCallAtMs = Math.min(this.nextCallAtMs, freeAtMs);
    return lost;
  }

  /**
   * Handles a lease that its holder sent, like one read from the store. The lease duration counts
   * from the holder's last renewal, not from the receipt of the message.
   */
  private onLeaseReceived(
    nowMs: number,
    { lease, version, leftMs }: SentLease,
    term: SuccessorTerm | undefined,
  ): readonly LeaseEffect[] {
    if (this.holds(nowMs)) {
      this.onLateRenewal(lease, version, term);
      return [];
    }
    this.updateSuccession(lease, term);
    const isNewer =
      version > this.version ||
      (version === this.version && lease.epoch > (this.lastSeen?.epoch ?? 0));
    if (this.callInFlight || !isNewer) return this.takeOver(nowMs);
    this.noteEra(version);
    this.version = version;
    this.lastSeen = lease;
    this.versionChangedAtMs = nowMs - Math.max(0, lease.durationMs - leftMs);
    return this.takeOver(nowMs);
  }

  private updateSuccession(lease: Lease, term: SuccessorTerm | undefined): void {
    const { heir } = lease;
    const { succession } = this;
    // The holder has named another successor since.
    const isReplaced = heir !== undefined && heir.epoch > (succession?.heir.epoch ?? Infinity);
    if (isReplaced && heir.vm !== this.cfg.self) this.succession = null;
    if (heir?.vm !== this.cfg.self || term === undefined) return;
    if (term.fromMs <= this.inactiveSinceMs) return;
    const known = this.succession;
    if (known !== null && known.heir.epoch > heir.epoch) return;
    const isNewer = known?.heir.epoch !== heir.epoch || term.untilMs > known.untilMs;
    if (isNewer) this.succession = { lease, heir, untilMs: term.untilMs };
  }

  /** Extends a takeover when the previous holder reports that its last renewal took effect. */
  private onLateRenewal(lease: Lease, version: number, term: SuccessorTerm | undefined): void {
    const isOwnTakeover = lease.heir?.vm === this.cfg.self && lease.heir.epoch === this.heldEpoch;
    if (!this.takeoverUnconfirmed || !isOwnTakeover || term === undefined) return;
    this.version = Math.max(this.version, version);
    this.heldUntilMs = Math.max(this.heldUntilMs, term.untilMs);
  }

  /** Takes over the remaining time of the lease once its holder's epoch is retired. */
  private takeOver(nowMs: number): readonly LeaseEffect[] {
    const { succession } = this;
    if (succession === null || this.stopping || this.holds(nowMs)) return [];
    const { lease, heir, untilMs } = succession;
    const isDue = lease.epoch <= this.retiredEpoch && heir.epoch > this.retiredEpoch;
    const isSuperseded = heir.epoch <= this.lastHeldEpoch || heir.epoch < this.newestEpoch;
    const isTooLate = nowMs >= untilMs || isSuperseded;
    if (!isDue || isTooLate) return [];
    this.succession = null;
    this.takeoverUnconfirmed = true;
    this.heldUntilMs = untilMs;
    this.heldEpoch = heir.epoch;
    this.lastHeldEpoch = heir.epoch;
    const { self: holder, address } = this.cfg;
    const taken = { holder, address, epoch: heir.epoch, heir: undefined, noteDetails: undefined };
    this.lastSeen = { ...lease, ...taken };
    this.nextCallAtMs = nowMs;
    return [
      { type: LeaseEffectType.acquired, epoch: heir.epoch, note: lease.note, isTakeover: true },
      { type: LeaseEffectType.notePersisted, note: lease.note, noteDetails: null },
    ];
  }

  private isSameWrite(lease: Lease, written: Lease): boolean {
    return (
      lease.holder === written.holder &&
      lease.epoch === written.epoch &&
      lease.renewal === written.renewal
    );
  }

  /** Time for which this entry VM leaves a free lease to others, ms. */
  private get acquireWaitMs(): number {
    return this.cfg.acquireWaitMs?.() ?? 0;
  }

  private acquireIfFree(nowMs: number, lease: Lease | null): readonly LeaseEffect[] {
    if (this.stopping) return [];
    if (lease === null || lease.holder === null) return this.acquire(nowMs, nowMs, lease);
    // The lease belongs to a previous process of this VM, so no process acts under it any more.
    const isPreviousProcess = lease.holder === this.cfg.self && lease.epoch > this.lastHeldEpoch;
    if (isPreviousProcess) this.retiredEpoch = Math.max(this.retiredEpoch, lease.epoch);
    // If a lease of this process has expired here, it has expired for its successor too. The
    // successor may hold it no longer than this process could have.
    const hasExpiredHere = lease.holder === this.cfg.self && !isPreviousProcess;
    if (hasExpiredHere && nowMs < this.handedOverUntilMs) {
      this.nextCallAtMs = Math.min(this.nextCallAtMs, this.handedOverUntilMs);
      return [];
    }
    const otherSuccessor = lease.heir?.vm === this.cfg.self ? undefined : lease.heir;
    const isRetired = hasExpiredHere || (otherSuccessor?.epoch ?? lease.epoch) <= this.retiredEpoch;
    const freeAtMs = this.versionChangedAtMs + lease.durationMs + this.cfg.marginMs;
    if (nowMs < freeAtMs && !isRetired) {
      this.nextCallAtMs = Math.min(this.nextCallAtMs, freeAtMs + this.acquireWaitMs);
      return [];
    }
    return this.acquire(nowMs, Math.min(nowMs, freeAtMs), lease);
  }

  /** Acquires a lease that has been free since `freeAtMs`, or waits for VMs with better links. */
  private acquire(nowMs: number, freeAtMs: number, lease: Lease | null): readonly LeaseEffect[] {
    if (this.freeSince?.version !== this.version) {
      this.freeSince = { version: this.version, atMs: freeAtMs };
    }
    const dueMs = this.freeSince.atMs + this.acquireWaitMs;
    if (nowMs < dueMs) {
      this.nextCallAtMs = Math.min(this.nextCallAtMs, dueMs);
      return [];
    }
    this.succession = null;
    return this.write(nowMs, epochAfter(lease, this.version));
  }

  private onWritten(nowMs: number, version: number): readonly LeaseEffect[] {
    const { pending } = this;
    if (pending === null) return [];
    // The store has returned from a copy, so the write may have replaced a lease of its new era.
    if (this.mayBeOutdated(pending.lease, version)) return this.read(nowMs);
    this.pending = null;
    this.version = version;
    this.lastSeen = pending.lease;
    this.versionChangedAtMs = nowMs;
    return this.onOwnWrite(nowMs, pending);
  }

  private onOwnWrite(
    nowMs: number,
    { lease, noteBefore, detailsBefore, sentAtMs }: PendingWrite,
  ): readonly LeaseEffect[] {
    if (lease.holder !== this.cfg.self) return [];
    if (this.stopping) return this.handOver(lease, sentAtMs + lease.durationMs);
    this.takeoverUnconfirmed = false;
    // A lease that expired before its renewal was confirmed continues under a new fencing token.
    const hasExpired = !this.holds(nowMs) && lease.epoch <= this.lastHeldEpoch;
    if (hasExpired) return this.write(nowMs, epochAfter(lease, this.version));
    const isNew = this.heldEpoch !== lease.epoch || !this.holds(nowMs);
    this.heldUntilMs = sentAtMs + lease.durationMs;
    this.heldEpoch = lease.epoch;
    this.lastHeldEpoch = Math.max(this.lastHeldEpoch, lease.epoch);
    const { epoch, note, noteDetails } = lease;
    const notePersisted = { type: LeaseEffectType.notePersisted, note, noteDetails } as const;
    if (!isNew || !this.holds(nowMs)) return [notePersisted];
    const before = { note: noteBefore, noteDetails: detailsBefore };
    return [{ type: LeaseEffectType.acquired, epoch, ...before }, notePersisted];
  }

  private clearExpired(nowMs: number): readonly LeaseEffect[] {
    return this.heldUntilMs > 0 && !this.holds(nowMs) ? this.clearHeld() : [];
  }

  private clearHeld(): readonly LeaseEffect[] {
    if (this.heldUntilMs === 0) return [];
    this.heldUntilMs = 0;
    this.heldEpoch = 0;
    this.takeoverUnconfirmed = false;
    return [{ type: LeaseEffectType.lost }];
  }

  private release(nowMs: number): readonly LeaseEffect[] {
    this.stopping = true;
    const held = this.holds(nowMs) ? this.lastSeen : null;
    if (held !== null) this.retiredEpoch = Math.max(this.retiredEpoch, this.heldEpoch);
    const lost = this.clearHeld();
    // While a renewal is in flight, its result determines which lease is handed over.
    if (held === null || this.pending !== null || this.callInFlight) return lost;
    return [...lost, ...this.handOver(held, nowMs)];
  }

  /**
   * Releases the lease to its successor while this entry VM goes on running. It does so only if no
   * store call is in flight, so that the lease that others are told is the one that is stored. If the
   * store is lost, a renewal may still take effect that names the same successor: the successor then
   * replaces it, as after a planned stop.
   */
  private handOverInOffice(nowMs: number, isStoreLost: boolean): readonly LeaseEffect[] {
    const { lastSeen, pending } = this;
    const isCalling = this.pending !== null || this.callInFlight;
    const named = pending === null ? lastSeen?.heir : pending.lease.heir;
    const isSameSuccessor = named !== undefined && named.epoch === lastSeen?.heir?.epoch;
    const isBusy = this.takeoverUnconfirmed || (isCalling && !(isStoreLost && isSameSuccessor));
    if (!this.holds(nowMs) || isBusy || lastSeen?.heir === undefined) return [];
    this.pending = null;
    this.retiredEpoch = Math.max(this.retiredEpoch, this.heldEpoch);
    this.handedOverUntilMs = this.heldUntilMs + this.cfg.marginMs;
    return this.clearHeld();
  }

  /** Hands the lease over to its successor; without one, marks it as free for any entry VM. */
  private handOver(lease: Lease, untilMs: number): readonly LeaseEffect[] {
    const { version } = this;
    if (lease.heir !== undefined) {
      return [{ type: LeaseEffectType.lateRenewal, lease, version, untilMs }];
    }
    const free: Lease = {
      holder: null,
      epoch: lease.epoch,
      durationMs: this.cfg.durationMs,
      note: this.cfg.note?.(lease.note),
      noteDetails: this.cfg.noteDetails?.(lease.noteDetails),
      era: storeVersions.eraOf(version),
      renewal: lease.renewal + 1,
    };
    this.callInFlight = true;
    return [{ type: LeaseEffectType.write, lease: free, version }];
  }
}
