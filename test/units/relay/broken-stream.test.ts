/** What the caller of a stream receives when its server breaks off, and what the next one responds. */
import * as http from 'node:http';
import * as net from 'node:net';
import { afterEach, describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';
import * as https from '../../../src/core/http/index.js';
import { RetrySafety, type Route } from '../../../src/decisions/fleet-plan/index.js';
import { RetryWindow } from '../../../src/decisions/retries/index.js';
import type { RelayContext } from '../../../src/entry/relay/context.js';
import { Exchange } from '../../../src/entry/relay/exchange.js';
import type { QueuedRequest } from '../../../src/decisions/wait-list/index.js';
import { WorkTurns } from '../../../src/entry/relay/work-turns.js';
import { createResponseMemory } from './response-memory.js';
import type { RoutedRequest } from '../../../src/entry/relay/routed-request.js';

const ID = 'request-1';
const DEADLINE_MS = 4_000;
/** Window of the retry budget; an entry VM that was just started has none for this time. */
const WINDOW_MS = 10_000;
/** Longer than an attempt may be idle until it is replaced. */
const SILENCE_MS = 1_200;
const HEAD = `HTTP/1.1 200 OK\r\nAttempt-Id: ${ID}\r\nResponse-Seal: s\r\n`;
const STREAM_HEAD = `${HEAD}Content-Type: text/event-stream\r\n`;
const event = (id: number) => `id: ${id}\ndata: x\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
/** Last chunk of a complete chunked response. */
const LAST_CHUNK = '0\r\n\r\n';

const ROUTE = {
  name: 'drafts',
  retrySafety: RetrySafety.stream,
  resumable: true,
  objectiveMs: 400,
  timeoutMs: DEADLINE_MS,
  callerTimeoutMs: 2_000,
  attempts: 2,
  priority: 1,
} as unknown as Route;

const servers: (net.Server | http.Server)[] = [];
/** The requests as they were queued. */
const placed: QueuedRequest[] = [];
/** For each of them, the servers that were not to get it. */
const excluded: (readonly string[])[] = [];

interface RelayState {
  /** Whether servers have the version of the stream. */
  hasServers(): boolean;
  /** Whether the VM reaches the servers. */
  isReached(): boolean;
}
const REACHED: RelayState = { hasServers: () => true, isReached: () => true };

afterEach(() => {
  servers.splice(0).forEach((server) => server.close());
  placed.length = 0;
  excluded.length = 0;
});

/** Starts a backend server that writes `response` to each request after `delayMs`, and closes. */
async function startBackend(response: string, delayMs: number): Promise<string> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => setTimeout(() => socket.end(response), delayMs));
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Starts a backend server that writes `before` to each request and, after a silence, `after`. */
async function startSilent(before: string, after: string): Promise<string> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(before));
    setTimeout(() => socket.end(after), SILENCE_MS);
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** A relay that sends the attempts of a request to the servers at `addresses` in turn. */
function relayTo(
  addresses: readonly string[],
  { hasServers, isReached }: RelayState,
): RelayContext {
  const left = [...addresses];
  const nothing = () => undefined;
  const placeNow = (queued: QueuedRequest, tried: ReadonlySet<string>) => {
    placed.push({ ...queued });
    excluded.push([...tried]);
    const address = left.shift();
    if (address === undefined) return null;
    const server = { id: address, address, version: 'v1' };
    return { server, service: 'drafting', model: 'm', adapter: null };
  };
  const retries = new RetryWindow({ ratio: 0.2, windowMs: WINDOW_MS, slack: 52 }, -2 * WINDOW_MS);
  retries.noteMembers(1);
  return {
    wire: platform.createWire(),
    retries,
    incidents: {
      isRefused: () => false,
      watch: () => nothing,
      noteCutOff: nothing,
      noteCompleted: nothing,
      noteSound: nothing,
    },
    throttling: { noteSent: nothing, noteResponse: nothing },
    streams: { noteBegun: nothing },
    firstTokens: { noteFirstToken: nothing, noteRun: nothing },
    clock: { steadyMs: () => performance.now() },
    dispatcher: {
      place: async (queued: QueuedRequest, tried: ReadonlySet<string>) => ({
        run: placeNow(queued, tried),
        retryAfterMs: 100,
      }),
      placeNow,
      cancel: nothing,
      schedulePlacement: nothing,
    },
    reachability: {
      isReached: async () => isReached(),
      outlives: async () => true,
      noteConnectFailure: nothing,
    },
    view: {
      ended: nothing,
      hasServers,
      candidates: () => left.map((id) => ({ id, running: 0, slots: 8 })),
      noteNotLoaded: nothing,
      health: {
        noteAnswer: nothing,
        noteFailure: nothing,
        noteDataReceived: nothing,
        noteConnectFailure: nothing,
        lastReceivedAtMs: () => 0,
      },
    },
    connections: { agentFor: () => new http.Agent() },
    peers: { waysTo: () => null },
    memory: createResponseMemory(1_048_576),
    turns: new WorkTurns(),
    metrics: { count: nothing, time: nothing },
    defaultRetryAfterMs: 1_000,
    hasFreshKeys: () => true,
    closesConnection: () => false,
    recordModelUse: nothing,
    log: nothing,
    sendLocalResponse: (res: http.ServerResponse, _id: string, failure: { status: number }) => {
      res.writeHead(failure.status, { 'Content-Length': 0 });
      res.end();
    },
  } as unknown as RelayContext;
}

/** All bytes that a caller receives whose request goes to the servers at `addresses` in turn. */
async function receiveFrom(
  addresses: readonly string[],
  state: Partial<RelayState> = {},
): Promise<string> {
  const relay = relayTo(addresses, { ...REACHED, ...state });
  const front = http.createServer((req, res) => {
    const request = {
      req,
      res,
      metadata: {
        id: ID,
        deadlineMs: DEADLINE_MS,
        key: null,
        model: 'm',
        adapter: null,
        tokens: null,
        promptSegments: [],
        lastEventId: null,
      },
      plan: { services: new Map() },
      route: ROUTE,
      service: 'drafting',
      customer: null,
      body: Buffer.alloc(0),
      arrivedAtMs: performance.now(),
    } as unknown as RoutedRequest;
    void new Exchange(relay, request).serve();
  });
  servers.push(front);
  const [host, port] = (await https.listen(front, '127.0.0.1:0')).split(':');
  return new Promise((resolve) => {
    const socket = net.connect(Number(port), host);
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
    socket.write(
      'POST /drafts HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n',
    );
  });
}

/** All bytes that a caller receives whose request goes to servers with these responses in turn. */
async function receive(
  responses: readonly string[],
  state: Partial<RelayState> = {},
  delayMs = 0,
): Promise<string> {
  const addresses = await Promise.all(responses.map((text) => startBackend(text, delayMs)));
  return receiveFrom(addresses, state);
}

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
/** A stream that breaks off after its first event, inside the second one. */
const BROKEN_OFF = `${STREAM_HEAD}${CHUNKED}${chunk(`${event(1)}id: 2\nda`)}`;

describe('a stream that broke off', () => {
  const ERRORS: readonly (readonly [string, string])[] = [
    ['an error', `HTTP/1.1 500 Bad\r\nAttempt-Id: ${ID}\r\nContent-Length: 5\r\n\r\nerror`],
    [
      'a signed error',
      `HTTP/1.1 500 Bad\r\nAttempt-Id: ${ID}\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nerror`,
    ],
    ['an unknown path', `HTTP/1.1 404 Not\r\nAttempt-Id: ${ID}\r\nContent-Length: 5\r\n\r\nerror`],
    [
      'a refusal',
      `HTTP/1.1 503 Full\r\nAttempt-Id: ${ID}\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nerror`,
    ],
    [
      'an error in the form of a stream',
      `HTTP/1.1 500 Bad\r\nAttempt-Id: ${ID}\r\nContent-Type: text/event-stream\r\n${CHUNKED}${chunk(event(2))}${LAST_CHUNK}`,
    ],
    ['a response that is no stream', `${HEAD}Content-Length: 5\r\n\r\nerror`],
    ['bytes that are no response', 'error error error\r\n\r\n'],
    ['a part of a head', `${STREAM_HEAD}Transfer-Enc`],
    ['a stream without length that ends before its first event', `${STREAM_HEAD}\r\n`],
    ['a stream without length that ends inside an event', `${STREAM_HEAD}\r\n${event(2)}id: 3\nda`],
  ];

  test.each(ERRORS)('does not look complete when the next server sends %s', async (_name, next) => {
    const received = await receive([BROKEN_OFF, next]);
    expect(received).toContain(event(1));
    expect(received).not.toContain('error');
    expect(received).not.toContain('id: 3');
    expect(received.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(received.endsWith(LAST_CHUNK)).toBe(false);
  });

  // It was given up at once if it had begun longer ago than callers wait for a first event.
  test('waits for the next server as long as its caller waits for the next event', async () => {
    await receive([BROKEN_OFF], undefined, ROUTE.callerTimeoutMs);
    const [first, second] = placed as [QueuedRequest, QueuedRequest];
    expect(placed).toHaveLength(2);
    const eventAtMs = second.arrivedAtMs;
    expect(eventAtMs).toBeGreaterThan(first.deadlineAtMs);
    // The deadline of the request still holds.
    expect(second.deadlineAtMs).toBe(
      Math.min(eventAtMs + ROUTE.callerTimeoutMs, first.arrivedAtMs + DEADLINE_MS),
    );
  });

  // The sound events were dropped with the wrong one, and the stream went on behind them.
  test('keeps the events that came together with one out of order', async () => {
    const events = [event(1), event(2), event(9)].map(chunk).join('');
    const rest = `${event(3)}${event(4)}`;
    const received = await receive([
      `${STREAM_HEAD}${CHUNKED}${events}`,
      `${STREAM_HEAD}${CHUNKED}${chunk(rest)}${LAST_CHUNK}`,
    ]);
    const ids = [...received.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
    expect(ids).toEqual(['1', '2', '3', '4']);
    expect(placed.at(-1)?.version).toBe('v1');
  });

  test('goes on with the next server, also one that gives no length', async () => {
    const rest = `${event(2)}${event(3)}`;
    const received = await receive([BROKEN_OFF, `${STREAM_HEAD}\r\n${rest}`]);
    expect(received).toContain(event(3));
    expect(received.endsWith(LAST_CHUNK)).toBe(true);
  });
});

describe('a stream that broke off while no other server has its software version', () => {
  test('ends and does not look complete', async () => {
    const rest = `${event(2)}${event(3)}`;
    const received = await receive([BROKEN_OFF, `${STREAM_HEAD}\r\n${rest}`], {
      hasServers: () => false,
    });
    expect(received).toContain(event(1));
    expect(received).not.toContain('id: 2');
    expect(received.endsWith(LAST_CHUNK)).toBe(false);
  });
});

// A server counted as one that had failed although only this VM could not reach it.
describe('a stream that a partition of its VM has cut off', () => {
  const idsOf = (received: string) =>
    [...received.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  const brokenAfter = (id: number) =>
    `${STREAM_HEAD}${CHUNKED}${chunk(`${event(id)}id: ${id + 1}\nda`)}`;
  const endingWith = (id: number) => `${STREAM_HEAD}${CHUNKED}${chunk(event(id))}${LAST_CHUNK}`;

  test('may go on at the same server', async () => {
    const received = await receive([brokenAfter(1), endingWith(2)], { isReached: () => false });
    expect(idsOf(received)).toEqual([1, 2]);
    expect(excluded).toEqual([[], []]);
  });

  test('goes on although the next connection is cut off as well', async () => {
    const responses = [brokenAfter(1), brokenAfter(2), endingWith(3)];
    const received = await receive(responses, { isReached: () => false });
    expect(idsOf(received)).toEqual([1, 2, 3]);
    expect(received.endsWith(LAST_CHUNK)).toBe(true);
  });

  test('goes on at another server when its server breaks off afterwards', async () => {
    const isReached = () => placed.length > 1;
    const responses = [brokenAfter(1), brokenAfter(2), endingWith(3)];
    const received = await receive(responses, { isReached });
    expect(idsOf(received)).toEqual([1, 2, 3]);
    expect(excluded.map(({ length }) => length)).toEqual([0, 0, 1]);
  });

  test('is not sent again without end', async () => {
    const responses = Array.from({ length: 9 }, (_, at) => brokenAfter(at + 1));
    const received = await receive(responses, { isReached: () => false });
    expect(idsOf(received)).toEqual([1, 2, 3, 4]);
    expect(received.endsWith(LAST_CHUNK)).toBe(false);
  });
});

describe('a stream without length', () => {
  test('is complete at the end of its connection', async () => {
    const received = await receive([`${STREAM_HEAD}\r\n${event(1)}${event(2)}`]);
    expect(received).toContain(event(2));
    expect(received.endsWith(LAST_CHUNK)).toBe(true);
  });

  test.each([
    ['inside an event', `${event(1)}id: 2\ndata: x\n`],
    ['before its first event', ''],
  ])('is not complete when it ends %s', async (_where, events) => {
    const received = await receive([`${STREAM_HEAD}\r\n${events}`]);
    expect(received.endsWith(LAST_CHUNK)).toBe(false);
  });
});

describe('a stream whose server falls silent', () => {
  const BEFORE = `${STREAM_HEAD}${CHUNKED}${chunk(`${event(1)}id: 2\nda`)}`;
  const idsOf = (received: string) =>
    [...received.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));

  // It was cut as soon as no other server could be reached.
  test('goes on there if no other server responds before', async () => {
    const after = `${chunk(`ta: x\n\n${event(3)}`)}${LAST_CHUNK}`;
    const silent = await startSilent(BEFORE, after);
    const late = await startSilent('', `${STREAM_HEAD}${CHUNKED}${chunk(event(2))}`);
    const unreachable = await startBackend('', 0);
    const closed = servers.pop();
    await new Promise((resolve) => {
      closed?.close(resolve);
    });
    const received = await receiveFrom([silent, unreachable, late]);
    expect(idsOf(received)).toEqual([1, 2, 3]);
    expect(received.endsWith(LAST_CHUNK)).toBe(true);
  });

  test('goes on at another server that responds before', async () => {
    const silent = await startSilent(BEFORE, `${chunk(`ta: x\n\n${event(9)}`)}${LAST_CHUNK}`);
    const rest = `${event(2)}${event(3)}`;
    const other = await startBackend(`${STREAM_HEAD}${CHUNKED}${chunk(rest)}${LAST_CHUNK}`, 0);
    const received = await receiveFrom([silent, other]);
    expect(idsOf(received)).toEqual([1, 2, 3]);
    expect(received.endsWith(LAST_CHUNK)).toBe(true);
  });
});
