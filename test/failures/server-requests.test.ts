/** What servers ask of the entry VMs in their responses, over real processes. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { RelayFleet } from '../soak/relay-fleet.js';

const VMS = 2;
/** Time in which requests that were sent before a statement was heard still arrive, ms. */
const IN_FLIGHT_MS = 500;
const OBSERVED_MS = 2_000;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-asked-'));
const program = path.join(folder, 'bilberrystand.cjs');
let fleet: RelayFleet | null = null;

async function startFleet(): Promise<RelayFleet> {
  const spec = { vms: VMS, servers: 3, crash: {}, durationMs: IN_FLIGHT_MS + OBSERVED_MS };
  fleet = await RelayFleet.start(program, spec);
  return fleet;
}

beforeAll(() => bundle(program));

afterEach(async () => {
  await fleet?.stop();
  fleet = null;
});

afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

describe('a server', () => {
  test('that states that it leaves gets no more requests, although its entry does not tell', async () => {
    const { engines, sendRepeatedly } = await startFleet();
    const [leaving] = engines;
    leaving?.stateLeaving();
    const statuses = sendRepeatedly.call(fleet, 10, { body: '#' });
    await clocks.sleep(IN_FLIGHT_MS);
    const before = leaving?.arrivals;
    expect(before).toBeGreaterThan(0);
    expect(new Set(await statuses)).toEqual(new Set([200]));
    expect(leaving?.arrivals).toBe(before);
  });

  test('that asks for a pause gets no request from a VM until its end, and then some again', async () => {
    const { engines, sendRepeatedly } = await startFleet();
    const [pausing] = engines;
    pausing?.turnAway(IN_FLIGHT_MS + OBSERVED_MS / 2);
    const statuses = sendRepeatedly.call(fleet, 10, { body: '#' });
    await clocks.sleep(IN_FLIGHT_MS);
    const before = pausing?.arrivals ?? 0;
    await clocks.sleep(OBSERVED_MS / 2 - 100);
    expect(before).toBeGreaterThan(0);
    expect((pausing?.arrivals ?? 0) - before).toBe(0);
    // A VM that was just started may not have a retry yet for the request that was turned away.
    expect((await statuses).filter((status) => status !== 200).length).toBeLessThanOrEqual(VMS);
    expect(pausing?.arrivals).toBeGreaterThan(before);
  });
});
