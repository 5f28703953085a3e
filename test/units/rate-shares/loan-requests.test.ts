/** Loan requests of one entry VM for a customer without a share. */
import { beforeEach, describe, expect, test } from 'vitest';
import {
  type HeldUnits,
  LoanRequests,
  ReplyTimes,
  ShareHolder,
  type UnitsRequest,
} from '../../../src/decisions/rate-shares/index.js';

const NAME = 'acme';
const LIMIT = { ratePerS: 10_000, burst: 4_000 };
const REQUEST: UnitsRequest = {
  units: 900,
  priority: 1,
  isResumed: false,
  arrivedAtMs: 0,
  rateUntilMs: 120,
  budgetMs: 10_000,
};

describe('requests that wait for a loan', () => {
  let holder: ShareHolder;
  let loans: LoanRequests<UnitsRequest>;
  let nowMs = 0;
  const units: HeldUnits = {
    take: (needed) => holder.take(nowMs, NAME, needed),
    takeFromShare: (needed) => holder.takeFromShare(nowMs, NAME, needed),
    available: () => holder.available(nowMs, NAME),
    shareWaitMs: (needed) => holder.waitMs(nowMs, NAME, needed),
    maxLoan: () => holder.maxLoan(NAME),
  };

  const ask = (askId: number) => {
    const next = loans.nextAsk(nowMs, units);
    if (next !== null) loans.noteAsked(nowMs, askId, next);
    return next;
  };
  const reply = (askId: number, lent: number, waitMs: number | null = 0, queuedMs?: number) => {
    const applied = loans.applyReply(nowMs, { askId, units: lent, waitMs, queuedMs });
    if (applied !== null && lent > 0) holder.addLoan(nowMs, NAME, lent, applied.expiresAtMs);
    return applied;
  };

  beforeEach(() => {
    nowMs = 0;
    holder = new ShareHolder();
    holder.setLimits(0, new Map([[NAME, LIMIT]]));
    loans = new LoanRequests(new ReplyTimes(), () => LIMIT.ratePerS);
    [2, 0, 1].forEach((priority) => loans.add({ ...REQUEST, priority }));
  });

  test('send one request for the sum, and the most urgent is served first', () => {
    expect(ask(1)).toMatchObject({ units: 2_700, minUnits: 900, priority: 0, maxWaitMs: 120 });
    loans.add(REQUEST);
    nowMs = 100;
    expect(ask(2)).toBeNull();
    reply(1, 1_800, 90, 0);
    expect(loans.serve(units).map(({ priority }) => priority)).toEqual([0, 1]);
    expect(ask(3)).toMatchObject({ units: 1_800, priority: 1, maxWaitMs: 0 });
  });

  test('are not asked for in larger sums than the lender can ever lend', () => {
    [1, 2, 3].forEach(() => loans.add(REQUEST));
    expect(ask(1)?.units).toBe(LIMIT.burst);
  });

  test('ask again after the time that replies take, and use a late reply once', () => {
    ask(1);
    nowMs = 619;
    expect(ask(2)).toBeNull();
    nowMs = 620;
    expect(ask(2)).not.toBeNull();
    nowMs = 700;
    expect(reply(1, 2_700)).toMatchObject({ isLate: true, tookMs: 700, expiresAtMs: 1_000 });
    expect(reply(1, 2_700)).toBeNull();
    expect(loans.serve(units)).toHaveLength(3);
    expect(holder.available(nowMs, NAME)).toBe(0);
  });

  test('are refused with the time of the lender, each behind those before it', () => {
    ask(1);
    nowMs = 10;
    reply(1, 900, 100, 0);
    loans.serve(units);
    // 1,800 further units in 100 ms: two requests can be served, and the others return one by one.
    loans.add(REQUEST);
    loans.add({ ...REQUEST, priority: 3 });
    const refused = loans.expire(nowMs, units, 0);
    expect(refused).toEqual([
      { request: { ...REQUEST, priority: 2 }, waitMs: 190 },
      { request: { ...REQUEST, priority: 3 }, waitMs: 280 },
    ]);
  });

  test('leave the units that they do not use in time to the lender', () => {
    ask(1);
    nowMs = 300;
    reply(1, 2_700);
    nowMs = 1_000;
    expect([loans.serve(units), holder.available(nowMs, NAME)]).toEqual([[], 0]);
    expect(holder.unreturned()).toEqual(new Map([[NAME, 2_700]]));
  });

  test('ask a lender without a queue for the most urgent one after the sum was refused', () => {
    ask(1);
    reply(1, 0, null);
    expect(loans.expire(nowMs, units, 0)).toEqual([]);
    expect(ask(2)).toMatchObject({ units: 900, minUnits: 900 });
  });

  test('of a resumed stream ask a few times, not every 50 ms, while units come in seconds', () => {
    loans = new LoanRequests(new ReplyTimes(), () => LIMIT.ratePerS);
    loans.add({ ...REQUEST, isResumed: true, rateUntilMs: 9_000 });
    expect(ask(1)?.maxWaitMs).toBe(1_000);
    reply(1, 0, 4_000, 0);
    expect(loans.expire(nowMs, units, 0)).toEqual([]);
    nowMs = 499;
    expect(ask(2)).toBeNull();
    nowMs = 500;
    expect(ask(2)).not.toBeNull();
  });

  test('ask the next steward at once', () => {
    ask(1);
    loans.resetLender();
    expect(ask(2)).not.toBeNull();
    expect(reply(1, 2_700)).toBeNull();
  });

  test('are refused as unknown after a fraction of their time without a reply', () => {
    ask(1);
    nowMs = 2_999;
    expect(loans.expire(nowMs, units, 0)).toEqual([]);
    nowMs = 3_000;
    expect(loans.expire(nowMs, units, 0).map(({ waitMs }) => waitMs)).toEqual([null, null, null]);
  });
});
