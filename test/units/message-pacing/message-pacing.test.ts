/** Control messages stay within the part of a steward's link that they may take. */
import { describe, expect, test } from 'vitest';
import * as pacing from '../../../src/decisions/message-pacing/index.js';

const SLOW_BYTES_PER_S = pacing.controlBytesPerS(7);
/** Lifetime of a rate share, which each report with shares renews, ms. */
const SHARE_TTL_MS = 6_000;

describe('the interval between reports', () => {
  test.each([null, pacing.controlBytesPerS(140)])(
    'is as before on a link of %s bytes/s',
    (bytes) => {
      const pacer = new pacing.ReportPacer();
      const load = { members: 84, baseIntervalMs: 210, bytesPerS: bytes };
      expect(pacer.intervalMs(load)).toBe(210);
      // Not one per member every 20 ms, as with few members.
      expect(pacer.immediateGapMs(load)).toBe(84);
      expect(pacer.immediateGapMs({ ...load, members: 8 })).toBe(20);
    },
  );

  test.each([31, 84, 150])(
    'leaves a steward with a slow link and %i members its bytes',
    (members) => {
      const pacer = new pacing.ReportPacer();
      Array.from({ length: 50 }).forEach(() => pacer.noteSent(850));
      const load = { members, baseIntervalMs: 60, bytesPerS: SLOW_BYTES_PER_S };
      const perS = (members * 850 * 1_000) / pacer.immediateGapMs(load);
      expect(perS).toBeLessThan(SLOW_BYTES_PER_S ?? 0);
      expect(pacer.intervalMs(load)).toBeGreaterThanOrEqual(pacer.immediateGapMs(load));
    },
  );

  test('is long while many members may have joined a steward with a slow link at once', () => {
    const load = { members: null, baseIntervalMs: 60, bytesPerS: SLOW_BYTES_PER_S };
    expect(new pacing.ReportPacer().intervalMs(load)).toBeGreaterThan(400);
  });
});

describe('rate shares', () => {
  const share = { customer: 'acme', fraction: 0.1, demandPerS: 10 };

  test('are reported when they have changed, or every 400 ms', () => {
    const pacer = new pacing.SharesPacer();
    expect(pacer.isDue(0, 60, [share])).toBe(true);
    pacer.noteSent(0, [share]);
    expect(pacer.isDue(399, 60, [{ ...share, demandPerS: 12 }])).toBe(false);
    expect(pacer.isDue(400, 60, [share])).toBe(true);
    expect(pacer.isDue(60, 60, [{ ...share, fraction: 0.2 }])).toBe(true);
    expect(pacer.isDue(60, 60, [{ ...share, demandPerS: 16 }])).toBe(true);
    expect(pacer.isDue(60, 60, [share, { ...share, customer: 'other' }])).toBe(true);
    pacer.reset();
    expect(pacer.isDue(60, 60, [share])).toBe(true);
  });

  test('do not expire if three reports with them are lost, however long the interval', () => {
    const pacer = new pacing.SharesPacer();
    pacer.noteSent(0, [share]);
    expect(pacer.isDue(SHARE_TTL_MS / 4, 10_000, [share])).toBe(true);
  });
});

describe('the budget of a steward', () => {
  const { first, changes, lists } = pacing.SendPriority;

  test('is spent by priority, and regained with time', () => {
    const budget = new pacing.SendBudget(100_000);
    const allowed = (nowMs: number) => [first, changes, lists].map((p) => budget.allows(nowMs, p));
    expect(allowed(0)).toEqual([true, true, true]);
    budget.noteSent(0, 5_000);
    expect(allowed(0)).toEqual([true, true, false]);
    budget.noteSent(0, 5_000);
    expect(allowed(0)).toEqual([true, false, false]);
    expect(allowed(200)).toEqual([true, true, true]);
  });

  test('has no bound on a link of unknown rate', () => {
    const budget = new pacing.SendBudget(null);
    budget.noteSent(0, 1e9);
    expect(budget.allows(0, lists)).toBe(true);
  });
});

describe('the wait of a VM before it acquires a free lease', () => {
  test.each([
    ['an unknown link', null, undefined, 0],
    ['a fast link', 140, 140, 0],
    ['a slow link, in a fleet that is not known yet', 7, undefined, 500],
    ['a slow link beside faster ones', 7, 140, 500],
    ['a slow link beside unknown ones', 7, null, 500],
    ['a slow link in a fleet of slow links', 7, 7, 0],
  ])('with %s is as long as it should be', (_, own, best, waitMs) => {
    expect(pacing.acquireWaitMs(own, best, 2_000)).toBe(waitMs);
  });

  test('is derived from the best link, which is unknown if any is', () => {
    expect(pacing.bestLinkMbps([7, 140])).toBe(140);
    expect(pacing.bestLinkMbps([7, null])).toBeNull();
  });
});
