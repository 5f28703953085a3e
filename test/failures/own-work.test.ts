/** An entry VM with many streams of large events, over real processes: it serves others meanwhile. */
import { fork, type ChildProcess } from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { KEY } from '../soak/callers.js';
import { MODEL_MB } from '../soak/engine.js';
import type { EntryChange, LargeEventsOrder } from '../soak/large-events.js';
import { RelayFleet } from '../soak/relay-fleet.js';
import type { SoakVm } from '../soak/vms.js';
import { isKnownRed } from '../known-red.js';

const SOUND_MODEL = 'm0';
const LARGE_MODEL = 'm1';
/** With their connections to the server, a quarter of the descriptors of a VM. */
const STREAMS = 500;
const SLOTS = 512;
const DURATION_MS = 5_000;
const ORDER_DEADLINE_MS = 1_000;
/** The platform's rule: a request is answered this long after its deadline at the latest. */
const LATE_ANSWER_MS = 500;
/** Orders that the sound server, which has many free slots, must have run. */
const MIN_SERVED_FRACTION = 0.9;
/** The balancer asks this often for readiness, and waits as long for the answer. */
const READINESS_TIMEOUT_MS = 1_000;
const ORDER_PAUSE_MS = 50;
const READINESS_PAUSE_MS = 100;
const POLL_MS = 20;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-own-work-'));
const program = path.join(folder, 'bilberrystand.cjs');
let fleet: RelayFleet | null = null;
let helper: ChildProcess | null = null;
const agent = new undici.Agent({ connections: 64, pipelining: 1 });

/** Starts the process with the server of large events; resolves once its entry is in the store. */
async function startHelper({ store }: RelayFleet): Promise<ChildProcess> {
  const child = fork('test/soak/large-events.ts', { execArgv: ['--import', 'tsx'] });
  const registered = new Promise<void>((resolve) => {
    child.on('message', ({ kind, name, spec }: EntryChange) => {
      if (spec === null) store.remove(kind, name);
      else store.put(kind, name, spec);
      resolve();
    });
  });
  const spec = {
    name: 'large',
    service: 'desk',
    dataCentre: 'a',
    slots: SLOTS,
    memoryMb: MODEL_MB,
    models: [LARGE_MODEL],
    registration: { heartbeatMs: 1_200, expiryMs: 3_600 },
  };
  child.send({ type: 'start-server', spec } satisfies LargeEventsOrder);
  await registered;
  return child;
}

interface Timed {
  readonly status: number | null;
  readonly tookMs: number;
}

/** Sends an order of the sound model; the deadline is the VM's to keep. */
async function sendOrder(vm: SoakVm, at: number): Promise<Timed> {
  const startMs = performance.now();
  const headers = {
    host: 'soak.example',
    'attempt-id': `order-${at}`,
    authorization: `Bearer ${KEY}`,
    'deadline-ms': String(ORDER_DEADLINE_MS),
    model: SOUND_MODEL,
    'token-count': '20,20',
  };
  try {
    const { statusCode, body } = await undici.request(`http://${vm.callers}/order/x`, {
      dispatcher: agent,
      method: 'POST',
      headers,
      body: `${at}`,
    });
    await body.dump();
    return { status: statusCode, tookMs: performance.now() - startMs };
  } catch {
    return { status: null, tookMs: performance.now() - startMs };
  }
}

async function askReadiness(vm: SoakVm): Promise<Timed> {
  const startMs = performance.now();
  const isReady = await vm.isReady();
  return { status: isReady ? 200 : null, tookMs: performance.now() - startMs };
}

/** Calls `send` every `pauseMs` until `untilMs`, without waiting for the results. */
async function repeat(
  untilMs: number,
  pauseMs: number,
  send: (at: number) => Promise<Timed>,
): Promise<readonly Timed[]> {
  const results: Promise<Timed>[] = [];
  while (performance.now() < untilMs) {
    results.push(send(results.length));
    await clocks.sleep(pauseMs);
  }
  return Promise.all(results);
}

const longest = (results: readonly Timed[]) => Math.max(...results.map(({ tookMs }) => tookMs));

beforeAll(() => bundle(program));

afterEach(async () => {
  helper?.kill('SIGKILL');
  helper = null;
  await fleet?.stop();
  fleet = null;
});

afterAll(async () => {
  await agent.destroy();
  fs.rmSync(folder, { recursive: true, force: true });
});

// The VM once stood still for seconds: the balancer took it out, and orders were answered late.
describe('many streams of large events whose callers take none', () => {
  const name = 'delay no readiness check and no order beyond its deadline';
  test.skipIf(isKnownRed(name))(name, async () => {
    fleet = await RelayFleet.start(program, {
      vms: 1,
      servers: 1,
      crash: {},
      models: [SOUND_MODEL],
      slots: SLOTS,
      durationMs: DURATION_MS,
    });
    const [vm] = fleet.vms as [SoakVm];
    await fleet.waitUntilConnected();
    helper = await startHelper(fleet);
    while (!fleet.logOf(vm).includes('"large-1"')) await clocks.sleep(POLL_MS);
    const untilMs = performance.now() + DURATION_MS;
    const asked = [
      repeat(untilMs, ORDER_PAUSE_MS, (at) => sendOrder(vm, at)),
      repeat(untilMs, READINESS_PAUSE_MS, () => askReadiness(vm)),
    ] as const;
    helper.send({
      type: 'start-callers',
      address: vm.callers,
      model: LARGE_MODEL,
      streams: STREAMS,
    } satisfies LargeEventsOrder);
    const [orders, checks] = await Promise.all(asked);
    expect(vm.unexpectedExits).toBe(0);
    expect(orders.filter(({ status }) => status === null)).toEqual([]);
    expect(new Set(checks.map(({ status }) => status))).toEqual(new Set([200]));
    expect(longest(orders)).toBeLessThan(ORDER_DEADLINE_MS + LATE_ANSWER_MS);
    expect(longest(checks)).toBeLessThan(READINESS_TIMEOUT_MS);
    const served = orders.filter(({ status }) => status === 200);
    expect(served.length / orders.length).toBeGreaterThan(MIN_SERVED_FRACTION);
  });
});
