/** Load patterns replayed against the decision of what is loaded where. */
import { describe, expect, test } from 'vitest';
import type { EngineSpec } from '../../../src/decisions/fleet-plan/index.js';
import {
  type EngineState,
  type Place,
  type SwapAction,
  SwapPlanner,
  type SwapView,
  type Want,
} from '../../../src/decisions/swaps/index.js';

const NOW_MS = 100_000;
const MODELS = ['hot', 'warm', 'm1', 'm2', 'm3', 'm4', 'm5', 'm6'];
const SPEC: EngineSpec = {
  slots: 32,
  kvTokens: 80_000,
  memoryMb: 215,
  adapterSlots: 2,
  loadsPerS: 3,
  models: new Map(
    MODELS.map((name) => [
      name,
      {
        name,
        sizeMb: 70,
        remoteLoadMs: 6_000,
        diskLoadMs: 600,
        memoryLoadMs: 450,
        adapterMb: 1,
      },
    ]),
  ),
};

function place(model: string, fields: Partial<Place> = {}): Place {
  return {
    model,
    adapters: new Set(),
    running: 0,
    runningAdapters: new Map(),
    loadedAtMs: 0,
    usedAtMs: 0,
    adapterUsedAtMs: new Map(),
    ...fields,
  };
}

function engine(
  id: string,
  places: readonly Place[],
  onDisk: readonly string[],
  fields: Partial<EngineState> = {},
): EngineState {
  return {
    id,
    service: 'drafting',
    spec: SPEC,
    dataCentre: 'a',
    open: true,
    openForAdapters: true,
    sound: true,
    places,
    loading: [],
    loadingAdapters: [],
    chargedMb: places.length * 70,
    chargedAdapters: places.reduce((sum, { adapters }) => sum + adapters.size, 0),
    copies: { inMemory: [], onDisk },
    ...fields,
  };
}

function want(model: string, fields: Partial<Want> = {}): Want {
  return {
    service: 'drafting',
    model,
    adapter: null,
    waiting: 1,
    dueAtMs: NOW_MS + 2_000,
    ...fields,
  };
}

function plan(view: Partial<SwapView> & Pick<SwapView, 'engines' | 'wants'>) {
  return new SwapPlanner().plan({
    nowMs: NOW_MS,
    rates: new Map(),
    storeLoadsLeft: 4,
    ...view,
  });
}

const loadsOf = (actions: readonly SwapAction[]) =>
  actions.flatMap(({ engineId, steps }) =>
    steps.filter(({ type }) => type === 'load').map(({ model }) => `${engineId} ${model}`),
  );
const unloadsOf = (actions: readonly SwapAction[]) =>
  actions.flatMap(({ steps }) =>
    steps.filter(({ type }) => type === 'unload').map((step) => step.adapter ?? step.model),
  );

describe('rare models asked for evenly', () => {
  const full = [place('m1'), place('m2'), place('m3')];

  test('are loaded where a copy lies, not from the store', () => {
    const actions = plan({
      engines: [engine('e1', full, []), engine('e2', full, ['m5'])],
      wants: [want('m5')],
    });
    expect(loadsOf(actions)).toEqual(['e2 m5']);
    expect(actions[0]?.fromStore).toBe(false);
  });

  test('are loaded from the store only if no engine has a copy, and within its rate', () => {
    const engines = [engine('e1', full, [])];
    expect(plan({ engines, wants: [want('m5')] })[0]?.fromStore).toBe(true);
    expect(plan({ engines, wants: [want('m5')], storeLoadsLeft: 0 })).toEqual([]);
  });

  test('take the place of what nobody uses, and never of what is wanted or just came', () => {
    const engines = [
      engine(
        'e1',
        [place('m1', { running: 3 }), place('m2'), place('m3', { loadedAtMs: NOW_MS - 500 })],
        ['m5'],
      ),
    ];
    expect(unloadsOf(plan({ engines, wants: [want('m5')] }))).toEqual(['m2']);
  });

  test('wait for an idle place rather than for runs to end, until they are overdue', () => {
    const busy = [1, 2, 3].map((at) => place(`m${at}`, { running: 2 }));
    const engines = [engine('e1', busy, ['m5'])];
    expect(plan({ engines, wants: [want('m5')] })).toEqual([]);
    expect(plan({ engines, wants: [want('m5', { dueAtMs: NOW_MS - 1_000 })] })).toHaveLength(1);
  });

  test('do not cost the place of a model that many ask for', () => {
    const engines = [engine('e1', [place('hot'), place('m2', { running: 1 })], ['m5', 'm6'])].map(
      (state) => ({ ...state, chargedMb: 200 }),
    );
    const rates = new Map([['hot', 20]]);
    expect(plan({ engines, wants: [want('m5')], rates })).toEqual([]);
  });
});

describe('all rare models at once', () => {
  test('are taken one an engine, crowds first', () => {
    const full = [place('m1'), place('m2')];
    const spare = ['m3', 'm4', 'm5'];
    const engines = ['e1', 'e2'].map((id) => engine(id, full, spare, { chargedMb: 200 }));
    const actions = plan({
      engines,
      wants: [want('m3'), want('m4', { waiting: 9 }), want('m5', { waiting: 5 })],
    });
    expect(loadsOf(actions).map((text) => text.split(' ')[1])).toEqual(['m4', 'm5']);
    expect(new Set(actions.map(({ engineId }) => engineId)).size).toBe(2);
  });

  test('do not leave a single request behind for ever', () => {
    const engines = [engine('e1', [place('m1'), place('m2')], ['m3', 'm4'], { chargedMb: 200 })];
    const actions = plan({
      engines,
      wants: [want('m3', { dueAtMs: NOW_MS - 6_000 }), want('m4', { waiting: 6 })],
    });
    expect(loadsOf(actions)).toEqual(['e1 m3']);
  });
});

describe('demand that moves to a model', () => {
  test('gets a second place before the first one fails', () => {
    const engines = [
      engine('e1', [place('hot')], []),
      engine('e2', [place('m1')], ['hot']),
      engine('e3', [place('m2')], []),
      engine('e4', [place('m3')], []),
    ];
    const rates = new Map([['hot', 15]]);
    expect(loadsOf(plan({ engines, wants: [], rates }))).toEqual(['e2 hot']);
  });

  test('gets more places while many wait for it', () => {
    const full = [place('m1'), place('m2'), place('m3')];
    const engines = [
      engine('e1', [place('hot', { running: 30 })], []),
      engine('e2', full, ['hot']),
      engine('e3', full, []),
      engine('e4', full, []),
    ];
    const rates = new Map([['hot', 15]]);
    const wants = [want('hot', { waiting: 12 })];
    expect(loadsOf(plan({ engines, wants, rates }))).toContain('e2 hot');
  });
});

describe('adapters of a hot model', () => {
  const held = (adapters: readonly string[], usedAtMs: number) =>
    place('hot', {
      adapters: new Set(adapters),
      adapterUsedAtMs: new Map(adapters.map((name) => [name, usedAtMs])),
    });

  test('go where its engine has a free place', () => {
    const engines = [
      engine('e1', [held(['a1', 'a2'], 0)], []),
      engine('e2', [held(['a3'], 0)], []),
    ];
    const actions = plan({ engines, wants: [want('hot', { adapter: 'a9' })] });
    expect(actions.map(({ engineId }) => engineId)).toEqual(['e2']);
    expect(unloadsOf(actions)).toEqual([]);
  });

  test('take the place of the one unused for longest, not of one that just came', () => {
    const adapters = new Map([
      ['a1', NOW_MS - 10],
      ['a2', NOW_MS - 5_000],
    ]);
    const both = place('hot', { adapters: new Set(adapters.keys()), adapterUsedAtMs: adapters });
    const engines = [engine('e1', [both], [])];
    expect(unloadsOf(plan({ engines, wants: [want('hot', { adapter: 'a9' })] }))).toEqual(['a2']);
  });

  test('spare their engine from long loads', () => {
    const engines = [
      engine('e1', [held(['a1'], 0), place('m1'), place('m2')], ['m5']),
      engine('e2', [place('m3'), place('m4'), place('m6')], ['m5']),
    ];
    const rates = new Map([['hot', 10]]);
    expect(loadsOf(plan({ engines, wants: [want('m5')], rates }))).toContain('e2 m5');
  });

  test('get one more place of the model when all their places are in use', () => {
    const fresh = (id: string) => engine(id, [held(['a1', 'a2'], NOW_MS)], []);
    const engines = [fresh('e1'), ...['e2', 'e3', 'e4'].map((id) => engine(id, [], ['hot']))];
    const actions = plan({ engines, wants: [want('hot', { adapter: 'a9' })] });
    expect(loadsOf(actions).some((text) => text.endsWith(' hot') && text !== 'e1 hot')).toBe(true);
  });
});

describe('engines that come new and empty', () => {
  test('are filled with what is asked for most, from the store too, with one load spared', () => {
    const engines = ['e1', 'e2', 'e3'].map((id) => engine(id, [], []));
    const rates = new Map([
      ['hot', 12],
      ['m1', 0.3],
    ]);
    const actions = plan({ engines, wants: [], rates, storeLoadsLeft: 2 });
    expect(loadsOf(actions)).toEqual(['e1 hot']);
  });

  test('are not filled with what nobody asks for', () => {
    expect(plan({ engines: [engine('e1', [], MODELS)], wants: [] })).toEqual([]);
  });
});

describe('a model of which one engine has the only copy, and which half of the callers ask for', () => {
  const hotAt = (running: number) =>
    engine('e1', [place('hot', { running }), place('m1')], ['hot']);
  const others = ['e2', 'e3', 'e4'].map((id) =>
    engine(id, [place('m2'), place('m3'), place('m4')], ['m2', 'm3', 'm4']),
  );
  const rates = new Map([['hot', 20]]);

  test('gets a second place from the store once its engine is crowded', () => {
    const actions = plan({ engines: [hotAt(30), ...others], wants: [want('hot')], rates });
    expect(actions.map(({ fromStore }) => fromStore)).toEqual([true]);
    expect(loadsOf(actions)[0]).toMatch(/^e[234] hot$/);
  });

  test('stays at one place while that has room', () => {
    const actions = plan({ engines: [hotAt(4), ...others], wants: [want('hot')], rates });
    expect(actions.filter(({ fromStore }) => fromStore)).toEqual([]);
  });

  test('is loaded where a copy lies rather than from the store', () => {
    const near = engine('e5', [place('m5')], ['hot']);
    const actions = plan({ engines: [hotAt(30), ...others, near], wants: [want('hot')], rates });
    expect(loadsOf(actions)).toEqual(['e5 hot']);
  });

  test('leaves the last load of the store to models that no engine holds', () => {
    const wants = [want('hot', { waiting: 9 }), want('m6')];
    const engines = [hotAt(30), ...others];
    const actions = plan({ engines, wants, rates, storeLoadsLeft: 1 });
    expect(loadsOf(actions).map((text) => text.split(' ')[1])).toEqual(['m6']);
  });

  test('does not come a second time while a load is under way', () => {
    const coming = engine('e2', [place('m2')], ['m2'], { loading: ['hot'], open: false });
    const engines = [hotAt(30), coming, ...others.slice(1)];
    expect(plan({ engines, wants: [want('hot')], rates })).toEqual([]);
  });
});

describe('a crowd for many adapters of one model', () => {
  const wants = ['a1', 'a2', 'a3'].map((adapter) => want('m5', { adapter }));
  const engines = ['e1', 'e2', 'e3'].map((id) =>
    engine(id, [place('m1'), place('m2'), place('m3')], ['m5']),
  );

  test('brings the model to one engine at a time', () => {
    expect(loadsOf(plan({ engines, wants }))).toHaveLength(1);
  });
});

describe('a model that a crowd asks for while a slow load of it is under way', () => {
  const full = engine('e1', [place('hot', { running: 30 }), place('m1')], ['hot']);
  const coming = engine('e2', [place('m2')], ['m2'], { loading: ['hot'], open: false });
  const near = engine('e3', [place('m3')], ['hot']);
  const others = ['e4', 'e5', 'e6', 'e7', 'e8'].map((id) => engine(id, [place('m4')], ['m4']));
  const engines = [full, coming, near, ...others];

  test('comes to one more engine, as far as those who wait need it', () => {
    const actions = plan({ engines, wants: [want('hot', { waiting: 30 })] });
    expect(loadsOf(actions)).toEqual(['e3 hot']);
  });

  test('counts all who wait for it, with whichever adapter', () => {
    const wants = ['a1', 'a2', 'a3'].map((adapter) => want('hot', { adapter, waiting: 10 }));
    const actions = plan({ engines, wants });
    expect(loadsOf(actions).filter((text) => text === 'e3 hot')).toHaveLength(1);
  });

  test('does not come where the load under way will do', () => {
    expect(plan({ engines, wants: [want('hot', { waiting: 4 })] })).toEqual([]);
  });
});
