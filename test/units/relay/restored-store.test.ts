/** The relay's copies of the store after the store has returned from an older copy. */
import { afterEach, describe, expect, test } from 'vitest';
import * as clocks from '../../../src/core/clock/index.js';
import { createLogger } from '../../../src/core/logger/index.js';
import { PlatformOutcome } from '../../../src/entry/platform/index.js';
import { INCIDENTS_KEY, IncidentRecordTask } from '../../../src/entry/relay/incident-record.js';
import { createWatchedStore } from './watched-store.js';

const TIMEOUT_MS = 500;
const WAIT_MS = 5_000;

const config = (version: number) => ({ version, routes: [], services: [] });
const entry = (state = 'ready') => ({
  service: 'drafting',
  address: '10.0.0.1:80',
  zone: 'a',
  engine_slots: 8,
  state,
  born: 1_000,
});

const cleanups: (() => Promise<void>)[] = [];

async function createWatcher() {
  const { stop, ...created } = await createWatchedStore(TIMEOUT_MS);
  cleanups.push(stop);
  return created;
}

async function until(isTrue: () => boolean): Promise<void> {
  const untilMs = performance.now() + WAIT_MS;
  while (!isTrue() && performance.now() < untilMs) await clocks.sleep(10);
}

/** A store with a plan of version 3 and a server; the watcher has seen many writes after the copy. */
async function startBeforeRestore() {
  const { store, watcher } = await createWatcher();
  store.put('config', 'main', config(3));
  store.put('servers', 's1', entry());
  const copy = store.copy();
  store.put('config', 'main', config(5));
  Array.from({ length: 20 }, (_, at) => store.put('other', `o${at}`, {}));
  store.put('config', 'main', config(8));
  store.put('servers', 's1', { ...entry(), cold_remaining_ms: 1 });
  await watcher.start(() => undefined);
  await until(() => watcher.plan?.version === 8 && watcher.backends.has('s1'));
  return { store, watcher, copy };
}

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

describe('after the store has returned from an older copy', () => {
  test('a plan that is written with a revision that was assigned before is in force', async () => {
    const { store, watcher, copy } = await startBeforeRestore();
    store.restore(copy);
    store.put('config', 'main', config(9));
    await until(() => watcher.plan?.version === 9);
    expect(watcher.plan?.version).toBe(9);
  });

  test('a server that reports that it leaves gets no more requests', async () => {
    const { store, watcher, copy } = await startBeforeRestore();
    store.restore(copy);
    await clocks.sleep(600);
    store.put('servers', 's1', entry('draining'));
    await until(() => watcher.backends.get('s1')?.leaving === true);
    expect(watcher.backends.get('s1')?.leaving).toBe(true);
  });

  test('the plan that was in force is kept until it is written again', async () => {
    const { store, watcher, copy } = await startBeforeRestore();
    store.restore(copy);
    await clocks.sleep(800);
    expect(watcher.plan?.version).toBe(8);
  });

  test('an older stored plan does not confirm the plan in force', async () => {
    const { store, watcher, copy } = await startBeforeRestore();
    store.restore(copy);
    await clocks.sleep(1_000);
    expect(watcher.planAgeMs()).toBeGreaterThan(900);
    store.put('config', 'main', config(8));
    await until(() => watcher.planAgeMs() < 900);
    expect(watcher.planAgeMs()).toBeLessThan(900);
  });

  test('a change is seen although the revision of the watch has been assigned again', async () => {
    const { store, watcher, copy } = await startBeforeRestore();
    const before = store.copy();
    store.restore(copy);
    store.put('servers', 's2', entry());
    while (store.copy().revision < before.revision + 5) store.put('other', 'o1', {});
    await until(() => watcher.backends.has('s2'));
    expect(watcher.backends.has('s2')).toBe(true);
  });

  test('a conditional write with a version of the past era is not made', async () => {
    const { store, client } = await createWatcher();
    const first = await client.write('bilberrystand/lease', 'first', 0);
    const copy = store.copy();
    store.restore(copy);
    store.put('bilberrystand', 'lease', 'second');
    await client.read('bilberrystand/lease');
    const version = 'version' in first ? first.version : 0;
    expect(await client.write('bilberrystand/lease', 'third', version)).toEqual({
      type: PlatformOutcome.conflict,
    });
  });

  test('the incidents that the store has lost are written again', async () => {
    const { store, client } = await createWatcher();
    const incident = { fingerprint: 'f', serverId: 's1', bornMs: 1, ageMs: 10 };
    const record = new IncidentRecordTask({
      store: client,
      clock: clocks.createClock(),
      logger: createLogger('test', 'silent'),
      incidents: {
        sharedVersion: 1,
        shared: () => [incident],
        size: 1,
        noteStored: () => undefined,
      },
      isSteward: () => true,
      isStewardConnected: () => true,
      unixMs: () => Date.now(),
    });
    const copy = store.copy();
    await record.start(() => undefined);
    cleanups.push(() => record.stop());
    const isStored = () => store.copy().objects.has(INCIDENTS_KEY);
    await until(isStored);
    store.restore(copy);
    expect(isStored()).toBe(false);
    await client.read('other/o1');
    await until(isStored);
    expect(isStored()).toBe(true);
  });
});
