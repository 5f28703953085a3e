/**
 * Randomised soak test: entry VM processes with a platform store and backend servers that speak the
 * platform's protocol, under faults drawn from a seed. The observations of callers and servers are
 * checked against the guarantees of the product.
 *
 * SOAK_SEEDS (comma-separated) and SOAK_FAULTS (faults per seed) set longer runs. A seed that fails
 * keeps the logs of its VMs and the observations of its servers.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, describe, expect, onTestFailed, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { Callers, CUSTOMER, KEY, type Outcome, RequestKind } from './callers.js';
import { type Observations, MODEL_MB, SoakEngine, DEFAULT_CRASH } from './engine.js';
import { type SoakFleet, FAULTS } from './faults.js';
import { SoakStore } from './store.js';
import { SoakVm } from './vms.js';

const SEEDS = (process.env.SOAK_SEEDS ?? '1,2').split(',').map(Number);
const FAULTS_PER_SEED = Number(process.env.SOAK_FAULTS ?? '10');
const DATA_CENTRES = ['a', 'b'];
const VMS = 3;
const MODELS = ['m0', 'm1', 'm2', 'm3', 'm4', 'm5'];
/** Pause of a caller between two requests. */
const CALLER_PAUSE_MS = 30;
const CALLERS = 6;
/** Time that the fleet gets to recover after the last fault. */
const RECOVERY_TIME_MS = 5_000;
const PROBES = 40;
const KINDS = [RequestKind.order, RequestKind.lookup, RequestKind.stream, RequestKind.stream];

function configOf(version: number) {
  const route = (name: string, kind: string, service: string) => ({
    name,
    host: 'soak.example',
    path_prefix: `/${name}/`,
    route_kind: kind,
    timeout_ms: 3_000,
    target_latency_ms: 400,
    service,
    attempts: 2,
    resumable: true,
  });
  return {
    version,
    routes: [
      route('order', 'non_idempotent', 'desk'),
      route('lookup', 'idempotent', 'desk'),
      route('stream', 'streaming', 'drafts'),
    ],
    services: [
      { name: 'desk', max_connections: 64 },
      {
        name: 'drafts',
        max_connections: 64,
        engine: {
          engine_slots: 8,
          weights_mb: 2 * MODEL_MB,
          adapter_slots: 0,
          loads_per_s: 10,
          models: MODELS.map((name) => ({
            name,
            weights_mb: MODEL_MB,
            load_time_s: 0.2,
          })),
        },
      },
    ],
    tenants: [{ name: CUSTOMER, api_keys: [KEY], rate_per_s: 100_000, burst_size: 100_000 }],
  };
}

function shuffled<T>(items: readonly T[], random: Random): readonly T[] {
  return items
    .map((item) => ({ item, at: random.real() }))
    .sort((a, b) => a.at - b.at)
    .map(({ item }) => item);
}

class Soak {
  readonly observations: Observations = {
    runs: new Map(),
    arrivals: [],
    crashes: [],
    violations: [],
  };

  private readonly store = new SoakStore();

  readonly callers = new Callers(this.observations, this.store);

  /** Source of the faults. */
  private readonly random: Random;

  /**
   * Source of the requests, separate because their number depends on the speed of the machine and
   * must not change the faults of a seed.
   */
  private readonly requests: Random;

  private fleet: SoakFleet | null = null;

  private isSending = true;

  constructor(
    seed: number,
    private readonly program: string,
    private readonly folder: string,
  ) {
    this.random = createRandom(seed);
    this.requests = createRandom(seed + 1_000_000);
  }

  async start(): Promise<void> {
    const address = await this.store.start();
    const spec = (name: string, service: string, at: number, models: readonly string[]) => ({
      name,
      service,
      dataCentre: DATA_CENTRES[at % 2] ?? 'a',
      slots: 8,
      memoryMb: 2 * MODEL_MB,
      models,
      crash: DEFAULT_CRASH,
    });
    const engines = [
      spec('desk-0', 'desk', 0, []),
      spec('desk-1', 'desk', 1, []),
      spec('desk-2', 'desk', 0, []),
      spec('desk-3', 'desk', 1, []),
      spec('draft-0', 'drafts', 0, ['m0', 'm1']),
      spec('draft-1', 'drafts', 1, ['m0', 'm2']),
    ].map((engineSpec) => new SoakEngine(engineSpec, this.store, this.observations));
    let version = 1;
    const changeConfig = () => {
      version += 1;
      this.store.put('config', 'main', configOf(version));
    };
    changeConfig();
    await Promise.all(engines.map((engine) => engine.start()));
    const vms = await Promise.all(
      Array.from({ length: VMS }, (_, at) =>
        SoakVm.create(`vm-${at}`, DATA_CENTRES[at % 2] ?? 'a', address, this.program, this.folder),
      ),
    );
    vms.forEach((vm) => vm.start());
    await Promise.all(vms.map((vm) => vm.waitUntilReady()));
    const sendCrashing = (vm: SoakVm, name: string) => this.callers.sendCrashing(vm, name);
    const sendCrashingSegment = (vm: SoakVm, segment: string) =>
      this.callers.sendCrashingSegment(vm, segment, MODELS[0] ?? '');
    this.fleet = {
      store: this.store,
      engines,
      vms,
      changeConfig,
      sendCrashing,
      sendCrashingSegment,
    };
  }

  /** Injects `faults` faults, which may overlap, and returns their names. */
  async runFaults(faults: number): Promise<readonly string[]> {
    const { fleet, random } = this;
    if (fleet === null) throw new Error('the fleet is not started');
    const senders = Array.from({ length: CALLERS }, () => this.keepSending());
    let upcoming: readonly string[] = [];
    const injected: string[] = [];
    const running: Promise<void>[] = [];
    for (let at = 0; at < faults; at += 1) {
      if (upcoming.length === 0) upcoming = shuffled(Object.keys(FAULTS), random);
      const [name = '', ...rest] = upcoming;
      upcoming = rest;
      injected.push(name);
      running.push((FAULTS[name] as (typeof FAULTS)[string])(fleet, random));
      await clocks.sleep(600 + random.real() * 900);
    }
    await Promise.all(running);
    await clocks.sleep(RECOVERY_TIME_MS);
    this.isSending = false;
    await Promise.all(senders);
    return injected;
  }

  /** Sends the requests that check whether the fleet has recovered from the faults. */
  async sendProbes(): Promise<readonly Outcome[]> {
    const outcomes: Outcome[] = [];
    for (let at = 0; at < PROBES; at += 1) outcomes.push(await this.sendOne());
    return outcomes;
  }

  /** Violations of the guarantees, from the observations of callers and servers. */
  violations(): readonly string[] {
    const overLimit = (this.fleet?.engines ?? []).flatMap(({ requestLimit }) => {
      const excess = requestLimit.worstExcess();
      return excess === null ? [] : [`LIMIT: a server got ${excess}`];
    });
    return [...this.callers.violations(), ...overLimit];
  }

  async stop(): Promise<void> {
    await Promise.all((this.fleet?.vms ?? []).map((vm) => vm.terminate('SIGKILL')));
    this.fleet?.engines.forEach((engine) => engine.crash());
    await this.callers.close();
    this.store.stop();
  }

  private async keepSending(): Promise<void> {
    while (this.isSending) {
      await this.sendOne();
      await clocks.sleep(CALLER_PAUSE_MS);
    }
  }

  private sendOne(): Promise<Outcome> {
    const { requests: random } = this;
    const pickOne = <T>(items: readonly T[]) =>
      items[Math.floor(random.real() * items.length)] as T;
    // Half of the streams go to one model, as in the callers' traffic.
    const model = random.real() < 0.5 ? 'm0' : pickOne(MODELS);
    return this.callers.send(pickOne(this.fleet?.vms ?? []).callers, pickOne(KINDS), model);
  }
}

describe('a fleet under random faults', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-soak-'));
  const program = path.join(folder, 'bilberrystand.cjs');

  beforeAll(() => bundle(program));

  let keepFolder = false;

  afterAll(() => {
    if (!keepFolder) fs.rmSync(folder, { recursive: true, force: true });
  });

  test.each(SEEDS)(
    'keeps its guarantees and serves requests again afterwards, seed %i',
    async (seed) => {
      const logs = fs.mkdtempSync(path.join(folder, `seed-${seed}-`));
      const soak = new Soak(seed, program, logs);
      onTestFailed(() => {
        keepFolder = true;
        const { arrivals, crashes } = soak.observations;
        const violations = soak.violations();
        const seen = {
          startedAtUnixMs: performance.timeOrigin,
          arrivals,
          ends: crashes,
          faults: violations,
        };
        fs.writeFileSync(path.join(logs, 'seen.json'), JSON.stringify(seen, null, 1));
        process.stderr.write(`seed ${seed}: kept the logs in ${logs}\n`);
      });
      try {
        await soak.start();
        const injected = await soak.runFaults(FAULTS_PER_SEED);
        const probes = await soak.sendProbes();
        const servedOf = (kind: RequestKind) =>
          soak.callers.outcomes.filter((outcome) => outcome.kind === kind && outcome.status === 200)
            .length;
        // A fleet that serves no request would pass the other checks.
        expect(
          Object.values(RequestKind)
            .map(servedOf)
            .filter((count) => count < 20),
        ).toEqual([]);
        const served = probes.filter(({ status }) => status === 200).length;
        expect({ injected, violations: soak.violations() }).toEqual({
          injected,
          violations: [],
        });
        expect(served).toBeGreaterThanOrEqual(PROBES / 4);
      } finally {
        await soak.stop();
      }
    },
  );
});
