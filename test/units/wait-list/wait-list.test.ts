/** Order, rejection and expected retries of queued requests. */
import { describe, expect, test } from 'vitest';
import * as waitList from '../../../src/decisions/wait-list/index.js';

function request(fields: Partial<waitList.QueuedRequest>): waitList.QueuedRequest {
  return {
    id: 'a',
    service: 'drafting',
    model: 'm',
    adapter: null,
    version: null,
    isInterrupted: false,
    priority: 1,
    arrivedAtMs: 0,
    objectiveAtMs: 400,
    deadlineAtMs: 2_000,
    ...fields,
  };
}

describe('queued requests', () => {
  test('are served by priority, then by earliest latency objective', () => {
    const patient = request({ id: 'patient', objectiveAtMs: 2_000 });
    const urgent = request({ id: 'urgent', priority: 0, objectiveAtMs: 5_000 });
    const quick = request({ id: 'quick' });
    const order = [patient, quick, urgent].sort(waitList.byUrgency).map(({ id }) => id);
    expect(order).toEqual(['urgent', 'quick', 'patient']);
  });

  const availability = (readyAtMs: number | null, isLoaded = false) => ({
    readyAtMs,
    isLoaded,
    permitAtMs: null,
  });

  test('are rejected before their callers time out', () => {
    expect(waitList.rejectAtMs(request({}), availability(null))).toBeLessThan(2_000);
  });

  test('are rejected later if a load will end in time', () => {
    const withoutLoad = waitList.rejectAtMs(request({}), availability(null));
    expect(waitList.rejectAtMs(request({}), availability(1_000))).toBeGreaterThan(withoutLoad);
    expect(waitList.rejectAtMs(request({}), availability(1_000))).toBeLessThan(2_000);
  });

  test('are rejected at once if the load ends too late and no server has the model loaded', () => {
    expect(waitList.rejectAtMs(request({ arrivedAtMs: 100 }), availability(6_000))).toBe(100);
    const withoutLoad = waitList.rejectAtMs(request({}), availability(null));
    expect(waitList.rejectAtMs(request({}), availability(6_000, true))).toBe(withoutLoad);
  });

  // Such streams were cut in the same millisecond, and taken up in vain.
  test('are not given up at once if they are streams that broke off', () => {
    const stream = request({ arrivedAtMs: 100, isInterrupted: true });
    const withLoad = waitList.rejectAtMs(request({ arrivedAtMs: 100 }), availability(1_000));
    expect(waitList.rejectAtMs(stream, availability(6_000))).toBe(withLoad);
    expect(waitList.rejectAtMs(stream, availability(null))).toBe(withLoad);
  });

  test('are rejected at once if their permit comes after their latency objective', () => {
    const throttled = { readyAtMs: null, isLoaded: true, permitAtMs: 390 };
    const waitUntilMs = waitList.rejectAtMs(request({}), availability(null));
    expect(waitList.rejectAtMs(request({}), throttled)).toBe(waitUntilMs);
    const late = { ...throttled, permitAtMs: 1_900 };
    expect(waitList.rejectAtMs(request({ arrivedAtMs: 100 }), late)).toBe(100);
    expect(waitList.retryAfterMs(100, 1_900)).toBe(1_800);
  });

  test('are expected to be retried until shortly after the given retry time', () => {
    const retries = new waitList.ExpectedRetries();
    const expected = { service: 'drafting', model: 'm', adapter: null, version: null, atMs: 6_000 };
    retries.note(expected);
    expect(retries.all(6_500)).toEqual([expected]);
    expect(retries.all(7_000)).toEqual([]);
  });

  test('get the end of the load as the retry time', () => {
    expect(waitList.retryAfterMs(1_000, 6_000)).toBe(5_000);
    expect(waitList.retryAfterMs(1_000, 1_010)).toBeGreaterThan(100);
  });
});

describe('the forecast of a free slot', () => {
  const state = { usableSlots: 20, running: 20, runMs: 1_000, ahead: 0 };

  test('counts the runs that must end first', () => {
    expect(waitList.slotWaitMs(state)).toBe(50);
    expect(waitList.slotWaitMs({ ...state, ahead: 9 })).toBe(500);
    expect(waitList.slotWaitMs({ ...state, running: 10, ahead: 9 })).toBe(0);
    expect(waitList.slotWaitMs({ ...state, runMs: null })).toBeNull();
  });

  test('lets a request wait while it can be served late, and else refuses it at once', () => {
    const availability = { readyAtMs: null, isLoaded: true, permitAtMs: null };
    const rejectAt = (slotAtMs: number | null, readyAtMs: number | null = null) =>
      waitList.rejectAtMs(request({ arrivedAtMs: 0 }), { ...availability, readyAtMs, slotAtMs });
    expect(rejectAt(1_700)).toBe(1_800);
    expect(rejectAt(1_900)).toBe(0);
    // A load that ends in time brings slots as well.
    expect(rejectAt(1_900, 500)).toBe(1_800);
    expect(rejectAt(null)).toBe(waitList.rejectAtMs(request({}), availability));
  });
});
