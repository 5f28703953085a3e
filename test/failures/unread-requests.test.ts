/**
 * Requests that are refused before they are read, and requests behind another one on a connection:
 * their callers get an answer, or the request is not run.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { KEY } from '../soak/callers.js';
import { RelayFleet } from '../soak/relay-fleet.js';
import type { SoakVm } from '../soak/vms.js';

const POLL_MS = 5;
const ANSWER_TIMEOUT_MS = 5_000;
const CALLERS = 40;
const BODY_PARTS = 8;
const PART = 'x'.repeat(100);
/** Longest pause of a caller between two parts of a request, ms. */
const PART_PAUSE_MS = 10;
/** Parts of a body that takes several reads of a connection. */
const LARGE_PART = 'x'.repeat(40_000);
/** Less than a body of large parts; in force after `APPLIED_MS`. */
const LOW_BODY_BYTES = 100_000;
const APPLIED_MS = 600;
/** Bodies that fill the memory for bodies while they are incomplete, and the bytes of each. */
const HELD_BODIES = 12;
const HELD_BYTES = 4_000_000;
const PIPELINED = 10;
/** Requests of some 12 MB together, more than the kernel's buffers hold. */
const MANY_PIPELINED = 90_000;
const GRACE_PERIOD_MS = 8_000;
/** Less than a slow request takes, and less than the interval at which callers are checked. */
const HEADER_TIMEOUT_MS = 200;
/** Makes a request take about 600 ms, so that a stop begins while requests wait. */
const SLOWDOWN = 40;

function requestText(route: string, id: string, bodyBytes: number): string {
  const head = [
    `POST /${route}/x HTTP/1.1`,
    'Host: soak.example',
    `Attempt-Id: ${id}`,
    `Authorization: Bearer ${KEY}`,
    'Deadline-Ms: 3000',
    `Content-Length: ${bodyBytes}`,
  ];
  return `${head.join('\r\n')}\r\n\r\n`;
}

function connect(vm: SoakVm) {
  const [host, port] = vm.callers.split(':');
  const socket = net.connect({ host, port: Number(port), noDelay: true });
  let text = '';
  let isClosed = false;
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
  });
  // A caller that can't write any more drops its connection, with what it has not read.
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    isClosed = true;
  });
  const statuses = () =>
    [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));
  /** Resolves with the statuses of `count` answers, or of all until the connection was closed. */
  const answers = async (count: number): Promise<readonly number[]> => {
    const untilMs = performance.now() + ANSWER_TIMEOUT_MS;
    while (statuses().length < count && !isClosed && performance.now() < untilMs) {
      await clocks.sleep(POLL_MS);
    }
    return statuses();
  };
  return { socket, answers };
}

describe('requests to an entry VM', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-unread-'));
  const program = path.join(folder, 'bilberrystand.cjs');
  const opts = { vms: 2, servers: 6, crash: {}, durationMs: 0 };
  let fleet: RelayFleet;

  beforeAll(async () => {
    await bundle(program);
    fleet = await RelayFleet.start(program, { ...opts, times: { graceMs: GRACE_PERIOD_MS } });
    await fleet.waitUntilConnected();
  });

  afterAll(async () => {
    await fleet.stop();
    fs.rmSync(folder, { recursive: true, force: true });
  });

  /** Sends a request whose body comes in `BODY_PARTS`, and another one behind its answer. */
  async function sendInParts(route: string, name: string, part: string, at: number) {
    const [vm] = fleet.vms as [SoakVm];
    const { socket, answers } = connect(vm);
    socket.write(requestText(route, `${name}-${at}`, BODY_PARTS * part.length));
    await Array.from({ length: BODY_PARTS }).reduce<Promise<void>>(async (before) => {
      await before;
      await clocks.sleep((at * PART_PAUSE_MS) / CALLERS);
      if (!socket.destroyed) socket.write(part);
    }, Promise.resolve());
    await answers(1);
    if (!socket.destroyed) socket.write(`${requestText('unknown', `next-${name}-${at}`, 1)}x`);
    const statuses = await answers(2);
    socket.destroy();
    return statuses;
  }

  // The connection was once closed while the rest of the request was still to come.
  test('get the refusal and keep the connection, though it is due before the body has come', async () => {
    const results = Array.from({ length: CALLERS }, (_, at) =>
      sendInParts('unknown', 'refused', PART, at),
    );
    expect(await Promise.all(results)).toEqual(results.map(() => [404, 404]));
  });

  // The connection was closed at the bound, and the caller got a reset in place of the refusal.
  test('get the refusal of a body that is larger than a changed configuration allows', async () => {
    fleet.changeConfig({ limits: { max_body_bytes: LOW_BODY_BYTES } });
    await clocks.sleep(APPLIED_MS);
    const results = Array.from({ length: CALLERS }, (_, at) =>
      sendInParts('order', 'large', LARGE_PART, at),
    );
    const statuses = await Promise.all(results);
    fleet.changeConfig({});
    await clocks.sleep(APPLIED_MS);
    expect(statuses).toEqual(results.map(() => [413, 404]));
  });

  // The same.
  test('get the refusal of a body for which there is no memory', async () => {
    const [vm] = fleet.vms as [SoakVm];
    const held = Array.from({ length: HELD_BODIES }, (_, at) => {
      const { socket } = connect(vm);
      socket.write(requestText('lookup', `held-${at}`, HELD_BYTES + 1));
      socket.write('x'.repeat(HELD_BYTES));
      return socket;
    });
    await clocks.sleep(APPLIED_MS);
    const results = Array.from({ length: CALLERS }, (_, at) =>
      sendInParts('order', 'unkept', LARGE_PART, at),
    );
    const statuses = await Promise.all(results);
    held.forEach((socket) => socket.destroy());
    // Bodies for which there is memory are served.
    expect(statuses.map(([, second]) => second)).toEqual(results.map(() => 404));
    expect(new Set(statuses.map(([first]) => first))).toEqual(new Set([200, 503]));
  });

  // Each was once passed on at once, and lost when the answer before it closed the connection.
  test('are answered, or not run, if an answer before them closes the connection', async () => {
    const [vm] = fleet.vms as [SoakVm];
    const results = Array.from({ length: PIPELINED }, async (_, at) => {
      const { socket, answers } = connect(vm);
      const refused = `${requestText('unknown', `first-${at}`, 1)}x`;
      socket.write(`${refused}${requestText('order', `behind-${at}`, 1)}x`);
      const statuses = await answers(2);
      socket.destroy();
      const isAnswered = statuses.length === 2;
      return isAnswered || !fleet.observations.runs.has(`behind-${at}`);
    });
    expect(await Promise.all(results)).not.toContain(false);
  });

  // All of them were read and kept, as none had an answer that would have stopped the reading.
  test('take no more memory than others while many wait behind another one', async () => {
    const [vm] = fleet.vms as [SoakVm];
    fleet.engines.forEach((engine) => engine.slowDown(ANSWER_TIMEOUT_MS, SLOWDOWN * 5));
    const { socket, answers } = connect(vm);
    socket.write(`${requestText('lookup', 'many-first', 1)}x`);
    const behind = Array.from({ length: MANY_PIPELINED }, (_, at) =>
      requestText('unknown', `many-${at}`, 0),
    );
    socket.write(behind.join(''));
    await answers(1);
    const isReadOn = socket.writableLength === 0;
    socket.destroy();
    expect(isReadOn).toBe(false);
    expect(vm.unexpectedExits).toBe(0);
  });

  // The refusal of the bytes behind it was once sent in place of its answer, and ended the connection.
  const BEHIND: readonly (readonly [string, string])[] = [
    ['bytes that are no request', 'no request\r\n\r\n'],
    ['a request that has not come whole when the header timeout is lowered', 'POST /lookup/x HT'],
  ];
  BEHIND.forEach(([behind, bytes]) => {
    test(`are answered, though behind them there are ${behind}`, async () => {
      const [vm] = fleet.vms as [SoakVm];
      fleet.engines.forEach((engine) => engine.slowDown(ANSWER_TIMEOUT_MS, SLOWDOWN * 2));
      const connections = Array.from({ length: PIPELINED }, () => connect(vm));
      connections.forEach(({ socket }, at) => {
        socket.write(`${requestText('order', `ahead-${bytes.length}-${at}`, 1)}x${bytes}`);
      });
      fleet.changeConfig({ limits: { header_timeout_ms: HEADER_TIMEOUT_MS } });
      const results = await Promise.all(connections.map(({ answers }) => answers(1)));
      fleet.changeConfig({});
      connections.forEach(({ socket }) => socket.destroy());
      expect(results.map(([first]) => first)).toEqual(results.map(() => 200));
    });
  });

  test('are answered in a planned stop, though they wait behind another one', async () => {
    const vm = fleet.vms[1] as SoakVm;
    fleet.engines.forEach((engine) => engine.slowDown(ANSWER_TIMEOUT_MS, SLOWDOWN));
    const connections = Array.from({ length: PIPELINED }, () => connect(vm));
    connections.forEach(({ socket }, at) => {
      const first = `${requestText('lookup', `stop-first-${at}`, 1)}x`;
      socket.write(`${first}${requestText('order', `stop-behind-${at}`, 1)}x`);
    });
    await clocks.sleep(POLL_MS * SLOWDOWN);
    const exited = vm.terminate('SIGTERM');
    const results = await Promise.all(connections.map(({ answers }) => answers(2)));
    expect(results.map(({ length }) => length)).toEqual(results.map(() => 2));
    await exited;
  });
});
