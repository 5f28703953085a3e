/** How an entry VM applies the steward's `view` messages to its choice of servers. */
import { describe, expect, test } from 'vitest';
import { createMetrics } from '../../../src/core/metrics/index.js';
import { FleetView } from '../../../src/entry/relay/fleet-view.js';
import type { StoreWatcherTask } from '../../../src/entry/relay/store-watcher.js';
import {
  type RelayMessageOf,
  relayMessageSchema,
  RelayMessageType,
} from '../../../src/entry/relay/messages.js';
import { allows } from '../../../src/decisions/homes/index.js';
import { ServerTokens } from '../../../src/entry/relay/server-tokens.js';
import { createBackendServer } from './backend-server.js';

const SERVER = createBackendServer('s1');
const ENGINE = createBackendServer('s1', {
  models: [{ name: 'm1', version: 1, adapters: [] }],
});
const NEED = { service: 'drafting', model: 'm1', adapter: null };

function viewOf(fields: Partial<RelayMessageOf<'view'>> = {}): RelayMessageOf<'view'> {
  return {
    type: RelayMessageType.view,
    whole: false,
    engines: [],
    running: {},
    loads: [],
    members: 1,
    mayUseReserve: false,
    peers: null,
    unreached: [],
    ...fields,
  };
}

const LOADED_VIEW = viewOf({
  whole: true,
  engines: [{ id: 's1', bornMs: 1, models: [{ name: 'm1', adapters: [] }] }],
  running: { s1: 5 },
});

function setUp(fromSteward: boolean, server = SERVER) {
  const steward = { connected: true };
  const state = { isServing: true };
  const storeWatcher = { backends: new Map([['s1', server]]), isFromSteward: () => fromSteward };
  const times = { nowMs: 0 };
  const clock = {
    nowMs: () => times.nowMs,
    steadyMs: () => times.nowMs,
    onJump: () => undefined,
  };
  const tokens = new ServerTokens({
    metrics: createMetrics(),
    memoryTokens: () => 1_000,
    isStewardConnected: () => steward.connected,
    members: () => 2,
    runMs: () => null,
    permits: { areIssued: false, isRefused: () => false },
  });
  const view = new FleetView(
    storeWatcher as unknown as StoreWatcherTask,
    clock,
    () => steward.connected,
    {
      allows: () => true,
      isAnyKnown: false,
      isThrottled: () => false,
      noteEnded: () => undefined,
    },
    { canReach: () => false, isUnreachable: () => false, unreachableServers: () => [] },
    tokens,
    ({ dataCentre }, { dataCentres }) => state.isServing && allows(dataCentres, dataCentre),
  );
  return { view, tokens, steward, times, state };
}

describe('loads that the steward announces', () => {
  const loadAt = (
    version: string | null,
    readyInMs: number,
    service: string | null = NEED.service,
  ) => ({
    service,
    model: 'm1',
    adapter: null,
    version,
    readyInMs,
  });

  test('are awaited by a stream only at the version that began it', () => {
    const { view } = setUp(true);
    view.applyView(viewOf({ loads: [loadAt('v2', 500), loadAt('v1', 900), loadAt(null, 100)] }));
    expect(view.readyAtMs(NEED)).toBe(100);
    expect(view.readyAtMs({ ...NEED, version: 'v1' })).toBe(900);
    expect(view.readyAtMs({ ...NEED, version: 'v3' })).toBeNull();
  });

  test('are not awaited by requests for a model of the same name in another service', () => {
    const { view } = setUp(true);
    view.applyView(viewOf({ loads: [loadAt('v1', 500, 'other')] }));
    expect(view.readyAtMs(NEED)).toBeNull();
    // An older steward does not tell the service.
    view.applyView(viewOf({ loads: [loadAt('v1', 500, 'other'), loadAt('v1', 900, null)] }));
    expect(view.readyAtMs(NEED)).toBe(900);
  });
});

describe('engine states from the steward', () => {
  test('set the number of running requests over all entry VMs until the next update', () => {
    const { view } = setUp(true);
    view.applyView(LOADED_VIEW);
    expect(view.candidates(NEED)[0]?.running).toBe(5);
    view.applyView(viewOf());
    expect(view.candidates(NEED)[0]?.running).toBe(5);
    view.applyView(viewOf({ running: { s1: 0 } }));
    expect(view.candidates(NEED)[0]?.running).toBe(0);
  });

  test('do not count requests of this entry VM twice', () => {
    const { view } = setUp(true);
    view.started({ ...NEED, server: SERVER });
    view.noteReported();
    view.applyView(LOADED_VIEW);
    expect(view.candidates(NEED)[0]?.running).toBe(5);
  });

  test('stay valid for a server from the steward list when the steward is disconnected', () => {
    const { view, steward } = setUp(true);
    view.applyView(LOADED_VIEW);
    steward.connected = false;
    expect(view.candidates(NEED)).toHaveLength(1);
  });

  test('are ignored for a server from the store list when the steward is disconnected', () => {
    const { view, steward } = setUp(false);
    view.applyView(LOADED_VIEW);
    steward.connected = false;
    expect(view.candidates(NEED)).toHaveLength(0);
  });
});

describe('the tokens of running requests', () => {
  const running = (count: number) => [{ id: SERVER.id, running: count }];

  test('of all entry VMs bound what a server gets, and are not counted twice', () => {
    const { view, tokens } = setUp(true);
    const run = { ...NEED, server: SERVER, tokens: 300 };
    view.started(run);
    expect(view.running()).toMatchObject([{ running: 1, tokens: 300 }]);
    view.noteReported();
    view.applyView({ ...LOADED_VIEW, running: { s1: 2 }, tokens: { s1: 500 } });
    expect(tokens.withRoom(NEED.service, running(0), 400)).toHaveLength(1);
    expect(tokens.withRoom(NEED.service, running(0), 401)).toHaveLength(0);
    view.ended(run);
    expect(tokens.withRoom(NEED.service, running(0), 700)).toHaveLength(1);
  });

  test('of this entry VM alone are counted without a steward, against its part', () => {
    const { view, tokens, steward } = setUp(true);
    view.applyView({ ...LOADED_VIEW, tokens: { s1: 900 } });
    expect(tokens.withRoom(NEED.service, running(0), 100)).toHaveLength(0);
    steward.connected = false;
    view.started({ ...NEED, server: SERVER, tokens: 100 });
    expect(tokens.withRoom(NEED.service, running(1), 350)).toHaveLength(1);
    expect(tokens.withRoom(NEED.service, running(1), 351)).toHaveLength(0);
  });

  test('that cannot be read leave those of the last message', () => {
    const { view, tokens } = setUp(true);
    view.applyView({ ...LOADED_VIEW, tokens: { s1: 900 } });
    const unreadable = { ...viewOf(), tokens: { s1: 'many' } };
    view.applyView(relayMessageSchema.parse(unreadable) as RelayMessageOf<'view'>);
    expect(tokens.withRoom(NEED.service, running(0), 100)).toHaveLength(0);
  });
});

describe('the first report of a process', () => {
  test('does not name engines that have sent nothing, which the steward could not decode', () => {
    const models = [{ name: 'm1', version: 1, adapters: [] }];
    const { view, times } = setUp(true, createBackendServer(SERVER.id, { models }));
    expect(view.reached(Infinity)).toEqual([]);
    view.health.noteDataReceived(times.nowMs, SERVER.id);
    times.nowMs += 5;
    expect(view.reached(Infinity)).toEqual([{ server: SERVER.id, ageMs: 5 }]);
  });
});

describe('a server that reports a model as not loaded although the steward lists it', () => {
  test('gets requests for it again after pauses that double', () => {
    const { view, times } = setUp(true);
    view.applyView(LOADED_VIEW);
    const candidateAtMs: number[] = [];
    for (times.nowMs = 0; times.nowMs < 2_000; times.nowMs += 10) {
      if (view.candidates(NEED).length > 0) {
        candidateAtMs.push(times.nowMs);
        view.noteNotLoaded({ ...NEED, server: SERVER });
      }
    }
    expect(candidateAtMs).toEqual([0, 80, 240, 560, 1_200]);
  });

  test('is paused only once for all requests that were in flight together', () => {
    const { view, times } = setUp(true);
    view.applyView(LOADED_VIEW);
    [1, 2, 3].forEach(() => view.noteNotLoaded({ ...NEED, server: SERVER }));
    times.nowMs = 80;
    expect(view.candidates(NEED)).toHaveLength(1);
  });
});

// The steward closed the connection of each VM that had just started, as it could not decode its report.
describe('the first report of an entry VM to the steward', () => {
  const report = (reached: RelayMessageOf<'report'>['reached']) => ({
    type: RelayMessageType.report,
    vm: 'vm-1',
    address: '127.0.0.1:1',
    sentAtMs: 0,
    clockMs: 0,
    planRevision: 0,
    appliedSeq: 0,
    shares: [],
    running: [],
    waits: [],
    usage: [],
    reached,
    leaving: false,
  });

  test('can be decoded although engines have sent no data yet', () => {
    const { view } = setUp(true, ENGINE);
    const reached = view.reached(Infinity);
    expect(relayMessageSchema.safeParse(report(reached)).success).toBe(true);
    expect(reached).toEqual([]);
  });

  test('names the engines that have sent data', () => {
    const { view, times } = setUp(true, ENGINE);
    view.health.noteDataReceived(times.nowMs, ENGINE.id);
    times.nowMs = 30;
    const reached = view.reached(Infinity);
    expect(relayMessageSchema.safeParse(report(reached)).success).toBe(true);
    expect(reached).toEqual([{ server: ENGINE.id, ageMs: 30 }]);
  });
});

describe('a stream of a software version', () => {
  test('has only servers of that version as candidates', () => {
    const { view } = setUp(true);
    view.applyView(LOADED_VIEW);
    expect(view.candidates({ ...NEED, version: SERVER.version })).toHaveLength(1);
    expect(view.candidates({ ...NEED, version: 'v2' })).toHaveLength(0);
    expect(view.hasServers({ ...NEED, version: 'v2' })).toBe(false);
    expect(view.isLoaded({ ...NEED, version: 'v2' })).toBe(false);
  });
});

describe('a server that asks for a pause', () => {
  test('is no candidate until its end, also if it is the only one', () => {
    const { view, times } = setUp(true);
    view.applyView(LOADED_VIEW);
    view.notePause(SERVER, 300);
    view.notePause(SERVER, 100);
    times.nowMs = 299;
    expect(view.candidates(NEED)).toHaveLength(0);
    times.nowMs = 300;
    expect(view.candidates(NEED)).toHaveLength(1);
  });
});

test('a server gets no request while its data centre is evacuated, and none outside of the homes', () => {
  const { view, state } = setUp(true);
  view.applyView(LOADED_VIEW);
  const states = () => [view.candidates(NEED).length, view.isLoaded(NEED)];
  expect(states()).toEqual([1, true]);
  expect(view.candidates({ ...NEED, dataCentres: ['a'] })).toHaveLength(1);
  expect(view.candidates({ ...NEED, dataCentres: ['b'] })).toHaveLength(0);
  expect(view.isLoaded({ ...NEED, dataCentres: ['b'] })).toBe(false);
  state.isServing = false;
  expect(states()).toEqual([0, false]);
});
