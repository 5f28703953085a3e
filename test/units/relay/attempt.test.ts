/** Which responses of a backend server are accepted for a request; over real sockets. */
import * as http from 'node:http';
import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';
import type { BackendServer } from '../../../src/decisions/fleet-plan/index.js';
import {
  AttemptEnd,
  type AttemptRequest,
  type AttemptResult,
  send,
} from '../../../src/entry/relay/attempt.js';
import { type StreamSink, WriteResult } from '../../../src/entry/relay/stream-relay.js';
import type { IdlePolicy } from '../../../src/entry/relay/idle-detector.js';
import { WorkTurns } from '../../../src/entry/relay/work-turns.js';
import { createResponseMemory } from './response-memory.js';
import { ConnectionPool } from '../../../src/entry/relay/connections.js';

type Responder = (socket: net.Socket, requestNumber: number) => void;

const servers: net.Server[] = [];
const pools: ConnectionPool[] = [];
/** Exceptions in handlers of the attempts. */
const exceptions: unknown[] = [];

/** Starts a server that calls `respond` for each chunk that it receives, to write a response. */
async function startServer(respond: Responder): Promise<BackendServer> {
  let requests = 0;
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      respond(socket, requests);
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    id: 'server-1',
    service: 'desk',
    address: `127.0.0.1:${port}`,
    dataCentre: 'a',
    version: 'v1',
    leaving: false,
    slots: 4,
    orderCount: 0,
    bornMs: 1,
    models: [],
    copies: { inMemory: [], onDisk: [] },
  };
}

function createPool(): ConnectionPool {
  const created = new ConnectionPool();
  pools.push(created);
  return created;
}

/** What a test can set besides the request itself. */
type SendOptions = Partial<
  Pick<AttemptRequest, 'agent' | 'idlePolicy' | 'wasRefused' | 'memory' | 'signal' | 'turns'>
> & { readonly sink?: StreamSink | null };

function sendRequest(
  server: BackendServer,
  id = 'request-1',
  pool = createPool(),
  { sink = null, ...opts }: SendOptions = {},
): Promise<AttemptResult> {
  const wire = platform.createWire();
  return send(
    wire,
    {
      id,
      method: 'GET',
      url: '/stock',
      headers: ['Host', 'desk.example', 'Attempt-Id', id],
      body: Buffer.alloc(0),
      agent: pool.agentFor(server, true, 64),
      ways: null,
      run: { server, service: 'desk', model: null, adapter: null },
      signal: new AbortController().signal,
      idlePolicy: null,
      wasRefused: false,
      memory: createResponseMemory(64 * 1_048_576),
      turns: new WorkTurns(),
      onHead: () => undefined,
      onException: (err) => exceptions.push(err),
      ...opts,
    },
    sink,
  );
}

/** A sink whose caller takes all events at once. */
const UNBLOCKED = {
  heldBytes: () => 0,
  isBlocked: () => false,
  onWritable: () => undefined,
};

/** Far above the maximum buffered response. */
const ENDLESS_BYTES = 64 * 1_048_576;

const HEAD = 'HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Seal: s\r\n';

afterEach(() => {
  pools.splice(0).forEach((pool) => pool.close());
  servers.splice(0).forEach((server) => server.close());
  expect(exceptions.splice(0)).toEqual([]);
});

/** Writes `part` repeatedly until the peer closes the connection or `ENDLESS_BYTES` are written. */
function writeWithoutEnd(socket: net.Socket, part: string): void {
  const bytes = Buffer.from(part);
  let written = 0;
  const writeMore = () => {
    if (socket.destroyed || written > ENDLESS_BYTES) return;
    written += bytes.length;
    socket.write(bytes, () => setImmediate(writeMore));
  };
  writeMore();
}

// A turn once read up to 2 MB from each connection, and callers waited to be accepted for seconds.
test('a body is read no further in a turn that has spent its time, and whole in later turns', async () => {
  const BODY = 'x'.repeat(6_000_000);
  const server = await startServer((socket) => {
    socket.write(`${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`);
  });
  let turnBytes = 0;
  let mostBytes = 0;
  let heldBytes = 0;
  const endTurn = () => {
    mostBytes = Math.max(mostBytes, turnBytes);
    turnBytes = 0;
  };
  const hold = (bytes: number) => {
    // The first piece of a turn lets it end after the event loop has read from all connections.
    if (turnBytes === 0) setImmediate(endTurn);
    turnBytes += bytes - heldBytes;
    heldBytes = bytes;
  };
  let nowMs = 0;
  const turns = new WorkTurns({
    nowMs: () => {
      nowMs += 10;
      return nowMs;
    },
    schedule: (handler) => {
      setImmediate(handler);
    },
    defer: (handler) => {
      process.nextTick(handler);
    },
  });
  const memory = {
    open: () => ({ hold, complete: () => undefined, release: () => undefined }),
  };
  const result = await sendRequest(server, 'request-1', createPool(), { memory, turns });
  expect(result).toMatchObject({ type: AttemptEnd.answered });
  if (result.type === AttemptEnd.answered) expect(result.response.body.toString()).toBe(BODY);
  expect(mostBytes).toBeLessThan(200_000);
});

describe('an endless response of a backend server', () => {
  const FILLER = 'x'.repeat(65_536);

  test.each([
    ['a body without length', `${HEAD}\r\n`, FILLER],
    ['a chunked body', `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, `10000\r\n${FILLER}\r\n`],
    ['a response head', HEAD, `X-More: ${'y'.repeat(500)}\r\n`],
    ['informational responses', '', 'HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n'],
  ])('in the form of %s is aborted, and its connection is closed', async (_form, first, part) => {
    const closed: Promise<void>[] = [];
    const server = await startServer((socket) => {
      closed.push(
        new Promise((resolve) => {
          socket.on('close', () => resolve());
        }),
      );
      socket.write(first);
      writeWithoutEnd(socket, part);
    });
    expect((await sendRequest(server)).type).toBe(AttemptEnd.broken);
    await Promise.all(closed);
  });
});

/** Listeners for the end of a kept connection after a response with a length. */
async function keptListeners(): Promise<number> {
  const server = await startServer((socket) => {
    socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
  });
  const pool = createPool();
  await sendRequest(server, 'request-1', pool);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  const [free] = Object.values(pool.agentFor(server, true, 64).freeSockets);
  return free?.[0]?.listenerCount('end') ?? -1;
}

describe('a response of a backend server', () => {
  test('is accepted if it is signed, complete and has the request id', async () => {
    const server = await startServer((socket) => {
      socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
    });
    const result = await sendRequest(server);
    expect(result.type).toBe(AttemptEnd.answered);
    if (result.type === AttemptEnd.answered) expect(result.response.body.toString()).toBe('whole');
  });

  test('without length is accepted when its connection ends', async () => {
    const server = await startServer((socket) => socket.end(`${HEAD}\r\nwhole`));
    expect((await sendRequest(server)).type).toBe(AttemptEnd.answered);
  });

  test('without length is not accepted when its connection is reset', async () => {
    const server = await startServer((socket) => {
      socket.write(`${HEAD}\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect((await sendRequest(server)).type).toBe(AttemptEnd.broken);
  });

  test('without length is not accepted when the reset follows directly on its bytes', async () => {
    // The event loop reads the bytes and the reset in one iteration, as it does when it is delayed.
    const server = await startServer((socket) => {
      socket.write(`${HEAD}\r\nhalf`, () => socket.resetAndDestroy());
    });
    expect((await sendRequest(server)).type).toBe(AttemptEnd.broken);
  });

  test('without length is not accepted when a reused connection is reset', async () => {
    const server = await startServer((socket, requestNumber) => {
      if (requestNumber === 1) {
        socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
        return;
      }
      socket.write(`${HEAD}\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    const pool = createPool();
    expect((await sendRequest(server, 'request-1', pool)).type).toBe(AttemptEnd.answered);
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    expect((await sendRequest(server, 'request-1', pool)).type).toBe(AttemptEnd.broken);
  });

  test('with fewer bytes than its length is not accepted', async () => {
    const server = await startServer((socket) =>
      socket.end(`${HEAD}Content-Length: 50\r\n\r\nhalf`),
    );
    expect((await sendRequest(server)).type).toBe(AttemptEnd.broken);
  });

  test('with the id of another request is not accepted', async () => {
    const server = await startServer((socket) => {
      socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
    });
    expect((await sendRequest(server, 'request-2')).type).toBe(AttemptEnd.broken);
  });

  test('that is unsigned or has a content encoding is not accepted', async () => {
    const head = 'HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nContent-Length: 5\r\n';
    const unsigned = await startServer((socket) => socket.write(`${head}\r\nwhole`));
    const encoded = await startServer((socket) =>
      socket.write(`${head}Response-Seal: s\r\nContent-Encoding: gzip\r\n\r\nwhole`),
    );
    expect((await sendRequest(unsigned)).type).toBe(AttemptEnd.broken);
    expect((await sendRequest(encoded)).type).toBe(AttemptEnd.broken);
  });

  test('that states not-executed, or a refused connection, gives the outcome not-run', async () => {
    const server = await startServer((socket) =>
      socket.write('HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'),
    );
    expect((await sendRequest(server)).type).toBe(AttemptEnd.notRun);
    expect((await sendRequest({ ...server, address: '127.0.0.1:1' })).type).toBe(AttemptEnd.notRun);
  });

  // A caller got such a response as its answer, or was told that its request had not run.
  test.each(['000', '000 OK', '00 OK', '099 Unknown', '600 Unknown'])(
    'with the invalid status %s is not accepted, whatever follows it',
    async (line) => {
      const head = `HTTP/1.1 ${line}\r\nAttempt-Id: request-1\r\nResponse-Seal: s\r\n`;
      const responses = [
        `${head}Content-Length: 2\r\n\r\nok`,
        `${head}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
        `${head}\r\n${HEAD}Content-Length: 5\r\n\r\nwhole`,
      ];
      const endings: readonly ((socket: net.Socket) => unknown)[] = [
        () => undefined,
        (socket) => socket.end(),
        (socket) => socket.resetAndDestroy(),
      ];
      const results = await Promise.all(
        responses.flatMap((response) =>
          endings.map(async (finish) => {
            const server = await startServer((socket) =>
              socket.write(response, () => finish(socket)),
            );
            return (await sendRequest(server)).type;
          }),
        ),
      );
      expect(new Set(results)).toEqual(new Set([AttemptEnd.broken]));
    },
  );

  test('that does not arrive is abandoned when the idle policy says so', async () => {
    const server = await startServer(() => undefined);
    const result = await sendRequest(server, 'request-1', createPool(), {
      idlePolicy: { afterMs: 50, shouldAbandon: () => true },
    });
    expect(result.type).toBe(AttemptEnd.broken);
  });

  test('that arrives late is awaited while the idle policy does not abandon it', async () => {
    const polledMs: number[] = [];
    const server = await startServer((socket) => {
      setTimeout(() => socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`), 400);
    });
    const result = await sendRequest(server, 'request-1', createPool(), {
      idlePolicy: {
        afterMs: 50,
        shouldAbandon: (idleMs) => {
          polledMs.push(idleMs);
          return false;
        },
      },
    });
    expect(result.type).toBe(AttemptEnd.answered);
    expect(polledMs.length).toBeGreaterThan(0);
  });

  test('leaves no listeners on a connection that is reused many times', async () => {
    const server = await startServer((socket) => {
      socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
    });
    const pool = createPool();
    const listeners: number[] = [];
    for (let at = 0; at < 12; at += 1) {
      await sendRequest(server, 'request-1', pool);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      const [free] = Object.values(pool.agentFor(server, true, 64).freeSockets);
      listeners.push(free?.[0]?.listenerCount('error') ?? -1);
    }
    expect(new Set(listeners).size).toBe(1);
  });

  // A listener of a response without content once threw when its server closed the kept connection.
  test.each(['204 No Content', '304 Not Modified'])(
    'with the status %s leaves no listener on its connection',
    async (status) => {
      const server = await startServer((socket) => {
        socket.write(HEAD.replace('200 OK', status).concat('\r\n'));
      });
      const pool = createPool();
      expect((await sendRequest(server, 'request-1', pool)).type).toBe(AttemptEnd.answered);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      const [free] = Object.values(pool.agentFor(server, true, 64).freeSockets);
      const expected = await keptListeners();
      expect(free?.[0]?.listenerCount('end')).toBe(expected);
    },
  );

  test('that is followed by unsolicited bytes closes its connection', async () => {
    const accepted: net.Socket[] = [];
    const server = await startServer((socket) => {
      if (!accepted.includes(socket)) accepted.push(socket);
      socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'), 20);
    });
    const pool = createPool();
    expect((await sendRequest(server, 'request-1', pool)).type).toBe(AttemptEnd.answered);
    await new Promise((resolve) => {
      setTimeout(resolve, 60);
    });
    expect((await sendRequest(server, 'request-1', pool)).type).toBe(AttemptEnd.answered);
    expect(accepted.length).toBe(2);
  });
});

describe('a connection that fails at once', () => {
  // As without a free descriptor or a route. It once counted as made, so that the request may have run.
  test('leaves the request not run', async () => {
    const server = await startServer(() => undefined);
    // No address of this host, so that the local end can't be bound.
    const agent = new http.Agent({ keepAlive: true });
    const create = agent.createConnection.bind(agent);
    Object.assign(agent, {
      createConnection: (opts: net.NetConnectOpts) =>
        create({ ...opts, localAddress: '192.0.2.1' }),
    });
    expect(await sendRequest(server, 'request-1', createPool(), { agent })).toMatchObject({
      type: AttemptEnd.notRun,
      reached: false,
    });
  });
});

describe('an exception in a handler of a response', () => {
  test('ends its attempt only, and is reported', async () => {
    const server = await startServer((socket) => {
      socket.write(`${HEAD}Content-Type: text/event-stream\r\nContent-Length: 5\r\n\r\nwhole`);
    });
    const sink: StreamSink = {
      begin: () => {
        throw new TypeError('invalid character');
      },
      write: () => WriteResult.part,
      isComplete: () => true,
      ...UNBLOCKED,
      ...UNBLOCKED,
    };
    const result = await sendRequest(server, 'request-1', createPool(), { sink });
    expect(result).toMatchObject({
      type: AttemptEnd.broken,
      reason: 'attempt failed: invalid character',
    });
    expect(exceptions.splice(0)).toEqual([new TypeError('invalid character')]);
  });

  test('before a connection is made leaves the request not run', async () => {
    const server = await startServer(() => undefined);
    const result = await sendRequest({ ...server, address: '127.0.0.1:99999' });
    expect(result).toMatchObject({ type: AttemptEnd.notRun, reached: false });
    expect(exceptions.splice(0)).toHaveLength(1);
  });
});

describe('an error response without a request id', () => {
  test('is not passed on as an answer: it may come from another server at the address', async () => {
    const server = await startServer((socket) => {
      socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}');
    });
    expect((await sendRequest(server)).type).toBe(AttemptEnd.broken);
  });
});

describe('an earlier refusal that a server writes once more', () => {
  const refusal = (id: string | null) =>
    `HTTP/1.1 503 Full\r\n${id === null ? '' : `Attempt-Id: ${id}\r\n`}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;

  test.each([null, 'request-1'])(
    'with the id %s is not taken for the refusal of the next request on the connection',
    async (id) => {
      const server = await startServer((socket) => socket.write(refusal(id)));
      const pool = createPool();
      expect((await sendRequest(server, 'request-1', pool)).type).toBe(AttemptEnd.notRun);
      expect((await sendRequest(server, 'request-2', pool)).type).toBe(AttemptEnd.broken);
    },
  );

  test('is not taken for the refusal of a second attempt of the same request', async () => {
    const refused = new Set<net.Socket>();
    const server = await startServer((socket) => {
      const isFirst = refused.size === 0;
      // The server runs the second attempt, after the copy of the refusal if the connection has one.
      if (isFirst || refused.has(socket)) socket.write(refusal('request-1'));
      if (!isFirst) socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
      refused.add(socket);
    });
    const pool = createPool();
    expect((await sendRequest(server, 'request-1', pool)).type).toBe(AttemptEnd.notRun);
    const second = await sendRequest(server, 'request-1', pool, { wasRefused: true });
    expect(second.type).toBe(AttemptEnd.answered);
  });
});

describe('a response that its server stops writing', () => {
  const RESPONSE = `${HEAD}Content-Length: 5\r\n\r\nwhole`;

  test('in its head or body is not accepted, wherever it stops', async () => {
    const lengths = Array.from({ length: RESPONSE.length }, (_, length) => length);
    const types = await Promise.all(
      lengths.map(async (length) => {
        const server = await startServer((socket) => socket.end(RESPONSE.slice(0, length)));
        return (await sendRequest(server)).type;
      }),
    );
    expect(types.filter((type) => type !== AttemptEnd.broken)).toEqual([]);
  });
});

describe('a duplicate response', () => {
  test('that arrives late on a reused connection is never forwarded to the next caller', async () => {
    const copy = `${HEAD}Content-Length: 5\r\n\r\nwhole`;
    const server = await startServer((socket, number) => {
      if (number === 1) socket.write(copy);
      else socket.write(`${copy}${copy.replaceAll('request-1', 'request-2')}`);
    });
    const pool = createPool();
    expect((await sendRequest(server, 'request-1', pool)).type).toBe(AttemptEnd.answered);
    const next = await sendRequest(server, 'request-2', pool);
    expect(next).toEqual({
      type: AttemptEnd.broken,
      reason: 'response belongs to another request',
      connectionLost: false,
    });
  });
});

describe('a stream', () => {
  const STREAM = `${HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
  const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
  const IDLE_MS = 120;

  /** Treats each chunk that ends with an empty line as a complete event. */
  const sink: StreamSink = {
    begin: () => true,
    write: (bytes) => (bytes.toString().endsWith('\n\n') ? WriteResult.event : WriteResult.part),
    isComplete: () => true,
    ...UNBLOCKED,
  };

  /** Sends a request whose caller takes no more after the first event, and leaves later. */
  function sendUntilCallerLeaves(server: BackendServer): Promise<AttemptResult> {
    const left = new AbortController();
    setTimeout(() => left.abort(), IDLE_MS);
    return sendRequest(server, 'request-1', createPool(), {
      sink: { ...sink, isBlocked: () => true },
      signal: left.signal,
    });
  }

  /** Starts a server that streams `parts`, each after a pause, and then ends the stream. */
  async function startStream(parts: readonly string[], pauseMs: number): Promise<BackendServer> {
    return startServer((socket) => {
      socket.write(STREAM);
      const left = [...parts.map(chunk), '0\r\n\r\n'];
      const timer = setInterval(() => {
        const next = left.shift();
        if (next === undefined || socket.destroyed) clearInterval(timer);
        else socket.write(next);
      }, pauseMs);
    });
  }

  const policy: IdlePolicy = { afterMs: IDLE_MS, shouldAbandon: () => true };

  test('that sends bytes but completes no event is abandoned as idle', async () => {
    const server = await startStream(
      Array.from({ length: 200 }, () => ':'),
      20,
    );
    const result = await sendRequest(server, 'request-1', createPool(), {
      idlePolicy: policy,
      sink,
    });
    expect(result).toMatchObject({
      type: AttemptEnd.broken,
      reason: 'backend server unresponsive',
    });
  });

  test('that is slow but completes events is not aborted', async () => {
    const events = Array.from({ length: 10 }, (_, at) => `id: ${at}\ndata: x\n\n`);
    const server = await startStream(events, IDLE_MS / 3);
    const result = await sendRequest(server, 'request-1', createPool(), {
      idlePolicy: policy,
      sink,
    });
    expect(result.type).toBe(AttemptEnd.streamed);
  });

  // Such an attempt once never ended, as its response gives no event while it is not read.
  test('whose caller leaves while its last events wait is ended', async () => {
    const server = await startServer((socket) => {
      socket.write(`${STREAM}${chunk('id: 1\ndata: x\n\n')}`);
      // Not read together with the first event, after which the caller takes no more.
      setTimeout(() => socket.end(`${chunk('id: 2\ndata: x\n\n')}0\r\n\r\n`), IDLE_MS / 3);
    });
    const result = await sendUntilCallerLeaves(server);
    expect(result).toMatchObject({ type: AttemptEnd.broken, connectionLost: false });
  }, 5_000);

  test('whose caller leaves while its last events wait is ended, also if its server has finished', async () => {
    const server = await startServer((socket) => {
      const events = `${chunk('id: 1\ndata: x\n\n')}${chunk('id: 2\ndata: x\n\n')}`;
      socket.end(`${STREAM}${events}0\r\n\r\n`);
    });
    const result = await sendUntilCallerLeaves(server);
    expect(result).toMatchObject({ type: AttemptEnd.streamed });
  }, 5_000);

  // Events for a caller that takes none were once kept without a bound; and the end of the connection
  // once ended the attempt before the last events were read.
  test.each([
    ['keeps', false],
    ['ends', true],
  ])('whose server %s its connection is read at the pace of its caller', async (_what, isEnded) => {
    const EVENTS = 4_000;
    const written: string[] = [];
    const server = await startServer((socket) => {
      socket.write(STREAM);
      for (let at = 0; at < EVENTS; at += 1)
        socket.write(chunk(`id: ${at}\ndata: ${'x'.repeat(1_000)}\n\n`));
      socket.write('0\r\n\r\n');
      if (isEnded) socket.end();
    });
    const caller = { isBlocked: true, writable: () => undefined as void };
    const slow: StreamSink = {
      ...sink,
      write: (bytes) => {
        written.push(bytes.toString());
        return WriteResult.event;
      },
      isBlocked: () => caller.isBlocked,
      onWritable: (handler) => Object.assign(caller, { writable: handler }),
    };
    // Only while events wait: at other times, a busy machine may leave the server idle for as long.
    let isBlocked = true;
    const strict = { afterMs: IDLE_MS, shouldAbandon: () => isBlocked && written.length > 0 };
    const result = sendRequest(server, 'request-1', createPool(), {
      idlePolicy: strict,
      sink: slow,
    });
    await new Promise((resolve) => {
      setTimeout(resolve, 3 * IDLE_MS);
    });
    isBlocked = false;
    expect(written.join('').length).toBeLessThan(1_048_576);
    // Takes one part at a time, so that the stream is still paused when its last bytes have arrived.
    const taking = setInterval(() => caller.writable(), 1);
    expect((await result).type).toBe(AttemptEnd.streamed);
    clearInterval(taking);
    expect(written.join('').match(/^id:/gm)).toHaveLength(EVENTS);
  });
});

describe('a response that exceeds the memory for responses', () => {
  // The end of the connection once released a response that still waited for its caller.
  test('counts until its caller has it, also after its connection was closed', async () => {
    const server = await startServer((socket) => socket.end(`${HEAD}\r\n${'x'.repeat(100_000)}`));
    const memory = createResponseMemory(150_000);
    const result = await sendRequest(server, 'request-1', createPool(), { memory });
    expect(result.type).toBe(AttemptEnd.answered);
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    let givenUp = 0;
    const noteGivenUp = () => {
      givenUp += 1;
    };
    if (result.type === AttemptEnd.answered) result.held.complete();
    memory.open('server-2', noteGivenUp).hold(100_000);
    expect(givenUp).toBe(1);
  });

  test('ends its attempt, and smaller ones of other servers still arrive', async () => {
    const large = await startServer((socket) => {
      socket.write(`${HEAD}\r\n`);
      writeWithoutEnd(socket, 'x'.repeat(65_536));
    });
    const small = await startServer((socket) => {
      socket.write(`${HEAD}Content-Length: 100000\r\n\r\n`);
      setTimeout(() => socket.write('x'.repeat(100_000)), 50);
    });
    const memory = createResponseMemory(1_048_576);
    const results = await Promise.all([
      sendRequest(large, 'request-1', createPool(), { memory }),
      sendRequest({ ...small, id: 'server-2' }, 'request-1', createPool(), { memory }),
    ]);
    expect(results.map(({ type }) => type)).toEqual([AttemptEnd.broken, AttemptEnd.answered]);
    expect(results[0]).toMatchObject({ reason: 'responses exceed their share of the memory' });
  });
});

describe('a stream that is relayed in later turns of the event loop', () => {
  const EVENTS = 200;
  const HEADERS = `${HEAD}Content-Type: text/event-stream\r\n`;
  const events = Array.from(
    { length: EVENTS },
    (_, at) => `id: ${at}\ndata: ${'x'.repeat(2_000)}\n\n`,
  );

  /** Turns without time for any work at once. */
  function laterTurns(): AttemptRequest['turns'] {
    const turns = new WorkTurns();
    return {
      isOpen: false,
      run: (work) => turns.run(work),
      noteRead: () => turns.noteRead(),
      whenNext: (work) => turns.whenNext(work),
    };
  }

  async function relayed(
    writeTo: (socket: net.Socket) => void,
    turns: AttemptRequest['turns'],
  ): Promise<{ readonly type: string; readonly text: string }> {
    const server = await startServer(writeTo);
    const written: Buffer[] = [];
    const sink: StreamSink = {
      ...UNBLOCKED,
      begin: () => true,
      write: (bytes) => {
        written.push(Buffer.from(bytes));
        return WriteResult.event;
      },
      isComplete: () => true,
    };
    const { type } = await sendRequest(server, 'request-1', createPool(), { sink, turns });
    return { type, text: Buffer.concat(written).toString() };
  }

  test('arrives complete and in order', async () => {
    const result = await relayed((socket) => {
      socket.write(`${HEADERS}Transfer-Encoding: chunked\r\n\r\n`);
      events.forEach((event) => socket.write(`${event.length.toString(16)}\r\n${event}\r\n`));
      socket.write('0\r\n\r\n');
    }, laterTurns());
    expect(result).toEqual({ type: AttemptEnd.streamed, text: events.join('') });
  });

  test('keeps the bytes that waited when its server breaks off', async () => {
    const never = { ...laterTurns(), whenNext: () => () => undefined };
    const result = await relayed((socket) => {
      socket.write(`${HEADERS}Content-Length: 100000\r\n\r\n${events[0]}`);
      setTimeout(() => socket.destroy(), 50);
    }, never);
    expect(result).toEqual({ type: AttemptEnd.broken, text: events[0] });
  });
});

describe('a process that was busy', () => {
  const block = (ms: number) => {
    const untilMs = performance.now() + ms;
    while (performance.now() < untilMs);
  };
  const RESPONSE = `${HEAD}Content-Length: 2\r\n\r\nok`;
  const nextTick = () =>
    new Promise((resolve) => {
      process.nextTick(resolve);
    });

  test('does not take a connection made meanwhile for one that timed out', async () => {
    const server = await startServer((socket) => socket.write(RESPONSE));
    // Timers come first after this.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const result = sendRequest(server);
    await nextTick();
    await nextTick();
    block(600);
    expect(await result).toMatchObject({ type: AttemptEnd.answered });
  });

  test('does not take a response that arrived meanwhile for none', async () => {
    const server = await startServer((socket) => {
      socket.write(RESPONSE);
      block(300);
    });
    const idlePolicy = { afterMs: 150, shouldAbandon: () => true };
    const result = await sendRequest(server, 'request-1', createPool(), { idlePolicy });
    expect(result).toMatchObject({ type: AttemptEnd.answered });
  });
});
