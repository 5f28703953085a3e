import { describe, expect, test } from 'vitest';
import { createRandom } from '../../../src/core/random/index.js';
import type { QueuedRequest } from '../../../src/decisions/wait-list/index.js';
import { createMetrics } from '../../../src/core/metrics/index.js';
import { FirstTokens, type FirstTokensOptions } from '../../../src/entry/relay/first-tokens.js';
import { KeptPrompts } from '../../../src/entry/relay/kept-prompts.js';
import { Dispatcher, type DispatchOptions } from '../../../src/entry/relay/dispatch.js';
import { createBackendServer } from './backend-server.js';

const SERVER_ID = 'server-1';

function setUp() {
  const state = { free: 0, passes: 0 };
  const nothing = () => undefined;
  const view = {
    candidates: () => {
      state.passes += 1;
      const one = { id: SERVER_ID, dataCentre: 'a', slots: 1, running: 0, slowness: 1 };
      return state.free > 0 ? [one] : [];
    },
    throttled: () => [],
    readyAtMs: () => null,
    isLoaded: () => true,
    started: () => {
      state.free -= 1;
    },
  };
  const limits = { requestPermits: nothing, take: nothing, requestProbe: nothing };
  const clock = { steadyMs: () => 0 };
  const firstTokens = new FirstTokens({
    dataCentre: 'a',
    clock,
    metrics: createMetrics(),
    prompts: new KeptPrompts({
      metrics: createMetrics(),
      servers: () => new Map(),
      memoryTokens: () => 0,
      members: () => 1,
    }),
  } as unknown as FirstTokensOptions);
  const dispatcher = new Dispatcher({
    isStewardConnected: () => true,
    dataCentre: 'a',
    storeWatcher: { backends: new Map([[SERVER_ID, createBackendServer(SERVER_ID)]]) },
    view,
    limits,
    clock,
    firstTokens,
    memory: { withRoom: (_service: string, servers: unknown) => servers, memoryOf: () => ({}) },
    memoryPermits: { mustWait: () => false },
    random: createRandom(1),
    onEnqueue: nothing,
  } as unknown as DispatchOptions);
  const placed: string[] = [];
  const place = async (id: string, priority: number, model: string | null = null) => {
    const request: QueuedRequest = {
      id,
      service: 'desk',
      model,
      adapter: null,
      version: null,
      isInterrupted: false,
      priority,
      arrivedAtMs: 0,
      objectiveAtMs: 400,
      deadlineAtMs: 3_000,
    };
    await dispatcher.place(request, new Set());
    placed.push(id);
  };
  const turn = () =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });
  return { dispatcher, state, place, placed, turn };
}

test('queued requests are reported by the data centres that may serve them', () => {
  const { dispatcher } = setUp();
  const request: QueuedRequest = {
    id: 'one',
    service: 'desk',
    model: 'm1',
    adapter: null,
    version: null,
    isInterrupted: false,
    priority: 0,
    arrivedAtMs: 0,
    objectiveAtMs: 400,
    deadlineAtMs: 3_000,
  };
  void dispatcher.place(request, new Set());
  void dispatcher.place({ ...request, id: 'two', dataCentres: ['a'] }, new Set());
  void dispatcher.place({ ...request, id: 'three', dataCentres: ['a'] }, new Set());
  const groups = dispatcher.waits().map(({ waiting, dataCentres }) => [waiting, dataCentres]);
  expect(groups).toEqual([
    [1, undefined],
    [2, ['a']],
  ]);
});

describe('the queue of requests', () => {
  test('is passed over once for all changes of a turn, most urgent first', async () => {
    const { dispatcher, state, place, placed, turn } = setUp();
    void place('late', 5);
    void place('urgent', 0);
    void place('normal', 3);
    state.passes = 0;
    state.free = 2;
    Array.from({ length: 100 }, () => dispatcher.schedulePlacement());
    await turn();
    expect(placed).toEqual(['urgent', 'normal']);
    expect(state.passes).toBeLessThan(10);
  });

  test('comes before a request that arrives after a server has become free', async () => {
    const { dispatcher, state, place, placed, turn } = setUp();
    void place('queued', 3);
    state.free = 1;
    dispatcher.schedulePlacement();
    void place('new', 3);
    await turn();
    expect(placed).toEqual(['queued']);
  });

  test('leaves a free slot to a more urgent request that waits at another entry VM', async () => {
    const { dispatcher, state, place, placed, turn } = setUp();
    const applyQueues = (byPriority: Record<string, number>) =>
      dispatcher.applyQueues({
        whole: false,
        queues: [{ service: 'desk', model: 'm', adapter: null, byPriority }],
      } as never);
    applyQueues({ 0: 1 });
    state.free = 2;
    void place('patient', 3, 'm');
    await place('urgent', 0, 'm');
    expect(placed).toEqual(['urgent']);
    applyQueues({});
    dispatcher.schedulePlacement();
    await turn();
    expect(placed).toEqual(['urgent', 'patient']);
  });

  test('does not delay a request that a server can run', async () => {
    const { state, place, placed } = setUp();
    state.free = 1;
    await place('new', 3);
    expect(placed).toEqual(['new']);
  });
});
