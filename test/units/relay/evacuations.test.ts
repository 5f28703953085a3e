/** An entry VM knows the evacuated data centres from its start, through outages and from the steward. */
import { afterEach, describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';
import * as channels from '../../../src/core/channels/index.js';
import * as clocks from '../../../src/core/clock/index.js';
import { createLogger } from '../../../src/core/logger/index.js';
import { createMetrics } from '../../../src/core/metrics/index.js';
import { EvacuationTask } from '../../../src/entry/relay/evacuations.js';
import { type RelayMessageOf, RelayMessageType } from '../../../src/entry/relay/messages.js';
import type { FleetChange } from '../../../src/entry/relay/store-watcher.js';
import { SoakStore, StoreMode } from '../../soak/store.js';
import { createBackendServer } from './backend-server.js';

const SERVERS = ['a', 'b'].map((dataCentre) => createBackendServer(dataCentre, { dataCentre }));
const stops: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(stops.splice(0).map((stop) => stop()));
});

async function setUp(
  opts: { readonly evacuateMs?: number | undefined; readonly isSteward?: boolean } = {},
) {
  const store = new SoakStore();
  const logger = createLogger('test', 'silent');
  const wire = platform.createWire();
  const client = wire.createStore(await store.start(), 300, logger);
  const calls: string[] = [];
  const clock = clocks.createClock();
  const state = { stoodStillMs: 0 };
  const task = new EvacuationTask({
    evacuateMs: 'evacuateMs' in opts ? opts.evacuateMs : 5_000,
    wire,
    store: {
      ...client,
      list: (kind) => {
        calls.push('list');
        return client.list(kind);
      },
      changes: (kind, since, waitMs) => {
        calls.push('changes');
        return client.changes(kind, since, waitMs);
      },
    },
    storeWatcher: { plan: null, backends: new Map(SERVERS.map((server) => [server.id, server])) },
    clock: { ...clock, nowMs: () => clock.nowMs() + state.stoodStillMs },
    logger,
    metrics: createMetrics(),
    changed: channels.createChannel<FleetChange>(() => undefined),
    isSteward: () => opts.isSteward ?? true,
    onTakenBack: () => undefined,
  });
  stops.push(async () => {
    await task.stop();
    await client.close();
    store.stop();
  });
  const serving = () => [...task.serving.backends.keys()].join();
  const allowed = () =>
    SERVERS.filter((server) => task.allows(server))
      .map(({ id }) => id)
      .join();
  return { store, task, state, calls, serving, allowed, start: () => task.start(() => undefined) };
}

function grantOf(fields: Partial<NonNullable<RelayMessageOf<'grant'>['evacuations']>>) {
  return {
    type: RelayMessageType.grant,
    seq: 1,
    reportSentAtMs: 0,
    reportClockMs: clocks.createClock().nowMs(),
    fractions: {},
    plan: null,
    backends: null,
    planRevision: 0,
    evacuations: { revision: 2 ** 40 + 50, ageMs: 0, dataCentres: [], heldForMs: {}, ...fields },
  };
}

describe('a VM that starts during an evacuation', () => {
  test('sends nothing before it knows the evacuations, and nothing to that data centre', async () => {
    const { store, task, serving, start } = await setUp();
    store.put('evacuations', 'a', {});
    store.put('evacuations', 'not a data centre', {});
    expect([task.isKnown, serving()]).toEqual([false, '']);
    await start();
    await expect.poll(serving).toBe('b');
    store.remove('evacuations', 'a');
    await expect.poll(serving).toBe('a,b');
  });

  test('learns them from the steward without a call, and calls once that confirms nothing', async () => {
    const { store, task, calls, serving, start } = await setUp({ isSteward: false });
    task.applyConfirmation(grantOf({ dataCentres: ['a'] }));
    await start();
    await clocks.sleep(300);
    expect([calls.length, serving()]).toEqual([0, 'b']);
    task.applyConfirmation(grantOf({ revision: 2 ** 40 + 49 }));
    expect(serving()).toBe('b');
    Array.from({ length: 60 }, () => store.put('other', 'one', {}));
    store.put('evacuations', 'b', {});
    await expect.poll(serving, { timeout: 3_000 }).toBe('');
  });
});

describe('the evacuations during an outage of the store', () => {
  test.each(['kept', 'gone'])('stay, and a removal is noticed; history $0', async (history) => {
    const { store, serving, allowed, start } = await setUp();
    store.put('evacuations', 'a', {});
    await start();
    await expect.poll(serving).toBe('b');
    const outage = store.runInMode(StoreMode.busy, 3_000);
    // The pending watch call would still be answered.
    await clocks.sleep(600);
    store.remove('evacuations', 'a');
    if (history === 'gone') store.compact();
    await clocks.sleep(2_000);
    expect([serving(), allowed()]).toEqual(['b', 'b']);
    await outage;
    await expect.poll(serving, { timeout: 2_000 }).toBe('a,b');
  });

  test('outlast a store that returns from a copy without them', async () => {
    const { store, serving, start } = await setUp();
    await start();
    await expect.poll(serving).toBe('a,b');
    const copy = store.copy();
    store.put('evacuations', 'a', {});
    await expect.poll(serving).toBe('b');
    store.restore(copy);
    await clocks.sleep(1_500);
    expect(serving()).toBe('b');
    store.put('evacuations', 'a', {});
    store.remove('evacuations', 'a');
    await expect.poll(serving).toBe('a,b');
  });
});

test('a steward without the store learns of an evacuation from a member that reaches it', async () => {
  const member = await setUp({ isSteward: false });
  member.store.put('evacuations', 'a', {});
  await member.start();
  await expect.poll(member.serving).toBe('b');
  expect(member.task.unknownToSteward()).toBeUndefined();
  member.task.applyConfirmation(grantOf({ revision: 1 }));
  const evacuations = member.task.unknownToSteward();
  const steward = await setUp();
  steward.task.applyConfirmation(grantOf({ revision: 1 }));
  steward.task.applyReport({ evacuations } as RelayMessageOf<'report'>);
  expect(steward.serving()).toBe('b');
  member.task.applyConfirmation(grantOf({ revision: 2, dataCentres: ['a'] }));
  expect(member.task.unknownToSteward()).toBeUndefined();
});

test('a VM that stood still sends nothing until it knows what happened meanwhile', async () => {
  const { state, allowed, start } = await setUp();
  await start();
  await expect.poll(allowed).toBe('a,b');
  state.stoodStillMs = 6_000;
  expect(allowed()).toBe('');
  await expect.poll(allowed).toBe('a,b');
});

test('in an outage that begins with calls without an answer, requests go on', async () => {
  const { store, allowed, start } = await setUp();
  await start();
  await expect.poll(allowed).toBe('a,b');
  void store.runInMode(StoreMode.silent, 5_500);
  const seen = new Set<string>();
  const timer = setInterval(() => seen.add(allowed()), 20);
  await clocks.sleep(5_400);
  clearInterval(timer);
  expect([...seen]).toEqual(['a,b']);
}, 10_000);

test('a deployment without evacuations makes no call for them', async () => {
  const { task, calls, serving, start } = await setUp({ evacuateMs: undefined });
  await start();
  await clocks.sleep(200);
  expect([calls.length, serving(), task.shared()]).toEqual([0, 'a,b', undefined]);
});
