/** What a connection gets that carries malformed or slow requests behind sound ones. */
import * as http from 'node:http';
import * as net from 'node:net';
import { once } from 'node:events';
import { afterEach, describe, expect, test } from 'vitest';
import * as https from '../../../src/core/http/index.js';
import { refuseClientErrors } from '../../../src/core/http/client-errors.js';

const HEADERS_TIMEOUT_MS = 100;
const servers: http.Server[] = [];

afterEach(async () => {
  await Promise.all(servers.splice(0).map((server) => https.close(server)));
});

/** A server that answers `/now` at once and other requests with `answer`; and a connection to it. */
async function start() {
  const waiting: http.ServerResponse[] = [];
  const errors: string[] = [];
  const server = http.createServer({ connectionsCheckingInterval: 20 }, (req, res) => {
    req.resume();
    if (req.url === '/now') res.end();
    else waiting.push(res);
  });
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = 0;
  refuseClientErrors(server, (err, socket) => {
    errors.push(err.code ?? '');
    socket.end('HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n');
  });
  // Emitted right after it was handled.
  const failed = once(server, 'clientError');
  servers.push(server);
  const [host, port] = (await https.listen(server, '127.0.0.1:0')).split(':');
  const socket = net.connect(Number(port), host);
  let text = '';
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
  });
  const closed = once(socket, 'close');
  const statuses = async () => {
    await closed;
    return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));
  };
  const answer = () => waiting.splice(0).forEach((res) => res.end());
  return { server, socket, failed, waiting, errors, statuses, answer };
}

const WAITS = 'GET /waits HTTP/1.1\r\nHost: x\r\n\r\n';
const BROKEN_BODY =
  'POST /waits HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n';

describe('a malformed request', () => {
  test('is refused at once if no other one is open', async () => {
    const { socket, statuses } = await start();
    socket.write('no request\r\n\r\n');
    expect(await statuses()).toEqual([400]);
  });

  test('is refused at once if the fault is in its body', async () => {
    const { socket, statuses } = await start();
    socket.write(BROKEN_BODY);
    expect(await statuses()).toEqual([400]);
  });

  test.each([
    ['its head', 'no request\r\n\r\n'],
    ['its body', BROKEN_BODY],
  ])('is refused behind the answers to those before it: %s', async (_part, malformed) => {
    const { socket, failed, statuses, answer } = await start();
    socket.write(`${WAITS}${WAITS}${malformed}`);
    await failed;
    answer();
    expect((await statuses()).slice(0, 2)).toEqual([200, 200]);
  });

  test('does not keep those before it open whose caller has closed the connection', async () => {
    const { socket, failed, waiting, statuses } = await start();
    socket.write(`${WAITS}no request\r\n\r\n`);
    await failed;
    const [res] = waiting as [http.ServerResponse];
    const isClosed = once(res, 'close');
    socket.end();
    await isClosed;
    expect(await statuses()).toEqual([]);
  });
});

describe('a slow request', () => {
  test('is served if it has come whole when those before it are answered', async () => {
    const { server, socket, failed, errors, statuses, answer } = await start();
    socket.write(`${WAITS}GET /now HTTP/1.1\r\n`);
    await failed;
    const received = once(server, 'request');
    socket.write('Host: x\r\nConnection: close\r\n\r\n');
    await received;
    answer();
    expect(await statuses()).toEqual([200, 200]);
    expect(errors).toEqual([]);
  });
});
