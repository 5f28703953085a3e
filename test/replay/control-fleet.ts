/** Replays the control path of a fleet on virtual time: leases, reports, grants, views over slow links. */
import {
  findHandover,
  HandoverReason,
  type LeaseEffect,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
  type SentLease,
  type SuccessorCandidate,
} from '../../src/decisions/leases/index.js';
import * as messages from './control-messages.js';
import { Network, STEP_MS } from './control-network.js';
import { Kind } from './control-rules.js';
import {
  createVm,
  type FleetOptions,
  type ReplayMember,
  StewardRecord,
  type Vm,
} from './control-vm.js';

const STORE_MS = 20;
const STORE_TIMEOUT_MS = 700;
const STORE_CALL_BYTES = 700;
const STEWARD_TIMEOUT_MS = 800;
const PROBE_MS = 200;
const PROBE_BYTES = 120;
/** Mean time between two newly queued requests of a member, ms. */
const QUEUED_EVERY_MS = 150;

export class ControlFleet extends Network {
  /** Reasons of the handovers. */
  readonly handovers: HandoverReason[] = [];

  private readonly vms: readonly Vm[];

  readonly record = new StewardRecord();

  constructor(private readonly opts: FleetOptions) {
    super();
    this.vms = opts.links.map((mbps, at) =>
      createVm(mbps, at, opts, (vm) => vm.selector.choose(this.nowMs, this.candidatesOf(vm))),
    );
  }

  run(untilMs: number): void {
    while (this.nowMs < untilMs) {
      this.runDue();
      if (this.nowMs === this.opts.killed?.atMs) this.kill(this.opts.killed.vms);
      this.vms.filter((vm) => this.isRunning(vm)).forEach((vm) => this.step(vm));
      this.record.note(this.nowMs, this.steward);
      this.nowMs += STEP_MS;
    }
  }

  get steward(): Vm | null {
    return this.vms.find((vm) => this.isSteward(vm)) ?? null;
  }

  private isRunning({ mbps, isKilled }: Vm): boolean {
    return !isKilled && (mbps < 100 || this.nowMs >= (this.opts.fastFromMs ?? 0));
  }

  private isSteward(vm: Vm): boolean {
    return !vm.isKilled && vm.manager.holds(this.nowMs);
  }

  private candidatesOf(vm: Vm): readonly SuccessorCandidate[] {
    return [...vm.members.values()]
      .filter((member) => member.vm !== vm && member.reportedAtMs > -Infinity)
      .map((member) => ({
        vm: member.vm.name,
        address: member.vm.name,
        sinceMs: member.sinceMs,
        leaving: false,
        partitions: 0,
        ...member.vm.rules.candidate(this.nowMs),
      }));
  }

  /** Hands over to a better member, and has the successor call the store if it may be one. */
  private handOverIfBetter(steward: Vm): void {
    const own = steward.rules.stewardState();
    const candidates = this.candidatesOf(steward);
    const handover = findHandover(this.nowMs, own, candidates);
    const held = steward.manager.heldLease(this.nowMs);
    const heir = this.vms.find(({ name }) => name === held?.lease.heir?.vm);
    const isIntended = findHandover(this.nowMs, own, candidates, true) !== null;
    if (isIntended && heir !== undefined && this.nowMs % PROBE_MS === 0) {
      this.sendTo(steward, heir, Kind.first, PROBE_BYTES, () => this.callStoreOnly(heir));
    }
    if (handover === null || held === null) return;
    if (heir === undefined || !handover.better.some(({ vm }) => vm === heir.name)) {
      if (handover.reason !== HandoverReason.store)
        this.feed(steward, { type: LeaseEventType.renewImmediately });
      return;
    }
    const members = [...steward.members.keys()];
    this.feed(steward, { type: LeaseEventType.handOver, isStoreLost: own.isStoreLost });
    if (this.isSteward(steward)) return;
    this.handovers.push(handover.reason);
    members
      .sort((a, b) => Number(a === heir) - Number(b === heir))
      .forEach((vm) => this.sendLease(steward, vm, held, true));
  }

  /** A store call by which a successor shows that it reaches the store. */
  private callStoreOnly(vm: Vm): void {
    vm.rules.noteStoreCall(this.nowMs, !this.isRejected(vm));
  }

  private isRejected({ at }: Vm): boolean {
    const { rejected } = this.opts;
    if (rejected === undefined || !rejected.vms(at)) return false;
    return this.nowMs >= rejected.fromMs && this.nowMs < rejected.untilMs;
  }

  private kill(isKilled: (mbps: number) => boolean): void {
    this.vms
      .filter(({ mbps }) => isKilled(mbps))
      .forEach((vm) => Object.assign(vm, { isKilled: true }));
  }

  private step(vm: Vm): void {
    if (this.nowMs % 50 === (vm.at % 10) * STEP_MS) this.tickLease(vm);
    if (this.nowMs % 20 === (vm.at % 4) * STEP_MS) this.tickMember(vm);
    if ((this.nowMs + vm.at * 35) % QUEUED_EVERY_MS === 0) Object.assign(vm, { isQueued: true });
    if (this.nowMs % 40 === 0 && this.isSteward(vm)) this.sendUpdates(vm);
  }

  private isConnected(vm: Vm): boolean {
    return vm.steward !== null && this.nowMs - vm.heardAtMs < STEWARD_TIMEOUT_MS;
  }

  private tickLease(vm: Vm): void {
    if (!this.isSteward(vm) && this.isConnected(vm)) return;
    this.feed(vm, { type: LeaseEventType.tick });
  }

  private feed(vm: Vm, event: LeaseEvent): void {
    if (vm.isKilled) return;
    vm.manager.handle(this.nowMs, event).forEach((effect) => this.perform(vm, effect));
    if (!this.isSteward(vm)) vm.members.clear();
  }

  private perform(vm: Vm, effect: LeaseEffect): void {
    if (effect.type !== LeaseEffectType.read && effect.type !== LeaseEffectType.write) return;
    const sentAtMs = this.nowMs;
    const reachedAtMs = vm.up.push(sentAtMs, STORE_CALL_BYTES) + STORE_MS;
    const isRejected = this.isRejected(vm);
    vm.rules.noteStoreCall(sentAtMs, !isRejected);
    this.after(reachedAtMs - sentAtMs, () => {
      const answer = isRejected ? this.failure(effect) : this.callStore(effect);
      const answeredAtMs = vm.down.push(this.nowMs, STORE_CALL_BYTES);
      const isLate = answeredAtMs - sentAtMs > STORE_TIMEOUT_MS;
      const delayMs = isLate ? 0 : answeredAtMs - this.nowMs;
      this.after(delayMs, () => this.feed(vm, isLate ? this.failure(effect) : answer));
    });
  }

  private failure(effect: LeaseEffect): LeaseEvent {
    return effect.type === LeaseEffectType.read
      ? { type: LeaseEventType.readFailed }
      : { type: LeaseEventType.writeUnknown };
  }

  private tickMember(vm: Vm): void {
    const active = vm.manager.activeSteward;
    const steward = this.vms.find(({ name }) => name === active?.vm) ?? null;
    const isOther = steward !== vm.steward;
    if (steward !== null && (isOther || !this.isConnected(vm)) && this.nowMs >= vm.dialAtMs) {
      Object.assign(vm, { dialAtMs: this.nowMs + STEWARD_TIMEOUT_MS, steward: null });
      this.send(vm, steward, 100, () => this.accept(steward, vm));
    }
    const { rules } = vm;
    const sinceMs = this.nowMs - vm.reportedAtMs;
    const gapMs = vm.isQueued ? rules.immediateGapMs() : rules.reportIntervalMs();
    if (vm.steward === null || sinceMs < gapMs) return;
    this.report(vm, vm.steward);
  }

  private accept(steward: Vm, vm: Vm): void {
    if (!this.isSteward(steward)) {
      const { newestEpoch } = steward.manager;
      if (!steward.isKilled && steward.manager.confirmInactive(this.nowMs)) {
        this.send(steward, vm, 60, () =>
          this.feed(vm, {
            type: LeaseEventType.epochRetired,
            epoch: vm.manager.newestEpoch,
            newestEpoch,
          }),
        );
      }
      return;
    }
    const sinceMs = this.nowMs;
    steward.members.set(vm, {
      vm,
      sinceMs,
      reportedAtMs: -Infinity,
      viewedAtMs: -Infinity,
      shownAtMs: -Infinity,
      leaseVersion: 0,
      leaseSentAtMs: -Infinity,
      peers: 0,
      hasLists: false,
    });
    this.sendTo(steward, vm, Kind.first, messages.WELCOME_BYTES, () => {
      Object.assign(vm, { steward, reportedAtMs: -Infinity, sharesAtMs: -Infinity });
      vm.rules.noteWelcome(steward.mbps);
      this.report(vm, steward);
    });
  }

  private report(vm: Vm, steward: Vm): void {
    const hasShares = vm.rules.hasShares(this.nowMs - vm.sharesAtMs);
    Object.assign(vm, { reportedAtMs: this.nowMs, isQueued: false });
    if (hasShares) Object.assign(vm, { sharesAtMs: this.nowMs });
    const bytes = vm.rules.reportBytes(hasShares);
    this.send(vm, steward, bytes, () => this.handleReport(steward, vm, hasShares));
  }

  private handleReport(steward: Vm, vm: Vm, hasShares: boolean): void {
    const member = steward.members.get(vm);
    if (!this.isSteward(steward) || member === undefined) return;
    Object.assign(member, { reportedAtMs: this.nowMs });
    if (!member.hasLists) this.sendLists(steward, member);
    this.sendTo(steward, vm, Kind.first, steward.rules.grantBytes(hasShares));
  }

  private sendLists(steward: Vm, member: ReplayMember): void {
    if (!steward.rules.allows(this.nowMs, Kind.lists)) return;
    Object.assign(member, { hasLists: true });
    this.sendTo(steward, member.vm, Kind.lists, steward.rules.listBytes);
  }

  /** Sends renewed leases and views. */
  private sendUpdates(steward: Vm): void {
    const { rules } = steward;
    rules.setMembers(steward.members.size);
    steward.members.forEach((member) => {
      if (member.reportedAtMs === -Infinity) return;
      const { vm } = member;
      const held = steward.manager.heldLease(this.nowMs);
      const isPaced = held?.lease.heir?.vm !== vm.name;
      const pauseMs = isPaced ? rules.leasePauseMs : 0;
      const isLeaseDue = this.nowMs - member.leaseSentAtMs >= pauseMs;
      if (held !== null && held.version !== member.leaseVersion && isLeaseDue) {
        Object.assign(member, { leaseVersion: held.version, leaseSentAtMs: this.nowMs });
        this.sendLease(steward, vm, held, false);
      }
      if (!member.hasLists) this.sendLists(steward, member);
      this.sendView(steward, member);
    });
    this.handOverIfBetter(steward);
  }

  private sendLease(steward: Vm, vm: Vm, held: SentLease, isGivenUp: boolean): void {
    const { epoch, heir } = held.lease;
    const fromMs = this.nowMs;
    const heirTerm = heir?.vm === vm.name ? { fromMs, untilMs: fromMs + held.leftMs } : undefined;
    this.sendTo(steward, vm, Kind.first, steward.rules.leaseBytes(this.vms.length), () => {
      this.feed(vm, { type: LeaseEventType.sent, ...held, heirTerm });
      if (isGivenUp)
        this.feed(vm, { type: LeaseEventType.epochRetired, epoch, newestEpoch: epoch });
    });
  }

  private sendView(steward: Vm, member: ReplayMember): void {
    const { rules } = steward;
    const sinceMs = this.nowMs - member.viewedAtMs;
    const arePeersNew =
      member.peers !== steward.members.size && rules.allows(this.nowMs, Kind.lists);
    const isDue = sinceMs >= rules.viewIntervalMs() && rules.allows(this.nowMs, Kind.changes);
    const silentMs = this.nowMs - (rules.isPaced ? member.shownAtMs : member.viewedAtMs);
    if (!isDue && !arePeersNew && silentMs < rules.keepAliveMs) return;
    const { members } = steward;
    Object.assign(member, { viewedAtMs: this.nowMs });
    if (arePeersNew) Object.assign(member, { peers: members.size });
    const bytes = rules.viewBytes(isDue, arePeersNew ? members.size : 0);
    this.sendTo(steward, member.vm, arePeersNew ? Kind.lists : Kind.changes, bytes, () => {
      member.vm.rules.noteSteward(members.size, steward.mbps, Math.max(...this.opts.links));
    });
  }

  private sendTo(steward: Vm, vm: Vm, kind: Kind, bytes: number, handle?: () => void): void {
    if (steward !== vm) steward.rules.noteSent(this.nowMs, kind, bytes);
    const member = steward.members.get(vm);
    if (member !== undefined) member.shownAtMs = this.nowMs;
    this.send(steward, vm, bytes, () => {
      if (vm.steward === steward || vm.steward === null)
        Object.assign(vm, { heardAtMs: this.nowMs });
      handle?.();
    });
  }
}
