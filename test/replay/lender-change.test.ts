/**
 * Replays a change of the steward while a third of the entry VMs is partitioned from the new one. Its
 * lender must not hold back the rates of customers of which no VM has a share, nor far more than the
 * shares that the partitioned VMs can have: it would refuse most requests until these have expired.
 */
import { describe, expect, test } from 'vitest';
import {
  RateLender,
  type RateLimits,
  SHARE_TTL_MS,
  ShareHolder,
} from '../../src/decisions/rate-shares/index.js';

const REQUEST_UNITS = 1_300;
/** Units per second of a customer whose rate is only lent, and of one with shares at all VMs. */
const LENT_RATE_PER_S = 20_000;
const SHARED_RATE_PER_S = 300_000;
const STEP_MS = 100;
const CALM_MS = 10_000;
/** Time from the change on in which units are used, ms. */
const LENDING_MS = SHARE_TTL_MS - 500;
const MS_PER_S = 1000;

const LIMITS: RateLimits = new Map([
  ['lent', { ratePerS: LENT_RATE_PER_S, burst: LENT_RATE_PER_S }],
  ['shared', { ratePerS: SHARED_RATE_PER_S, burst: SHARED_RATE_PER_S }],
]);

class Fleet {
  private nowMs = 0;

  private lender = new RateLender(0, new Map());

  private readonly holders: readonly ShareHolder[];

  private note: { allowances: ReadonlyMap<string, number>; lentOnly: readonly string[] } = {
    allowances: new Map(),
    lentOnly: [],
  };

  constructor(vms: number) {
    this.holders = Array.from({ length: vms }, () => new ShareHolder());
    this.holders.forEach((holder) => holder.setLimits(0, LIMITS));
    this.lender.setLimits(0, LIMITS);
  }

  /** VMs below `reporting` report and get shares; the lender's note is stored. */
  step(reporting: number): void {
    this.nowMs += STEP_MS;
    const { nowMs, lender } = this;
    this.holders.slice(0, reporting).forEach((holder, at) => {
      LIMITS.forEach((_, customer) => holder.noteDemand(nowMs, customer, REQUEST_UNITS));
      lender.noteReport(nowMs, `vm-${at}`, 0, holder.report(nowMs));
      holder.grant(nowMs, lender.grant(nowMs, `vm-${at}`).fractions, nowMs + SHARE_TTL_MS);
    });
    this.note = { allowances: lender.allowances(nowMs), lentOnly: lender.lentOnly(nowMs) };
    lender.notePersisted(this.note.allowances, this.note.lentOnly);
  }

  changeLender(): void {
    const { allowances, lentOnly } = this.note;
    this.lender = new RateLender(this.nowMs, allowances, lentOnly);
    this.lender.notePersisted(allowances, lentOnly);
    this.lender.setLimits(this.nowMs, LIMITS);
  }

  /** Units of a customer that the lender and VMs below `reporting` have, taken as they come. */
  use(customer: string, reporting: number): number {
    const { nowMs, lender } = this;
    const lent = lender.available(nowMs, customer);
    lender.lend(nowMs, customer, lent);
    return this.holders.slice(0, reporting).reduce((sum, holder) => {
      const units = holder.available(nowMs, customer);
      holder.take(nowMs, customer, units);
      return sum + units;
    }, lent);
  }

  /** Sum of the shares of a customer's rate that the VMs hold. */
  shares(customer: string): number {
    const reports = this.holders.flatMap((holder) => holder.report(this.nowMs));
    return reports
      .filter((report) => report.customer === customer)
      .reduce((sum, { fraction }) => sum + fraction, 0);
  }
}

describe.each([31, 84])('after a change of the lender of %i VMs', (vms) => {
  const fleet = new Fleet(vms);
  Array.from({ length: CALM_MS / STEP_MS }).forEach(() => fleet.step(vms));
  const calm = { lent: fleet.shares('lent'), shared: fleet.shares('shared') };
  fleet.changeLender();
  const reporting = Math.ceil((vms * 2) / 3);
  const used = { lent: 0, shared: 0 };
  Array.from({ length: LENDING_MS / STEP_MS }).forEach(() => {
    fleet.step(reporting);
    used.lent += fleet.use('lent', reporting);
    used.shared += fleet.use('shared', reporting);
  });
  const partOf = (units: number, ratePerS: number) => (units * MS_PER_S) / (ratePerS * LENDING_MS);

  test('the rate of customers without shares is lent at once', () => {
    expect(calm.lent).toBe(0);
    expect(partOf(used.lent, LENT_RATE_PER_S)).toBeGreaterThan(0.9);
  });

  test('the VMs that report have the rate of other customers but for the shares of the others', () => {
    expect(calm.shared).toBeGreaterThan(0.7);
    const othersPart = (calm.shared * (vms - reporting)) / vms;
    expect(partOf(used.shared, SHARED_RATE_PER_S)).toBeGreaterThan(1 - 1.5 * othersPart);
  });
});
