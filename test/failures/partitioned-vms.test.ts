/** Some VMs are partitioned from all servers; callers, the store and other VMs reach them. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { isKnownRed } from '../known-red.js';
import { STABLE_WINDOW_MS } from '../soak/engine.js';
import { RelayFleet, type Statuses } from '../soak/relay-fleet.js';
import { GateMode } from '../soak/server-gates.js';
import type { SoakVm } from '../soak/vms.js';

const MODELS = ['m0', 'm1'];
const OPTIONS = {
  vms: 4,
  servers: 4,
  models: MODELS,
  crash: {},
  durationMs: 0,
  isGated: true,
} as const;
/** Time for which requests are sent, ms, and the pause between two of them. */
const SEND_MS = 2_000;
const PAUSE_MS = 40;
/** Streams at each of the partitioned VMs; slowed down, they take about a second. */
const STREAMS = 20;
const SLOWDOWN = 10;
const SLOW_MS = 60_000;
const POLL_MS = 10;
/** Part of the requests at VMs without a partition that the rule RECOVER compares the others to. */
const MIN_SERVED = 2 / 3;

function servedOf(statuses: Statuses): number {
  return statuses.filter((status) => status === 200).length / statuses.length;
}

function stewardOf(fleet: RelayFleet): SoakVm {
  const steward = fleet.vms.find(({ name }) => name === fleet.store.leaseHolder());
  if (steward === undefined) throw new Error('no VM is steward');
  return steward;
}

/** Sends requests for models to the VMs in turn, for `SEND_MS`. */
async function sendTo(fleet: RelayFleet, vms: readonly SoakVm[]): Promise<Statuses> {
  const statuses: Promise<number | null>[] = [];
  for (let at = 0; at < SEND_MS / PAUSE_MS; at += 1) {
    const model = MODELS[at % MODELS.length] ?? null;
    const vm = vms[at % vms.length] as SoakVm;
    statuses.push(fleet.send(vm, { route: 'lookup', model, body: `sound ${at}` }));
    await clocks.sleep(PAUSE_MS);
  }
  return Promise.all(statuses);
}

function eventsOf(fleet: RelayFleet, vm: SoakVm, event: string): readonly string[] {
  return fleet
    .logOf(vm)
    .split('\n')
    .filter((line) => line.includes(`"event":"${event}"`));
}

describe('a partition between VMs and all servers', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-partition-'));
  const program = path.join(folder, 'bilberrystand.cjs');

  const run = async (check: (fleet: RelayFleet) => Promise<void>) => {
    const fleet = await RelayFleet.start(program, OPTIONS);
    try {
      await fleet.waitUntilConnected();
      expect(servedOf(await sendTo(fleet, fleet.vms))).toBe(1);
      await check(fleet);
    } finally {
      await fleet.stop();
    }
  };

  beforeAll(() => bundle(program));

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  [GateMode.hang, GateMode.reset].forEach((mode) => {
    const served = `of the steward does not take models from VMs that reach the servers, ${mode}`;
    test.skipIf(isKnownRed(served))(served, () =>
      run(async (fleet) => {
        const steward = stewardOf(fleet);
        const others = fleet.vms.filter((vm) => vm !== steward);
        await fleet.setGates(steward, mode);
        await clocks.sleep(STABLE_WINDOW_MS);
        expect(servedOf(await sendTo(fleet, others))).toBeGreaterThanOrEqual(MIN_SERVED);
      }),
    );

    const handover = `of the steward passes its office once to a VM that reaches the servers, ${mode}`;
    test.skipIf(isKnownRed(handover))(handover, () =>
      run(async (fleet) => {
        const steward = stewardOf(fleet);
        const [second] = fleet.vms.filter((vm) => vm !== steward);
        if (second === undefined) throw new Error('only one VM');
        await Promise.all([steward, second].map((vm) => fleet.setGates(vm, mode)));
        await clocks.sleep(STABLE_WINDOW_MS);
        const successor = stewardOf(fleet);
        expect([steward.name, second.name]).not.toContain(successor.name);
        await Promise.all([steward, second].map((vm) => fleet.setGates(vm, GateMode.open)));
        await clocks.sleep(STABLE_WINDOW_MS);
        expect(stewardOf(fleet).name).toBe(successor.name);
        const acquired = fleet.vms.flatMap((vm) => eventsOf(fleet, vm, 'lease-acquired'));
        expect(acquired).toHaveLength(2);
      }),
    );

    const incidents = `is not taken for requests that crash servers, ${mode}`;
    test.skipIf(isKnownRed(incidents))(incidents, () =>
      run(async (fleet) => {
        const steward = stewardOf(fleet);
        const cut = fleet.vms.filter((vm) => vm !== steward).slice(0, 2);
        fleet.engines.forEach((engine) => engine.slowDown(SLOW_MS, SLOWDOWN));
        const runsBefore = fleet.observations.runs.size;
        const sent = Promise.all(
          cut.flatMap((vm) =>
            Array.from({ length: STREAMS }, (_, at) =>
              fleet.send(vm, { route: 'stream', model: 'm0', body: `stream ${at}` }),
            ),
          ),
        );
        while (fleet.observations.runs.size < runsBefore + STREAMS) await clocks.sleep(POLL_MS);
        await Promise.all(cut.map((vm) => fleet.setGates(vm, mode)));
        await sendTo(fleet, cut);
        await sent;
        const broken = cut.flatMap((vm) => eventsOf(fleet, vm, 'broken'));
        expect(broken.length).toBeGreaterThan(0);
        expect(fleet.vms.flatMap((vm) => eventsOf(fleet, vm, 'incident'))).toEqual([]);
      }),
    );
  });
});
