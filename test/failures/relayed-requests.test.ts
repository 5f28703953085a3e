/** Requests of a partitioned VM, which reach the servers over peers that are killed or stopped. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { Callers, type Outcome, RequestKind } from '../soak/callers.js';
import { MAX_LATE_ARRIVALS, STABLE_WINDOW_MS } from '../soak/engine.js';
import { RelayFleet } from '../soak/relay-fleet.js';
import { GateMode } from '../soak/server-gates.js';
import type { SoakVm } from '../soak/vms.js';

const KINDS = [RequestKind.lookup, RequestKind.order, RequestKind.stream];
const MODEL = 'm0';
const PAUSE_MS = 25;
/** Makes an order take about 150 ms, so that some are in progress at any time. */
const SLOWDOWN = 10;
const SLOWDOWN_MS = 60_000;
const GRACE_PERIOD_MS = 6_000;
/** Time for which requests are sent before and after a peer ends, ms. */
const BEFORE_MS = 500;
const AFTER_MS = 2_000;
/** Time for which a crashing request is repeated, ms, and the pause between two tries. */
const CRASHES_MS = 8_000;
const CRASH_PAUSE_MS = 250;

describe('the requests of a partitioned VM', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-relayed-'));
  const program = path.join(folder, 'bilberrystand.cjs');
  let fleet: RelayFleet;
  let callers: Callers;
  let partitioned: SoakVm;
  let peers: readonly SoakVm[];

  const sendFor = async (ms: number): Promise<readonly Outcome[]> => {
    const sent: Promise<Outcome>[] = [];
    const untilMs = performance.now() + ms;
    for (let at = 0; performance.now() < untilMs; at += 1) {
      const kind = KINDS[at % KINDS.length] as RequestKind;
      sent.push(callers.send(partitioned.callers, kind, MODEL));
      await clocks.sleep(PAUSE_MS);
    }
    return Promise.all(sent);
  };

  const statusesOf = (outcomes: readonly Outcome[]) => outcomes.map(({ status }) => status);

  beforeAll(() => bundle(program));

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  beforeEach(async () => {
    fleet = await RelayFleet.start(program, {
      vms: 3,
      servers: 3,
      models: [MODEL],
      crash: {},
      durationMs: 0,
      isGated: true,
      times: { graceMs: GRACE_PERIOD_MS },
    });
    callers = new Callers(fleet.observations, fleet.store);
    await fleet.waitUntilConnected();
    // The steward stays: its end would have effects of its own.
    const steward = fleet.vms.findIndex(({ name }) => name === fleet.store.leaseHolder());
    partitioned = fleet.vms[(steward + 1) % fleet.vms.length] as SoakVm;
    peers = [fleet.vms[(steward + 2) % fleet.vms.length] as SoakVm];
    await fleet.setGates(partitioned, GateMode.reset);
    await sendFor(STABLE_WINDOW_MS);
    fleet.engines.forEach((engine) => engine.slowDown(SLOWDOWN_MS, SLOWDOWN));
  });

  afterEach(async () => {
    await callers.close();
    await fleet.stop();
  });

  test('run at most once, and go on, when a peer is killed', async () => {
    const outcomes = sendFor(BEFORE_MS + AFTER_MS);
    await clocks.sleep(BEFORE_MS);
    await Promise.all(peers.map((vm) => vm.terminate('SIGKILL')));
    await outcomes;
    expect(callers.violations()).toEqual([]);
    expect(fleet.logOf(partitioned)).not.toContain('"event":"incident"');
    const later = statusesOf(await sendFor(BEFORE_MS));
    expect(later).toEqual(later.map(() => 200));
  });

  test('are all answered when a peer is stopped as planned', async () => {
    const outcomes = sendFor(BEFORE_MS + AFTER_MS);
    await clocks.sleep(BEFORE_MS);
    await Promise.all(peers.map((vm) => vm.terminate('SIGTERM')));
    const statuses = statusesOf(await outcomes);
    expect(statuses).toEqual(statuses.map(() => 200));
    expect(callers.violations()).toEqual([]);
  });

  test('are found to crash servers as those of other VMs are', async () => {
    const untilMs = performance.now() + CRASHES_MS;
    const crashing: Promise<unknown>[] = [];
    while (performance.now() < untilMs) {
      crashing.push(fleet.send(partitioned, { body: 'crashing', crash: 'it' }));
      await clocks.sleep(CRASH_PAUSE_MS);
    }
    await Promise.all(crashing);
    expect(fleet.observations.crashes.length).toBeGreaterThan(0);
    expect(fleet.lateArrivals()).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
  });

  test('reach the servers directly again after the partition', async () => {
    await fleet.setGates(partitioned, GateMode.open);
    await sendFor(STABLE_WINDOW_MS);
    const others = fleet.vms.filter((vm) => vm !== partitioned);
    await Promise.all(others.map((vm) => fleet.setGates(vm, GateMode.reset)));
    const statuses = statusesOf(await sendFor(BEFORE_MS));
    expect(statuses).toEqual(statuses.map(() => 200));
    expect(callers.violations()).toEqual([]);
  });
});
