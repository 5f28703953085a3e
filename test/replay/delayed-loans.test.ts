/** Loans of customers' rates on virtual time, by a steward whose replies are delayed. */
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest';
import { createClock } from '../../src/core/clock/index.js';
import { createLogger } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { RateLender } from '../../src/decisions/rate-shares/index.js';
import { Admission, AdmissionType } from '../../src/entry/relay/admission.js';
import { LoanService } from '../../src/entry/relay/loan-service.js';
import type { MessageLink } from '../../src/entry/relay/message-link.js';

const VM_COUNT = 31;
const REPORT_MS = 200;
/** End of a delay of two seconds, ms. */
const DELAY_END_MS = 6_000;
/** Time in which the entry VMs connect to a new steward, ms. */
const RECONNECT_MS = 100;
const DURATION_MS = 12_000;
/** Time before which requests do not count: the lender's buckets start empty. */
const WARM_UP_MS = 2_000;
/** A burst holds four average requests: a share of it covers none. */
const CUSTOMERS = ['a', 'b', 'c', 'd'].map((name) => ({
  name,
  ratePerS: 20_000,
  burst: 4_000,
  countsTokens: true,
  defaultUnits: 1,
  priority: null,
}));
const UNITS = 900;
/** Fraction of its rate that a customer uses. */
const USED_FRACTION = 0.6;
const NO_COUNTS = { admitted: 0, 'over-rate': 0, 'rate-unknown': 0 };
/** An objective of 301 ms and a deadline of 10 s. */
const LIMITS = { maxRateWaitMs: 120, timeBudgetMs: 10_000 };

type Customer = (typeof CUSTOMERS)[number];

/** The time that the steward takes for a reply, ms, by the time of the request for a loan. */
type Delay = (nowMs: number) => number;

class Replay {
  readonly counts = CUSTOMERS.map(() => ({ ...NO_COUNTS }));

  asks = 0;

  lastRefusedAtMs = -Infinity;

  /** Longest wait of a request, ms, by the result. */
  readonly longestMs = { ...NO_COUNTS };

  /** Longest wait of a request from half a second after the delay on, ms. */
  longestAfterMs = 0;

  /** Units admitted for each customer. */
  readonly admittedUnits = CUSTOMERS.map(() => 0);

  private readonly clock = createClock();

  private readonly startMs = this.clock.steadyMs();

  private readonly random = createRandom(7);

  private readonly limits = new Map(CUSTOMERS.map((customer) => [customer.name, customer]));

  private lender = new RateLender(this.startMs, new Map());

  private service = this.createService();

  private readonly vms = Array.from({ length: VM_COUNT }, (_, at) => this.createVm(at));

  /**
   * @param lostFraction Fraction of the replies to loan requests that are lost.
   * @param hasQueue Whether the steward reads the optional fields of loan requests.
   */
  constructor(
    private readonly delayMs: Delay,
    private readonly lostFraction = 0,
    private readonly hasQueue = true,
  ) {
    this.lender.setLimits(this.startMs, this.limits);
  }

  async play(loads: readonly number[] = [1, 1, 1, 1]): Promise<void> {
    CUSTOMERS.forEach((customer, at) => this.generate(customer, loads[at] ?? 1));
    await vi.advanceTimersByTimeAsync(DURATION_MS);
  }

  /** Replaces the steward; its queue and the messages in transit are lost. */
  changeSteward(): void {
    const nowMs = this.clock.steadyMs();
    const allowances = this.lender.allowances(nowMs);
    this.service.stop();
    this.lender = new RateLender(nowMs, allowances);
    this.lender.setLimits(nowMs, this.limits);
    this.service = this.createService();
    this.vms.forEach((admission, at) => {
      setTimeout(() => {
        admission.resetSeq();
        this.report(`vm-${at}`, admission);
      }, RECONNECT_MS * this.random.real());
    });
  }

  private createService(): LoanService {
    const logger = createLogger('replay', 'silent');
    return new LoanService({ lender: this.lender, clock: this.clock, logger });
  }

  private get nowMs(): number {
    return this.clock.steadyMs() - this.startMs;
  }

  private createVm(at: number): Admission {
    const later = (handle: () => void) => {
      const { service } = this;
      const handleIfConnected = () => service === this.service && handle();
      setTimeout(handleIfConnected, this.delayMs(this.nowMs) / 2);
    };
    const link: Pick<MessageLink, 'send'> = {
      send: (message) => {
        if (message.type !== 'lent') throw new Error('not a loan');
        if (this.lostFraction > 0 && this.random.real() < this.lostFraction) return true;
        later(() => this.vms[at]?.handleLoanReply(message));
        return true;
      },
    };
    const admission = new Admission({
      clock: this.clock,
      ask: (ask) => {
        this.asks += 1;
        const { askId, customer: name, units } = ask;
        const read = this.hasQueue ? ask : { askId, customer: name, units };
        const message = { type: 'ask' as const, ...read };
        later(() => this.service.handleAsk(this.clock.steadyMs(), link, message));
        return true;
      },
    });
    admission.setCustomers(this.limits);
    setInterval(() => this.report(`vm-${at}`, admission), REPORT_MS);
    return admission;
  }

  private report(vm: string, admission: Admission): void {
    const nowMs = this.clock.steadyMs();
    const { holder } = admission;
    this.lender.notePersisted(this.lender.allowances(nowMs));
    this.lender.noteReport(nowMs, vm, admission.lastSeq, holder.report(nowMs));
    holder.unreturned().forEach((units, name) => this.lender.refund(nowMs, name, units));
    holder.noteReturned();
    const { seq, fractions } = this.lender.grant(nowMs, vm);
    admission.applyGrant({
      type: 'grant',
      seq,
      reportSentAtMs: nowMs,
      reportClockMs: nowMs,
      fractions: Object.fromEntries(fractions),
      plan: null,
      backends: null,
      planRevision: 0,
    });
  }

  private generate(customer: Customer, load: number): void {
    const meanMs = (UNITS * 1_000) / (customer.ratePerS * USED_FRACTION * load);
    const next = () => {
      void this.request(customer);
      setTimeout(next, meanMs * (0.5 + this.random.real()));
    };
    setTimeout(next, meanMs * this.random.real());
  }

  private async request(customer: Customer): Promise<void> {
    const sentAtMs = this.nowMs;
    const units = UNITS * (0.7 + 0.6 * this.random.real());
    const vm = this.vms[Math.floor(this.random.real() * VM_COUNT)];
    const at = CUSTOMERS.indexOf(customer);
    const counts = this.counts[at];
    if (vm === undefined || counts === undefined) throw new Error('no VMs');
    const { type } = await vm.admit(customer, units, LIMITS);
    if (sentAtMs < WARM_UP_MS) return;
    const tookMs = this.nowMs - sentAtMs;
    counts[type] += 1;
    this.longestMs[type] = Math.max(this.longestMs[type], tookMs);
    if (type !== AdmissionType.admitted) {
      this.lastRefusedAtMs = this.nowMs;
      return;
    }
    this.admittedUnits[at] = (this.admittedUnits[at] ?? 0) + units;
    if (sentAtMs > DELAY_END_MS + 500) this.longestAfterMs = Math.max(this.longestAfterMs, tookMs);
  }
}

/** 100 ms for two seconds, 2 ms before and afterwards. */
function delayedForTwoSeconds(nowMs: number): number {
  return nowMs > DELAY_END_MS - 2_000 && nowMs < DELAY_END_MS ? 100 : 2;
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

describe('customers within their rates whose requests are admitted by loans', () => {
  test.each<[string, Delay]>([
    ['in 2 ms', () => 2],
    ['in 100 ms', () => 100],
    ['in 300 ms', () => 300],
    ['in 100 ms for two seconds', delayedForTwoSeconds],
  ])('are served when the steward replies %s', async (_, delayMs) => {
    const replay = new Replay(delayMs);
    await replay.play();
    replay.counts.forEach(({ admitted, ...refused }) => {
      expect(admitted).toBeGreaterThan(100);
      expect(refused).toEqual({ 'over-rate': 0, 'rate-unknown': 0 });
    });
    // A request waits for the reply that its VM expects already, and for the next one.
    const bound = (nowMs: number) => Math.max(delayMs(nowMs) * 2, 50);
    expect(replay.longestMs.admitted).toBeLessThanOrEqual(bound(5_000));
    expect(replay.longestAfterMs).toBeLessThanOrEqual(bound(9_000));
    expect(replay.asks).toBeLessThan(800);
  });
});

describe('customers within their rates', () => {
  test('are served when replies are lost: their entry VMs ask again', async () => {
    const replay = new Replay(() => 2, 0.05);
    await replay.play();
    replay.counts.forEach((counts) => {
      expect(counts).toMatchObject({ 'over-rate': 0, 'rate-unknown': 0 });
    });
    expect(replay.longestMs.admitted).toBeGreaterThan(400);
    expect(replay.longestMs.admitted).toBeLessThan(1_500);
  });

  test.each([2, 100])(
    'are served by an older steward without a queue in %i ms',
    async (delayMs) => {
      const replay = new Replay(() => delayMs, 0, false);
      await replay.play();
      replay.counts.forEach((counts) => {
        expect(counts).toMatchObject({ 'over-rate': 0, 'rate-unknown': 0 });
      });
    },
  );

  test('are served by the next steward half a second after a change', async () => {
    const replay = new Replay(() => 40);
    setTimeout(() => replay.changeSteward(), 5_000);
    await replay.play();
    // The next lender's buckets start empty, and it waits for the reports of the entry VMs.
    expect(replay.lastRefusedAtMs).toBeLessThan(5_500);
    replay.counts.forEach((counts) => {
      expect(counts['rate-unknown']).toBe(0);
      expect(counts['over-rate']).toBeLessThan(3);
    });
  });
});

describe('a customer at ten times its rate beside others', () => {
  test.each([2, 100])('does not delay them, replies in %i ms', async (delayMs) => {
    const replay = new Replay(() => delayMs);
    await replay.play([10 / USED_FRACTION, 1, 1, 1]);
    const [large, ...others] = replay.counts;
    others.forEach((counts) => {
      expect(counts).toMatchObject({ 'over-rate': 0, 'rate-unknown': 0 });
    });
    const usedFraction = (replay.admittedUnits[0] ?? 0) / (20_000 * 10);
    expect(usedFraction).toBeGreaterThan(0.9);
    expect(usedFraction).toBeLessThan(1.05);
    expect(large?.['rate-unknown']).toBe(0);
    expect(replay.longestMs['over-rate']).toBeLessThanOrEqual(120 + 2 * delayMs);
  });
});
