/**
 * A data centre is evacuated, and the steward is killed just after the store has acknowledged it. No
 * request may reach the servers there once the bound is over, nor from a VM that starts meanwhile.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { RelayFleet } from '../soak/relay-fleet.js';

const EVACUATE_MS = 5_000;
/** Time for which the evacuation lasts, ms. */
const EVACUATED_MS = 9_000;
/** Time in which VMs learn that the evacuation was taken back, ms. */
const RETURN_MS = 3_000;
const SEND_PAUSE_MS = 15;
/** Time in which the watch calls that VMs began before they had a steward have ended, ms. */
const SETTLE_MS = 3_500;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-evacuations-'));
const program = path.join(folder, 'bilberrystand.cjs');

beforeAll(() => bundle(program));

afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

test('an evacuation is in force in time although the steward is killed', async () => {
  const fleet = await RelayFleet.start(program, {
    vms: 4,
    servers: 4,
    crash: {},
    // The model of the servers in data centre a must be loaded in the other one.
    models: ['m1', 'm2'],
    durationMs: 0,
    times: { evacuateMs: EVACUATE_MS },
  });
  try {
    await fleet.waitUntilConnected();
    const evacuated = fleet.engines.filter((_, at) => at % 2 === 0);
    const arrivals = (fromMs: number, toMs: number) =>
      evacuated
        .flatMap(({ received }) => received)
        .filter((atMs) => atMs > fromMs && atMs < toMs)
        .map((atMs) => Math.round(atMs - fromMs));
    const startedAtMs = performance.now();
    const totalMs = SETTLE_MS + EVACUATED_MS + RETURN_MS;
    const statuses = fleet.sendFor(totalMs, SEND_PAUSE_MS, { model: 'm1' });
    await clocks.sleep(SETTLE_MS);
    const acknowledgedAtMs = performance.now();
    expect(arrivals(startedAtMs, acknowledgedAtMs).length).toBeGreaterThan(0);
    fleet.store.put('evacuations', 'a', {});
    const steward = fleet.vms.find(({ name }) => name === fleet.store.leaseHolder());
    await steward?.terminate('SIGKILL');
    await clocks.sleep(300);
    steward?.start();
    await clocks.sleep(EVACUATED_MS - 300);
    const removedAtMs = performance.now();
    fleet.store.remove('evacuations', 'a');
    await clocks.sleep(RETURN_MS);
    const last = Math.max(0, ...arrivals(acknowledgedAtMs, removedAtMs));
    process.stderr.write(`last arrival ${last} ms after the evacuation\n`);
    expect(last).toBeLessThan(EVACUATE_MS);
    expect(arrivals(removedAtMs, Infinity).length).toBeGreaterThan(0);
    const late = (await statuses).slice(-Math.floor(RETURN_MS / SEND_PAUSE_MS / 2));
    expect(late.filter((status) => status !== 200)).toEqual([]);
    expect(fleet.observations.violations).toEqual([]);
    const logs = fleet.vms.map((vm) => fleet.logOf(vm));
    logs.forEach((text) => expect(text).toContain('"data-centre-evacuated"'));
  } finally {
    await fleet.stop();
  }
}, 60_000);
