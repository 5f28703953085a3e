/** API keys are checked; changes of keys and settings apply on all entry VMs and never revert. */
import * as net from 'node:net';
import * as undici from 'undici';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import { digestOf } from '../../src/entry/gateway/authenticate.js';
import { TreeStore } from '../../src/entry/settings/tree-store.js';
import type { EngineCounters } from '../../src/standins/engine/index.js';
import type { ServiceCounters } from '../../src/standins/service/index.js';
import { errorOf, KEY, LocalFleet } from './local-fleet.js';

interface Status {
  readonly self: { readonly revision: number };
}

describe('keys and settings', () => {
  let fleet: LocalFleet;

  beforeAll(async () => {
    fleet = await LocalFleet.start({
      entries: ['a', 'a', 'a', 'b'],
      engines: ['a', 'b'],
      services: ['a'],
      edits: [
        { path: '/services/free', values: { kind: 'plain', open: true } },
        {
          path: '/services/drafting/models/slow',
          values: { bytesMb: 90_000, deadlineMs: 3_600_000 },
        },
      ],
    });
  });

  afterAll(async () => {
    await fleet.stop();
  });

  const revisions = async (): Promise<readonly number[]> => {
    const all = await Promise.all(fleet.entries.map((_, index) => fleet.status<Status>(index)));
    return all.map(({ self }) => self.revision);
  };

  const addKey = (id: string, key: string) =>
    fleet.edit([{ path: `/customers/small/keys/${id}`, values: { sha256: digestOf(key) } }]);

  /** Waits until every entry VM applies the newest stored revision. */
  const untilApplied = (what: string) =>
    fleet.until(what, async () => {
      const stored = await new TreeStore(fleet.client).read();
      const newest = stored.isOk ? stored.value.tree.revision : -1;
      return (await revisions()).every((revision) => revision === newest);
    });

  /** Sends `text` over a new connection; resolves with what was received when it closes. */
  const sendRaw = (text: string): Promise<string> =>
    new Promise((resolve) => {
      const [host, port] = fleet.entry(0).daemon.callersAddress.split(':');
      const socket = net.connect({ host, port: Number(port) }, () => socket.write(text));
      let received = '';
      socket.on('data', (bytes) => {
        received += bytes.toString('utf8');
      });
      socket.on('close', () => resolve(received));
      socket.on('error', () => undefined);
    });

  test('requests with a missing, wrong or misplaced key are rejected', async () => {
    const missing = await fleet.send(0, 'GET', '/services/desk/stock/1', { key: null });
    const wrong = await fleet.send(0, 'GET', '/services/desk/stock/1', { key: 'bsk_wrong' });
    const query = await fleet.send(0, 'GET', `/services/desk/stock/1?api_key=x`);
    const path = await fleet.send(0, 'GET', `/services/desk/${KEY}`);
    expect([missing, wrong, query, path].map(({ status }) => status)).toEqual([401, 401, 400, 400]);
    expect([missing, wrong, query, path].map((answer) => errorOf(answer).ran)).toEqual(
      Array(4).fill('no'),
    );
  });

  test('a revoked key is rejected on existing keep-alive connections of every entry VM', async () => {
    await addKey('gone', 'bsk_gone');
    await untilApplied('all entry VMs accept the key');
    const clients = fleet.entries.map(
      ({ daemon }) => new undici.Client(`http://${daemon.callersAddress}`),
    );
    const listModels = async (client: undici.Client) => {
      const { statusCode, body } = await client.request({
        method: 'GET',
        path: '/v1/models',
        headers: { authorization: 'Bearer bsk_gone' },
      });
      await body.dump();
      return statusCode;
    };
    expect(await Promise.all(clients.map(listModels))).toEqual([200, 200, 200, 200]);
    await fleet.edit([{ path: '/customers/small/keys/gone', values: null }]);
    await untilApplied('all entry VMs reject the key');
    expect(await Promise.all(clients.map(listModels))).toEqual([401, 401, 401, 401]);
    await Promise.all(clients.map((client) => client.close()));
  });

  test('a queued request is rejected as not executed when its key is revoked', async () => {
    await addKey('waiting', 'bsk_waiting');
    await untilApplied('all entry VMs accept the key');
    const queuedRequest = fleet.complete(0, { model: 'slow' }, { key: 'bsk_waiting' });
    await fleet.until('the request is queued', async () => {
      const { waiting: queued } = await fleet.status<{ waiting: { engine: number } }>(0);
      return queued.engine === 1;
    });
    await fleet.edit([{ path: '/customers/small/keys/waiting', values: null }]);
    const answer = await queuedRequest;
    expect(answer.status).toBe(401);
    expect(errorOf(answer)).toMatchObject({ type: 'KeyRefused', ran: 'no' });
  });

  test('concurrent edits of different nodes all succeed; of two edits of the same node one gets a conflict', async () => {
    await Promise.all(
      Array.from({ length: 6 }, (_, index) =>
        fleet.edit([{ path: `/customers/racer-${index}`, values: { ratePerS: 10 + index } }]),
      ),
    );
    await untilApplied('all entry VMs apply the edits');
    const stored = await new TreeStore(fleet.client).read();
    if (stored.isErr) throw new Error(stored.error.message);
    const base = stored.value.tree;
    const path = '/customers/racer-0';
    const editRate = (id: string, ratePerS: number) =>
      new TreeStore(fleet.client).edit([{ path, values: { ratePerS } }], id, base);
    const outcomes = await Promise.all([editRate('one', 1), editRate('two', 2)]);
    const names = Array.from({ length: 6 }, (_, index) => `/customers/racer-${index}`);
    expect(names.every((name) => base.nodes.has(name))).toBe(true);
    expect(outcomes.filter(({ isOk }) => isOk)).toHaveLength(1);
    expect(outcomes.flatMap((outcome) => (outcome.isErr ? [outcome.error.name] : []))).toEqual([
      'Conflict',
    ]);
    await untilApplied('all entry VMs apply the edit');
  });

  test('an edit is applied once when the responses to its write are lost', async () => {
    const [before] = await revisions();
    await fleet.setFaults(fleet.platform, { loseAnswers: 2 });
    await fleet.edit([{ path: '/customers/lost-answer', values: { ratePerS: 5 } }]);
    await fleet.setFaults(fleet.platform, { loseAnswers: 0 });
    await untilApplied('all entry VMs apply the edit');
    expect(await revisions()).toEqual(Array(4).fill((before ?? 0) + 1));
  });

  test('an entry VM that starts during a platform outage gets the newest settings from its peers', async () => {
    await fleet.setFaults(fleet.platform, { down: true });
    const [newest] = await revisions();
    const entry = await fleet.addEntry('a');
    await fleet.until('the new entry VM has the newest settings', async () => {
      const { self } = await fleet.status<Status>(fleet.entries.indexOf(entry));
      return self.revision === newest;
    });
    const index = fleet.entries.indexOf(entry);
    const validKey = await fleet.send(index, 'GET', '/v1/models');
    const revokedKey = await fleet.send(index, 'GET', '/v1/models', { key: 'bsk_gone' });
    await fleet.setFaults(fleet.platform, { down: false });
    expect([validKey.status, revokedKey.status]).toEqual([200, 401]);
    await fleet.stopEntry(entry);
  });

  test('invalid requests get a specific status and are not forwarded to a backend server', async () => {
    const before = await fleet.counters<ServiceCounters>(fleet.services[0] ?? { address: '' });
    const notJson = await fleet.send(0, 'POST', '/v1/completions', { body: '{' });
    const noPrompt = await fleet.send(0, 'POST', '/v1/completions', { body: '{"model":"wheel"}' });
    const unknown = await fleet.complete(0, { model: 'nothing' });
    const large = await fleet.complete(0, { prompt: 'x'.repeat(70_000) });
    const twoLengths = await sendRaw(
      'POST /services/desk/orders HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd',
    );
    const both = await sendRaw(
      'POST /services/desk/orders HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
    );
    const longHeader = await sendRaw(
      `GET / HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
    );
    const slow = await sendRaw(
      'POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n',
    );
    const after = await fleet.counters<ServiceCounters>(fleet.services[0] ?? { address: '' });
    expect([notJson, noPrompt, unknown, large].map(({ status }) => status)).toEqual([
      400, 400, 404, 413,
    ]);
    expect(twoLengths).toMatch(/^HTTP\/1\.1 400/);
    expect(both).toMatch(/^HTTP\/1\.1 400/);
    expect(longHeader).toMatch(/^HTTP\/1\.1 431/);
    expect(slow).toMatch(/^HTTP\/1\.1 408/);
    expect(after.requests).toBe(before.requests);
  });

  test('a draining backend server gets no new requests', async () => {
    const first = await fleet.complete(0, {});
    expect(first.status).toBe(200);
    const initialCounters = await Promise.all(
      fleet.engines.map((engine) => fleet.counters<EngineCounters>(engine)),
    );
    const usedIndex = initialCounters.findIndex(({ requests }) => requests > 0);
    const path = `/backends/all/engine-${usedIndex}`;
    await fleet.edit([
      {
        path,
        values: {
          kind: 'model',
          service: 'drafting',
          dataCentre: usedIndex === 0 ? 'a' : 'b',
          address: fleet.engine(usedIndex).address,
          memoryMb: 40_000,
          slots: 4,
          state: 'leaving',
        },
      },
    ]);
    await untilApplied('all entry VMs see that the engine is draining');
    const before = await fleet.counters<EngineCounters>(fleet.engine(usedIndex));
    const answers = await Promise.all(
      Array.from({ length: 6 }, (_, index) => fleet.complete(index % 4, {})),
    );
    const after = await fleet.counters<EngineCounters>(fleet.engine(usedIndex));
    expect(answers.map(({ status }) => status)).toEqual(Array(6).fill(200));
    expect(after.requests).toBe(before.requests);
  });
});
