/** Forecast of the loads that are queued for the weight store. */
import { describe, expect, test } from 'vitest';
import { forecastLoads } from '../../../src/decisions/swaps/index.js';

const LOAD_MS = 6_000;
const service = 'drafting';

describe('forecastLoads', () => {
  test('assigns each queued load to the slot that is free first', () => {
    const queue = ['a', 'b', 'c', 'd'].map((model) => ({
      service,
      model,
      version: null,
      loadMs: LOAD_MS,
    }));
    const readyAtMs = forecastLoads(1_000, [3_000, 2_000, 500], 4, queue).map(
      (load) => load.readyAtMs,
    );
    // Two slots are free at once: the unused one, and the one whose load is overdue.
    expect(readyAtMs).toEqual([7_000, 7_000, 8_000, 9_000]);
  });

  test('waits for all running loads if more are running than the maximum', () => {
    const queue = [{ service, model: 'a', version: null, loadMs: LOAD_MS }];
    expect(forecastLoads(0, [1_000, 2_000], 1, queue)).toEqual([
      { service, model: 'a', version: null, readyAtMs: 2_000 + LOAD_MS },
    ]);
  });
});
