/** Idle connections to a backend server over all entry VMs. */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, describe, expect, test } from 'vitest';
import * as clocks from '../../../src/core/clock/index.js';
import * as httpServers from '../../../src/core/http/index.js';
import { ConnectionPool } from '../../../src/entry/relay/connections.js';
import { createBackendServer } from './backend-server.js';

const VMS = 6;
const SLOTS = 8;
const MAX_CONNECTIONS = 24;

const cleanups: (() => void)[] = [];

afterEach(() => cleanups.splice(0).forEach((cleanup) => cleanup()));

async function startServer() {
  const sockets = new Set<Socket>();
  const server = http.createServer((_, res) => setTimeout(() => res.end('ok'), 20));
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  const address = await httpServers.listen(server, '127.0.0.1:0');
  cleanups.push(() => server.close());
  return { sockets, target: createBackendServer('s1', { address, slots: SLOTS }) };
}

function request(address: string, agent: http.Agent): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    http.get({ host, port, agent }, (res) => res.resume().on('end', resolve)).on('error', reject);
  });
}

describe('the idle connections of all entry VMs to one server', () => {
  test('leave room for running requests within the connections that it accepts', async () => {
    const { sockets, target } = await startServer();
    const pools = Array.from({ length: VMS }, () => new ConnectionPool());
    cleanups.push(() => pools.forEach((pool) => pool.close()));
    pools.forEach((pool) => pool.noteMembers(VMS));
    await pools.reduce(async (before, pool) => {
      await before;
      const agent = pool.agentFor(target, true, MAX_CONNECTIONS);
      await Promise.all(Array.from({ length: SLOTS }, () => request(target.address, agent)));
    }, Promise.resolve());
    await clocks.sleep(100);
    expect(sockets.size).toBeGreaterThan(0);
    expect(sockets.size).toBeLessThanOrEqual(MAX_CONNECTIONS - SLOTS);
  });
});
