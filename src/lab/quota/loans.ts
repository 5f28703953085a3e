/** The fleet's loans on a virtual clock: borrowers and givers with a network between them. */
import type { Random } from '../../core/random/index.js';
import * as quota from '../../decisions/quota/index.js';
import type { VirtualClock } from '../virtual/index.js';
import type { Arrival, Disturbance, Network, Outcome, QuotaShape } from './types.js';

const TICK_MS = 25;
/** Time until a lender that died is replaced, and until its place is known, ms. */
const TAKEOVER_MS = 6_000;

interface Vm {
  readonly id: string;
  readonly dataCentre: number;
  floor: quota.QuotaGiver;
  lender: quota.QuotaGiver | null;
  readonly borrower: quota.QuotaBorrower;
  alive: boolean;
}

export class LoanFleet {
  private readonly vms: Vm[];

  private readonly waiting = new Map<string, Arrival>();

  private readonly cut = new Set<number>();

  /** Messages that were sent between the entry VMs. */
  messages = 0;

  private lastRequest = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly shape: QuotaShape,
    private readonly network: Network,
    private readonly random: Random,
    private readonly onSettled: (outcome: Outcome) => void,
  ) {
    const count = shape.dataCentres * shape.vmsPerDataCentre;
    this.vms = Array.from({ length: count }, (_, index) => this.createVm(index));
    clock.every(TICK_MS, () => this.tick());
  }

  /** Puts back what a request reserved and did not use. */
  refund(vm: number, customer: string, tokens: number): void {
    const giver = this.vms[vm % this.vms.length];
    if (giver === undefined || tokens <= 0) return;
    this.carryOut(giver, giver.borrower.refund(this.clock.nowMs(), customer, tokens));
  }

  private get split(): quota.FleetShape {
    return { dataCentres: this.shape.dataCentres, floors: this.shape.vmsPerDataCentre };
  }

  private createVm(index: number): Vm {
    const dataCentre = Math.floor(index / this.shape.vmsPerDataCentre);
    const floor = new quota.QuotaGiver(0, null);
    floor.configure(0, quota.floorLimits(this.shape.limits, this.split));
    const borrower = new quota.QuotaBorrower(floor);
    borrower.setLimits(this.shape.limits);
    const isLender = index % this.shape.vmsPerDataCentre === 0;
    const lender = isLender ? this.createLender(0, null) : null;
    return { id: `vm-${index}`, dataCentre, floor, lender, borrower, alive: true };
  }

  private createLender(
    frozenUntilMs: number,
    levels: Readonly<Record<string, number>> | null,
  ): quota.QuotaGiver {
    const lender = new quota.QuotaGiver(frozenUntilMs, levels);
    lender.configure(this.clock.nowMs(), quota.lenderLimits(this.shape.limits, this.split));
    return lender;
  }

  /** A request asks for tokens at its entry VM. */
  arrive(arrival: Arrival): void {
    const vm = this.vms[arrival.vm % this.vms.length];
    if (vm === undefined || !vm.alive) return;
    this.lastRequest += 1;
    const requestId = String(this.lastRequest);
    this.waiting.set(requestId, arrival);
    vm.borrower.setGivers(this.giversFor(vm));
    const nowMs = this.clock.nowMs();
    const { customer, tokens, patienceMs } = arrival;
    const req = { requestId, customer, tokens, deadlineAtMs: nowMs + patienceMs };
    this.carryOut(vm, vm.borrower.request(nowMs, req));
  }

  private tick(): void {
    this.vms
      .filter(({ alive, borrower }) => alive && !borrower.isAtRest())
      .forEach((vm) => {
        vm.borrower.setGivers(this.giversFor(vm));
        this.carryOut(vm, vm.borrower.tick(this.clock.nowMs()));
      });
  }

  private giversFor(vm: Vm): quota.Givers {
    const asMember = ({ id, dataCentre, lender }: Vm): quota.GiverMember => ({
      vm: id,
      dataCentre: String(dataCentre),
      lender: lender !== null,
    });
    const known = this.vms.filter(
      (other) => other !== vm && other.alive && this.reaches(vm, other),
    );
    return quota.chooseGivers(asMember(vm), known.map(asMember), this.random);
  }

  private reaches(a: Vm, b: Vm): boolean {
    if (a.dataCentre === b.dataCentre) return true;
    return !this.cut.has(a.dataCentre) && !this.cut.has(b.dataCentre);
  }

  private carryOut(vm: Vm, effects: readonly quota.QuotaEffect[]): void {
    const { QuotaEffectType } = quota;
    effects.forEach((effect) => {
      if (effect.type === QuotaEffectType.admit) this.settle(effect.requestId, true);
      else if (effect.type === QuotaEffectType.refuse) this.settle(effect.requestId, false);
      else this.send(vm, effect.to.vm, (giver) => this.receive(giver, vm, effect));
    });
  }

  private receive(
    vm: Vm,
    from: Vm,
    effect: quota.AskEffect | quota.SettleEffect | quota.RefundEffect,
  ): void {
    const nowMs = this.clock.nowMs();
    const giver = effect.to.role === quota.GiverRole.lender ? vm.lender : vm.floor;
    const { customer } = effect;
    if (effect.type === quota.QuotaEffectType.ask) {
      const { askId, tokens } = effect;
      const none = { askId, customer, loanId: 0, tokens: 0 };
      const grant = giver?.lend(nowMs, askId, customer, tokens) ?? none;
      this.send(vm, from.id, (borrower) => {
        this.carryOut(borrower, borrower.borrower.grant(this.clock.nowMs(), grant));
      });
    } else if (effect.type === quota.QuotaEffectType.settle) {
      giver?.settle(nowMs, customer, effect.loanId, effect.spent, effect.returned);
    } else giver?.refund(nowMs, customer, effect.tokens);
  }

  private send(from: Vm, to: string, deliver: (vm: Vm) => void): void {
    const target = this.vms.find(({ id }) => id === to);
    this.messages += 1;
    if (target === undefined || this.random.real() < this.network.loss) return;
    const copies = this.random.real() < this.network.duplicates ? 2 : 1;
    const [shortest, longest] = this.network.delayMs;
    Array.from({ length: copies }).forEach(() => {
      const delayMs = shortest + this.random.real() * (longest - shortest);
      this.clock.after(delayMs, () => {
        if (target.alive && this.reaches(from, target)) deliver(target);
      });
    });
  }

  private settle(requestId: string, admitted: boolean): void {
    const arrival = this.waiting.get(requestId);
    if (arrival === undefined) return;
    this.waiting.delete(requestId);
    this.onSettled({ arrival, admitted, atMs: this.clock.nowMs() });
  }

  disturb({ type, index }: Disturbance): void {
    const vm = this.vms[index % this.vms.length];
    if (vm === undefined) return;
    if (type === 'cut-data-centre') this.cut.add(vm.dataCentre);
    else if (type === 'heal') this.cut.clear();
    else if (type === 'kill-vm') this.kill(vm);
    else this.replaceLender(vm.dataCentre);
  }

  private kill(vm: Vm): void {
    Object.assign(vm, { alive: false });
    if (vm.lender === null) return;
    this.clock.after(TAKEOVER_MS, () => this.replaceLender(vm.dataCentre));
  }

  /** Passes the lender's tenure on to another VM, as after a hand-over without levels. */
  private replaceLender(dataCentre: number): void {
    const members = this.vms.filter((vm) => vm.dataCentre === dataCentre && vm.alive);
    const old = this.vms.find((vm) => vm.dataCentre === dataCentre && vm.lender !== null);
    const next = members.find((vm) => vm !== old);
    if (next === undefined) return;
    if (old !== undefined) Object.assign(old, { lender: null });
    const frozenMs = quota.LOAN_TTL_MS + quota.LOAN_MARGIN_MS;
    Object.assign(next, { lender: this.createLender(this.clock.nowMs() + frozenMs, {}) });
  }
}
