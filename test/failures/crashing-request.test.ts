/**
 * A request that crashes every server that runs it, and that its caller retries on all entry VMs.
 * Later than `STABLE_WINDOW_MS` after the third crash, it may reach servers at most
 * `MAX_LATE_ARRIVALS` times.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { isKnownRed } from '../known-red.js';
import { MAX_LATE_ARRIVALS } from '../soak/engine.js';
import { RelayFleet, type RelayFleetOptions } from '../soak/relay-fleet.js';
import { StoreMode } from '../soak/store.js';
import type { SoakVm } from '../soak/vms.js';

const FLEET_OPTIONS: RelayFleetOptions = { vms: 4, servers: 10, crash: {}, durationMs: 13_000 };
/** Interval between two requests that crash no server. */
const HARMLESS_REQUEST_INTERVAL_MS = 40;

async function restart(vm: SoakVm, signal: NodeJS.Signals): Promise<void> {
  await vm.terminate(signal);
  vm.start();
  await vm.waitUntilReady();
}

interface Scenario {
  /** Completes the title of the test. */
  readonly name: string;
  readonly fleetOptions: Partial<RelayFleetOptions>;
  run(fleet: RelayFleet): Promise<unknown>;
}

const SCENARIOS: readonly Scenario[] = [
  {
    name: 'nothing else fails',
    fleetOptions: {},
    run: (fleet) => fleet.sendCrashing(),
  },
  {
    name: 'its servers are unresponsive before they crash',
    fleetOptions: { crash: { unresponsiveMs: 1_500 } },
    run: (fleet) => fleet.sendCrashing(),
  },
  {
    name: 'its servers restart under the same ids',
    fleetOptions: { crash: { keepsId: true, downMs: 1_000 } },
    run: (fleet) => fleet.sendCrashing(),
  },
  {
    name: 'its servers restart before the server list shows the crash',
    fleetOptions: { crash: { downMs: 300 } },
    run: (fleet) => fleet.sendCrashing(),
  },
  {
    name: 'its caller disconnects before the server crashes',
    fleetOptions: { crash: { delayMs: 600 } },
    run: (fleet) => fleet.sendCrashing({ disconnectAfterMs: 100 }),
  },
  {
    name: 'all entry VMs are killed before the server list shows the crash',
    fleetOptions: {},
    run: (fleet) =>
      Promise.all([
        fleet.sendCrashing(),
        fleet
          .waitAfterFirstCrash(2_500)
          .then(() => Promise.all(fleet.vms.map((vm) => restart(vm, 'SIGKILL')))),
      ]),
  },
  {
    name: 'all entry VMs are killed after the server list has shown the crash',
    fleetOptions: {},
    run: (fleet) =>
      Promise.all([
        fleet.sendCrashing(),
        fleet
          .waitAfterFirstCrash(6_000)
          .then(() => Promise.all(fleet.vms.map((vm) => restart(vm, 'SIGKILL')))),
      ]),
  },
  {
    name: 'the entry VMs are restarted one after the other',
    fleetOptions: { durationMs: 16_000 },
    run: (fleet) =>
      Promise.all([
        fleet.sendCrashing(),
        fleet
          .waitAfterFirstCrash(1_500)
          .then(() =>
            fleet.vms.reduce(
              (before, vm) => before.then(() => restart(vm, 'SIGTERM')),
              Promise.resolve(),
            ),
          ),
      ]),
  },
  {
    name: 'the platform store is unresponsive',
    fleetOptions: { durationMs: 18_000 },
    run: (fleet) =>
      Promise.all([
        fleet.sendCrashing(),
        fleet.waitAfterFirstCrash(0).then(async () => {
          Object.assign(fleet.store, { mode: StoreMode.silent });
          await clocks.sleep(10_000);
          Object.assign(fleet.store, { mode: StoreMode.normal });
        }),
      ]),
  },
  {
    name: 'no entry VM can become steward',
    fleetOptions: {},
    run: (fleet) => {
      fleet.store.rejectCallsFor('bilberrystand/steward');
      return Promise.all([
        fleet.sendCrashing(),
        fleet.waitAfterFirstCrash(4_000).then(() => restart(fleet.vms[0] as SoakVm, 'SIGKILL')),
      ]);
    },
  },
  {
    name: 'it is a resumable stream',
    fleetOptions: {},
    run: (fleet) => fleet.sendCrashing({ route: 'stream' }),
  },
  {
    name: 'it may run at most once',
    fleetOptions: {},
    run: (fleet) => fleet.sendCrashing({ route: 'order' }),
  },
];

describe.concurrent('a request that crashes its servers', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-crashing-'));
  const program = path.join(folder, 'bilberrystand.cjs');

  beforeAll(() => bundle(program));

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  SCENARIOS.forEach(({ name, fleetOptions: opts, run }) => {
    const title = `a crashing request is no longer forwarded when ${name}`;
    test.skipIf(isKnownRed(title))(title, async () => {
      const fleet = await RelayFleet.start(program, { ...FLEET_OPTIONS, ...opts });
      try {
        await run(fleet);
        expect(fleet.observations.crashes.length).toBeGreaterThanOrEqual(2);
        expect(fleet.lateArrivals()).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
      } finally {
        await fleet.stop();
      }
    });
  });

  const severalRequestsTitle = 'several crashing requests are no longer forwarded';
  test.skipIf(isKnownRed(severalRequestsTitle))(severalRequestsTitle, async () => {
    const names = ['one', 'two', 'three'];
    const fleet = await RelayFleet.start(program, { ...FLEET_OPTIONS, servers: 14 });
    try {
      await Promise.all(names.map((name) => fleet.sendCrashing({ crash: name, body: name })));
      expect(names.filter((name) => fleet.lateArrivals(name) > MAX_LATE_ARRIVALS)).toEqual([]);
    } finally {
      await fleet.stop();
    }
  });

  const otherRequestsTitle = 'other requests to the servers of a crashing request are still served';
  test.skipIf(isKnownRed(otherRequestsTitle))(otherRequestsTitle, async () => {
    const fleet = await RelayFleet.start(program, FLEET_OPTIONS);
    try {
      const [, statuses] = await Promise.all([
        fleet.sendCrashing(),
        fleet.sendRepeatedly(HARMLESS_REQUEST_INTERVAL_MS, { body: 'neighbour #' }),
      ]);
      const last = statuses.slice(-100);
      expect(last.filter((status) => status === 200).length).toBe(last.length);
      expect(fleet.lateArrivals()).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
    } finally {
      await fleet.stop();
    }
  });

  const sameContentTitle =
    'a harmless request with the same path, customer and body is still served';
  test.skipIf(isKnownRed(sameContentTitle))(sameContentTitle, async () => {
    const fleet = await RelayFleet.start(program, FLEET_OPTIONS);
    try {
      const [, statuses] = await Promise.all([
        fleet.sendCrashing({ body: 'the same' }),
        fleet.sendRepeatedly(HARMLESS_REQUEST_INTERVAL_MS, { body: 'the same' }),
      ]);
      const last = statuses.slice(-100);
      expect(last.filter((status) => status === 200).length).toBe(last.length);
      expect(fleet.lateArrivals()).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
    } finally {
      await fleet.stop();
    }
  });
});
