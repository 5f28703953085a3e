/** A small customer within its rate whose large requests are spread over all entry VMs. */
import { describe, expect, test } from 'vitest';
import { createRandom } from '../../src/core/random/index.js';
import {
  LOAN_TTL_MS,
  RateLender,
  SHARE_TTL_MS,
  ShareHolder,
} from '../../src/decisions/rate-shares/index.js';

const CUSTOMER = 'acme';
const LIMIT = { ratePerS: 10_700, burst: 10_700 };
const LIMITS = new Map([[CUSTOMER, LIMIT]]);
const REPORT_MS = 100;
/** Fraction of its rate that the customer uses. */
const USED_FRACTION = 0.7;
const DURATION_MS = 120_000;
/** Time before which requests do not count: buckets start empty, and request sizes are unknown. */
const WARM_UP_MS = 10_000;

interface Vm {
  readonly name: string;
  readonly holder: ShareHolder;
  appliedSeq: number;
}

/** Sends requests of 900 to 4,900 units by a seeded random generator and counts the outcomes. */
class Replay {
  readonly counts = { served: 0, neverAdmissible: 0 };

  private readonly lender = new RateLender(0, new Map());

  private readonly vms: readonly Vm[];

  private readonly random;

  constructor(seed: number, vms: number) {
    this.random = createRandom(seed);
    this.lender.setLimits(0, LIMITS);
    this.vms = Array.from({ length: vms }, (_, at) => {
      const holder = new ShareHolder();
      holder.setLimits(0, LIMITS);
      return { name: `vm-${at}`, holder, appliedSeq: 0 };
    });
  }

  play(): void {
    let dueMs = 0;
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 10) {
      if (nowMs % REPORT_MS === 0) this.vms.forEach((vm) => this.report(nowMs, vm));
      if (nowMs >= dueMs) {
        const units = 900 + this.random.real() ** 3 * 4_000;
        this.request(nowMs, units);
        dueMs = nowMs + (units / (LIMIT.ratePerS * USED_FRACTION)) * 1_000;
      }
    }
  }

  private report(nowMs: number, vm: Vm): void {
    this.lender.notePersisted(this.lender.allowances(nowMs));
    this.lender.noteReport(nowMs, vm.name, vm.appliedSeq, vm.holder.report(nowMs));
    const { seq, fractions } = this.lender.grant(nowMs, vm.name);
    Object.assign(vm, { appliedSeq: seq });
    vm.holder.grant(nowMs, fractions, nowMs + SHARE_TTL_MS);
  }

  private request(nowMs: number, units: number): void {
    const vm = this.vms[Math.floor(this.random.real() * this.vms.length)];
    if (vm === undefined) throw new Error('no VMs');
    vm.holder.noteDemand(nowMs, CUSTOMER, units);
    const missing = units - vm.holder.available(nowMs, CUSTOMER);
    if (missing > 0 && this.lender.lend(nowMs, CUSTOMER, missing)) {
      vm.holder.addLoan(nowMs, CUSTOMER, missing, nowMs + LOAN_TTL_MS);
    }
    if (nowMs < WARM_UP_MS) vm.holder.take(nowMs, CUSTOMER, units);
    else if (vm.holder.take(nowMs, CUSTOMER, units)) this.counts.served += 1;
    else if (!this.isEventuallyAdmitted(nowMs, vm, units)) this.counts.neverAdmissible += 1;
  }

  /** Whether the request could be admitted at a later time, by the VM's share or by a loan. */
  private isEventuallyAdmitted(nowMs: number, { holder }: Vm, units: number): boolean {
    const missing = units - holder.available(nowMs, CUSTOMER);
    const waits = [
      holder.waitMs(nowMs, CUSTOMER, units),
      this.lender.waitMs(nowMs, CUSTOMER, missing),
    ];
    return waits.some((waitMs) => Number.isFinite(waitMs));
  }
}

describe('a small customer within its rate', () => {
  test.each([
    [1, 6],
    [2, 6],
    [3, 8],
    [4, 60],
  ])('never has a request rejected as too large, seed %i, %i VMs', (seed, vms) => {
    const replay = new Replay(seed, vms);
    replay.play();
    expect(replay.counts.neverAdmissible).toBe(0);
    expect(replay.counts.served).toBeGreaterThan(300);
  });
});

describe('a customer whose requests are admitted with lent units', () => {
  test('loses no units for requests that are then refused without being executed', () => {
    const lender = new RateLender(0, new Map());
    const vms = Array.from({ length: 20 }, () => new ShareHolder());
    lender.setLimits(0, LIMITS);
    vms.forEach((vm, at) => {
      vm.setLimits(0, LIMITS);
      lender.noteReport(0, `vm-${at}`, 0, vm.report(0));
    });
    const [first] = vms;
    if (first === undefined) throw new Error('no VMs');
    const nowMs = 10_000;
    const units = LIMIT.burst * 0.9;
    expect(lender.lend(nowMs, CUSTOMER, units)).toBe(true);
    first.addLoan(nowMs, CUSTOMER, units, nowMs + LOAN_TTL_MS);
    expect(first.take(nowMs, CUSTOMER, units)).toBe(true);
    first.refund(nowMs, CUSTOMER, units);
    first.unreturned().forEach((returned, customer) => lender.refund(nowMs, customer, returned));
    first.noteReturned();
    expect(lender.lend(nowMs, CUSTOMER, units)).toBe(true);
    expect(first.unreturned().size).toBe(0);
  });
});
