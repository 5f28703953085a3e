/** Amounts that a loan grantor lends with outstanding loans and after a change of the lender. */
import { describe, expect, test } from 'vitest';
import * as quota from '../../../src/decisions/quota/index.js';

const limit = { customer: 'a', ratePerS: 1_000, burst: 3_000 };

function createGrantor(startMs: number, levels: Readonly<Record<string, number>> | null) {
  const grantor = new quota.LoanGrantor(startMs, levels);
  grantor.configure(0, [limit]);
  return grantor;
}

describe('a loan grantor', () => {
  test('counts unsettled loans against the burst', () => {
    const grantor = createGrantor(0, null);
    const first = grantor.lend(0, 1, 'a', 3_000);
    const second = grantor.lend(900, 2, 'a', 3_000);
    // The first loan has not expired and can still be spent in full.
    expect(first.tokens + second.tokens).toBeLessThanOrEqual(limit.burst);
  });

  test('lends returned tokens again, but only once', () => {
    const grantor = createGrantor(0, null);
    const { loanId } = grantor.lend(0, 1, 'a', 3_000);
    grantor.settle(0, 'a', loanId, 1_000, 2_000);
    grantor.settle(0, 'a', loanId, 0, 2_000);
    expect(grantor.lend(0, 2, 'a', 9_000).tokens).toBe(2_000);
  });

  test('does not refill while loans of the previous lender may not have expired', () => {
    const old = createGrantor(0, null);
    const firstLoan = old.lend(0, 1, 'a', 3_000);
    const next = createGrantor(quota.LOAN_TTL_MS + quota.LOAN_MARGIN_MS, {});
    const lent = next.lend(900, 2, 'a', 3_000);
    expect(firstLoan.tokens + lent.tokens).toBeLessThanOrEqual(limit.burst);
  });

  test('starts with the remaining tokens of the previous owner', () => {
    const old = createGrantor(0, null);
    old.spend(0, 'a', 1_000);
    const next = createGrantor(0, old.levels(0));
    expect(next.available(0, 'a')).toBe(2_000);
  });

  test('drops tokens above a lowered burst', () => {
    const grantor = createGrantor(0, null);
    grantor.configure(0, [{ ...limit, burst: 500 }]);
    expect(grantor.available(0, 'a')).toBe(500);
  });

  test('refunds no more than the burst', () => {
    const grantor = createGrantor(0, null);
    grantor.refund(0, 'a', 10_000);
    expect(grantor.available(0, 'a')).toBe(limit.burst);
  });
});
