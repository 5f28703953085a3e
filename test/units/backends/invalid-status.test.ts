/** Responses of plain services whose status code is not valid; over real sockets. */
import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createBackends } from '../../../src/entry/backends/index.js';

const STATUS_LINES = ['000', '000 OK', '00 OK', '099 Unknown', '600 Unknown', '999 Unknown'];
const ENDINGS: Readonly<Record<string, (socket: net.Socket) => unknown>> = {
  'stays open': () => undefined,
  'is closed': (socket) => socket.end(),
  'is reset': (socket) => socket.resetAndDestroy(),
};
/** Far above the time of a call, so that none of them ends by its timeout. */
const TIMEOUT_MS = 30_000;

const backends = createBackends();
const servers: net.Server[] = [];

afterEach(() => servers.splice(0).forEach((server) => server.close()));

async function startServer(
  response: string,
  finish: (socket: net.Socket) => unknown,
): Promise<string> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(response, () => finish(socket)));
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const cases = STATUS_LINES.flatMap((line) => Object.keys(ENDINGS).map((end) => [line, end]));

// A caller got such a response as the answer to its request.
test.each(cases)(
  'a response with status %s whose connection %s is a failure',
  async (line, end) => {
    const response = `HTTP/1.1 ${line}\r\nContent-Length: 2\r\n\r\nok`;
    const address = await startServer(response, ENDINGS[end ?? ''] ?? (() => undefined));
    const result = await backends.forward({
      address,
      method: 'GET',
      path: '/stock',
      headers: {},
      body: null,
      timeoutMs: TIMEOUT_MS,
      signal: new AbortController().signal,
    });
    expect(result.isErr).toBe(true);
    if (result.isErr) {
      expect(result.error.failure.status).toBe(502);
      // The server may have run the request.
      expect(result.error.provenNotExecuted).toBe(false);
    }
  },
);
