/** Concurrency limit for loads from the weight store. */
import { describe, expect, test } from 'vitest';
import { StoreConcurrencyLimiter } from '../../../src/decisions/swaps/index.js';

describe('the concurrency limit for loads from the weight store', () => {
  test('falls to the number of loads that the store serves at full speed', () => {
    const limiter = new StoreConcurrencyLimiter();
    expect(limiter.atOnce).toBe(4);
    limiter.recordLoad(15_800, 7_800, 4);
    expect(limiter.atOnce).toBe(2);
    limiter.recordLoad(7_900, 7_800, 2);
    expect(limiter.atOnce).toBe(2);
  });

  test('does not change if loads end in the expected time', () => {
    const limiter = new StoreConcurrencyLimiter();
    [1, 2, 3, 4].forEach((atOnce) => limiter.recordLoad(6_200, 6_000, atOnce));
    expect(limiter.atOnce).toBe(4);
  });

  test('is not lowered by a slow load that ran alone, and stays at least 1', () => {
    const limiter = new StoreConcurrencyLimiter();
    limiter.recordLoad(60_000, 6_000, 1);
    expect(limiter.atOnce).toBe(4);
    limiter.recordLoad(60_000, 6_000, 3);
    expect(limiter.atOnce).toBe(1);
  });
});
