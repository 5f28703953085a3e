/** What counts as an answer to a request that was sent to a backend server, over real sockets. */
import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';
import type { BackendServer } from '../../../src/decisions/fleet-plan/index.js';
import {
  AttemptEnd,
  type AttemptResult,
  send,
  type SilenceRule,
  type StreamSink,
  StreamStep,
} from '../../../src/entry/relay/attempt.js';
import { Connections } from '../../../src/entry/relay/connections.js';
import { isKnownRed } from '../../known-red.js';

type Answerer = (socket: net.Socket, requestNumber: number) => void;

const servers: net.Server[] = [];
const connections: Connections[] = [];

/** A server that answers the head of each request with what `answer` writes. */
async function startServer(answer: Answerer): Promise<BackendServer> {
  let requests = 0;
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      answer(socket, requests);
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
    leaving: false,
    slots: 4,
    orderCount: 0,
    bornMs: 1,
    models: [],
    copies: { inMemory: [], onDisk: [] },
  };
}

function createConnections(): Connections {
  const created = new Connections();
  connections.push(created);
  return created;
}

function ask(
  server: BackendServer,
  id = 'request-1',
  kept = createConnections(),
  silence: SilenceRule | null = null,
  sink: StreamSink | null = null,
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
      agent: kept.agentFor(server, true),
      run: { server, service: 'desk', model: null, adapter: null },
      signal: new AbortController().signal,
      silence,
    },
    sink,
  );
}

/** Far beyond what may be held of an answer. */
const ENDLESS_BYTES = 64 * 1_048_576;

const HEAD = 'HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Seal: s\r\n';

afterEach(() => {
  connections.splice(0).forEach((kept) => kept.close());
  servers.splice(0).forEach((server) => server.close());
});

/** Writes `part` again and again until the peer closes or so much was written. */
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

describe('bytes of a backend server that are no answer and have no end', () => {
  const FILLER = 'x'.repeat(65_536);

  test.each([
    ['in a body without length', `${HEAD}\r\n`, FILLER],
    ['in a chunked body', `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, `10000\r\n${FILLER}\r\n`],
    ['in a head', HEAD, `X-More: ${'y'.repeat(500)}\r\n`],
    ['as heads before the answer', '', 'HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n'],
  ])('%s are given up on, and their connection is closed', async (_where, first, part) => {
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
    expect((await ask(server)).type).toBe(AttemptEnd.broken);
    await Promise.all(closed);
  });
});

describe('an answer of a backend server', () => {
  test('that is signed, whole and named counts', async () => {
    const server = await startServer((socket) => {
      socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
    });
    const result = await ask(server);
    expect(result.type).toBe(AttemptEnd.answered);
    if (result.type === AttemptEnd.answered) expect(result.answer.body.toString()).toBe('whole');
  });

  test('without length counts when its connection ends', async () => {
    const server = await startServer((socket) => socket.end(`${HEAD}\r\nwhole`));
    expect((await ask(server)).type).toBe(AttemptEnd.answered);
  });

  test('without length does not count when its connection is reset', async () => {
    const server = await startServer((socket) => {
      socket.write(`${HEAD}\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect((await ask(server)).type).toBe(AttemptEnd.broken);
  });

  test('without length does not count when it is reset right behind its bytes', async () => {
    // The event loop finds the bytes and the reset together, as it does when it is late.
    const server = await startServer((socket) => {
      socket.write(`${HEAD}\r\nhalf`, () => socket.resetAndDestroy());
    });
    expect((await ask(server)).type).toBe(AttemptEnd.broken);
  });

  test('without length that is reset on a reused connection does not count', async () => {
    const server = await startServer((socket, requestNumber) => {
      if (requestNumber === 1) {
        socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
        return;
      }
      socket.write(`${HEAD}\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    const kept = createConnections();
    expect((await ask(server, 'request-1', kept)).type).toBe(AttemptEnd.answered);
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    expect((await ask(server, 'request-1', kept)).type).toBe(AttemptEnd.broken);
  });

  test('with fewer bytes than its length does not count', async () => {
    const server = await startServer((socket) =>
      socket.end(`${HEAD}Content-Length: 50\r\n\r\nhalf`),
    );
    expect((await ask(server)).type).toBe(AttemptEnd.broken);
  });

  test('to another request does not count', async () => {
    const server = await startServer((socket) => {
      socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
    });
    expect((await ask(server, 'request-2')).type).toBe(AttemptEnd.broken);
  });

  test('that is not signed or encoded does not count', async () => {
    const head = 'HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nContent-Length: 5\r\n';
    const unsigned = await startServer((socket) => socket.write(`${head}\r\nwhole`));
    const encoded = await startServer((socket) =>
      socket.write(`${head}Response-Seal: s\r\nContent-Encoding: gzip\r\n\r\nwhole`),
    );
    expect((await ask(unsigned)).type).toBe(AttemptEnd.broken);
    expect((await ask(encoded)).type).toBe(AttemptEnd.broken);
  });

  test('that says not executed, or a refused connection, leaves the request not run', async () => {
    const server = await startServer((socket) =>
      socket.write('HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'),
    );
    expect((await ask(server)).type).toBe(AttemptEnd.notRun);
    expect((await ask({ ...server, address: '127.0.0.1:1' })).type).toBe(AttemptEnd.notRun);
  });

  test('that does not come is not waited for where another server may be asked', async () => {
    const server = await startServer(() => undefined);
    const result = await ask(server, 'request-1', createConnections(), {
      afterMs: 50,
      leaves: () => true,
    });
    expect(result.type).toBe(AttemptEnd.broken);
  });

  test('that comes late is waited for while leaving is not worth it', async () => {
    const asked: number[] = [];
    const server = await startServer((socket) => {
      setTimeout(() => socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`), 400);
    });
    const result = await ask(server, 'request-1', createConnections(), {
      afterMs: 50,
      leaves: (silentMs) => {
        asked.push(silentMs);
        return false;
      },
    });
    expect(result.type).toBe(AttemptEnd.answered);
    expect(asked.length).toBeGreaterThan(0);
  });

  test('leaves nothing behind on a connection that is used again and again', async () => {
    const server = await startServer((socket) => {
      socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
    });
    const kept = createConnections();
    const listeners: number[] = [];
    for (let at = 0; at < 12; at += 1) {
      await ask(server, 'request-1', kept);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      const [free] = Object.values(kept.agentFor(server, true).freeSockets);
      listeners.push(free?.[0]?.listenerCount('error') ?? -1);
    }
    expect(new Set(listeners).size).toBe(1);
  });

  test('followed by more bytes ends its connection', async () => {
    const accepted: net.Socket[] = [];
    const server = await startServer((socket) => {
      if (!accepted.includes(socket)) accepted.push(socket);
      socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'), 20);
    });
    const kept = createConnections();
    expect((await ask(server, 'request-1', kept)).type).toBe(AttemptEnd.answered);
    await new Promise((resolve) => {
      setTimeout(resolve, 60);
    });
    expect((await ask(server, 'request-1', kept)).type).toBe(AttemptEnd.answered);
    expect(accepted.length).toBe(2);
  });
});

describe('a failure that names no request', () => {
  const NAME = 'is not passed on as an answer: it may come from another server at the address';

  test.skipIf(isKnownRed(NAME))(NAME, async () => {
    const server = await startServer((socket) => {
      socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}');
    });
    expect((await ask(server)).type).toBe(AttemptEnd.broken);
  });
});

describe('a second copy of an answer', () => {
  test('that comes late, when its connection is in use again, is never given to the next caller', async () => {
    const copy = `${HEAD}Content-Length: 5\r\n\r\nwhole`;
    const server = await startServer((socket, number) => {
      if (number === 1) socket.write(copy);
      else socket.write(`${copy}${copy.replaceAll('request-1', 'request-2')}`);
    });
    const kept = createConnections();
    expect((await ask(server, 'request-1', kept)).type).toBe(AttemptEnd.answered);
    const next = await ask(server, 'request-2', kept);
    expect(next).toEqual({
      type: AttemptEnd.broken,
      reason: 'the answer belongs to another request',
    });
  });
});

describe('a stream', () => {
  const STREAM = `${HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
  const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
  const SILENCE_MS = 120;

  /** A sink for events that end with an empty line. */
  const sink: StreamSink = {
    begin: () => true,
    write: (bytes) => (bytes.toString().endsWith('\n\n') ? StreamStep.event : StreamStep.part),
    isWhole: () => true,
  };

  /** Streams parts, each after a pause, and then ends. */
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

  const rule: SilenceRule = { afterMs: SILENCE_MS, leaves: () => true };

  test('that is stalled, but sends a byte now and then, is left like a silent one', async () => {
    const server = await startStream(
      Array.from({ length: 200 }, () => ':'),
      20,
    );
    const result = await ask(server, 'request-1', createConnections(), rule, sink);
    expect(result).toMatchObject({ type: AttemptEnd.broken, reason: 'the server fell silent' });
  });

  test('that is slow, but goes on, is not cut', async () => {
    const events = Array.from({ length: 10 }, (_, at) => `id: ${at}\ndata: x\n\n`);
    const server = await startStream(events, SILENCE_MS / 3);
    const result = await ask(server, 'request-1', createConnections(), rule, sink);
    expect(result.type).toBe(AttemptEnd.streamed);
  });
});
