/** The clock includes suspensions and ignores other steps of the wall clock. */
import { describe, expect, test } from 'vitest';
import * as clocks from '../../../src/core/clock/index.js';

/** Creates a clock whose sources are controlled by the test. */
function createTestClock() {
  const times = { monotonic: 1_000, wallClock: 500_000 };
  const clock = clocks.createClock({
    monotonicMs: () => times.monotonic,
    wallClockMs: () => Math.floor(times.wallClock),
  });
  const advance = (ms: number, wallMs = ms) => {
    times.monotonic += ms;
    times.wallClock += wallMs;
  };
  return { clock, advance };
}

describe('the clock of a daemon', () => {
  test('does not gain time by rounding, however often it is read', () => {
    const { clock, advance } = createTestClock();
    const startMs = clock.nowMs();
    Array.from({ length: 10_000 }).forEach(() => {
      advance(0.3);
      clock.nowMs();
    });
    expect(clock.nowMs() - startMs).toBeCloseTo(3_000, 3);
  });

  test('includes time spent suspended and reports the jump once', () => {
    const { clock, advance } = createTestClock();
    const jumps: number[] = [];
    clock.onJump((jumpMs) => jumps.push(jumpMs));
    const startMs = clock.nowMs();
    const startSteadyMs = clock.steadyMs();
    advance(100, 4_100);
    expect(clock.nowMs() - startMs).toBe(4_100);
    expect(clock.steadyMs() - startSteadyMs).toBe(100);
    expect(jumps).toEqual([4_000]);
  });

  test('ignores a backward step of the wall clock', () => {
    const { clock, advance } = createTestClock();
    const startMs = clock.nowMs();
    advance(100, -60_000);
    expect(clock.nowMs() - startMs).toBe(100);
  });
});
