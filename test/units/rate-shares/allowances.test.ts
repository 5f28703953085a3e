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

describe('a customer whose rate was only lent', () => {
  const LIMITS = new Map([['acme', { ratePerS: 1_000, burst: 1_000 }]]);
  const reportOf = (usualUnits: number) => [
    { customer: 'acme', fraction: 0, demandPerS: 500, usualUnits, largestUnits: usualUnits },
  ];

  function createLender(usualUnits: number): RateLender {
    const lender = new RateLender(0, new Map());
    lender.setLimits(0, LIMITS);
    lender.noteReport(0, 'vm-1', 0, reportOf(usualUnits));
    return lender;
  }

  const shareOf = (lender: RateLender, nowMs: number) =>
    lender.grant(nowMs, 'vm-1').fractions.get('acme') ?? 0;

  // The next steward's lender would lend the whole rate beside the shares.
  test.each(['stored', 'built, and may be stored'])(
    'gets no share while a list with it is %s',
    (state) => {
      const lender = createLender(900);
      const stored = lender.lentOnly(10);
      expect(stored).toEqual(['acme']);
      if (state === 'stored') lender.notePersisted(lender.allowances(10), stored);
      lender.noteReport(1_000, 'vm-1', 0, reportOf(10));
      expect(lender.mustPersist).toBe(true);
      expect(shareOf(lender, 1_000)).toBe(0);
      lender.notePersisted(lender.allowances(1_010), lender.lentOnly(1_010));
      expect(shareOf(lender, 1_020)).toBeGreaterThan(0);
    },
  );

  test('gets no share while it is unknown which list is stored', () => {
    const lender = createLender(10);
    lender.notePersisted(lender.allowances(10), null);
    expect(shareOf(lender, 10)).toBe(0);
    expect(lender.mustPersist).toBe(true);
    lender.notePersisted(lender.allowances(20), []);
    expect(shareOf(lender, 30)).toBeGreaterThan(0);
  });

  test('is not listed while an entry VM holds a share', () => {
    const lender = createLender(10);
    lender.notePersisted(lender.allowances(10), []);
    const share = shareOf(lender, 10);
    expect(share).toBeGreaterThan(0);
    const reports = reportOf(900).map((report) => ({ ...report, fraction: share }));
    lender.noteReport(1_000, 'vm-1', 1, reports);
    expect(lender.lentOnly(1_000)).toEqual([]);
    expect(shareOf(lender, 1_000)).toBe(0);
  });
});
