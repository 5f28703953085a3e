/**
 * A process with a backend server that writes large events without end, and with callers that take
 * none of them. It is separate from the test, whose requests must not wait for its work.
 */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import { KEY } from './callers.js';
import { type EngineSpec, SoakEngine } from './engine.js';

/** What the process is told to do. */
export type LargeEventsOrder =
  | { readonly type: 'start-server'; readonly spec: EngineSpec }
  | {
      readonly type: 'start-callers';
      readonly address: string;
      readonly model: string;
      readonly streams: number;
    };

/** A change of the server's entry in the store; `spec` is null when it is removed. */
export interface EntryChange {
  readonly kind: string;
  readonly name: string;
  readonly spec: unknown;
}

const EVENT_BYTES = 30_000;
const DATA = 'x'.repeat(EVENT_BYTES);

/** Writes events as fast as the connection takes them, until it is closed. */
function writeEvents(socket: Socket, id: string): void {
  let at = 0;
  const head = [
    'HTTP/1.1 200 OK',
    `Attempt-Id: ${id}`,
    'Response-Seal: seal',
    'Content-Type: text/event-stream',
    'Connection: close',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  const writeMore = () => {
    if (socket.destroyed) return;
    at += 1;
    socket.write(`id: ${at}\ndata: ${DATA}\n\n`, writeMore);
  };
  writeMore();
}

/** Begins a stream whose caller takes only the head of the response. */
function startCaller(address: string, model: string, at: number): void {
  const [host, port] = address.split(':');
  const req = http.request({
    host,
    port: Number(port),
    method: 'POST',
    path: '/stream/x',
    headers: {
      host: 'soak.example',
      'attempt-id': `large-${at}`,
      authorization: `Bearer ${KEY}`,
      'deadline-ms': '20000',
      model,
      'token-count': '20,20',
    },
    agent: false,
  });
  req.on('error', () => undefined);
  req.on('response', (res) => res.on('error', () => undefined));
  req.end(`${at}`);
}

function report(change: EntryChange): void {
  if (process.connected) process.send?.(change);
}

const store = {
  put: (kind: string, name: string, spec: unknown) => report({ kind, name, spec }),
  remove: (kind: string, name: string) => report({ kind, name, spec: null }),
};
const observations = { runs: new Map(), arrivals: [], crashes: [], violations: [] };

process.on('message', (order: LargeEventsOrder) => {
  if (order.type === 'start-server') {
    const engine = new SoakEngine(order.spec, store, observations);
    engine.setFault(writeEvents);
    void engine.start();
    return;
  }
  const { address, model, streams } = order;
  Array.from({ length: streams }, (_, at) => startCaller(address, model, at));
});
process.on('disconnect', () => process.exit());
