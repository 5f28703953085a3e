/** Simulates quota loans on the virtual clock: borrowers and grantors linked by a network. */
import type { Random } from '../../core/random/index.js';
import * as quota from '../../decisions/quota/index.js';
import type { VirtualClock } from '../virtual/index.js';
import type { Arrival, FleetFault, Network, Outcome, QuotaScenario } from './types.js';

const TICK_MS = 25;
/** Time until a crashed lender is replaced and the entry VMs use its replacement. */
const LENDER_TAKEOVER_MS = 6_000;

/** An entry VM. */
interface Vm {
  readonly id: string;
  readonly dataCentre: number;
  /** The local reserve. */
  floor: quota.LoanGrantor;
  /** Set while this VM is the lender of its data centre. */
  lender: quota.LoanGrantor | null;
  readonly borrower: quota.QuotaBorrower;
  isRunning: boolean;
}

/** The entry VMs of a fleet and the loan messages between them. */
export class LoanFleet {
  private readonly vms: Vm[];

  private readonly waiting = new Map<string, Arrival>();

  /** Data centres that are cut off from the others. */
  private readonly cut = new Set<number>();

  /** Messages sent between the entry VMs so far. */
  messages = 0;

  private lastRequestId = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly scenario: QuotaScenario,
    private readonly network: Network,
    private readonly random: Random,
    private readonly onDecision: (outcome: Outcome) => void,
  ) {
    const count = scenario.dataCentres * scenario.vmsPerDataCentre;
    this.vms = Array.from({ length: count }, (_, index) => this.createVm(index));
    clock.every(TICK_MS, () => this.tick());
  }

  /** Returns tokens that a request reserved and did not use. */
  refund(vm: number, customer: string, tokens: number): void {
    const target = this.vms[vm % this.vms.length];
    if (target === undefined || tokens <= 0) return;
    this.applyEffects(target, target.borrower.refund(this.clock.nowMs(), customer, tokens));
  }

  private get fleetSize(): quota.FleetSize {
    return {
      dataCentres: this.scenario.dataCentres,
      localReserves: this.scenario.vmsPerDataCentre,
    };
  }

  private createVm(index: number): Vm {
    const dataCentre = Math.floor(index / this.scenario.vmsPerDataCentre);
    const localReserve = new quota.LoanGrantor(0, null);
    localReserve.configure(0, quota.localReserveLimits(this.scenario.limits, this.fleetSize));
    const borrower = new quota.QuotaBorrower(localReserve);
    borrower.setLimits(this.scenario.limits);
    const isLender = index % this.scenario.vmsPerDataCentre === 0;
    const lender = isLender ? this.createLender(0, null) : null;
    return {
      id: `vm-${index}`,
      dataCentre,
      floor: localReserve,
      lender,
      borrower,
      isRunning: true,
    };
  }

  /**
   * Creates a lender whose accounts earn no tokens before `frozenUntilMs`. They start with
   * `startLevels`, or with their full burst if it is null.
   */
  private createLender(
    frozenUntilMs: number,
    startLevels: Readonly<Record<string, number>> | null,
  ): quota.LoanGrantor {
    const lender = new quota.LoanGrantor(frozenUntilMs, startLevels);
    lender.configure(this.clock.nowMs(), quota.lenderLimits(this.scenario.limits, this.fleetSize));
    return lender;
  }

  /** Requests the tokens of an arriving request at its entry VM. */
  handleArrival(arrival: Arrival): void {
    const vm = this.vms[arrival.vm % this.vms.length];
    if (vm === undefined || !vm.isRunning) return;
    this.lastRequestId += 1;
    const requestId = String(this.lastRequestId);
    this.waiting.set(requestId, arrival);
    vm.borrower.setGrantors(this.grantorsFor(vm));
    const nowMs = this.clock.nowMs();
    const { customer, tokens, maxWaitMs } = arrival;
    const req = { requestId, customer, tokens, deadlineAtMs: nowMs + maxWaitMs };
    this.applyEffects(vm, vm.borrower.request(nowMs, req));
  }

  private tick(): void {
    this.vms
      .filter(({ isRunning, borrower }) => isRunning && !borrower.isIdle())
      .forEach((vm) => {
        vm.borrower.setGrantors(this.grantorsFor(vm));
        this.applyEffects(vm, vm.borrower.tick(this.clock.nowMs()));
      });
  }

  /** Grantors that an entry VM can reach, in the order in which it asks them. */
  private grantorsFor(vm: Vm): quota.Grantors {
    const toCandidate = ({ id, dataCentre, lender }: Vm): quota.GrantorCandidate => ({
      vm: id,
      dataCentre: String(dataCentre),
      lender: lender !== null,
    });
    const reachable = this.vms.filter(
      (other) => other !== vm && other.isRunning && this.canReach(vm, other),
    );
    return quota.chooseGrantors(toCandidate(vm), reachable.map(toCandidate), this.random);
  }

  private canReach(a: Vm, b: Vm): boolean {
    if (a.dataCentre === b.dataCentre) return true;
    return !this.cut.has(a.dataCentre) && !this.cut.has(b.dataCentre);
  }

  private applyEffects(vm: Vm, effects: readonly quota.QuotaEffect[]): void {
    const { QuotaEffectType } = quota;
    effects.forEach((effect) => {
      if (effect.type === QuotaEffectType.admit) this.complete(effect.requestId, true);
      else if (effect.type === QuotaEffectType.refuse) this.complete(effect.requestId, false);
      else this.send(vm, effect.to.vm, (target) => this.receive(target, vm, effect));
    });
  }

  private receive(
    vm: Vm,
    from: Vm,
    effect: quota.AskEffect | quota.SettleEffect | quota.RefundEffect,
  ): void {
    const nowMs = this.clock.nowMs();
    const grantor = effect.to.role === quota.GrantorRole.lender ? vm.lender : vm.floor;
    const { customer } = effect;
    if (effect.type === quota.QuotaEffectType.ask) {
      const { askId, tokens } = effect;
      const emptyGrant = { askId, customer, loanId: 0, tokens: 0 };
      const grant = grantor?.lend(nowMs, askId, customer, tokens) ?? emptyGrant;
      this.send(vm, from.id, (asker) => {
        this.applyEffects(asker, asker.borrower.grant(this.clock.nowMs(), grant));
      });
    } else if (effect.type === quota.QuotaEffectType.settle) {
      grantor?.settle(nowMs, customer, effect.loanId, effect.spent, effect.returned);
    } else grantor?.refund(nowMs, customer, effect.tokens);
  }

  /** Delivers a message after the network delay, unless it is lost or the target is unreachable. */
  private send(from: Vm, to: string, deliver: (vm: Vm) => void): void {
    const target = this.vms.find(({ id }) => id === to);
    this.messages += 1;
    if (target === undefined || this.random.real() < this.network.loss) return;
    const copies = this.random.real() < this.network.duplicates ? 2 : 1;
    const [minMs, maxMs] = this.network.delayMs;
    Array.from({ length: copies }).forEach(() => {
      const delayMs = minMs + this.random.real() * (maxMs - minMs);
      this.clock.after(delayMs, () => {
        if (target.isRunning && this.canReach(from, target)) deliver(target);
      });
    });
  }

  private complete(requestId: string, admitted: boolean): void {
    const arrival = this.waiting.get(requestId);
    if (arrival === undefined) return;
    this.waiting.delete(requestId);
    this.onDecision({ arrival, admitted, atMs: this.clock.nowMs() });
  }

  injectFault({ type, index }: FleetFault): void {
    const vm = this.vms[index % this.vms.length];
    if (vm === undefined) return;
    if (type === 'cut-data-centre') this.cut.add(vm.dataCentre);
    else if (type === 'heal') this.cut.clear();
    else if (type === 'kill-vm') this.crash(vm);
    else this.replaceLender(vm.dataCentre);
  }

  private crash(vm: Vm): void {
    Object.assign(vm, { isRunning: false });
    if (vm.lender === null) return;
    this.clock.after(LENDER_TAKEOVER_MS, () => this.replaceLender(vm.dataCentre));
  }

  /**
   * Makes another VM the lender of the data centre, as after a takeover without the remaining
   * tokens: its accounts start empty and earn nothing until all old loans have expired.
   */
  private replaceLender(dataCentre: number): void {
    const candidates = this.vms.filter((vm) => vm.dataCentre === dataCentre && vm.isRunning);
    const previous = this.vms.find((vm) => vm.dataCentre === dataCentre && vm.lender !== null);
    const next = candidates.find((vm) => vm !== previous);
    if (next === undefined) return;
    if (previous !== undefined) Object.assign(previous, { lender: null });
    const frozenMs = quota.LOAN_TTL_MS + quota.LOAN_MARGIN_MS;
    Object.assign(next, { lender: this.createLender(this.clock.nowMs() + frozenMs, {}) });
  }
}
