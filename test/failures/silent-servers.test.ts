/** Requests whose servers fall silent for about a second and go on, over real processes. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { RelayFleet } from '../soak/relay-fleet.js';

const REQUESTS = 12;
/** Streams take about a second, and other requests half a second. */
const STREAM_SLOWDOWN = 10;
const REQUEST_SLOWDOWN = 30;
const SLOW_MS = 60_000;
/** Longer than any idle time after which an attempt is given up, and shorter than callers wait. */
const SILENCE_MS = 1_200;
/** Time in which a stream sends its first events. */
const FIRST_EVENTS_MS = 450;
const POLL_MS = 10;
const BEGIN_TIMEOUT_MS = 5_000;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-silent-'));
const program = path.join(folder, 'bilberrystand.cjs');

async function startFleet(models: readonly string[], slowdown: number): Promise<RelayFleet> {
  const opts = { vms: 2, servers: 4, crash: {}, models, versions: ['v1'], durationMs: 1 };
  const fleet = await RelayFleet.start(program, opts);
  await fleet.waitUntilConnected();
  fleet.engines.forEach((engine) => engine.slowDown(SLOW_MS, slowdown));
  return fleet;
}

/** Resolves once servers run all requests. */
async function waitUntilRunning({ observations }: RelayFleet): Promise<void> {
  const untilMs = performance.now() + BEGIN_TIMEOUT_MS;
  while (observations.runs.size < REQUESTS && performance.now() < untilMs) {
    await clocks.sleep(POLL_MS);
  }
}

describe('requests whose servers fall silent and go on', () => {
  let fleet: RelayFleet;

  beforeAll(() => bundle(program));

  afterEach(() => fleet.stop());

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  function sendAll(route: string, model: string | null) {
    return Promise.all(
      Array.from({ length: REQUESTS }, (_, at) =>
        fleet.send(fleet.vms[at % fleet.vms.length] as RelayFleet['vms'][number], {
          route,
          model,
          needsWhole: true,
        }),
      ),
    );
  }

  // Each was once given up for another server, and cut when that one could not be reached.
  test('streams are not cut while no other server takes them', async () => {
    fleet = await startFleet(['m0'], STREAM_SLOWDOWN);
    const statuses = sendAll('stream', 'm0');
    await waitUntilRunning(fleet);
    await clocks.sleep(FIRST_EVENTS_MS);
    fleet.engines.forEach((engine) => {
      engine.fallSilent(SILENCE_MS);
      engine.refuseConnections(SILENCE_MS);
    });
    expect(await statuses).toEqual(Array.from({ length: REQUESTS }, () => 200));
  });

  // They were once answered with 502, although their servers answered them.
  test('requests that may be repeated get the answers of their servers', async () => {
    fleet = await startFleet([], REQUEST_SLOWDOWN);
    const statuses = sendAll('lookup', null);
    await waitUntilRunning(fleet);
    fleet.engines.forEach((engine) => {
      engine.fallSilent(SILENCE_MS);
      engine.refuseConnections(SILENCE_MS);
    });
    expect(await statuses).toEqual(Array.from({ length: REQUESTS }, () => 200));
  });
});
