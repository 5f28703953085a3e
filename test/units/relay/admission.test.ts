/** Admission of requests while this entry VM's share of their customer's rate is not known. */
import { describe, expect, test } from 'vitest';
import * as clocks from '../../../src/core/clock/index.js';
import { shouldWaitForRate } from '../../../src/decisions/rate-shares/index.js';
import { Admission, AdmissionType } from '../../../src/entry/relay/admission.js';

const CUSTOMER = {
  name: 'acme',
  ratePerS: 100_000,
  burst: 100_000,
  countsTokens: true,
  defaultUnits: 1,
  priority: null,
};
const WAIT_LIMITS = { maxRateWaitMs: 400, timeBudgetMs: 5_000 };

function createAdmission(): Admission {
  const admission = new Admission({ clock: clocks.createClock(), ask: () => false });
  admission.setCustomers(new Map([[CUSTOMER.name, CUSTOMER]]));
  return admission;
}

function grant(admission: Admission, fraction = 1): void {
  const nowMs = clocks.createClock().steadyMs();
  admission.applyGrant({
    type: 'grant',
    seq: 1,
    reportSentAtMs: nowMs,
    reportClockMs: nowMs,
    fractions: { acme: fraction },
    plan: null,
    backends: null,
    planRevision: 0,
  });
}

describe('a request whose rate is not known yet', () => {
  test('waits for a grant instead of being refused as over its rate', async () => {
    const admission = createAdmission();
    const admitted = admission.admit(CUSTOMER, 10, WAIT_LIMITS);
    await clocks.sleep(60);
    grant(admission);
    expect((await admitted).type).toBe(AdmissionType.admitted);
  });

  test('is refused as rate-unknown, not as over its rate, by a VM without a share or a steward', async () => {
    const admission = createAdmission();
    grant(admission, 0);
    const admitted = await admission.admit(CUSTOMER, 10, {
      maxRateWaitMs: 400,
      timeBudgetMs: 100,
    });
    expect(admitted.type).toBe(AdmissionType.rateUnknown);
  });

  test('is refused as rate-unknown when no grant arrives in time', async () => {
    const admitted = await createAdmission().admit(CUSTOMER, 10, {
      maxRateWaitMs: 400,
      timeBudgetMs: 100,
    });
    expect(admitted).toMatchObject({ type: AdmissionType.rateUnknown, retryAfterMs: 500 });
  });

  test('waits for a fraction of its time budget, but not if the rate was unknown for too long', () => {
    const request = { arrivedAtMs: 1_000, budgetMs: 4_000, unknownSinceMs: 0 };
    expect(shouldWaitForRate(1_000, request)).toBe(true);
    expect(shouldWaitForRate(2_199, request)).toBe(true);
    expect(shouldWaitForRate(2_201, request)).toBe(false);
    const late = { ...request, arrivedAtMs: 3_000 };
    expect(shouldWaitForRate(3_000, late)).toBe(false);
  });

  test('requests a loan again when another request took the units that became free', async () => {
    const waitsMs = [20, 20, 20];
    let asks = 0;
    const admission: Admission = new Admission({
      clock: clocks.createClock(),
      ask: ({ askId, customer, units }) => {
        asks += 1;
        const waitMs = waitsMs.shift() ?? null;
        const lent = { type: 'lent' as const, askId, customer, waitMs };
        const isLent = waitMs === null;
        setImmediate(() => admission.handleLoanReply({ ...lent, units: isLent ? units : 0 }));
        return true;
      },
    });
    admission.setCustomers(new Map([[CUSTOMER.name, CUSTOMER]]));
    const admitted = await admission.admit(CUSTOMER, 10, WAIT_LIMITS);
    expect([admitted.type, asks]).toEqual([AdmissionType.admitted, 4]);
  });
});

describe('an entry VM that was suspended', () => {
  test('does not use the reply to a loan request from before, and asks again', async () => {
    const asked: number[] = [];
    const admission = new Admission({
      clock: clocks.createClock(),
      ask: ({ askId }) => asked.push(askId) > 0,
    });
    admission.setCustomers(new Map([[CUSTOMER.name, CUSTOMER]]));
    const admitted = admission.admit(CUSTOMER, 10, WAIT_LIMITS);
    admission.handleSuspension();
    const lent = { type: 'lent' as const, customer: CUSTOMER.name, units: 10, waitMs: 0 };
    admission.handleLoanReply({ ...lent, askId: 1 });
    expect(await Promise.race([admitted, clocks.sleep(20)])).toBeUndefined();
    admission.handleLoanReply({ ...lent, askId: 2 });
    expect([(await admitted).type, asked]).toEqual([AdmissionType.admitted, [1, 2]]);
  });
});

describe('a stream that its caller takes up while its customer is over its rate', () => {
  test('is admitted before a new request that needs the same units', async () => {
    const small = { ...CUSTOMER, ratePerS: 100, burst: 100 };
    const admission = new Admission({ clock: clocks.createClock(), ask: () => false });
    admission.setCustomers(new Map([[small.name, small]]));
    grant(admission);
    const resumed = admission.admit(small, 40, {
      ...WAIT_LIMITS,
      maxRateWaitMs: 1_000,
      isResumed: true,
    });
    const others = [1, 2, 3].map(() => admission.admit(small, 20, WAIT_LIMITS));
    expect((await resumed).type).toBe(AdmissionType.admitted);
    const types = (await Promise.all(others)).map(({ type }) => type);
    expect(types).toEqual(Array(3).fill(AdmissionType.overRate));
  });
});
