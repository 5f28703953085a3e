/** The lender's queue of loans of one customer, and its replies to the entry VMs. */
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest';
import { createClock } from '../../../src/core/clock/index.js';
import { createLogger } from '../../../src/core/logger/index.js';
import {
  LoanQueue,
  type QueuedLoan,
  RateLender,
} from '../../../src/decisions/rate-shares/index.js';
import { LoanService } from '../../../src/entry/relay/loan-service.js';

const RATE_PER_S = 1_000;
const BURST = 400;
const LOAN = { askId: 1, customer: 'acme', units: 100, minUnits: 100, priority: 1, maxWaitMs: 150 };

/** A lender with a number of units that are available at `startMs`. */
function createLender(startMs: number, available: number): RateLender {
  const lender = new RateLender(startMs - available, new Map());
  lender.setLimits(
    startMs - available,
    new Map([['acme', { ratePerS: RATE_PER_S, burst: BURST }]]),
  );
  return lender;
}

describe('the queue of loans', () => {
  let queue: LoanQueue<string>;
  const add = (nowMs: number, vm: string, loan: Partial<QueuedLoan<string>> = {}) =>
    queue.add(nowMs, { ...LOAN, ...loan, vm });
  const vmsOf = (answers: ReturnType<typeof add>) =>
    answers.map(({ loan: { vm }, units }) => `${vm} ${units}`);

  beforeEach(() => {
    queue = new LoanQueue(createLender(0, 0));
  });

  test('grants by priority, then by arrival, each once', () => {
    const answers = [add(0, 'a', { maxWaitMs: 400 }), add(0, 'b', { maxWaitMs: 400 })];
    expect([...answers, add(0, 'c', { priority: 0 })].flat()).toEqual([]);
    expect(queue.dueAtMs(10)).toBe(100);
    expect(vmsOf(queue.serve(100))).toEqual(['c 100']);
    expect(vmsOf(queue.serve(400))).toEqual(['a 100', 'b 100']);
    expect([queue.serve(1_000), queue.size]).toEqual([[], 0]);
  });

  test('refuses at once, with the time behind the others, what it cannot grant in time', () => {
    add(0, 'a');
    expect(add(0, 'b')).toMatchObject([{ units: 0, waitMs: 200, queuedMs: 0 }]);
    // The more urgent loan is granted after 100 ms, which leaves none for the first in its time.
    expect(add(20, 'c', { priority: 0 })).toMatchObject([
      { loan: { vm: 'a' }, units: 0, waitMs: 180, queuedMs: 20 },
    ]);
    expect(add(20, 'd', { units: 500, minUnits: 500 })).toMatchObject([{ waitMs: Infinity }]);
  });

  test('lends the minimum while others wait, and all that is available to the last', () => {
    queue = new LoanQueue(createLender(400, 0));
    add(400, 'a', { units: 300 });
    add(400, 'b', { units: 300, maxWaitMs: 300 });
    expect(queue.serve(650)).toMatchObject([
      { loan: { vm: 'a' }, units: 100 },
      { loan: { vm: 'b' }, units: 150, waitMs: 150 },
    ]);
  });

  test('keeps one loan of an entry VM, so that a repeated request is not granted twice', () => {
    add(0, 'a');
    add(50, 'a', { askId: 2 });
    expect(queue.serve(300)).toMatchObject([{ loan: { askId: 2 }, units: 100 }]);
  });
});

describe('a new lender', () => {
  const limits = new Map([['acme', { ratePerS: RATE_PER_S, burst: BURST }]]);

  test('states when it may know the shares in use, not that a loan is never possible', () => {
    const lender = new RateLender(0, new Map([['vm-1', 1]]));
    expect(lender.waitMs(0, 'acme', 100)).toBe(100);
    lender.setLimits(0, limits);
    expect([20, 1_500, 5_000].map((nowMs) => lender.waitMs(nowMs, 'acme', 100))).toEqual([
      100, 1_500, 1_000,
    ]);
    expect(lender.waitMs(20, 'acme', BURST + 1)).toBe(Infinity);
  });
});

describe('the replies to loan requests', () => {
  const clock = createClock();
  const { maxWaitMs, priority, minUnits, ...oldAsk } = { type: 'ask' as const, ...LOAN };
  const newAsk = { ...oldAsk, minUnits, priority, maxWaitMs };
  let service: LoanService;
  let lender: RateLender;

  beforeEach(() => {
    vi.useFakeTimers();
    lender = createLender(clock.steadyMs(), 0);
    service = new LoanService({ lender, clock, logger: createLogger('test', 'silent') });
  });

  afterEach(() => {
    service.stop();
    vi.useRealTimers();
  });

  test('come from the queue within the time of the entry VM, to an older one at once', async () => {
    const [link, oldLink] = [{ send: vi.fn(() => true) }, { send: vi.fn(() => true) }];
    service.handleAsk(clock.steadyMs(), link, newAsk);
    service.handleAsk(clock.steadyMs(), oldLink, oldAsk);
    expect(oldLink.send).toHaveBeenCalledWith({
      type: 'lent',
      askId: 1,
      customer: 'acme',
      units: 0,
      waitMs: 100,
    });
    await vi.advanceTimersByTimeAsync(maxWaitMs);
    expect(link.send).toHaveBeenCalledTimes(1);
    expect(link.send).toHaveBeenCalledWith(expect.objectContaining({ units: 100, queuedMs: 100 }));
  });

  test('that cannot be sent leave their units with the lender', async () => {
    service.handleAsk(clock.steadyMs(), { send: () => false }, newAsk);
    await vi.advanceTimersByTimeAsync(100);
    expect(lender.available(clock.steadyMs(), 'acme')).toBeCloseTo(100);
  });
});
