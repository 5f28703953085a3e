/** A burst of patient requests beside interactive ones, with and without a forecast of free slots. */
import { describe, expect, test } from 'vitest';
import { createRandom } from '../../src/core/random/index.js';
import {
  byUrgency,
  type QueuedRequest,
  rejectAtMs,
  retryAfterMs,
  slotWaitMs,
} from '../../src/decisions/wait-list/index.js';

const USABLE_SLOTS = 86;
const RUN_MS = 1_500;
const SECONDS = 40;
const BURST = { fromS: 10, untilS: 16, factor: 2.1 };
/** Part of the remaining time for which a refused caller follows Retry-After. */
const RETURN_FRACTION = 1 / 3;

interface Caller {
  readonly name: 'interactive' | 'patient';
  readonly perS: number;
  readonly priority: number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  readonly deadlineMs: number;
}

const INTERACTIVE: Caller = {
  name: 'interactive',
  perS: 38,
  priority: 0,
  objectiveMs: 301,
  timeoutMs: 2_400,
  deadlineMs: 10_000,
};
const PATIENT: Caller = {
  name: 'patient',
  perS: 17,
  priority: 2,
  objectiveMs: 2_000,
  timeoutMs: 8_000,
  deadlineMs: 17_000,
};

interface Asked {
  readonly of: Caller;
  readonly firstMs: number;
  readonly hasReturned: boolean;
  readonly queued: QueuedRequest;
}

interface Returning {
  readonly atMs: number;
  readonly of: Caller;
  readonly firstMs: number;
}

function replay(usesForecast: boolean, factor = BURST.factor) {
  const random = createRandom(2);
  const outcomes = {
    interactive: { inTime: 0, late: 0, refused: 0 },
    patient: { inTime: 0, late: 0, refused: 0 },
  };
  const told = { count: 0, servedAfter: 0 };
  const state = {
    queue: [] as readonly Asked[],
    returns: [] as readonly Returning[],
    ends: [] as readonly number[],
  };
  const ask = (nowMs: number, of: Caller, firstMs: number, hasReturned: boolean) => {
    const endMs = Math.min(firstMs + of.deadlineMs, nowMs + of.timeoutMs);
    const queued = {
      id: `${of.name} ${nowMs}`,
      service: 'chat',
      model: 'm',
      adapter: null,
      version: null,
      isInterrupted: false,
      priority: of.priority,
      arrivedAtMs: nowMs,
      objectiveAtMs: nowMs + of.objectiveMs,
      deadlineAtMs: endMs,
    };
    state.queue = [...state.queue, { of, firstMs, hasReturned, queued }];
  };
  for (let nowMs = 0; nowMs < SECONDS * 1_000; nowMs += 5) {
    state.ends = state.ends.filter((endMs) => endMs > nowMs);
    const isBurst = nowMs >= BURST.fromS * 1_000 && nowMs < BURST.untilS * 1_000;
    [INTERACTIVE, PATIENT].forEach((of) => {
      const perS = of.perS * (isBurst && of === PATIENT ? factor : 1);
      if (random.real() < perS / 200) ask(nowMs, of, nowMs, false);
    });
    const due = state.returns.filter(({ atMs }) => atMs <= nowMs);
    state.returns = state.returns.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ of, firstMs }) => ask(nowMs, of, firstMs, true));
    const sorted = [...state.queue].sort((a, b) => byUrgency(a.queued, b.queued));
    const served = sorted.slice(0, Math.max(0, USABLE_SLOTS - state.ends.length));
    served.forEach(({ of, queued, hasReturned }) => {
      state.ends = [...state.ends, nowMs + RUN_MS * (0.7 + 0.6 * random.real())];
      if (nowMs <= queued.objectiveAtMs) outcomes[of.name].inTime += 1;
      else outcomes[of.name].late += 1;
      if (hasReturned) told.servedAfter += 1;
    });
    state.queue = sorted.slice(served.length).filter((asked, ahead) => {
      const { of, queued, firstMs, hasReturned } = asked;
      const running = state.ends.length;
      const known = { usableSlots: USABLE_SLOTS, running, runMs: RUN_MS, ahead };
      const waitMs = usesForecast ? slotWaitMs(known) : null;
      const slotAtMs = waitMs === null ? null : nowMs + waitMs;
      const availability = { readyAtMs: null, isLoaded: true, permitAtMs: null, slotAtMs };
      if (nowMs < rejectAtMs(queued, availability)) return true;
      if (hasReturned) outcomes[of.name].refused += 1;
      else {
        told.count += 1;
        const leftMs = firstMs + of.deadlineMs - nowMs;
        const pauseMs = Math.min(retryAfterMs(nowMs, slotAtMs), leftMs * RETURN_FRACTION);
        state.returns = [...state.returns, { atMs: nowMs + pauseMs, of, firstMs }];
      }
      return false;
    });
  }
  return { ...outcomes, told };
}

describe('a burst of patient requests', () => {
  test('is served late instead of refused, and does not delay interactive requests', () => {
    const before = replay(false);
    const after = replay(true);
    expect(after.patient.refused).toBeLessThanOrEqual(before.patient.refused);
    expect(after.told.count).toBeLessThan(before.told.count);
    expect(after.interactive.inTime).toBeGreaterThanOrEqual(before.interactive.inTime);
  });
});
