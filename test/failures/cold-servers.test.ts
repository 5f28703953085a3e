/**
 * A server joins under load while it is cold, and the steward is killed. In any second and over all
 * VMs, it must get no more requests than the bound allows.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { RelayFleet } from '../soak/relay-fleet.js';

const COLD = { cold_start_s: 7, cold_per_s: 6 };
/** The bound of the platform: 1.5 times the rate, and 5 requests more. */
const MAX_IN_SECOND = COLD.cold_per_s * 1.5 + 5;
const SEND_PAUSE_MS = 10;
/** Time from the join of the server to the loss of the steward, ms. */
const BEFORE_LOSS_MS = 2_000;
const COLD_MS = COLD.cold_start_s * 1_000;
/** Time after which the server is no longer cold on any VM, ms. */
const WARM_MS = 2_500;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-cold-'));
const program = path.join(folder, 'bilberrystand.cjs');

beforeAll(() => bundle(program));

afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

function maxInSecond(times: readonly number[]): number {
  const counts = times.map(
    (atMs) => times.filter((other) => other > atMs - 1_000 && other <= atMs).length,
  );
  return Math.max(0, ...counts);
}

test('a cold server is not overrun although the steward is killed', async () => {
  const fleet = await RelayFleet.start(program, {
    vms: 4,
    servers: 1,
    slots: 1,
    crash: {},
    durationMs: 0,
  });
  try {
    await fleet.waitUntilConnected();
    const [service] = fleet.config.services;
    fleet.changeConfig({ services: [{ ...service, ...COLD }] });
    await clocks.sleep(COLD_MS + WARM_MS);
    const statuses = fleet.sendFor(COLD_MS + WARM_MS, SEND_PAUSE_MS, {});
    await clocks.sleep(300);
    const joinedAtMs = performance.now();
    await fleet.joinServer('v1');
    await clocks.sleep(BEFORE_LOSS_MS);
    const steward = fleet.vms.find(({ name }) => name === fleet.store.leaseHolder());
    await steward?.terminate('SIGKILL');
    await statuses;
    const received = fleet.engines.at(-1)?.received ?? [];
    const whileCold = received.filter((atMs) => atMs < joinedAtMs + COLD_MS);
    process.stderr.write(`${whileCold.length} requests, ${maxInSecond(whileCold)} in a second\n`);
    expect(maxInSecond(whileCold)).toBeLessThanOrEqual(MAX_IN_SECOND);
    expect(whileCold.length).toBeGreaterThan(0);
    expect(maxInSecond(received)).toBeGreaterThan(MAX_IN_SECOND);
  } finally {
    await fleet.stop();
  }
}, 60_000);
