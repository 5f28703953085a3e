/** Clocks: the larger of monotonic and wall-clock progress, so that a suspended VM knows it slept. */
import type { Clock } from './types.js';

export type { Clock } from './types.js';

/** Creates the clock of a daemon. Wall-clock steps backwards are ignored. */
export function createClock(): Clock {
  let lastMonoMs = performance.now();
  let lastWallMs = Date.now();
  let elapsedMs = 0;
  return {
    nowMs() {
      const monoMs = performance.now();
      const wallMs = Date.now();
      elapsedMs += Math.max(monoMs - lastMonoMs, wallMs - lastWallMs, 0);
      lastMonoMs = monoMs;
      lastWallMs = wallMs;
      return elapsedMs;
    },
  };
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
