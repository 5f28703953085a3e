/** Requests that reach their backend server over a peer; over real sockets. */
import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest';
import * as platform from '../../../platform/index.js';
import { createClock } from '../../../src/core/clock/index.js';
import { createLogger } from '../../../src/core/logger/index.js';
import * as frames from '../../../src/core/messages/index.js';
import { createMetrics } from '../../../src/core/metrics/index.js';
import { createRandom } from '../../../src/core/random/index.js';
import type { BackendServer } from '../../../src/decisions/fleet-plan/index.js';
import {
  AttemptEnd,
  type AttemptResult,
  RelayedEnd,
  send,
} from '../../../src/entry/relay/attempt.js';
import { ConnectionPool } from '../../../src/entry/relay/connections.js';
import { RelayMessageType } from '../../../src/entry/relay/messages.js';
import { OPEN_TIMEOUT_MS, PeerConnector } from '../../../src/entry/relay/peer-connector.js';
import {
  MAX_RELAYED_CONNECTIONS,
  PeerRelay,
  type PeerRelayOptions,
} from '../../../src/entry/relay/peer-relay.js';
import { type StreamSink, WriteResult } from '../../../src/entry/relay/stream-relay.js';
import { WorkTurns } from '../../../src/entry/relay/work-turns.js';
import { createBackendServer } from './backend-server.js';
import { createResponseMemory } from './response-memory.js';

const LARGE_BYTES = 3_000_000;
/** Time in which an attempt ends whose connection has ended, ms. */
const MAX_END_MS = 2_000;
const HEAD = 'HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Seal: s\r\n';
const SOUND = `${HEAD}Content-Length: 2\r\n\r\nok`;

const logger = createLogger('test', 'silent');
const clock = createClock();

/** Listening servers and their connections, closed after each test. */
const listeners: net.Server[] = [];
const sockets = new Set<net.Socket>();
const pools: ConnectionPool[] = [];

async function listen(onConnection: (socket: net.Socket) => void): Promise<string> {
  const listener = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    onConnection(socket);
  });
  listeners.push(listener);
  await new Promise<void>((resolve) => {
    listener.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(listener.address() as AddressInfo).port}`;
}

/** An address at which nothing listens. */
async function closedAddress(): Promise<string> {
  const address = await listen(() => undefined);
  const listener = listeners.pop();
  await new Promise((resolve) => {
    listener?.close(resolve);
  });
  return address;
}

/** A backend server that calls `respond` once the head of a request has arrived. */
async function startBackend(respond: (socket: net.Socket) => void): Promise<BackendServer> {
  const address = await listen((socket) => {
    let text = '';
    socket.on('data', (bytes) => {
      const hadHead = text.includes('\r\n\r\n');
      text += bytes.toString('latin1');
      if (!hadHead && text.includes('\r\n\r\n')) respond(socket);
    });
  });
  return createBackendServer('s1', { address });
}

interface TestPeer {
  readonly address: string;
  readonly relay: PeerRelay;
  readonly links: net.Socket[];
  readonly statements: unknown[];
}

/** A peer that reaches `server` and is not the steward. */
async function startPeer(
  server: BackendServer | undefined,
  opts: Partial<PeerRelayOptions> = {},
): Promise<TestPeer> {
  const statements: unknown[] = [];
  const links: net.Socket[] = [];
  const relay = new PeerRelay({
    clock,
    logger,
    metrics: createMetrics(),
    serverOf: () => server,
    isPaused: () => false,
    isUnreachable: () => false,
    isStopping: () => false,
    noteConnectFailure: () => undefined,
    noteStatement: (_, statement) => statements.push(statement),
    ...opts,
  });
  const address = await listen((socket) => {
    links.push(socket);
    const noOffice = { type: RelayMessageType.noOffice, isIdle: true, newestFence: 0 };
    socket.write(frames.encodeBody(noOffice));
    relay.read(
      socket,
      () => socket.end(),
      () => undefined,
    );
  });
  return { address, relay, links, statements };
}

/** A VM that is partitioned from all servers and knows peers at these addresses. */
function createConnector(addresses: readonly string[]): PeerConnector {
  const connector = new PeerConnector({
    vm: 'vm-0',
    dataCentre: 'a',
    clock,
    random: createRandom(41),
    logger,
    metrics: createMetrics(),
    servers: () => new Map(),
    isPartitioned: () => true,
    noteConnectFailure: () => undefined,
  });
  connector.setPeers(
    addresses.map((address, at) => ({
      vm: `vm-${at + 1}`,
      address,
      // The first address is asked first.
      dataCentre: at === 0 ? 'a' : 'b',
      unreachable: [],
      partitioned: [],
      leaving: false,
    })),
  );
  return connector;
}

interface SendOptions {
  readonly body?: Buffer;
  readonly signal?: AbortSignal;
  readonly sink?: StreamSink;
}

function sendOver(
  connector: PeerConnector,
  server: BackendServer,
  { body = Buffer.alloc(0), signal = new AbortController().signal, sink }: SendOptions = {},
): Promise<AttemptResult> {
  const pool = new ConnectionPool();
  pools.push(pool);
  const headers = ['Host', 'desk.example', 'Attempt-Id', 'request-1'];
  return send(
    platform.createWire(),
    {
      id: 'request-1',
      method: 'POST',
      url: '/stock',
      headers: [...headers, 'Content-Length', String(body.length)],
      body,
      agent: pool.agentFor(server, true, 64),
      ways: connector.waysTo(server),
      run: { server, service: 'desk', model: null, adapter: null },
      signal,
      idlePolicy: null,
      wasRefused: false,
      memory: createResponseMemory(64 * 1_048_576),
      turns: new WorkTurns(),
      onHead: () => undefined,
      onException: (err) => {
        throw err;
      },
    },
    sink ?? null,
  );
}

/** Resolves once `isTrue` holds; the test's own time limit ends it otherwise. */
async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

// Both ends are in this process: their time limits would also pass while it waits for a processor.
beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] });
});

afterEach(() => {
  vi.useRealTimers();
  pools.splice(0).forEach((pool) => pool.close());
  listeners.splice(0).forEach((listener) => listener.close());
  sockets.forEach((socket) => socket.destroy());
  sockets.clear();
});

describe('a request over a peer', () => {
  // The relayed bytes are parsed at this end, so that a peer can't turn them into an answer.
  test.each(['000', '000 OK', '00 OK', '099 Unknown'])(
    'does not accept a response with the invalid status %s',
    async (line) => {
      const head = `HTTP/1.1 ${line}\r\nAttempt-Id: request-1\r\nResponse-Seal: s\r\n`;
      const server = await startBackend((socket) =>
        socket.write(`${head}Content-Length: 2\r\n\r\nok`),
      );
      const peer = await startPeer(server);
      const result = await sendOver(createConnector([peer.address]), server);
      expect(result.type).toBe(AttemptEnd.broken);
    },
  );

  test('gets the whole response, and its whole body reaches the server', async () => {
    let received = 0;
    const address = await listen((socket) => {
      socket.on('data', (bytes) => {
        const hadAll = received >= LARGE_BYTES;
        received += bytes.length;
        if (hadAll || received < LARGE_BYTES) return;
        socket.write(`${HEAD}Content-Length: ${LARGE_BYTES}\r\n\r\n`);
        socket.write(Buffer.alloc(LARGE_BYTES, 'y'));
      });
    });
    const server = createBackendServer('s1', { address });
    const peer = await startPeer(server);
    const result = await sendOver(createConnector([peer.address]), server, {
      body: Buffer.alloc(LARGE_BYTES, 'x'),
    });
    expect(result.type).toBe(AttemptEnd.answered);
    if (result.type !== AttemptEnd.answered) return;
    expect(result.response.body.length).toBe(LARGE_BYTES);
    expect(result.response.body.every((byte) => byte === 'y'.charCodeAt(0))).toBe(true);
    await until(() => peer.relay.activeCount === 0);
  });

  test.each([
    ['that ends with its connection is complete', false, AttemptEnd.answered],
    ['that is reset behind its last byte is not complete', true, AttemptEnd.broken],
  ])('gets a response without length %s', async (_, isReset, end) => {
    const server = await startBackend((socket) => {
      socket.write(`${HEAD}\r\nok`, () => {
        if (isReset) socket.resetAndDestroy();
        else socket.end();
      });
    });
    const peer = await startPeer(server);
    expect((await sendOver(createConnector([peer.address]), server)).type).toBe(end);
  });

  test('gets the events of a stream as its server sends them', async () => {
    let backend: net.Socket | null = null;
    const server = await startBackend((socket) => {
      backend = socket;
      socket.write(`${HEAD}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n`);
    });
    const peer = await startPeer(server);
    const events: string[] = [];
    const sink: StreamSink = {
      begin: () => true,
      write: (bytes) => {
        events.push(bytes.toString());
        return WriteResult.event;
      },
      isComplete: () => true,
      heldBytes: () => 0,
      isBlocked: () => false,
      onWritable: () => undefined,
    };
    const result = sendOver(createConnector([peer.address]), server, { sink });
    await until(() => events.length === 1);
    (backend as net.Socket | null)?.end('id: 2\ndata: b\n\n');
    expect((await result).type).toBe(AttemptEnd.streamed);
    expect(events).toEqual(['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n']);
  });

  test('tells the peer what the response states, since it binds the peer as well', async () => {
    const server = await startBackend((socket) => {
      const head = ['HTTP/1.1 503 Busy', 'Attempt-Id: request-1', 'Not-Executed: 1'];
      const stated = ['Server-Leaving: 1', 'Server-Limit: 2.5', 'Retry-After: 3'];
      socket.write(`${[...head, ...stated, 'Content-Length: 0'].join('\r\n')}\r\n\r\n`);
    });
    const peer = await startPeer(server);
    const result = await sendOver(createConnector([peer.address]), server);
    expect(result).toMatchObject({ type: AttemptEnd.notRun, reached: true });
    await until(() => peer.statements.length > 0);
    expect(peer.statements).toMatchObject([
      { leaving: true, requestsPerS: 2.5, notRun: true, pauseMs: 3_000 },
    ]);
  });

  test('is sent over a peer when the server refuses its own connection', async () => {
    const server = await startBackend((socket) => socket.write(SOUND));
    const peer = await startPeer(server);
    const connector = new PeerConnector({
      vm: 'vm-0',
      dataCentre: 'a',
      clock,
      random: createRandom(41),
      logger,
      metrics: createMetrics(),
      servers: () => new Map(),
      isPartitioned: () => false,
      noteConnectFailure: () => undefined,
    });
    const peers = [{ vm: 'vm-1', address: peer.address, dataCentre: 'a', leaving: false }];
    connector.setPeers(peers.map((fields) => ({ ...fields, unreachable: [], partitioned: [] })));
    const seenHere = { ...server, address: await closedAddress() };
    expect((await sendOver(connector, seenHere)).type).toBe(AttemptEnd.answered);
    expect(connector.isUnreachable(seenHere)).toBe(true);
    expect(connector.isUnreachable({ ...seenHere, bornMs: 2 })).toBe(false);
  });
});

describe('a request that no peer has brought to the server', () => {
  let server: BackendServer;
  let requests: number;

  beforeEach(async () => {
    requests = 0;
    server = await startBackend((socket) => {
      requests += 1;
      socket.write(SOUND);
    });
  });

  const notRun = { type: AttemptEnd.notRun, reached: false };

  test('has not run: the server refuses the peer', async () => {
    const seenByPeer = { ...server, address: await closedAddress() };
    const peer = await startPeer(seenByPeer);
    expect(await sendOver(createConnector([peer.address]), server)).toMatchObject(notRun);
  });

  // The exception that this raised was caught nowhere, and ended the process.
  test.each([
    ['is reset by the server', true],
    ['is lost with the peer', false],
  ])('has not run: the connection %s as soon as it is made', async (_how, isReset) => {
    const exceptions: unknown[] = [];
    const collect = (err: unknown) => exceptions.push(err);
    process.on('uncaughtException', collect);
    const opened = frames.encodeBody({ type: RelayMessageType.relayOpened });
    const reset = frames.encodeBody({ type: RelayMessageType.relayEnd, isReset: true });
    const peer = await listen((socket) => {
      socket.on('data', () => {
        if (isReset) socket.write(Buffer.concat([opened, reset]));
        else socket.end(opened);
      });
    });
    let result: AttemptResult | null = null;
    void sendOver(createConnector([peer]), server).then((end) => {
      result = end;
    });
    const untilMs = performance.now() + MAX_END_MS;
    await until(() => result !== null || performance.now() > untilMs);
    process.off('uncaughtException', collect);
    expect(exceptions).toEqual([]);
    expect(result).toMatchObject(isReset ? notRun : { relayedEnd: RelayedEnd.peerLost });
    expect(requests).toBe(0);
  });

  test.each<[string, Partial<PeerRelayOptions>]>([
    ['is stopping', { isStopping: () => true }],
    ['does not list the server', { serverOf: () => undefined }],
    [
      'has another process of the server listed',
      { serverOf: (id) => createBackendServer(id, { bornMs: 9 }) },
    ],
    [
      'knows that the server leaves',
      { serverOf: (id) => createBackendServer(id, { leaving: true }) },
    ],
    ['was asked for a pause by the server', { isPaused: () => true }],
    ["can't reach the server either", { isUnreachable: () => true }],
  ])('has not run: the peer %s', async (_, opts) => {
    const peer = await startPeer(server, opts);
    expect(await sendOver(createConnector([peer.address]), server)).toMatchObject(notRun);
    expect(requests).toBe(0);
  });

  test('has not run: the peer ends before it has connected', async () => {
    const address = await listen((socket) => socket.once('data', () => socket.destroy()));
    expect(await sendOver(createConnector([address]), server)).toMatchObject(notRun);
  });

  test('has not run: the peer does not answer', async () => {
    let isOpening = false;
    const address = await listen((socket) => {
      socket.on('data', () => {
        isOpening = true;
      });
    });
    const result = sendOver(createConnector([address]), server);
    await until(() => isOpening);
    vi.advanceTimersByTime(OPEN_TIMEOUT_MS);
    expect(await result).toMatchObject(notRun);
  });

  test.each<[string, (socket: net.Socket) => void]>([
    [
      'says that it is not the steward',
      (socket) => {
        const reply = { type: RelayMessageType.noOffice, isIdle: false, newestFence: 3 };
        socket.end(frames.encodeBody(reply));
      },
    ],
    [
      'closes a connection with an unknown message',
      (socket) => socket.once('data', () => socket.destroy()),
    ],
    [
      'takes the VM for a member',
      (socket) => {
        socket.write(frames.encodeBody({ type: RelayMessageType.welcome, vm: 'vm-1', fence: 1 }));
        socket.once('data', () => socket.destroy());
      },
    ],
  ])('is sent over the next peer if an older one %s', async (_, onConnection) => {
    const older = await listen(onConnection);
    const peer = await startPeer(server);
    const result = await sendOver(createConnector([older, peer.address]), server);
    expect(result.type).toBe(AttemptEnd.answered);
    expect(requests).toBe(1);
  });

  test('is refused by a peer that relays as many as it may', async () => {
    const silent = await startBackend(() => undefined);
    const peer = await startPeer(silent);
    const aborter = new AbortController();
    const held = Array.from({ length: MAX_RELAYED_CONNECTIONS }, () =>
      sendOver(createConnector([peer.address]), silent, { signal: aborter.signal }),
    );
    await until(() => peer.relay.activeCount === MAX_RELAYED_CONNECTIONS);
    expect(await sendOver(createConnector([peer.address]), silent)).toMatchObject(notRun);
    aborter.abort();
    await Promise.all(held);
    await until(() => peer.relay.activeCount === 0);
  });
});

describe('a request that a peer has passed on', () => {
  let server: BackendServer;
  let backend: net.Socket | null;
  let peer: TestPeer;

  beforeEach(async () => {
    backend = null;
    server = await startBackend((socket) => {
      backend = socket;
    });
    peer = await startPeer(server);
  });

  test('may have run if the peer is lost, which says nothing about the server', async () => {
    const result = sendOver(createConnector([peer.address]), server);
    await until(() => backend !== null);
    peer.links.forEach((link) => link.destroy());
    expect(await result).toMatchObject({
      type: AttemptEnd.broken,
      connectionLost: false,
      relayedEnd: RelayedEnd.peerLost,
    });
  });

  test('may have run if its server closes the connection', async () => {
    const result = sendOver(createConnector([peer.address]), server);
    await until(() => backend !== null);
    backend?.destroy();
    expect(await result).toMatchObject({
      type: AttemptEnd.broken,
      connectionLost: true,
      relayedEnd: RelayedEnd.server,
    });
  });

  test('is ended at the server when its caller leaves', async () => {
    const aborter = new AbortController();
    const result = sendOver(createConnector([peer.address]), server, { signal: aborter.signal });
    await until(() => backend !== null);
    aborter.abort();
    expect(await result).toMatchObject({ type: AttemptEnd.broken, connectionLost: false });
    await until(() => backend?.destroyed === true);
    expect(peer.relay.activeCount).toBe(0);
  });

  test('is ended at the server when its caller leaves while the server reads nothing', async () => {
    const aborter = new AbortController();
    const body = Buffer.alloc(LARGE_BYTES * 4);
    const result = sendOver(createConnector([peer.address]), server, {
      signal: aborter.signal,
      body,
    });
    await until(() => backend !== null);
    backend?.pause();
    aborter.abort();
    await result;
    await until(() => peer.relay.activeCount === 0);
  });
});
