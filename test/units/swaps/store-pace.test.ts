/** Loads from the weight store that slow each other down. */
import { describe, expect, test } from 'vitest';
import { StorePace } from '../../../src/decisions/swaps/index.js';

describe('loads at once from the weight store', () => {
  test('are as many as the store takes at full speed, once it has shown', () => {
    const pace = new StorePace();
    expect(pace.atOnce).toBe(4);
    pace.noteEnd(15_800, 7_800, 4);
    expect(pace.atOnce).toBe(2);
    pace.noteEnd(7_900, 7_800, 2);
    expect(pace.atOnce).toBe(2);
  });

  test('stay as many where they end in their usual time', () => {
    const pace = new StorePace();
    [1, 2, 3, 4].forEach((atOnce) => pace.noteEnd(6_200, 6_000, atOnce));
    expect(pace.atOnce).toBe(4);
  });

  test('are not held back by one that was slow by itself, and never none', () => {
    const pace = new StorePace();
    pace.noteEnd(60_000, 6_000, 1);
    expect(pace.atOnce).toBe(4);
    pace.noteEnd(60_000, 6_000, 3);
    expect(pace.atOnce).toBe(1);
  });
});
