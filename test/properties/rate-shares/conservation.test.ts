/** No customer exceeds its limit when messages are lost or late, VMs crash or lenders change. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { RateLender, SHARE_TTL_MS, ShareHolder } from '../../../src/decisions/rate-shares/index.js';

const CUSTOMER = 'acme';
const RATE_PER_S = 1_000;
const BURST = 20_000;
const LIMITS = new Map([[CUSTOMER, { ratePerS: RATE_PER_S, burst: BURST }]]);
const VM_COUNT = 4;
/** Length of the windows in which the spent units are summed. */
const WINDOW_MS = 8_000;
/** Units of each request that `drain` sends. */
const DRAIN_UNITS = 250;
/** Tolerance for rounding errors of many small refills. */
const TOLERANCE = 1e-6;

interface Vm {
  readonly name: string;
  holder: ShareHolder;
  appliedSeq: number;
  /** Messages from the lender that are in transit. */
  inbox: (() => void)[];
}

class Fleet {
  nowMs = 0;

  private lender = new RateLender(0, new Map());

  /** Allowances stored in the lease; a lender writes them before it grants shares. */
  private written: ReadonlyMap<string, number> = new Map();

  private readonly vms: Vm[];

  readonly spent: { atMs: number; units: number }[] = [];

  /** @param persistsAllowances Whether a lender persists its allowances for the next lender. */
  constructor(private readonly persistsAllowances = true) {
    this.lender.setLimits(0, LIMITS);
    this.vms = Array.from({ length: VM_COUNT }, (_, at) => this.createVm(`vm-${at}`));
    this.warmUp();
  }

  /** Reports and grants for long enough that every bucket is full. */
  private warmUp(): void {
    Array.from({ length: 30 }).forEach(() => {
      this.nowMs += 1_000;
      this.vms.forEach((_, at) => {
        this.report(at);
        this.write();
        this.deliver(at);
      });
    });
  }

  advance(ms: number): void {
    this.nowMs += ms;
  }

  /** Renews the lease with the lender's current allowances. */
  write(): void {
    const allowances = this.lender.allowances(this.nowMs);
    this.written = allowances;
    this.lender.notePersisted(allowances);
  }

  report(at: number): void {
    const vm = this.vmAt(at);
    const { lender } = this;
    const sentAtMs = this.nowMs;
    lender.noteReport(this.nowMs, vm.name, vm.appliedSeq, vm.holder.report(this.nowMs));
    vm.holder.unreturned().forEach((units, customer) => lender.refund(this.nowMs, customer, units));
    vm.holder.noteReturned();
    const { seq, fractions } = lender.grant(this.nowMs, vm.name);
    vm.inbox.push(() => {
      if (lender !== this.lender) return;
      const target = this.vmAt(at);
      target.appliedSeq = seq;
      target.holder.grant(this.nowMs, fractions, sentAtMs + SHARE_TTL_MS);
    });
  }

  ask(at: number, units: number): void {
    const vm = this.vmAt(at);
    if (this.lender.lend(this.nowMs, CUSTOMER, units)) {
      vm.inbox.push(() => this.vmAt(at).holder.addLoan(this.nowMs, CUSTOMER, units));
    }
  }

  deliver(at: number): void {
    this.vmAt(at).inbox.shift()?.();
  }

  /** Drops the oldest message in transit to a VM. */
  lose(at: number): void {
    this.vmAt(at).inbox.shift();
  }

  /** Replaces a VM by a new one without any shares under the same name. */
  restart(at: number): void {
    const { name } = this.vmAt(at);
    this.vms[at % VM_COUNT] = this.createVm(name);
  }

  /** Replaces the lender by one that has only the allowances in the lease. */
  changeLender(): void {
    this.lender = new RateLender(
      this.nowMs,
      this.persistsAllowances ? new Map(this.written) : new Map(),
    );
    this.lender.notePersisted(this.written);
    this.lender.setLimits(this.nowMs, LIMITS);
    this.vms.forEach((vm) => Object.assign(vm, { appliedSeq: 0, inbox: [] }));
  }

  spend(at: number, units: number): void {
    const { holder } = this.vmAt(at);
    holder.noteDemand(this.nowMs, CUSTOMER, units);
    if (holder.take(this.nowMs, CUSTOMER, units)) this.spent.push({ atMs: this.nowMs, units });
  }

  /** Admits a request that is then not executed. */
  refuse(at: number, units: number): void {
    const { holder } = this.vmAt(at);
    if (holder.take(this.nowMs, CUSTOMER, units)) holder.refund(this.nowMs, CUSTOMER, units);
  }

  /** Makes every VM borrow once and spend everything it has. */
  drain(): void {
    this.vms.forEach((vm, at) => {
      this.ask(at, 500);
      vm.inbox.splice(0).forEach((deliver) => deliver());
      while (vm.holder.take(this.nowMs, CUSTOMER, DRAIN_UNITS)) {
        this.spent.push({ atMs: this.nowMs, units: DRAIN_UNITS });
      }
    });
  }

  /** Sum of the shares of all VMs; 1 is the full limit. */
  totalShares(): number {
    return this.vms
      .flatMap(({ holder }) => holder.report(this.nowMs))
      .reduce((sum, { fraction }) => sum + fraction, 0);
  }

  /** Largest number of units that was spent within any window of `WINDOW_MS`. */
  maxInWindow(): number {
    return this.spent.reduce((max, { atMs }) => {
      const inside = this.spent.filter(
        (other) => other.atMs >= atMs && other.atMs <= atMs + WINDOW_MS,
      );
      return Math.max(
        max,
        inside.reduce((sum, { units }) => sum + units, 0),
      );
    }, 0);
  }

  private vmAt(at: number): Vm {
    const vm = this.vms[at % VM_COUNT];
    if (vm === undefined) throw new Error('no such VM');
    return vm;
  }

  private createVm(name: string): Vm {
    const holder = new ShareHolder();
    holder.setLimits(this.nowMs, LIMITS);
    return { name, holder, appliedSeq: 0, inbox: [] };
  }
}

const moves = fc.array(
  fc.record({
    do: fc.constantFrom(
      'report',
      'report',
      'deliver',
      'deliver',
      'deliver',
      'spend',
      'spend',
      'spend',
      'ask',
      'refuse',
      'write',
      'drain',
      'drain',
      'lose',
      'restart',
    ),
    /** The lender changes at this move if 0. */
    change: fc.nat(30),
    vm: fc.nat(VM_COUNT - 1),
    ms: fc.constantFrom(0, 5, 50, 100, 400),
    units: fc.constantFrom(100, 1_000, 4_000),
  }),
  { minLength: 40, maxLength: 250 },
);

type Move = typeof moves extends fc.Arbitrary<infer T> ? T : never;

/** Plays the moves; returns the maximum spent in a window and the number of spends. */
function play(fleet: Fleet, steps: Move): { maxSpent: number; spends: number } {
  steps.forEach(({ do: move, vm, ms, units, change }) => {
    fleet.advance(ms);
    if (change === 0) fleet.changeLender();
    if (move === 'report') fleet.report(vm);
    else if (move === 'deliver') fleet.deliver(vm);
    else if (move === 'spend') fleet.spend(vm, units);
    else if (move === 'ask') fleet.ask(vm, units);
    else if (move === 'refuse') fleet.refuse(vm, units);
    else if (move === 'write') fleet.write();
    else if (move === 'lose') fleet.lose(vm);
    else if (move === 'restart') fleet.restart(vm);
    else fleet.drain();
  });
  return { maxSpent: fleet.maxInWindow(), spends: fleet.spent.length };
}

const MAX_SPENT = BURST + (RATE_PER_S * WINDOW_MS) / 1_000;
const RUNS = { seed: 20261204, numRuns: 500 };

describe('rate shares', () => {
  test('never admit more than the rate and burst of a customer', () => {
    let spends = 0;
    fc.assert(
      fc.property(moves, (steps) => {
        const played = play(new Fleet(), steps);
        spends += played.spends;
        expect(played.maxSpent).toBeLessThanOrEqual(MAX_SPENT + TOLERANCE);
      }),
      RUNS,
    );
    // A lender that grants nothing would also pass the check above.
    expect(spends).toBeGreaterThan(10_000);
  });

  test('do not exceed the full limit when only one VM has reported to a new lender', () => {
    const sharesAfterChange = (persistsAllowances: boolean) => {
      const fleet = new Fleet(persistsAllowances);
      fleet.changeLender();
      Array.from({ length: 5 }).forEach(() => {
        fleet.nowMs += 100;
        fleet.report(2);
        fleet.write();
        fleet.deliver(2);
      });
      return fleet.totalShares();
    };
    expect(sharesAfterChange(true)).toBeLessThanOrEqual(1 + TOLERANCE);
    // Without the previous lender's allowances, the new lender would grant the same shares again.
    expect(sharesAfterChange(false)).toBeGreaterThan(1);
  });
});
