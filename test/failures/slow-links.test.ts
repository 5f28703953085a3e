/**
 * Most VMs have slow links. The VM with a fast link must be the steward when it is there, the others must
 * serve when it is not, and requests must be served throughout.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { RelayFleet } from '../soak/relay-fleet.js';
import type { SoakVm } from '../soak/vms.js';

const OPTIONS = {
  vms: 4,
  servers: 2,
  models: ['m0'],
  links: [7, 7, 7, 140],
  crash: {},
  durationMs: 0,
};
const WAIT_MS = 15_000;
const REQUESTS = 40;
/** Requests for which the fleet may have no steward, of `REQUESTS`. */
const MAX_REFUSED = 2;

function eventsOf(fleet: RelayFleet, vm: SoakVm, event: string): readonly string[] {
  return fs
    .readFileSync(path.join(fleet.folder, `${vm.name}.log`), 'utf8')
    .split('\n')
    .filter((line) => line.includes(`"event":"${event}"`));
}

async function expectServed(fleet: RelayFleet, vms: readonly SoakVm[]): Promise<void> {
  const statuses = await Promise.all(
    Array.from({ length: REQUESTS }, async (_, at) => {
      await clocks.sleep(at * 25);
      return fleet.send(vms[at % vms.length] as SoakVm, { route: 'stream', model: 'm0' });
    }),
  );
  const refused = statuses.filter((status) => status !== 200);
  expect(refused.length, refused.join()).toBeLessThanOrEqual(MAX_REFUSED);
}

describe('a fleet of VMs with slow links and one with a fast link', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-links-'));
  const program = path.join(folder, 'bilberrystand.cjs');

  beforeAll(() => bundle(program));

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  test('has the fast one as steward, before it is killed and after it has returned', async () => {
    const fleet = await RelayFleet.start(program, OPTIONS);
    const holder = () => fleet.store.leaseHolder();
    const isHeldBy = (isFast: boolean) =>
      expect.poll(() => (holder() === 'vm-3') === isFast, { timeout: WAIT_MS }).toBe(true);
    try {
      await isHeldBy(true);
      await expectServed(fleet, fleet.vms);
      const fast = fleet.vms[3] as SoakVm;
      const slow = fleet.vms.slice(0, 3);
      await fast.terminate('SIGKILL');
      await isHeldBy(false);
      await clocks.sleep(1_000);
      await expectServed(fleet, slow);
      fast.start();
      await isHeldBy(true);
      await expectServed(fleet, fleet.vms);
      const handovers = slow.flatMap((vm) => eventsOf(fleet, vm, 'office-handed-over'));
      expect(handovers.filter((line) => line.includes('"reason":"link"')).length).toBeGreaterThan(
        0,
      );
    } finally {
      await fleet.stop();
    }
  });
});
