import { describe, expect, test } from 'vitest';
import { LoadProgress } from '../../../src/decisions/swaps/index.js';

const USUAL_MS = 6_000;
const FULL_SPEED_LOADS = 4;

describe('a load', () => {
  test('that waits for an unload has its whole time ahead', () => {
    const load = new LoadProgress(USUAL_MS, true);
    load.advance(1_000, null, 1, FULL_SPEED_LOADS);
    expect(load.endsAtMs(3_000)).toBe(9_000);
    load.advance(3_500, 3_000, 1, FULL_SPEED_LOADS);
    expect(load.endsAtMs(4_000)).toBe(9_000);
    expect(load.durationMs(8_000)).toBe(5_000);
  });

  test('from the weight store ends later beside more loads than the store serves at full speed', () => {
    const load = new LoadProgress(USUAL_MS, true);
    load.advance(0, 0, 5, FULL_SPEED_LOADS);
    expect(load.endsAtMs(0)).toBe(7_500);
    load.advance(3_750, 0, 4, FULL_SPEED_LOADS);
    expect(load.endsAtMs(3_750)).toBe(7_500);
    expect(load.maxConcurrent).toBe(5);
  });

  test('from a copy is not slowed down by loads from the weight store', () => {
    const load = new LoadProgress(600, false);
    load.advance(0, 0, 8, FULL_SPEED_LOADS);
    expect(load.endsAtMs(200)).toBe(600);
  });

  test('that is overdue is expected to last as long again', () => {
    const load = new LoadProgress(USUAL_MS, true);
    load.advance(0, 0, 1, FULL_SPEED_LOADS);
    expect(load.endsAtMs(7_000)).toBe(8_000);
  });
});
