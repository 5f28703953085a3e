/** Requests that come before the steward has told of their customer's rate. */
import { describe, expect, test } from 'vitest';
import * as clocks from '../../../src/core/clock/index.js';
import { waitsForRate } from '../../../src/decisions/rate-shares/index.js';
import { Admission, AdmissionType } from '../../../src/entry/relay/admission.js';

const CUSTOMER = {
  name: 'acme',
  ratePerS: 100_000,
  burst: 100_000,
  countsTokens: true,
  plainUnits: 1,
  priority: null,
};
const PATIENCE = { rateMs: 400, lifeMs: 5_000 };

function createAdmission(): Admission {
  const admission = new Admission({ clock: clocks.createClock(), ask: () => false });
  admission.setCustomers(new Map([[CUSTOMER.name, CUSTOMER]]));
  return admission;
}

function grant(admission: Admission, fraction = 1): void {
  const nowMs = clocks.createClock().steadyMs();
  admission.takeGrant({
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
  test('is not refused as over its rate while the steward is about to be heard', async () => {
    const admission = createAdmission();
    const admitted = admission.admit(CUSTOMER, 10, PATIENCE);
    await clocks.sleep(60);
    grant(admission);
    expect((await admitted).type).toBe(AdmissionType.admitted);
  });

  test('is not refused as over its rate by a VM without a part while no lender is heard', async () => {
    const admission = createAdmission();
    grant(admission, 0);
    const admitted = await admission.admit(CUSTOMER, 10, { rateMs: 400, lifeMs: 100 });
    expect(admitted.type).toBe(AdmissionType.rateUnknown);
  });

  test('is refused for that very reason when no steward is heard in time', async () => {
    const admitted = await createAdmission().admit(CUSTOMER, 10, { rateMs: 400, lifeMs: 100 });
    expect(admitted).toMatchObject({ type: AdmissionType.rateUnknown, retryAfterMs: 500 });
  });

  test('waits for a part of its life, and not at all where no steward was heard for long', () => {
    const request = { arrivedAtMs: 1_000, lifeMs: 4_000, unheardSinceMs: 0 };
    expect(waitsForRate(1_000, request)).toBe(true);
    expect(waitsForRate(2_199, request)).toBe(true);
    expect(waitsForRate(2_201, request)).toBe(false);
    const late = { ...request, arrivedAtMs: 3_000 };
    expect(waitsForRate(3_000, late)).toBe(false);
  });

  test('takes its turn again where another request took what became free', async () => {
    const waitsMs = [20, 20, 20];
    let asks = 0;
    const admission: Admission = new Admission({
      clock: clocks.createClock(),
      ask: ({ askId, customer, units }) => {
        asks += 1;
        const waitMs = waitsMs.shift() ?? null;
        const lent = { type: 'lent' as const, askId, customer, waitMs };
        const isLent = waitMs === null;
        setImmediate(() => admission.takeLent({ ...lent, units: isLent ? units : 0 }));
        return true;
      },
    });
    admission.setCustomers(new Map([[CUSTOMER.name, CUSTOMER]]));
    const admitted = await admission.admit(CUSTOMER, 10, PATIENCE);
    expect([admitted.type, asks]).toEqual([AdmissionType.admitted, 4]);
  });
});
