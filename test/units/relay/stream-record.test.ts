/** The stored record of the software versions of recent streams. */
import { afterEach, describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';
import * as clocks from '../../../src/core/clock/index.js';
import { createLogger } from '../../../src/core/logger/index.js';
import type { BackendServer } from '../../../src/decisions/fleet-plan/index.js';
import {
  EARLIER_NAME,
  RELAY_KIND,
  StreamRecordTask,
} from '../../../src/entry/relay/stream-record.js';
import { StreamVersionsTask } from '../../../src/entry/relay/stream-versions.js';
import { SPAN_MS } from '../../../src/decisions/stream-spans/index.js';
import { SoakStore, StoreMode } from '../../soak/store.js';
import { createBackendServer } from './backend-server.js';

const WAIT_MS = 5_000;
const cleanups: (() => Promise<void>)[] = [];

async function startStore() {
  const store = new SoakStore();
  const address = await store.start();
  cleanups.push(async () => store.stop());
  return { store, address };
}

function serverOf(version: string): BackendServer {
  return createBackendServer(`s-${version}`, { version });
}

async function startVm(
  address: string,
  isSteward: boolean,
  versions: readonly string[],
  isStewardConnected = true,
) {
  const client = platform.createWire().createStore(address, 500, createLogger('test', 'silent'));
  const lateBound: { record?: StreamRecordTask; streams?: StreamVersionsTask } = {};
  const confirm: { isComplete: boolean; joined: BackendServer[] } = {
    isComplete: true,
    joined: [],
  };
  const servers = versions.map((version) => serverOf(version));
  const noteServers = (listed: readonly BackendServer[]) =>
    lateBound.streams?.noteServers(new Map(listed.map((server) => [server.id, server])));
  const streams = new StreamVersionsTask({
    clock: clocks.createClock(),
    logger: createLogger('test', 'silent'),
    send: () => true,
    isLoaded: () => lateBound.record?.isLoaded === true && !lateBound.record.isStale,
    confirmServers: async () => {
      noteServers([...servers, ...confirm.joined]);
      return confirm.isComplete;
    },
  });
  const record = new StreamRecordTask({
    vm: 'vm-1',
    store: client,
    clock: clocks.createClock(),
    logger: createLogger('test', 'silent'),
    streams,
    isSteward: () => isSteward,
    isStewardConnected: () => isStewardConnected,
    members: () => 1,
    unixMs: () => Date.now(),
  });
  lateBound.record = record;
  lateBound.streams = streams;
  noteServers(servers);
  await record.start(() => undefined);
  cleanups.push(async () => {
    await record.stop();
    await client.close();
  });
  return { streams, record, client, confirm };
}

/** What the store holds of streams, as text. */
function storedText(store: SoakStore): string {
  const objects = [...store.copy().objects.values()];
  return JSON.stringify(objects.filter(({ kind }) => kind === RELAY_KIND));
}

async function until(isTrue: () => boolean): Promise<void> {
  const untilMs = performance.now() + WAIT_MS;
  while (!isTrue() && performance.now() < untilMs) await clocks.sleep(10);
}

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

describe('the record of the versions of streams', () => {
  test('is not written while only one version serves', async () => {
    const { store, address } = await startStore();
    const { streams, record } = await startVm(address, true, ['v1']);
    await until(() => record.isLoaded);
    streams.noteBegun('s1', serverOf('v1'));
    await clocks.sleep(700);
    expect(storedText(store)).toBe('[]');
  });

  test('tells a VM that starts later which version began a stream', async () => {
    const { store, address } = await startStore();
    const { streams } = await startVm(address, true, ['v1', 'v2']);
    streams.noteBegun('s1', serverOf('v1'));
    streams.noteBegun('s2', serverOf('v2'));
    await until(() => storedText(store).includes('s2'));
    const later = await startVm(address, false, ['v2']);
    await until(() => later.record.isLoaded);
    expect(await later.streams.versionFor('s1', 'drafting')).toBe('v1');
    expect(await later.streams.versionFor('s2', 'drafting')).toBe('v2');
    expect(await later.streams.versionFor('s3', 'drafting')).toBeNull();
  });

  test('is written again after the store has returned from a copy without it', async () => {
    const { store, address } = await startStore();
    const copy = store.copy();
    const { streams, client } = await startVm(address, true, ['v1', 'v2']);
    streams.noteBegun('s1', serverOf('v1'));
    const isStored = () => storedText(store).includes('s1');
    await until(isStored);
    store.restore(copy);
    await client.read('other/o1');
    await until(isStored);
    expect(isStored()).toBe(true);
  });
});

describe('the spans of the record', () => {
  test('hold only the streams of their time, and all of them are read', async () => {
    const { store, address } = await startStore();
    const { streams } = await startVm(address, true, ['v1', 'v2']);
    streams.noteBegun('s1', serverOf('v1'));
    await until(() => storedText(store).includes('s1'));
    await clocks.sleep(SPAN_MS + 50);
    streams.noteBegun('s2', serverOf('v2'));
    await until(() => storedText(store).includes('s2'));
    const names = [...store.copy().objects.keys()];
    expect(names).toEqual([`${RELAY_KIND}/streams-0`, `${RELAY_KIND}/streams-1`]);
    const later = await startVm(address, false, ['v2']);
    await until(() => later.record.isLoaded);
    expect(await later.streams.versionFor('s1', 'drafting')).toBe('v1');
    expect(await later.streams.versionFor('s2', 'drafting')).toBe('v2');
  });

  test('keep what another steward has stored', async () => {
    const { store, address } = await startStore();
    const first = await startVm(address, true, ['v1', 'v2']);
    const second = await startVm(address, true, ['v1', 'v2']);
    await until(() => first.record.isLoaded && second.record.isLoaded);
    [...Array(10).keys()].forEach((at) => {
      first.streams.noteBegun(`a${at}`, serverOf('v1'));
      second.streams.noteBegun(`b${at}`, serverOf('v2'));
    });
    await until(() => storedText(store).includes('a9') && storedText(store).includes('b9'));
    const later = await startVm(address, false, ['v1', 'v2']);
    await until(() => later.record.isLoaded);
    expect(await later.streams.versionFor('a0', 'drafting')).toBe('v1');
    expect(await later.streams.versionFor('b9', 'drafting')).toBe('v2');
  });
});

describe('the streams of a VM', () => {
  test('are stored by itself while it hears no steward', async () => {
    const { store, address } = await startStore();
    const { streams } = await startVm(address, false, ['v1', 'v2'], false);
    streams.noteBegun('s1', serverOf('v1'));
    await until(() => storedText(store).includes('s1'));
    streams.noteBegun('s2', serverOf('v2'));
    await until(() => storedText(store).includes('s2'));
    const later = await startVm(address, false, ['v1', 'v2']);
    await until(() => later.record.isLoaded);
    expect(await later.streams.versionFor('s1', 'drafting')).toBe('v1');
    expect(await later.streams.versionFor('s2', 'drafting')).toBe('v2');
  });

  test('are left to the steward while it is heard', async () => {
    const { store, address } = await startStore();
    const { streams, record } = await startVm(address, false, ['v1', 'v2']);
    await until(() => record.isLoaded);
    streams.noteBegun('s1', serverOf('v1'));
    await clocks.sleep(700);
    expect(storedText(store)).toBe('[]');
  });
});

describe('the record of earlier releases', () => {
  test('is read too', async () => {
    const { store, address } = await startStore();
    const seen = { service: 'drafting', version: 'v1', atUnixMs: Date.now() };
    store.put(RELAY_KIND, EARLIER_NAME, { versions: [seen], streams: [{ ...seen, ids: 's1 s2' }] });
    const { streams, record } = await startVm(address, false, ['v2']);
    await until(() => record.isLoaded);
    expect(await streams.versionFor('s2', 'drafting')).toBe('v1');
    expect(await streams.versionFor('s3', 'drafting')).toBeNull();
  });
});

describe('a store that fails', () => {
  test('holds all streams again after it has returned with an older span', async () => {
    const { store, address } = await startStore();
    const { streams, client } = await startVm(address, true, ['v1', 'v2']);
    streams.noteBegun('s1', serverOf('v1'));
    await until(() => storedText(store).includes('s1'));
    const copy = store.copy();
    streams.noteBegun('s2', serverOf('v2'));
    await until(() => storedText(store).includes('s2'));
    store.restore(copy);
    streams.noteBegun('s3', serverOf('v2'));
    await client.read('other/o1');
    const holdsAll = () => ['s1', 's2', 's3'].every((id) => storedText(store).includes(id));
    await until(holdsAll);
    expect(holdsAll()).toBe(true);
  });

  test('holds all streams although it took writes without an answer', async () => {
    const { store, address } = await startStore();
    const { streams, record } = await startVm(address, true, ['v1', 'v2']);
    await until(() => record.isLoaded);
    store.mode = StoreMode.responseLost;
    streams.noteBegun('s1', serverOf('v1'));
    await until(() => storedText(store).includes('s1'));
    streams.noteBegun('s2', serverOf('v2'));
    store.mode = StoreMode.normal;
    const holdsAll = () => ['s1', 's2'].every((id) => storedText(store).includes(id));
    await until(holdsAll);
    expect(holdsAll()).toBe(true);
  });
});

// A VM that is out of touch once took the only version that it knew of for the one of every stream.
describe('a VM that was out of touch', () => {
  test('reads again which versions began streams meanwhile, before it resumes an unknown one', async () => {
    const { store, address } = await startStore();
    const { streams, record } = await startVm(address, false, ['v1']);
    await until(() => record.isLoaded);
    // Servers of v2 join, begin a stream and leave while this VM does not hear of it.
    const steward = await startVm(address, true, ['v1', 'v2']);
    await until(() => steward.record.isLoaded);
    steward.streams.noteBegun('s2', serverOf('v2'));
    await until(() => storedText(store).includes('s2'));
    record.noteOutage();
    expect(record.isStale).toBe(true);
    expect(await streams.versionFor('s2', 'drafting')).toBe('v2');
    expect(await streams.versionFor('s3', 'drafting')).toBeNull();
  });
});

describe('a stream that is not known', () => {
  test('is not resumed if the list of servers is not confirmed, though only one version is known', async () => {
    const { address } = await startStore();
    const { streams, record, confirm } = await startVm(address, false, ['v1']);
    await until(() => record.isLoaded);
    confirm.isComplete = false;
    expect(await streams.versionFor('s1', 'drafting')).toBeNull();
    // A server of another version has joined; the list tells of it when it is confirmed.
    confirm.isComplete = true;
    confirm.joined = [serverOf('v2')];
    expect(await streams.versionFor('s1', 'drafting')).toBeNull();
  });

  test('may be resumed at the only version, once the record has been read', async () => {
    const { address } = await startStore();
    const { streams, record } = await startVm(address, false, ['v1']);
    await until(() => record.isLoaded);
    expect(await streams.versionFor('s1', 'drafting')).toBe('v1');
    expect(await streams.versionFor(null, 'drafting')).toBe('v1');
  });
});
