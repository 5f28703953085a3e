/** However messages are lost or late, VMs die and lenders change, no customer gets more than it may. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { RateLender, SHARE_TTL_MS, ShareHolder } from '../../../src/decisions/rate-shares/index.js';

const CUSTOMER = 'acme';
const RATE_PER_S = 1_000;
const BURST = 20_000;
const LIMITS = new Map([[CUSTOMER, { ratePerS: RATE_PER_S, burst: BURST }]]);
const VM_COUNT = 4;
const WINDOW_MS = 8_000;
const DRAIN_UNITS = 250;
/** Rounding of many small refills. */
const TOLERANCE = 1e-6;

interface Vm {
  readonly name: string;
  holder: ShareHolder;
  appliedSeq: number;
  /** Messages from the lender that are on their way. */
  inbox: (() => void)[];
}

class Fleet {
  nowMs = 0;

  private lender = new RateLender(0, new Map());

  /** What the lease carries; every lender writes it before it grants. */
  private written: ReadonlyMap<string, number> = new Map();

  private readonly vms: Vm[];

  readonly spent: { atMs: number; units: number }[] = [];

  /** @param writesDown Whether a lender leaves its successor what it may have given. */
  constructor(private readonly writesDown = true) {
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

  /** The lease is renewed with what the lender wants to hand out. */
  write(): void {
    const left = this.lender.allowances(this.nowMs);
    this.written = left;
    this.lender.noteWritten(left);
  }

  report(at: number): void {
    const vm = this.vmAt(at);
    const { lender } = this;
    const sentAtMs = this.nowMs;
    lender.noteReport(this.nowMs, vm.name, vm.appliedSeq, vm.holder.report(this.nowMs));
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

  lose(at: number): void {
    this.vmAt(at).inbox.shift();
  }

  /** The VM dies, and one without any part starts under its name. */
  restart(at: number): void {
    const { name } = this.vmAt(at);
    this.vms[at % VM_COUNT] = this.createVm(name);
  }

  /** Another VM becomes lender; it knows just what the lease carries. */
  changeLender(): void {
    this.lender = new RateLender(this.nowMs, this.writesDown ? new Map(this.written) : new Map());
    this.lender.noteWritten(this.written);
    this.lender.setLimits(this.nowMs, LIMITS);
    this.vms.forEach((vm) => Object.assign(vm, { appliedSeq: 0, inbox: [] }));
  }

  spend(at: number, units: number): void {
    const { holder } = this.vmAt(at);
    holder.noteDemand(this.nowMs, CUSTOMER, units);
    if (holder.take(this.nowMs, CUSTOMER, units)) this.spent.push({ atMs: this.nowMs, units });
  }

  /** Every VM spends all that it has and can borrow. */
  drain(): void {
    this.vms.forEach((vm, at) => {
      this.ask(at, 500);
      vm.inbox.splice(0).forEach((deliver) => deliver());
      while (vm.holder.take(this.nowMs, CUSTOMER, DRAIN_UNITS)) {
        this.spent.push({ atMs: this.nowMs, units: DRAIN_UNITS });
      }
    });
  }

  /** The parts that all VMs hold together, 1 for the whole. */
  totalParts(): number {
    return this.vms
      .flatMap(({ holder }) => holder.report(this.nowMs))
      .reduce((sum, { fraction }) => sum + fraction, 0);
  }

  /** The most that was spent in any window. */
  mostInWindow(): number {
    return this.spent.reduce((most, { atMs }) => {
      const inside = this.spent.filter(
        (other) => other.atMs >= atMs && other.atMs <= atMs + WINDOW_MS,
      );
      return Math.max(
        most,
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
      'write',
      'drain',
      'drain',
      'lose',
      'restart',
    ),
    /** One move in this many is a change of the lender as well. */
    change: fc.nat(30),
    vm: fc.nat(VM_COUNT - 1),
    ms: fc.constantFrom(0, 5, 50, 100, 400),
    units: fc.constantFrom(100, 1_000, 4_000),
  }),
  { minLength: 40, maxLength: 250 },
);

type Move = typeof moves extends fc.Arbitrary<infer T> ? T : never;

/** Plays the moves; returns the most that was spent in a window, and how often something was. */
function play(fleet: Fleet, steps: Move): { most: number; spends: number } {
  steps.forEach(({ do: what, vm, ms, units, change }) => {
    fleet.advance(ms);
    if (change === 0) fleet.changeLender();
    if (what === 'report') fleet.report(vm);
    else if (what === 'deliver') fleet.deliver(vm);
    else if (what === 'spend') fleet.spend(vm, units);
    else if (what === 'ask') fleet.ask(vm, units);
    else if (what === 'write') fleet.write();
    else if (what === 'lose') fleet.lose(vm);
    else if (what === 'restart') fleet.restart(vm);
    else fleet.drain();
  });
  return { most: fleet.mostInWindow(), spends: fleet.spent.length };
}

const MOST = BURST + (RATE_PER_S * WINDOW_MS) / 1_000;
const RUNS = { seed: 20261204, numRuns: 500 };

describe('the parts of a rate', () => {
  test('never give a customer more than its rate and burst', () => {
    let spends = 0;
    fc.assert(
      fc.property(moves, (steps) => {
        const played = play(new Fleet(), steps);
        spends += played.spends;
        expect(played.most).toBeLessThanOrEqual(MOST + TOLERANCE);
      }),
      RUNS,
    );
    // The check would hold of a lender that gives nothing.
    expect(spends).toBeGreaterThan(10_000);
  });

  test('sum to no more than the whole when a new lender hears of one VM only', () => {
    const partsAfterChange = (writesDown: boolean) => {
      const fleet = new Fleet(writesDown);
      fleet.changeLender();
      Array.from({ length: 5 }).forEach(() => {
        fleet.nowMs += 100;
        fleet.report(2);
        fleet.write();
        fleet.deliver(2);
      });
      return fleet.totalParts();
    };
    expect(partsAfterChange(true)).toBeLessThanOrEqual(1 + TOLERANCE);
    // Without what its predecessor left, the lender would give the same parts again.
    expect(partsAfterChange(false)).toBeGreaterThan(1);
  });
});
