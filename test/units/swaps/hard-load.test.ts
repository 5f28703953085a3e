/** Decisions of the swap planner under hard load: patient callers beside interactive ones. */
import { describe, expect, test } from 'vitest';
import type { EngineSpec } from '../../../src/decisions/fleet-plan/index.js';
import {
  type EngineState,
  NotLoadedReason,
  notLoadedReason,
  type PendingDemand,
  SwapPlanner,
  type SwapView,
} from '../../../src/decisions/swaps/index.js';
import { createEngine, createReplica } from './engine-fixture.js';

const NOW_MS = 100_000;
const MODELS = ['quick', 'slow', 'm1', 'm2', 'm3', 'm4', 'm5', 'm6'];
const SPEC: EngineSpec = {
  slots: 16,
  kvTokens: 60_000,
  memoryMb: 215,
  adapterSlots: 0,
  loadsPerS: 19,
  models: new Map(
    MODELS.map((name) => [
      name,
      {
        name,
        sizeMb: 70,
        remoteLoadMs: 10_200,
        diskLoadMs: 480,
        memoryLoadMs: 430,
        adapterCount: 0,
        adapterMb: 0,
      },
    ]),
  ),
};

function engine(
  id: string,
  running: Readonly<Record<string, number>>,
  onDisk: readonly string[],
): EngineState {
  const replicas = Object.entries(running).map(([model, count]) =>
    createReplica(model, { running: count }),
  );
  const fields = { service: 'orders', busyUntilMs: NOW_MS, copies: { inMemory: [], onDisk } };
  return createEngine(id, SPEC, replicas, fields);
}

function demandFor(model: string, waiting: number, dueAtMs: number): PendingDemand {
  return { service: 'orders', model, adapter: null, version: null, waiting, dueAtMs };
}

function viewOf(
  engines: readonly EngineState[],
  pendingDemand: readonly PendingDemand[],
  rates: ReadonlyMap<string, number> = new Map(),
): SwapView {
  const loads = { storeLoadsLeft: 0, placeLoadsLeft: 0 };
  return { nowMs: NOW_MS, engines, pendingDemand, rates, expectedRates: rates, ...loads };
}

const loadsOf = (planner: SwapPlanner, view: SwapView) =>
  planner
    .plan(view)
    .flatMap(({ engineId, steps }) =>
      steps.filter(({ type }) => type === 'load').map(({ model }) => `${engineId} ${model}`),
    );

describe('patient callers beside interactive ones', () => {
  test('do not get the engine first while their queue has seconds left', () => {
    const engines = [engine('e1', { m1: 0, m2: 1, m3: 1 }, ['quick', 'slow'])];
    const demand = [demandFor('slow', 4, NOW_MS + 4_000), demandFor('quick', 1, NOW_MS + 250)];
    expect(loadsOf(new SwapPlanner(), viewOf(engines, demand))).toEqual(['e1 quick']);
  });

  test('evict no model in use just after their objective, but later they do', () => {
    const engines = [engine('e1', { m1: 3, m2: 3, m3: 3 }, ['slow'])];
    const planner = new SwapPlanner();
    const demand = [demandFor('slow', 2, NOW_MS + 4_000)];
    const loadsAt = (afterMs: number) =>
      loadsOf(planner, { ...viewOf(engines, demand), nowMs: NOW_MS + afterMs });
    expect(loadsAt(0)).toEqual([]);
    expect(loadsAt(4_900)).toEqual([]);
    expect(loadsAt(6_100)).toEqual(['e1 slow']);
  });

  test('lose their model rather than interactive callers, as they can wait for its load', () => {
    const engines = [engine('e1', { m1: 0, m2: 0, m3: 1 }, ['quick', 'm1', 'm2'])];
    const rates = new Map([
      ['m1', 1],
      ['m2', 0.8],
    ] as const);
    const planner = new SwapPlanner();
    planner.plan(viewOf([], [demandFor('m1', 1, NOW_MS + 4_000)]));
    planner.plan(viewOf([], [demandFor('m2', 1, NOW_MS + 250)]));
    const [action] = planner.plan(viewOf(engines, [demandFor('quick', 1, NOW_MS)], rates));
    expect(action?.steps[0]).toMatchObject({ type: 'unload', model: 'm1' });
  });
});

describe('an engine with much more load than the others', () => {
  const dispensable = ['m4', 'm5', 'm6'].map((model) => demandFor(model, 1, NOW_MS + 4_000));
  const planner = () => {
    const made = new SwapPlanner();
    made.plan(viewOf([], dispensable));
    return made;
  };
  const spare = engine('e2', { m4: 0, m5: 0, m6: 0 }, ['quick', 'slow', 'm4', 'm5', 'm6']);

  test('gets help before requests are queued', () => {
    const engines = [engine('e1', { quick: 8, m1: 0, m2: 0 }, []), spare];
    const others = ['e3', 'e4'].map((id) => engine(id, { m1: 1, m2: 1 }, []));
    const idle = others.map((other) => ({ ...other, open: false }));
    expect(loadsOf(planner(), viewOf([...engines, ...idle], []))).toEqual(['e2 quick']);
  });

  test('gets help if two models share it, though neither fills it', () => {
    const engines = [engine('e1', { quick: 7, slow: 6, m1: 0 }, []), spare];
    const others = ['e3', 'e4'].map((id) => ({ ...engine(id, { m1: 1 }, []), open: false }));
    expect(loadsOf(planner(), viewOf([...engines, ...others], []))).toEqual(['e2 quick']);
  });

  test('evicts no model for it whose callers may be unable to wait for a load', () => {
    const engines = [engine('e1', { quick: 8, m1: 0, m2: 0 }, []), spare];
    const others = ['e3', 'e4'].map((id) => ({ ...engine(id, { m1: 1 }, []), open: false }));
    expect(loadsOf(new SwapPlanner(), viewOf([...engines, ...others], []))).toEqual([]);
  });

  test('gets none for a model with few requests there', () => {
    const engines = [engine('e1', { m1: 12, slow: 1, m2: 0 }, []), spare];
    const others = ['e3', 'e4'].map((id) => ({ ...engine(id, { m2: 1 }, []), open: false }));
    expect(loadsOf(planner(), viewOf([...engines, ...others], []))).toEqual([]);
  });
});

test('the only copy of a model outside the weight store is evicted last', () => {
  const rates = new Map([
    ['m1', 0.5],
    ['m2', 0.6],
  ] as const);
  const engines = [engine('e1', { m1: 0, m2: 0, m3: 1 }, ['quick', 'm2'])];
  const [action] = new SwapPlanner().plan(viewOf(engines, [demandFor('quick', 2, NOW_MS)], rates));
  expect(action?.steps[0]).toMatchObject({ type: 'unload', model: 'm2' });
});

test('the log tells why a model in demand is not loaded', () => {
  const demand = demandFor('slow', 1, NOW_MS);
  const inUse = engine('e1', { m1: 3, m2: 3, m3: 3 }, ['slow']);
  const reasonFor = (state: EngineState) => notLoadedReason(viewOf([state], [demand]), demand);
  expect(reasonFor(inUse)).toBe(NotLoadedReason.noRoom);
  expect(reasonFor({ ...inUse, open: false })).toBe(NotLoadedReason.copiesBlocked);
  expect(reasonFor(engine('e1', { m1: 3 }, []))).toBe(NotLoadedReason.storeLimit);
  expect(reasonFor({ ...inUse, loading: ['slow'] })).toBe(NotLoadedReason.loading);
});
