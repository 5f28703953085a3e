/** Entries of servers that another writer has left in the store, as their decoder and watcher take them. */
import { afterEach, describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';
import * as clocks from '../../../src/core/clock/index.js';
import { createWatchedStore } from '../relay/watched-store.js';

const DEPTH = 100_000;
const wire = platform.createWire();
const ENTRY = {
  service: 'drafting',
  address: '10.0.0.1:80',
  zone: 'a',
  version: 'v1',
  engine_slots: 8,
  state: 'ready',
  born: 1_000,
  seq: 1,
};

function nested(depth: number): unknown {
  let value: unknown = [];
  for (let at = 0; at < depth; at += 1) value = [value];
  return value;
}

const ODD: Readonly<Record<string, unknown>> = {
  'a port above the range': { ...ENTRY, address: '10.0.0.1:70000' },
  'port 0': { ...ENTRY, address: '10.0.0.1:0' },
  'an address that is none': { ...ENTRY, address: '10.0.0.256:80' },
  'a number of slots that is too large': { ...ENTRY, engine_slots: 1e300 },
  'an infinite number of slots': { ...ENTRY, engine_slots: Infinity },
  'a start time that is too large': { ...ENTRY, born: 1e300 },
  'a count that is too large': { ...ENTRY, seq: 1e300 },
  'models that are nested deeply': { ...ENTRY, models: nested(DEPTH) },
  'nothing but nesting': nested(DEPTH),
  'bytes that are no entry': '\u0000\ufffd',
  nothing: null,
};

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

describe('an entry with', () => {
  test.each(Object.entries(ODD))('%s names no server', (_, value) => {
    expect(wire.decodeBackend('odd', value)).toBeNull();
    expect(wire.decodeBackend('sound', ENTRY)).not.toBeNull();
  });
});

describe('what an entry states of a cold server', () => {
  test.each([
    [undefined, 0],
    [2_500, 2_500],
    [-1, Infinity],
    ['soon', Infinity],
  ])('%s', (stated, coldMs) => {
    expect(wire.decodeBackend('cold', { ...ENTRY, cold_remaining_ms: stated })?.coldMs).toBe(
      coldMs,
    );
  });
});

describe('a configuration', () => {
  const config = (service: object, route: object = {}) =>
    wire.decodePlan({
      version: 1,
      routes: [{ host: 'h', path_prefix: '/', route_kind: 'streaming', service: 's', ...route }],
      services: [{ name: 's', ...service }],
    });

  test('names the limits of cold servers, and homes', () => {
    const plan = config({ cold_start_s: 8, cold_per_s: 4 }, { allowed_regions: ['a'] });
    expect(plan?.services.get('s')?.cold).toEqual({ startMs: 8_000, perS: 4 });
    expect(plan?.routes[0]?.homes).toEqual(['a']);
    expect(config({})?.services.get('s')?.cold).toBeNull();
  });

  // Without them, cold servers would get too much, and requests would leave their homes.
  test('is not taken with unreadable ones', () => {
    expect(config({ cold_per_s: 'some' })).toBeNull();
    expect(config({}, { allowed_regions: 'a' })).toBeNull();
  });
});

describe('the list of servers', () => {
  test('is followed although it holds odd entries', async () => {
    const { store, watcher, stop } = await createWatchedStore(2_000);
    cleanups.push(stop);
    Object.entries(ODD)
      .filter(([name]) => !name.includes('nest'))
      .forEach(([name, value]) => store.put('servers', name, value));
    store.put('servers', 'deep', { ...ENTRY, models: 'DEEP' });
    store.replaceInBodies('"DEEP"', `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`);
    store.put('servers', 'sound', ENTRY);
    await watcher.start(() => undefined);
    const untilMs = performance.now() + 5_000;
    while (!watcher.backends.has('sound') && performance.now() < untilMs) await clocks.sleep(10);
    expect([...watcher.backends.keys()]).toEqual(['sound']);
    store.put('servers', 'later', ENTRY);
    store.put('servers', 'odd', ODD['a port above the range']);
    while (!watcher.backends.has('later') && performance.now() < untilMs) await clocks.sleep(10);
    expect([...watcher.backends.keys()].sort()).toEqual(['later', 'sound']);
  });
});
