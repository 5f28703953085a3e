/**
 * Entry VMs that are partitioned from all backend servers, while their callers, the store and the
 * other VMs still reach them: they serve their callers over the other VMs.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { RelayFleet, type Statuses } from '../soak/relay-fleet.js';
import { GateMode } from '../soak/server-gates.js';
import type { SoakVm } from '../soak/vms.js';

/** The platform's `stable_window_ms`: time from which on partitioned VMs must serve their callers. */
const STABLE_WINDOW_MS = 3_000;
const VMS = 4;
const SERVERS = 4;
const ROUTES = ['lookup', 'order', 'stream'];
const CALLER_PAUSE_MS = 40;
/** Time for which first tries are counted, ms. */
const COUNTED_MS = 3_000;
/** Fraction of the other VMs' share of served first tries that partitioned VMs must reach. */
const MIN_SHARE = 2 / 3;

/** Sends requests of all routes to a VM until `untilMs`; resolves with the statuses of those from `fromMs`. */
async function callVm(
  fleet: RelayFleet,
  vm: SoakVm,
  fromMs: number,
  untilMs: number,
): Promise<Statuses> {
  const counted: Promise<number | null>[] = [];
  for (let at = 0; performance.now() < untilMs; at += 1) {
    const status = fleet.send(vm, { route: ROUTES[at % ROUTES.length] as string });
    if (performance.now() >= fromMs) counted.push(status);
    await clocks.sleep(CALLER_PAUSE_MS);
  }
  return Promise.all(counted);
}

function servedShare(statuses: Statuses): number {
  return statuses.filter((status) => status === 200).length / statuses.length;
}

describe('VMs that are partitioned from all servers', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-partition-'));
  const program = path.join(folder, 'bilberrystand.cjs');

  beforeAll(() => bundle(program));

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  const modes = [GateMode.hang, GateMode.reset, GateMode.refuseNew].map((mode) => ({
    mode,
    name: `serve first tries as the other VMs do while connections to servers ${mode}`,
  }));

  modes.forEach(({ mode, name }) => {
    test(name, async () => {
      const fleet = await RelayFleet.start(program, {
        vms: VMS,
        servers: SERVERS,
        crash: {},
        durationMs: 0,
        isGated: true,
      });
      try {
        await fleet.waitUntilConnected();
        const fromMs = performance.now() + STABLE_WINDOW_MS;
        const untilMs = fromMs + COUNTED_MS;
        const partitioned = fleet.vms.slice(0, VMS / 2);
        const calls = fleet.vms.map((vm) => callVm(fleet, vm, fromMs, untilMs));
        await Promise.all(partitioned.map((vm) => fleet.setGates(vm, mode)));
        const statuses = await Promise.all(calls);
        const cut = servedShare(statuses.slice(0, partitioned.length).flat());
        const others = servedShare(statuses.slice(partitioned.length).flat());
        expect(others).toBeGreaterThan(MIN_SHARE);
        expect(cut).toBeGreaterThanOrEqual(others * MIN_SHARE);
        expect(fleet.observations.violations).toEqual([]);
      } finally {
        await fleet.stop();
      }
    });
  });
});
