/**
 * Backend servers say that they are brittle: one that turns too many requests away in a second falls
 * over. They may not be filled beyond their room by all VMs at once.
 *
 * BRITTLE_SEEDS=N runs N more drawn cases; BRITTLE=1 prints the figures of each case.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { isKnownRed } from '../known-red.js';
import { STABLE_WINDOW_MS } from '../soak/engine.js';
import { RelayFleet, type Statuses } from '../soak/relay-fleet.js';
import type { SoakVm } from '../soak/vms.js';

const SERVERS = 8;
/** Time that a request runs: 20 times the stand-in's 15 ms, so that 8 servers end 213 a second. */
const SLOWDOWN = 20;
const CASE_MS = 60_000;
const DOWN_MS = 2_000;
const OK = 200;
const NOT_EXECUTED = [429, 503];
/** The rule: servers fall over at most 2 + a tenth of their number times. */
const MAX_FALLS = 2 + SERVERS / 10;

interface Case {
  readonly name: string;
  /** Requests that a server may turn away in a second. */
  readonly perS: number;
  readonly vms: number;
  /** Requests of a burst to each VM, and the time from one to the next, ms. */
  readonly burst: number;
  readonly pauseMs: number;
  readonly afterMs: number;
  /** Slots of each server that run no requests. */
  readonly blockedSlots?: number;
  /** Which VMs are killed and started again. */
  readonly kill?: 'all' | 'steward' | undefined;
}

const BURST = { burst: 25, pauseMs: 1_500, afterMs: 7_000 };
const STEADY = { burst: 1, pauseMs: 66, afterMs: 7_000 };

const CASES: readonly Case[] = [
  { name: 'when requests come in bursts', perS: 3, vms: 6, ...BURST },
  { name: 'when one request a second may be turned away', perS: 1, vms: 6, ...STEADY },
  { name: 'that run fewer than they have slots', perS: 3, vms: 6, ...BURST, blockedSlots: 2 },
];

/** Cases of each kind, with drawn sizes. */
function drawCases(count: number): readonly Case[] {
  return Array.from({ length: count }, (_, seed) => {
    const random = createRandom((seed + 1) * 7919);
    const pick = <T>(values: readonly T[]): T => random.pick(values) as T;
    const traffic = pick([BURST, STEADY]);
    const kind = traffic === BURST ? 'bursts' : 'steady';
    const [perS, vms] = [pick([1, 3, 10]), pick([2, 6, 8])];
    const kill = ([undefined, 'steward', 'all'] as const)[seed % 3];
    const blockedSlots = pick([0, 2]);
    const name =
      `seed ${seed + 1}: ${kind}, N ${perS}, ${vms} VMs, ` +
      `${blockedSlots} slots blocked${kill === undefined ? '' : `, ${kill} killed`}`;
    return { name, perS, vms, ...traffic, blockedSlots, kill };
  });
}

/** Sends bursts of requests, each to the VMs in turn. */
async function sendBursts(fleet: RelayFleet, given: Case, ms: number): Promise<Statuses> {
  const untilMs = performance.now() + ms;
  const statuses: Promise<number | null>[] = [];
  while (performance.now() < untilMs) {
    for (let at = 0; at < given.burst * given.vms; at += 1) {
      const vm = fleet.vms[statuses.length % fleet.vms.length] as SoakVm;
      statuses.push(fleet.send(vm, { body: `body ${statuses.length}` }));
    }
    await clocks.sleep(given.pauseMs);
  }
  return Promise.all(statuses);
}

/** Kills VMs and starts them again; resolves with the time until they are ready, ms. */
async function killVms(fleet: RelayFleet, kill: 'all' | 'steward'): Promise<number> {
  await clocks.sleep(STABLE_WINDOW_MS + 1_000);
  const holder = fleet.store.leaseHolder();
  const vms = fleet.vms.filter(({ name }) => kill === 'all' || name === holder);
  const fromMs = performance.now();
  await Promise.all(vms.map((vm) => vm.terminate('SIGKILL')));
  vms.forEach((vm) => vm.start());
  await Promise.all(vms.map((vm) => vm.waitUntilReady()));
  return Math.round(performance.now() - fromMs);
}

function report(given: Case, fleet: RelayFleet, statuses: Statuses, downMs: number): void {
  if (process.env.BRITTLE === undefined) return;
  const counts = new Map<number | null, number>();
  statuses.forEach((status) => counts.set(status, (counts.get(status) ?? 0) + 1));
  const { engines } = fleet;
  const turned = engines.map(({ room }) => room.turnedAway).join('/');
  const fell = engines.map(({ room }) => room.falls).join('/');
  process.stderr.write(
    `${given.name}: ${JSON.stringify([...counts])}, turned away ${turned}, fell ${fell}, ` +
      `VMs down ${downMs} ms\n`,
  );
}

describe('brittle servers', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-brittle-'));
  const program = path.join(folder, 'bilberrystand.cjs');

  beforeAll(() => bundle(program));

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  [...CASES, ...drawCases(Number(process.env.BRITTLE_SEEDS ?? 0))].forEach((given) => {
    const title = `are not made to fall over: ${given.name}`;
    test.skipIf(isKnownRed(title))(title, async () => {
      const fleet = await RelayFleet.start(program, {
        vms: given.vms,
        servers: SERVERS,
        crash: {},
        durationMs: 0,
      });
      try {
        await fleet.waitUntilConnected();
        fleet.engines.forEach((engine) => {
          engine.slowDown(CASE_MS, SLOWDOWN);
          engine.blockSlots(given.blockedSlots ?? 0);
          engine.nameBrittle({ perS: given.perS, downMs: DOWN_MS });
        });
        const [statuses, downMs] = await Promise.all([
          sendBursts(fleet, given, STABLE_WINDOW_MS + given.afterMs),
          given.kill === undefined ? 0 : killVms(fleet, given.kill),
        ]);
        report(given, fleet, statuses, downMs);
        const falls = fleet.engines.reduce((sum, { room }) => sum + room.falls, 0);
        expect(falls).toBeLessThanOrEqual(MAX_FALLS);
        expect(fleet.observations.violations).toEqual([]);
        if (given.kill !== undefined) return;
        const other = statuses.filter(
          (status) => status !== OK && !NOT_EXECUTED.includes(status ?? 0),
        );
        expect(other).toEqual([]);
        // The servers can run more than comes.
        const served = statuses.filter((status) => status === OK).length;
        expect(served).toBeGreaterThanOrEqual(statuses.length / 2);
      } finally {
        await fleet.stop();
      }
    });
  });
});
