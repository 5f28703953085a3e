import { afterEach, describe, expect, test, vi } from 'vitest';
import type { Logger } from '../../../src/core/logger/index.js';
import { createMetrics } from '../../../src/core/metrics/index.js';
import { LoopDelayTask } from '../../../src/entry/relay/loop-delay.js';

const INTERVAL_MS = 20;

function setUp() {
  vi.useFakeTimers();
  const state = { nowMs: 0, cpuUs: 0 };
  const lines: unknown[] = [];
  const ignore = () => undefined;
  const logger: Logger = {
    debug: ignore,
    info: ignore,
    warn: (event, fields) => lines.push({ event, ...fields }),
    error: ignore,
    child: () => logger,
  };
  const metrics = createMetrics();
  const task = new LoopDelayTask({
    clock: { steadyMs: () => state.nowMs },
    logger,
    metrics,
    cpuUsage: () => ({ user: state.cpuUs, system: 0 }),
    active: () => 7,
    queued: () => 3,
  });
  const pass = (ms: number, cpuMs: number) => {
    state.nowMs += ms;
    state.cpuUs += cpuMs * 1_000;
    vi.advanceTimersByTime(INTERVAL_MS);
  };
  return { task, lines, metrics, pass };
}

afterEach(() => {
  vi.useRealTimers();
});

describe('the delay of the event loop', () => {
  test('is measured at each sample, and logged with the CPU time used if it is long', async () => {
    const { task, lines, metrics, pass } = setUp();
    await task.start();
    pass(INTERVAL_MS, 1);
    expect(lines).toEqual([]);
    pass(INTERVAL_MS + 700, 650);
    pass(INTERVAL_MS + 900, 2);
    expect(lines).toEqual([
      { event: 'loop-delayed', delayMs: 700, cpuMs: 650, active: 7, queued: 3 },
      { event: 'loop-delayed', delayMs: 900, cpuMs: 2, active: 7, queued: 3 },
    ]);
    expect(metrics.render()).toContain('relay_loop_delay_seconds_count 3');
    expect(metrics.render()).toContain('relay_loop_delay_max_seconds 0.9');
    await task.stop();
    pass(10_000, 1);
    expect(lines).toHaveLength(2);
  });
});
