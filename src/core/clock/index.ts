/**
 * A clock that includes the time for which the VM was suspended.
 *
 * The monotonic clock stops while a VM is suspended. The wall clock does not, but it may be set. A
 * forward jump of the wall clock relative to the monotonic clock is treated as a suspension, since
 * overestimating the elapsed time only refreshes state too early, whereas underestimating it keeps
 * expired state in use.
 */
import type { Clock, TimeSources } from './types.js';

export type { Clock, TimeSources } from './types.js';

/** Forward jumps up to this length are corrections of the wall clock, not suspensions. */
const MAX_CORRECTION_MS = 250;

const systemSources: TimeSources = {
  monotonicMs: () => performance.now(),
  wallClockMs: () => Date.now(),
};

/** Creates the clock of a daemon. Backward steps of the wall clock are ignored. */
export function createClock(sources: TimeSources = systemSources): Clock {
  const handlers: ((jumpMs: number) => void)[] = [];
  let offsetMs = sources.wallClockMs() - sources.monotonicMs();
  let suspendedMs = 0;
  const nowMs = (): number => {
    const monotonicMs = sources.monotonicMs();
    const nextOffsetMs = sources.wallClockMs() - monotonicMs;
    const jumpMs = nextOffsetMs - offsetMs;
    offsetMs = nextOffsetMs;
    if (jumpMs > MAX_CORRECTION_MS) {
      suspendedMs += jumpMs;
      handlers.forEach((handler) => handler(jumpMs));
    }
    return monotonicMs + suspendedMs;
  };
  return {
    nowMs,
    steadyMs: () => sources.monotonicMs(),
    onJump: (handler) => {
      handlers.push(handler);
    },
  };
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
