/**
 * The steward is stopped or killed while the platform store is slow, unresponsive or failing.
 * Another VM must take over, and all VMs that serve callers must connect to it.
 *
 * STEWARD_GAPS=1 prints how long each VM was without a steward.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { RelayFleet } from '../soak/relay-fleet.js';
import { StoreMode } from '../soak/store.js';
import type { SoakVm } from '../soak/vms.js';

const VMS = 4;
/**
 * Longer than a process takes to start on a busy machine: the successor can take over only within
 * the lease, and no other VM can acquire it while the store accepts no writes.
 */
const LEASE_MS = 15_000;
/** Time limit for a condition to hold. */
const WAIT_TIMEOUT_MS = 14_000;
/** Delay before a killed process is started again. */
const RESTART_DELAY_MS = 300;
/** Longer than a test case takes, so that the store does not recover during it. */
const STORE_FAULT_MS = 45_000;

interface LogEntry {
  readonly time: string;
  readonly event: string;
  readonly peer?: string;
}

function logOf(fleet: RelayFleet, vm: SoakVm): readonly LogEntry[] {
  return fs
    .readFileSync(path.join(fleet.folder, `${vm.name}.log`), 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('{') && line.endsWith('}'))
    .map((line) => JSON.parse(line) as LogEntry);
}

/** The steward that a VM connected to last, and when, Unix ms. */
function lastSteward(fleet: RelayFleet, vm: SoakVm) {
  const found = logOf(fleet, vm).filter(({ event }) => event === 'steward-found');
  const last = found.at(-1);
  return last === undefined ? null : { peer: last.peer, atMs: Date.parse(last.time) };
}

async function waitUntil(condition: () => boolean): Promise<boolean> {
  const untilMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition() && performance.now() < untilMs) await clocks.sleep(20);
  return condition();
}

async function waitForSteward(fleet: RelayFleet): Promise<SoakVm> {
  const peers = () => new Set(fleet.vms.map((vm) => lastSteward(fleet, vm)?.peer));
  expect(await waitUntil(() => peers().size === 1 && !peers().has(undefined))).toBe(true);
  const steward = fleet.vms.find(({ name }) => peers().has(name));
  if (steward === undefined) throw new Error('the steward is none of the VMs');
  return steward;
}

/** Kills a VM and starts it again, as the platform does. */
async function killAndRestart(vm: SoakVm): Promise<void> {
  await vm.terminate('SIGKILL');
  await clocks.sleep(RESTART_DELAY_MS);
  vm.start();
}

describe('losing the steward while the platform store fails', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-handover-'));
  const program = path.join(folder, 'bilberrystand.cjs');

  beforeAll(() => bundle(program));

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  test.concurrent.each([
    { signal: 'SIGTERM', mode: StoreMode.slow },
    { signal: 'SIGTERM', mode: StoreMode.silent },
    { signal: 'SIGTERM', mode: StoreMode.busy },
    { signal: 'SIGTERM', mode: StoreMode.responseLost },
    { signal: 'SIGKILL', mode: StoreMode.slow },
    { signal: 'SIGKILL', mode: StoreMode.silent },
    { signal: 'SIGKILL', mode: StoreMode.busy },
    { signal: 'SIGKILL', mode: StoreMode.responseLost },
  ] as const)('all serving VMs connect to a new steward, $signal, store $mode', async (given) => {
    const { signal, mode } = given;
    const opts = { vms: VMS, servers: 2, crash: {}, durationMs: 0 };
    const fleet = await RelayFleet.start(program, { ...opts, times: { leaseMs: LEASE_MS } });
    try {
      const steward = await waitForSteward(fleet);
      // A lease renewal names the successor; the next one informs it.
      await clocks.sleep(LEASE_MS * 0.8);
      void fleet.store.runInMode(mode, STORE_FAULT_MS);
      await clocks.sleep(300);
      const signalledAtMs = Date.now();
      steward.signal(signal);
      if (signal === 'SIGKILL') void killAndRestart(steward);
      // A VM that stops gracefully still serves its callers and needs a steward as well.
      const serving = fleet.vms.filter((vm) => vm !== steward || signal === 'SIGTERM');
      const connectedToSuccessor = () =>
        serving.filter((vm) => {
          const found = lastSteward(fleet, vm);
          return found !== null && found.atMs > signalledAtMs && found.peer !== steward.name;
        });
      await waitUntil(() => connectedToSuccessor().length === serving.length);
      expect(connectedToSuccessor().map(({ name }) => name)).toEqual(
        serving.map(({ name }) => name),
      );
      const acquired = logOf(fleet, steward).filter(
        ({ event, time }) => event === 'lease-acquired' && Date.parse(time) > signalledAtMs,
      );
      expect(acquired).toEqual([]);
      if (process.env.STEWARD_GAPS !== undefined) {
        const gaps = serving.map((vm) => (lastSteward(fleet, vm)?.atMs ?? NaN) - signalledAtMs);
        process.stderr.write(`${signal} ${mode}: ${gaps.join(', ')} ms\n`);
      }
    } finally {
      await fleet.stop();
    }
  });
});
