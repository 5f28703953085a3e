/**
 * Clocks. The monotonic clock stands still while a VM is suspended; the time of day does not, but it
 * may also be set. A jump of the time of day ahead is taken for a suspension: who believes that too
 * much time has passed asks again, who believes too little goes on with what is no longer true.
 */
import type { Clock, TimeSources } from './types.js';

export type { Clock, TimeSources } from './types.js';

/** The time of day is ahead by a jump beyond this, ms: smaller steps are corrections of it. */
const JUMP_MS = 250;

const systemSources: TimeSources = {
  monotonicMs: () => performance.now(),
  timeOfDayMs: () => Date.now(),
};

/** Creates the clock of a daemon. Steps of the time of day backwards are ignored. */
export function createClock(sources: TimeSources = systemSources): Clock {
  const handlers: ((jumpMs: number) => void)[] = [];
  let lead = sources.timeOfDayMs() - sources.monotonicMs();
  let sleptMs = 0;
  const nowMs = (): number => {
    const monotonicMs = sources.monotonicMs();
    const nextLead = sources.timeOfDayMs() - monotonicMs;
    const jumpMs = nextLead - lead;
    lead = nextLead;
    if (jumpMs > JUMP_MS) {
      sleptMs += jumpMs;
      handlers.forEach((handler) => handler(jumpMs));
    }
    return monotonicMs + sleptMs;
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
