/** Concurrency limit for loads from the weight store. */
import { describe, expect, test } from 'vitest';
import { StorePace } from '../../../src/decisions/swaps/index.js';

describe('the concurrency limit for loads from the weight store', () => {
  test('falls to the number of loads that the store serves at full speed', () => {
    const limiter = new StorePace();
    expect(limiter.atOnce).toBe(4);
    limiter.noteEnd(15_800, 7_800, 4);
    expect(limiter.atOnce).toBe(2);
    limiter.noteEnd(7_900, 7_800, 2);
    expect(limiter.atOnce).toBe(2);
  });

  test('does not change if loads end in the expected time', () => {
    const limiter = new StorePace();
    [1, 2, 3, 4].forEach((atOnce) => limiter.noteEnd(6_200, 6_000, atOnce));
    expect(limiter.atOnce).toBe(4);
  });

  test('is not lowered by a slow load that ran alone, and stays at least 1', () => {
    const limiter = new StorePace();
    limiter.noteEnd(60_000, 6_000, 1);
    expect(limiter.atOnce).toBe(4);
    limiter.noteEnd(60_000, 6_000, 3);
    expect(limiter.atOnce).toBe(1);
  });
});
