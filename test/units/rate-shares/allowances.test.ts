/** Allowances in the steward's lease while a customer has no limit, or none to spend at once. */
import { describe, expect, test } from 'vitest';
import { RateLender, type RateLimit } from '../../../src/decisions/rate-shares/index.js';

const LIMITED = { ratePerS: 100, burst: 1_000 };
const REPORT = {
  customer: 'limited',
  fraction: 0,
  demandPerS: 10,
  usualUnits: 1,
  largestUnits: 1,
};

function setUp(other: RateLimit) {
  const lender = new RateLender(0, new Map());
  lender.setLimits(
    10,
    new Map([
      ['limited', LIMITED],
      ['other', other],
    ]),
  );
  lender.noteReport(20, 'vm-1', 0, [REPORT]);
  return lender;
}

describe.each([
  ['no limit', { ratePerS: 0, burst: 0 }],
  ['nothing to spend at once', { ratePerS: 10, burst: 0 }],
])('beside a customer with %s', (_, other) => {
  test('the allowances can be stored, so that the next steward does not count all as granted', () => {
    const stored: unknown = JSON.parse(JSON.stringify([...setUp(other).allowances(30)]));
    expect(stored).toEqual([['vm-1', expect.any(Number)]]);
  });

  test('an entry VM is granted its share of the other limits', () => {
    const lender = setUp(other);
    lender.notePersisted(lender.allowances(30));
    expect(lender.grant(40, 'vm-1').fractions.get('limited')).toBeGreaterThan(0);
  });
});
