/** What givers may lend while loans are out, and after a change of the lender. */
import { describe, expect, test } from 'vitest';
import * as quota from '../../../src/decisions/quota/index.js';

const limit = { customer: 'a', ratePerS: 1_000, burst: 3_000 };

function createGiver(startMs: number, levels: Readonly<Record<string, number>> | null) {
  const giver = new quota.QuotaGiver(startMs, levels);
  giver.configure(0, [limit]);
  return giver;
}

describe('a giver', () => {
  test('counts what is lent and not settled against the burst', () => {
    const giver = createGiver(0, null);
    const first = giver.lend(0, 1, 'a', 3_000);
    const second = giver.lend(900, 2, 'a', 3_000);
    // The first loan can still be spent whole, and no time has passed since.
    expect(first.tokens + second.tokens).toBeLessThanOrEqual(limit.burst);
  });

  test('lends again what was returned, once', () => {
    const giver = createGiver(0, null);
    const { loanId } = giver.lend(0, 1, 'a', 3_000);
    giver.settle(0, 'a', loanId, 1_000, 2_000);
    giver.settle(0, 'a', loanId, 0, 2_000);
    expect(giver.lend(0, 2, 'a', 9_000).tokens).toBe(2_000);
  });

  test('earns nothing while loans of the lender before it can live', () => {
    const old = createGiver(0, null);
    const held = old.lend(0, 1, 'a', 3_000);
    const next = createGiver(quota.LOAN_TTL_MS + quota.LOAN_MARGIN_MS, {});
    const lent = next.lend(900, 2, 'a', 3_000);
    expect(held.tokens + lent.tokens).toBeLessThanOrEqual(limit.burst);
  });

  test('starts with the tokens that were handed over', () => {
    const old = createGiver(0, null);
    old.spend(0, 'a', 1_000);
    const next = createGiver(0, old.levels(0));
    expect(next.available(0, 'a')).toBe(2_000);
  });

  test('drops tokens above a lowered burst', () => {
    const giver = createGiver(0, null);
    giver.configure(0, [{ ...limit, burst: 500 }]);
    expect(giver.available(0, 'a')).toBe(500);
  });

  test('refunds no more than the burst', () => {
    const giver = createGiver(0, null);
    giver.refund(0, 'a', 10_000);
    expect(giver.available(0, 'a')).toBe(limit.burst);
  });
});
