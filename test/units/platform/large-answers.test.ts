/** Answers of the store that are larger than the platform's page allows. */
import * as http from 'node:http';
import { afterEach, describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';
import * as httpServers from '../../../src/core/http/index.js';
import type { LogFields, Logger } from '../../../src/core/logger/index.js';
import { PlatformOutcome } from '../../../src/entry/platform/index.js';
import { FeedOutcome, type RelayStore } from '../../../src/entry/relay/types.js';
import { SoakStore } from '../../soak/store.js';

const TIMEOUT_MS = 5_000;
const BYTES_PER_MB = 1_048_576;
const VALUE = 'x'.repeat(BYTES_PER_MB - 200);
/** Bytes that an answer may have, and those that may be on the way when it is given up. */
const MAX_SENT_BYTES = 12 * BYTES_PER_MB;

const cleanups: (() => Promise<unknown> | void)[] = [];

function createClient(address: string) {
  const lines: LogFields[] = [];
  const note = (event: string, fields: LogFields = {}) => {
    lines.push({ event, ...fields });
  };
  const logger: Logger = { debug: note, info: note, warn: note, error: note, child: () => logger };
  const client: RelayStore = platform.createWire().createStore(address, TIMEOUT_MS, logger);
  cleanups.push(() => client.close());
  return { client, lines };
}

async function startStore() {
  const store = new SoakStore();
  const address = await store.start();
  cleanups.push(() => store.stop());
  return { store, address, ...createClient(address) };
}

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

describe('an answer of the store', () => {
  test('with an object of 30 MB is given up, with a log line, and other objects are read', async () => {
    const { store, address, client, lines } = await startStore();
    store.put('other', 'large', 'x'.repeat(30 * BYTES_PER_MB));
    store.put('other', 'sound', VALUE);
    const large = [await client.read('other/large'), await client.read('other/large')];
    large.forEach((result) => {
      expect(result.type).toBe(PlatformOutcome.unknown);
    });
    const { type } = await client.read('other/sound');
    expect(type).toBe(PlatformOutcome.ok);
    const step = 'GET /v1/objects/other/large';
    expect(lines).toMatchObject([
      { event: 'store-answer-too-large', step, peer: `store ${address}` },
    ]);
  });

  test('without end is given up before its time-out', async () => {
    let sentBytes = 0;
    const server = http.createServer((_, res) => {
      const write = () => {
        if (res.destroyed) return;
        sentBytes += VALUE.length;
        if (res.write(VALUE)) setImmediate(write);
        else res.once('drain', write);
      };
      write();
    });
    const { client } = createClient(await httpServers.listen(server, '127.0.0.1:0'));
    cleanups.push(() => httpServers.close(server));
    const result = await client.read('other/endless');
    expect(result).toMatchObject({ type: PlatformOutcome.unknown });
    expect(JSON.stringify(result)).toContain('StoreAnswerTooLarge');
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
  });

  test('with more changes than one answer may hold makes the objects be listed', async () => {
    const { store, client } = await startStore();
    store.put('other', 'first', 1);
    const before = await client.list('other');
    const since = before.type === FeedOutcome.ok ? before.revision : 0;
    Array.from({ length: 2 }, (_, at) => store.put('other', `o${at}`, VALUE));
    expect((await client.changes('other', since, 0)).type).toBe(FeedOutcome.ok);
    Array.from({ length: 8 }, (_, at) => store.put('other', `o${at}`, VALUE));
    expect((await client.changes('other', since, 0)).type).toBe(FeedOutcome.historyGone);
    const listed = await client.list('other');
    expect(listed.type === FeedOutcome.ok && listed.items).toHaveLength(9);
  });

  test('ends a list whose pages are too large together', async () => {
    const { store, client, lines } = await startStore();
    Array.from({ length: 40 }, (_, at) => store.put('other', `o${at}`, VALUE));
    expect(await client.list('other')).toMatchObject({ type: FeedOutcome.failed });
    expect(lines).toMatchObject([
      { event: 'store-answer-too-large', step: 'list /v1/objects/other' },
    ]);
  });
});
