/**
 * A planned stop while callers keep sending over existing and new connections: no request that the
 * VM has accepted may lose its response.
 */
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { KEY } from '../soak/callers.js';
import { type FleetRequest, RelayFleet } from '../soak/relay-fleet.js';
import type { SoakVm } from '../soak/vms.js';

const CALLERS = 10;
/** Pause of a caller between two requests, so that at times none is in flight. */
const CALLER_PAUSE_MS = 40;
const GRACE_PERIOD_MS = 8_000;
/** Time limit for the process to exit: its grace period plus time for the exit itself. */
const EXIT_TIMEOUT_MS = 12_000;
/** Makes a request take about 2.4 s, so that one that comes late in the grace period outlasts it. */
const SLOWDOWN = 160;
const CALLER_OFFSET_MS = 240;

const SLOW_CALLERS = 6;
/** A large answer, within the bound of one response. */
const LARGE_BYTES = 6_000_000;
/** Time after which a slow caller takes its answer, ms: once the balancer has noticed the stop. */
const READ_PAUSE_MS = 4_000;

const KEPT_CONNECTIONS = 10;
const NEW_CONNECTIONS = 5;
/** Time from the signal to the standstill, ms: before the balancer has noticed the stop. */
const STANDSTILL_AFTER_MS = 1_800;
/** Duration of the standstill, ms: beyond the time at which idle connections are closed. */
const STANDSTILL_MS = 2_000;

/** Writes an order to a connection; resolves with whether an answer of any status has come. */
function writeOrder(socket: net.Socket, id: string): Promise<boolean> {
  const head = [
    'POST /order/x HTTP/1.1',
    'Host: soak.example',
    `Attempt-Id: ${id}`,
    `Authorization: Bearer ${KEY}`,
    'Deadline-Ms: 3000',
    'Content-Length: 1',
  ];
  return new Promise((resolve) => {
    socket.once('data', () => resolve(true));
    socket.once('error', () => resolve(false));
    socket.once('close', () => resolve(false));
    socket.write(`${head.join('\r\n')}\r\n\r\nx`);
  });
}

function connectTo(vm: SoakVm): net.Socket {
  const [host, port] = vm.callers.split(':');
  const socket = net.connect({ host, port: Number(port) });
  // A connection that is cut off counts as unanswered.
  socket.on('error', () => undefined);
  return socket;
}

/** What a caller has received of an answer. */
interface Received {
  /** Null if no head has come. */
  readonly status: number | null;
  /** Length of the body, bytes. */
  readonly bytes: number;
  /** The body of an answer that is not a success; empty for others. */
  readonly error: string;
}

/** Sends a lookup and takes its answer after a pause. */
function receiveSlowly(vm: SoakVm, id: string, pauseMs: number): Promise<Received> {
  const [host, port] = vm.callers.split(':');
  const headers = {
    host: 'soak.example',
    'attempt-id': id,
    authorization: `Bearer ${KEY}`,
    'deadline-ms': '3000',
  };
  return new Promise((resolve) => {
    let received: Received = { status: null, bytes: 0, error: '' };
    const agent = new http.Agent({ keepAlive: true });
    const req = http.request({ host, port: Number(port), path: '/lookup/x', headers, agent });
    req.on('error', () => resolve(received));
    req.on('response', (res) => {
      const { statusCode: status = 0 } = res;
      received = { ...received, status };
      res.on('data', (part: Buffer) => {
        const { bytes, error } = received;
        const text = status === 200 ? '' : part.toString();
        received = { status, bytes: bytes + part.length, error: error + text };
      });
      res.on('close', () => {
        agent.destroy();
        resolve(received);
      });
      res.pause();
      setTimeout(() => res.resume(), pauseMs);
    });
    req.end();
  });
}

/** Sends requests to a VM one at a time until `isOver`; returns how many were answered with 200. */
async function sendContinuously(
  fleet: RelayFleet,
  vm: SoakVm,
  isOver: () => boolean,
  opts: Partial<FleetRequest> = {},
): Promise<number> {
  let succeeded = 0;
  while (!isOver()) {
    const status = await fleet.send(vm, opts);
    if (status === 200) succeeded += 1;
    await clocks.sleep(CALLER_PAUSE_MS);
  }
  return succeeded;
}

describe('a planned stop under load', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-stop-'));
  const program = path.join(folder, 'bilberrystand.cjs');

  beforeAll(() => bundle(program));

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  test.concurrent.each([1, 2, 3])('cuts off no accepted request, VM %i', async (at) => {
    const opts = { vms: 2, servers: 6, crash: {}, durationMs: 0 };
    const fleet = await RelayFleet.start(program, { ...opts, times: { graceMs: GRACE_PERIOD_MS } });
    try {
      const vm = fleet.vms[at % fleet.vms.length] as SoakVm;
      let isOver = false;
      const callers = Array.from({ length: CALLERS }, () =>
        sendContinuously(fleet, vm, () => isOver),
      );
      await clocks.sleep(1_000);
      const exited = vm.terminate('SIGTERM').then(() => true);
      const exitedInTime = await Promise.race([
        exited,
        clocks.sleep(EXIT_TIMEOUT_MS).then(() => false),
      ]);
      isOver = true;
      const successCounts = await Promise.all(callers);
      expect(exitedInTime).toBe(true);
      expect(successCounts.every((count) => count > 0)).toBe(true);
      expect(fleet.executedWithoutResponse()).toEqual([]);
    } finally {
      await fleet.stop();
    }
  });

  // The connection of an answer that was still being written once counted as idle.
  test('lets slow callers take answers that were complete before', async () => {
    const opts = { vms: 2, servers: 2, crash: {}, durationMs: 0 };
    const fleet = await RelayFleet.start(program, { ...opts, times: { graceMs: GRACE_PERIOD_MS } });
    try {
      const [vm] = fleet.vms as [SoakVm];
      fleet.engines.forEach((engine) =>
        engine.setFault((socket, id) => {
          const head = ['HTTP/1.1 200 OK', `Attempt-Id: ${id}`, 'Response-Seal: seal'];
          socket.write(`${head.join('\r\n')}\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n`);
          socket.write(Buffer.alloc(LARGE_BYTES, 'x'));
        }),
      );
      await clocks.sleep(1_000);
      const received = Array.from({ length: SLOW_CALLERS }, async (_, at) => {
        // The last one is sent on over a connection that has served another one.
        if (at === SLOW_CALLERS - 1) await clocks.sleep(CALLER_OFFSET_MS / 2);
        return receiveSlowly(vm, `slow-${at}`, READ_PAUSE_MS);
      });
      await clocks.sleep(CALLER_OFFSET_MS);
      await Promise.all([vm.terminate('SIGTERM'), ...received]);
      expect(await Promise.all(received)).toEqual(
        received.map(() => ({ status: 200, bytes: LARGE_BYTES, error: '' })),
      );
    } finally {
      await fleet.stop();
    }
  });

  // A repeated SIGTERM once ended the process at once, with all requests in progress.
  test('is not cut short by further stop signals', async () => {
    const opts = { vms: 2, servers: 6, crash: {}, durationMs: 0 };
    const fleet = await RelayFleet.start(program, { ...opts, times: { graceMs: GRACE_PERIOD_MS } });
    try {
      const [vm] = fleet.vms as [SoakVm];
      fleet.engines.forEach((engine) => engine.slowDown(60_000, SLOWDOWN / 2));
      // The orders take about 1.2 s, longer than the signals come, and less than their callers wait.
      const orders = Array.from({ length: CALLERS }, () => fleet.send(vm, { route: 'order' }));
      await clocks.sleep(CALLER_OFFSET_MS);
      const exited = vm.terminate('SIGTERM');
      for (let at = 0; at < 3; at += 1) {
        await clocks.sleep(CALLER_OFFSET_MS);
        vm.signal('SIGTERM');
      }
      expect(await Promise.all(orders)).not.toContain(null);
      await exited;
      expect(fleet.executedWithoutResponse()).toEqual([]);
    } finally {
      await fleet.stop();
    }
  });

  test('leaves no request that may run only once without an answer, though servers are slow', async () => {
    const opts = { vms: 2, servers: 6, crash: {}, durationMs: 0 };
    const fleet = await RelayFleet.start(program, { ...opts, times: { graceMs: GRACE_PERIOD_MS } });
    try {
      const [vm] = fleet.vms as [SoakVm];
      fleet.engines.forEach((engine) => engine.slowDown(60_000, SLOWDOWN));
      let isOver = false;
      const callers = Array.from({ length: CALLERS }, async (_, at) => {
        await clocks.sleep(at * CALLER_OFFSET_MS);
        return sendContinuously(fleet, vm, () => isOver, { route: 'order' });
      });
      await clocks.sleep(CALLERS * CALLER_OFFSET_MS);
      await vm.terminate('SIGTERM');
      isOver = true;
      await Promise.all(callers);
      expect(fleet.executedWithoutResponse()).toEqual([]);
    } finally {
      await fleet.stop();
    }
  });

  // Connections once counted as idle while a whole request waited on them to be read.
  test('answers requests that came while the VM stood still', async () => {
    const opts = { vms: 2, servers: 6, crash: {}, durationMs: 0 };
    const fleet = await RelayFleet.start(program, { ...opts, times: { graceMs: GRACE_PERIOD_MS } });
    try {
      const [vm] = fleet.vms as [SoakVm];
      const kept = Array.from({ length: KEPT_CONNECTIONS }, () => connectTo(vm));
      const before = await Promise.all(
        kept.map((socket, at) => writeOrder(socket, `before-${at}`)),
      );
      const exited = vm.terminate('SIGTERM');
      await clocks.sleep(STANDSTILL_AFTER_MS);
      vm.signal('SIGSTOP');
      const added = Array.from({ length: NEW_CONNECTIONS }, () => connectTo(vm));
      const sockets = [...kept, ...added];
      const answered = sockets.map((socket, at) => writeOrder(socket, `during-${at}`));
      await clocks.sleep(STANDSTILL_MS);
      vm.signal('SIGCONT');
      expect(before).not.toContain(false);
      expect(await Promise.all(answered)).not.toContain(false);
      sockets.forEach((socket) => socket.destroy());
      await exited;
    } finally {
      await fleet.stop();
    }
  });
});
