/** The inventory poller resends the routes to an entry VM that seems to have missed them. */
import { Result } from 'true-myth';
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest';
import * as channels from '../../../src/core/channels/index.js';
import type * as messages from '../../../src/core/messages/index.js';
import type { Catalog } from '../../../src/decisions/catalog/index.js';
import type { Backends } from '../../../src/entry/backends/index.js';
import { InventoryTask } from '../../../src/entry/inventory/index.js';
import type { Inbound, Peers } from '../../../src/entry/peers/index.js';

const backend = { id: 'e', kind: 'model', dataCentre: 'a', address: '10.0.0.1:1', slots: 4 };
const report = {
  engineId: 'e',
  memoryMb: 1,
  slots: 4,
  load: 0,
  leaving: false,
  replicas: [{ target: 'm', orderId: 'o', bytesMb: 1, state: 'loaded' }],
  checkpoints: { memory: [], disk: [] },
};

describe('the inventory poller', () => {
  const sent: { to: string; message: messages.PeerMessage }[] = [];
  const onError = (err: unknown) => {
    throw err;
  };
  const inbox = channels.createChannel<Inbound>(onError);
  const connected = channels.createChannel<string>(onError);
  let task: InventoryTask;

  beforeEach(async () => {
    vi.useFakeTimers();
    sent.length = 0;
    const self = { vm: 'v1', dataCentre: 'a' };
    const send = (to: string, message: messages.PeerMessage) => sent.push({ to, message });
    const peers = {
      self: () => self,
      stewardOf: () => self,
      localMembers: () => [],
      sendAll: () => undefined,
      sendToLocalMembers: () => undefined,
      send,
      sendTo: send,
    } as unknown as Peers;
    task = new InventoryTask({
      dataCentre: 'a',
      backends: { report: () => Promise.resolve(Result.ok(report)) } as unknown as Backends,
      peers,
      inbox,
      snapshots: channels.createChannel(onError),
      connected,
      routes: channels.createChannel(onError),
      loads: channels.createChannel(onError),
      currentCatalog: () => ({ backends: new Map([['e', backend]]) }) as unknown as Catalog,
      busyEngines: () => new Set(),
      clock: { steadyMs: () => 0, onJump: () => undefined, nowMs: () => performance.now() },
    });
    await task.start();
    await vi.advanceTimersByTimeAsync(2_000);
  });

  afterEach(async () => {
    await task.stop();
    vi.useRealTimers();
  });

  const receiveDemand = async (waitedMs: number) => {
    const waiting = { target: 'm', waiting: 1, deadlineInMs: 9_000, waitedMs, customers: ['c'] };
    inbox.send({ from: 'v2', message: { type: 'demand', waiting: [waiting], used: [] } });
    await vi.advanceTimersByTimeAsync(10);
  };

  test('resends the routes once to a VM whose requests wait for a loaded target', async () => {
    await receiveDemand(600);
    await receiveDemand(700);
    expect(sent.map(({ to, message }) => [to, message.type])).toEqual([['v2', 'routes']]);
    expect(sent[0]?.message).toMatchObject({ whole: false, engines: [{ targets: ['m'] }] });
  });

  test('does not resend the routes while a request has waited only briefly', async () => {
    await receiveDemand(10);
    expect(sent).toEqual([]);
  });

  test('sends the routes to a newly connected peer', async () => {
    connected.send('10.0.0.9:7');
    await vi.advanceTimersByTimeAsync(10);
    expect(sent.map(({ to }) => to)).toEqual(['10.0.0.9:7']);
  });
});
