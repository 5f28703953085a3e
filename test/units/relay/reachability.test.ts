/** What a VM finds out about the servers of a service after a run was cut off. */
import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import * as clocks from '../../../src/core/clock/index.js';
import { createLogger } from '../../../src/core/logger/index.js';
import type { BackendServer } from '../../../src/decisions/fleet-plan/index.js';
import { ReachabilityTask } from '../../../src/entry/relay/reachability.js';
import { createBackendServer } from './backend-server.js';

const SERVERS = 3;
/** Longer than a partition must last to explain a run that was cut off. */
const PARTITION_MS = 2_000;

function listen(port = 0): Promise<net.Server> {
  const server = net.createServer((socket) => socket.destroy());
  return new Promise((resolve) => {
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

describe('a run that was cut off', () => {
  let listeners: net.Server[];
  let servers: BackendServer[];
  let task: ReachabilityTask;
  const portOf = (at: number) => Number(servers[at]?.address.split(':')[1]);
  const serverAt = (at: number) => servers[at] as BackendServer;

  beforeEach(async () => {
    listeners = await Promise.all(Array.from({ length: SERVERS }, () => listen()));
    servers = listeners.map((listener, at) =>
      createBackendServer(`s${at}`, {
        address: `127.0.0.1:${(listener.address() as AddressInfo).port}`,
      }),
    );
    const backends = new Map(servers.map((server) => [server.id, server]));
    task = new ReachabilityTask({
      clock: { steadyMs: () => performance.now() },
      logger: createLogger('test', 'silent'),
      metrics: { gauge: () => undefined },
      backends: () => backends,
      silentServices: () => [],
      onChange: () => undefined,
    });
    task.noteServers(backends);
    await task.start();
  });

  afterEach(async () => {
    await task.stop();
    listeners.forEach((listener) => listener.close());
  });

  test('counts against its server if another one can be reached', async () => {
    listeners[0]?.close();
    expect(await task.isReached(serverAt(0).service)).toBe(true);
    expect(task.isPartitioned(serverAt(0).service)).toBe(false);
  });

  test('counts after a partition only if its server has ended meanwhile', async () => {
    const { service } = serverAt(0);
    listeners.forEach((listener) => listener.close());
    expect(await task.isReached(service)).toBe(false);
    const outlives = [0, 1].map((at) => task.outlives(serverAt(at)));
    await clocks.sleep(PARTITION_MS);
    listeners = [await listen(portOf(1)), await listen(portOf(2))];
    expect(await Promise.all(outlives)).toEqual([false, true]);
    expect(task.isPartitioned(service)).toBe(false);
  });

  // Servers that crash one after the other look like a partition until a probe connects.
  test('counts after what looked like a partition for a moment', async () => {
    const { service } = serverAt(0);
    listeners.forEach((listener) => listener.close());
    expect(await task.isReached(service)).toBe(false);
    const outlives = [0, 1].map((at) => task.outlives(serverAt(at)));
    listeners = [await listen(portOf(1)), await listen(portOf(2))];
    expect(await Promise.all(outlives)).toEqual([false, false]);
  });
});
