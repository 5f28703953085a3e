/** Requests that arrive while the process stands still, on connections that it takes for idle. */
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import { afterEach, describe, expect, test } from 'vitest';
import * as clocks from '../../../src/core/clock/index.js';
import {
  acceptWaitingConnections,
  spareBusyConnections,
} from '../../../src/core/http/connections.js';
import * as httpServers from '../../../src/core/http/index.js';

const IDLE_TIMEOUT_MS = 1_000;
/** Less than the idle timeout: the caller may still use its connection. */
const IDLE_MS = 500;
/** Longer than the time after which Node.js closes a connection: the idle timeout and a second. */
const STANDSTILL_MS = 2_500;
/** Far below the grace of a planned stop. */
const MAX_ACCEPT_MS = 1_000;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

const cleanups: (() => void)[] = [];

afterEach(() => cleanups.splice(0).forEach((cleanup) => cleanup()));

async function startServer() {
  const server = http.createServer((_, res) => res.end('answer'));
  spareBusyConnections(server);
  server.keepAliveTimeout = IDLE_TIMEOUT_MS;
  const address = await httpServers.listen(server, '127.0.0.1:0');
  cleanups.push(() => {
    void httpServers.close(server);
  });
  return { server, address };
}

async function connect(address: string) {
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  const state = { answers: 0, isClosed: false };
  socket.on('data', (bytes) => {
    state.answers += bytes.toString().split('HTTP/1.1 200').length - 1;
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    state.isClosed = true;
  });
  cleanups.push(() => socket.destroy());
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  /** Resolves once a further request is answered or the connection is closed. */
  const isAnswered = async (): Promise<boolean> => {
    const { answers } = state;
    while (state.answers === answers && !state.isClosed) await clocks.sleep(5);
    return state.answers > answers;
  };
  return { socket, state, isAnswered };
}

/** Runs `handler` where the event loop handles I/O, so that timers that have become due follow. */
function inPollPhase(handler: () => void): Promise<void> {
  return new Promise((resolve) => {
    fs.stat('.', () => {
      handler();
      resolve();
    });
  });
}

/** Blocks the event loop. */
function standStill(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

describe('a request that arrives while the process stands still', () => {
  test('is read before its connection counts as idle for too long', async () => {
    const { address } = await startServer();
    const { socket, isAnswered } = await connect(address);
    socket.write(REQUEST);
    await isAnswered();
    await clocks.sleep(IDLE_MS);
    await inPollPhase(() => {
      socket.write(REQUEST);
      standStill(STANDSTILL_MS);
    });
    expect(await isAnswered()).toBe(true);
  });

  test('is read before idle connections are closed', async () => {
    const { server, address } = await startServer();
    const { socket, isAnswered } = await connect(address);
    socket.write(REQUEST);
    await isAnswered();
    socket.write(REQUEST);
    server.closeIdleConnections();
    expect(await isAnswered()).toBe(true);
  });

  test('is read before idle connections are closed, on a connection just accepted', async () => {
    const { server, address } = await startServer();
    server.once('connection', () => server.closeIdleConnections());
    const { socket, isAnswered } = await connect(address);
    socket.write(REQUEST);
    expect(await isAnswered()).toBe(true);
  });
});

describe('a connection without a request', () => {
  test('is closed after the idle timeout', async () => {
    const { address } = await startServer();
    const { socket, state, isAnswered } = await connect(address);
    socket.write(REQUEST);
    await isAnswered();
    expect(state.isClosed).toBe(false);
    expect(await isAnswered()).toBe(false);
  });

  test('is closed with the idle connections', async () => {
    const { server, address } = await startServer();
    const { socket, isAnswered } = await connect(address);
    socket.write(REQUEST);
    await isAnswered();
    server.closeIdleConnections();
    expect(await isAnswered()).toBe(false);
  });
});

describe('connections that wait to be accepted', () => {
  // A stop would otherwise last as long as callers go on connecting.
  test('are accepted for a bounded time', async () => {
    const { server, address } = await startServer();
    server.on('connection', () => {
      // Each pass accepts a connection and makes the next caller connect.
      standStill(5);
      void connect(address);
    });
    await connect(address);
    await connect(address);
    const sinceMs = performance.now();
    await acceptWaitingConnections(server);
    expect(performance.now() - sinceMs).toBeLessThan(MAX_ACCEPT_MS);
  });
});
