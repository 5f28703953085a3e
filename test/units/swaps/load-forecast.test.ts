import { describe, expect, test } from 'vitest';
import { forecastLoads } from '../../../src/decisions/swaps/index.js';

const LOAD_MS = 6_000;

describe('loads that wait for the weight store', () => {
  test('take the turn that is free first, one after the other', () => {
    const queue = ['a', 'b', 'c', 'd'].map((model) => ({ model, loadMs: LOAD_MS }));
    const readyAtMs = forecastLoads(1_000, [3_000, 2_000, 500], 4, queue).map(
      (load) => load.readyAtMs,
    );
    // Two turns are free now: the one that was never taken, and the one whose load is overdue.
    expect(readyAtMs).toEqual([7_000, 7_000, 8_000, 9_000]);
  });

  test('wait for all that runs where more run than may', () => {
    const queue = [{ model: 'a', loadMs: LOAD_MS }];
    expect(forecastLoads(0, [1_000, 2_000], 1, queue)).toEqual([
      { model: 'a', readyAtMs: 2_000 + LOAD_MS },
    ]);
  });
});
