/** Faults that the soak test injects; random choices are drawn from the seed. */
import * as clocks from '../../src/core/clock/index.js';
import type { Random } from '../../src/core/random/index.js';
import { CRASHING_SEGMENT_PREFIX, type SoakEngine } from './engine.js';
import { type SoakStore, StoreMode } from './store.js';
import type { SoakVm } from './vms.js';

/** What the faults act on. */
export interface SoakFleet {
  readonly store: SoakStore;
  readonly engines: readonly SoakEngine[];
  readonly vms: readonly SoakVm[];
  /** Writes a new version of the configuration. */
  changeConfig(): void;
  /** Sends a request that crashes its server to one VM. */
  sendCrashing(vm: SoakVm, name: string): Promise<void>;
  /** Sends a request with a prompt segment that crashes its server to one VM. */
  sendCrashingSegment(vm: SoakVm, segment: string): Promise<void>;
}

/** Injects a fault and resolves once it is over. */
type Fault = (fleet: SoakFleet, random: Random) => Promise<void>;

/** Number of times that the caller of a crashing request sends it. */
const CRASHING_REQUESTS = 40;
const CRASHING_INTERVAL_MS = 250;

function pick<T>(items: readonly T[], random: Random): T {
  const item = items[Math.floor(random.real() * items.length)];
  if (item === undefined) throw new Error('cannot pick from an empty list');
  return item;
}

async function restart(vm: SoakVm, signal: NodeJS.Signals, downMs: number): Promise<void> {
  await vm.terminate(signal);
  await clocks.sleep(downMs);
  vm.start();
  await vm.waitUntilReady();
}

export const FAULTS: Readonly<Record<string, Fault>> = {
  killVm: ({ vms }, random) => restart(pick(vms, random), 'SIGKILL', 300),
  killAllVms: async ({ vms }) => {
    await Promise.all(vms.map((vm) => restart(vm, 'SIGKILL', 300)));
  },
  stopVm: ({ vms }, random) => restart(pick(vms, random), 'SIGTERM', 0),
  freezeVm: async ({ vms }, random) => {
    const vm = pick(vms, random);
    vm.signal('SIGSTOP');
    await clocks.sleep(500 + random.real() * 3_000);
    vm.signal('SIGCONT');
  },
  storeBusy: ({ store }) => store.runInMode(StoreMode.busy, 1_500),
  storeUnresponsive: ({ store }) => store.runInMode(StoreMode.silent, 2_500),
  storeSlow: ({ store }) => store.runInMode(StoreMode.slow, 2_000),
  storeLosesResponses: ({ store }) => store.runInMode(StoreMode.responseLost, 1_500),
  storeRestored: async ({ store }, random) => {
    const copy = store.copy();
    await clocks.sleep(500 + random.real() * 3_000);
    const returned = store.runInMode(StoreMode.silent, 800);
    const lost = store.copy();
    store.restore(copy);
    await returned;
    store.rewrite(lost);
  },
  storeCompaction: async ({ store }) => store.compact(),
  engineCrash: async ({ engines }, random) => {
    const engine = pick(engines, random);
    engine.crash();
    await clocks.sleep(400 + random.real() * 1_000);
    await engine.start();
  },
  enginesLoseResponses: async ({ engines }) => {
    engines.forEach((engine) => engine.dropResponses(1_500));
    await clocks.sleep(1_500);
  },
  engineUnresponsive: async ({ engines }, random) => {
    pick(engines, random).stopResponding(1_500);
    await clocks.sleep(1_500);
  },
  engineSlow: async ({ engines }, random) => {
    pick(engines, random).slowDown(2_000, 8);
    await clocks.sleep(2_000);
  },
  engineNamesLimit: async ({ engines }, random) => {
    const engine = pick(engines, random);
    engine.nameLimit(0.3 + random.real() * 8);
    await clocks.sleep(4_000);
    engine.nameLimit(0.3 + random.real() * 4);
    await clocks.sleep(4_000);
    engine.nameLimit(null);
  },
  crashingRequest: async ({ vms, sendCrashing }, random) => {
    const name = `crash ${random.real()}`;
    for (let at = 0; at < CRASHING_REQUESTS; at += 1) {
      void sendCrashing(pick(vms, random), name);
      await clocks.sleep(CRASHING_INTERVAL_MS);
    }
  },
  crashingSegment: async ({ vms, sendCrashingSegment }, random) => {
    const segment = `${CRASHING_SEGMENT_PREFIX}${Math.floor(random.real() * 1_000_000)}`;
    for (let at = 0; at < CRASHING_REQUESTS; at += 1) {
      void sendCrashingSegment(pick(vms, random), segment);
      await clocks.sleep(CRASHING_INTERVAL_MS);
    }
  },
  configChange: async ({ changeConfig }) => changeConfig(),
};
