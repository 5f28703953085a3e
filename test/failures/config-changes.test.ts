/** Requests of all kinds beside changes of the configuration in quick succession, over real processes. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { CUSTOMER, KEY } from '../soak/callers.js';
import { RelayFleet, type Statuses } from '../soak/relay-fleet.js';

const SEEDS = [1, 2, 3];
const CHANGES = 24;
const CHANGE_INTERVAL_MS = 120;
const SEND_INTERVAL_MS = 25;
/** Requests take up to some 600 ms, so that they are under way during several changes. */
const SLOWDOWN = 6;
const SLOW_MS = 60_000;
/** Lower than that of the routes, and longer than requests wait and take together. */
const TIMEOUT_MS = 2_500;
const ROUTES = ['lookup', 'order', 'stream'];

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-changes-'));
const program = path.join(folder, 'bilberrystand.cjs');

/** Parts of a configuration in which one kind of thing differs from `config`. */
function changesOf({ routes, services }: RelayFleet['config']): readonly Record<string, unknown>[] {
  const customer = { name: CUSTOMER, api_keys: [KEY] };
  return [
    {},
    // A route is gone, or goes to a service that has no servers.
    ...routes.map(({ name }) => ({ routes: routes.filter((route) => route.name !== name) })),
    {
      routes: routes.map((route) => ({ ...route, service: 'other' })),
      services: [...services, { name: 'other', max_connections: 8 }],
    },
    { routes: routes.map((route) => ({ ...route, path_prefix: `${route.path_prefix}x/` })) },
    { routes: routes.map((route) => ({ ...route, timeout_ms: TIMEOUT_MS })) },
    { routes: routes.map((route) => ({ ...route, attempts: 1, resumable: false })) },
    // The service is gone, or differs.
    { services: [] },
    { services: services.map((service) => ({ ...service, max_connections: 1 })) },
    { services: services.map(({ name }) => ({ name, max_connections: 8 })) },
    // The customer has a low rate, another key, or is gone.
    { tenants: [{ ...customer, rate_per_s: 1, burst_size: 1 }] },
    { tenants: [{ ...customer, api_keys: ['another'] }] },
    { tenants: [] },
    { limits: { idle_timeout_ms: 100, header_timeout_ms: 200 } },
    { limits: { max_header_bytes: 1_024, max_body_bytes: 1 } },
  ];
}

describe('requests beside changes of the configuration', () => {
  let fleet: RelayFleet;

  beforeAll(() => bundle(program));

  afterEach(() => fleet.stop());

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  test.each(SEEDS)('are answered or refused, seed %i', async (seed) => {
    const random = createRandom(seed);
    fleet = await RelayFleet.start(program, {
      vms: 2,
      servers: 4,
      crash: {},
      models: ['m0'],
      durationMs: 1,
    });
    await fleet.waitUntilConnected();
    fleet.engines.forEach((engine) => engine.slowDown(SLOW_MS, SLOWDOWN));
    const durationMs = CHANGES * CHANGE_INTERVAL_MS;
    const answers = ROUTES.map((route) =>
      fleet.sendFor(durationMs, SEND_INTERVAL_MS * ROUTES.length, {
        route,
        model: 'm0',
        needsWhole: true,
      }),
    );
    const changes = changesOf(fleet.config);
    for (let at = 0; at < CHANGES; at += 1) {
      fleet.changeConfig(changes[random.int(0, changes.length - 1)] ?? {});
      await clocks.sleep(CHANGE_INTERVAL_MS);
    }
    fleet.changeConfig({});
    const statuses: Statuses = (await Promise.all(answers)).flat();
    expect(statuses).not.toContain(null);
    expect(statuses).toContain(200);
  });
});
