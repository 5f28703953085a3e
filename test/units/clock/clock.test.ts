import { describe, expect, test } from 'vitest';
import * as clocks from '../../../src/core/clock/index.js';

/** A clock whose sources are set by the test. */
function createTimes() {
  const times = { monotonic: 1_000, timeOfDay: 500_000 };
  const clock = clocks.createClock({
    monotonicMs: () => times.monotonic,
    timeOfDayMs: () => Math.floor(times.timeOfDay),
  });
  const pass = (ms: number, ofDay = ms) => {
    times.monotonic += ms;
    times.timeOfDay += ofDay;
  };
  return { clock, pass };
}

describe('the clock of a daemon', () => {
  test('runs no faster than time, however often it is read', () => {
    const { clock, pass } = createTimes();
    const startMs = clock.nowMs();
    Array.from({ length: 10_000 }).forEach(() => {
      pass(0.3);
      clock.nowMs();
    });
    expect(clock.nowMs() - startMs).toBeCloseTo(3_000, 3);
  });

  test('counts time spent suspended, and says so once', () => {
    const { clock, pass } = createTimes();
    const jumps: number[] = [];
    clock.onJump((jumpMs) => jumps.push(jumpMs));
    const startMs = clock.nowMs();
    const startSteadyMs = clock.steadyMs();
    pass(100, 4_100);
    expect(clock.nowMs() - startMs).toBe(4_100);
    expect(clock.steadyMs() - startSteadyMs).toBe(100);
    expect(jumps).toEqual([4_000]);
  });

  test('ignores a time of day that is set back', () => {
    const { clock, pass } = createTimes();
    const startMs = clock.nowMs();
    pass(100, -60_000);
    expect(clock.nowMs() - startMs).toBe(100);
  });
});
