import { describe, expect, test } from 'vitest';
import * as waits from '../../../src/decisions/wait-list/index.js';

function waiter(fields: Partial<waits.Waiter>): waits.Waiter {
  return {
    id: 'a',
    service: 'drafting',
    model: 'm',
    adapter: null,
    priority: 1,
    arrivedAtMs: 0,
    objectiveAtMs: 400,
    deadlineAtMs: 2_000,
    ...fields,
  };
}

describe('requests that wait', () => {
  test('are served by urgency, then by the objective that is missed first', () => {
    const patient = waiter({ id: 'patient', objectiveAtMs: 2_000 });
    const urgent = waiter({ id: 'urgent', priority: 0, objectiveAtMs: 5_000 });
    const quick = waiter({ id: 'quick' });
    const order = [patient, quick, urgent].sort(waits.byUrgency).map(({ id }) => id);
    expect(order).toEqual(['urgent', 'quick', 'patient']);
  });

  const outlook = (readyAtMs: number | null, isHeld = false) => ({ readyAtMs, isHeld });

  test('are refused before their callers leave', () => {
    expect(waits.giveUpAtMs(waiter({}), outlook(null))).toBeLessThan(2_000);
  });

  test('wait longer for a load that ends in time', () => {
    const withoutLoad = waits.giveUpAtMs(waiter({}), outlook(null));
    expect(waits.giveUpAtMs(waiter({}), outlook(1_000))).toBeGreaterThan(withoutLoad);
    expect(waits.giveUpAtMs(waiter({}), outlook(1_000))).toBeLessThan(2_000);
  });

  test('are refused at once when the only load ends too late', () => {
    expect(waits.giveUpAtMs(waiter({ arrivedAtMs: 100 }), outlook(6_000))).toBe(100);
    const withoutLoad = waits.giveUpAtMs(waiter({}), outlook(null));
    expect(waits.giveUpAtMs(waiter({}), outlook(6_000, true))).toBe(withoutLoad);
  });

  test('are expected back at the time that they were told, and not for ever', () => {
    const returns = new waits.ExpectedReturns();
    const expected = { service: 'drafting', model: 'm', adapter: null, atMs: 6_000 };
    returns.note(expected);
    expect(returns.all(6_500)).toEqual([expected]);
    expect(returns.all(7_000)).toEqual([]);
  });

  test('are told to come back when the load ends', () => {
    expect(waits.retryAfterMs(1_000, 6_000)).toBe(5_000);
    expect(waits.retryAfterMs(1_000, 1_010)).toBeGreaterThan(100);
  });
});
