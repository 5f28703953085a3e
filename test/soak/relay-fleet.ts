/**
 * A fleet for tests of relay mode: entry VM processes, a platform store and the backend servers of
 * one service. A request can be marked to crash every server that runs it.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import * as clocks from '../../src/core/clock/index.js';
import { CUSTOMER, KEY } from './callers.js';
import {
  ADAPTER_SLOTS,
  CRASH_HEADER,
  type CrashRule,
  DEFAULT_CRASH,
  lateArrivals,
  MODEL_MB,
  type Observations,
  SoakEngine,
} from './engine.js';
import { type GateMode, ServerGates } from './server-gates.js';
import { SoakStore } from './store.js';
import { SoakVm, type VmTimes } from './vms.js';

const DATA_CENTRES = ['a', 'b'];
/** Interval at which the caller of a crashing request retries it. */
const REPEAT_INTERVAL_MS = 250;
const DEADLINE_MS = 3_000;
const POLL_MS = 10;
/** Time in which the VMs connect to their first steward. */
const CONNECT_MS = 500;
const SLOTS = 8;
/** Adapters of each model. */
const ADAPTERS = 6;
const ADAPTER_MB = 0.1;
/** Models that an engine has room for, by default. */
const ROOM_MODELS = 2;
/** As for the users' servers: a heartbeat every 1.2 s, and expiry after three missed ones. */
const REGISTRATION_TIMES = { heartbeatMs: 1_200, expiryMs: 3_600 };

export interface RelayFleetOptions {
  readonly vms: number;
  readonly servers: number;
  readonly crash: Partial<CrashRule>;
  /** Models of the service; none for a plain service. Each server has one of them loaded. */
  readonly models?: readonly string[];
  /** Models that a server has room for; `ROOM_MODELS` by default. */
  readonly roomModels?: number;
  /** Requests that a server runs at once; `SLOTS` by default. */
  readonly slots?: number;
  /** Software versions that the servers have in turn; none for servers of one version. */
  readonly versions?: readonly string[];
  /** Time for which requests are sent repeatedly, ms. */
  readonly durationMs: number;
  readonly times?: VmTimes;
  /** Link rates that the VMs state, in turn, Mbit/s; none for VMs that state none. */
  readonly links?: readonly number[];
  /** Whether each VM reaches the servers through gates, so that it can be partitioned from them. */
  readonly isGated?: boolean;
}

/** Statuses in the order of the requests; null where there was no response. */
export type Statuses = readonly (number | null)[];

/** One request to a VM. */
export interface FleetRequest {
  /** `lookup` (idempotent), `order` (runs at most once) or `stream` (resumable). */
  readonly route: string;
  readonly body: string;
  /** Name of the crashing request; null for a request that crashes no server. */
  readonly crash: string | null;
  /** Time after which the caller disconnects, ms; null if it waits for the response. */
  readonly disconnectAfterMs: number | null;
  /** Null for a request to a plain service. */
  readonly model: string | null;
  /** Segments of the prompt with their tokens, as ID:TOKENS; a `#` becomes the index. */
  readonly segments: readonly string[];
  /** Collects the ids of the requests in the order of their statuses; null for none. */
  readonly ids: string[] | null;
  /** Whether a response that is cut off counts as none; otherwise, its status counts. */
  readonly needsWhole: boolean;
}

const HARMLESS: FleetRequest = {
  route: 'lookup',
  body: 'sound',
  crash: null,
  disconnectAfterMs: null,
  model: null,
  segments: [],
  ids: null,
  needsWhole: false,
};
const CRASHING: FleetRequest = { ...HARMLESS, body: 'crashing', crash: 'it' };

/** Memory of an engine, with room for models and their adapters. */
function memoryMb(roomModels = ROOM_MODELS): number {
  return roomModels * MODEL_MB + ADAPTER_SLOTS * ADAPTER_MB;
}

function engineOf(models: readonly string[], slots: number, weightsMb: number) {
  return {
    engine_slots: slots,
    weights_mb: weightsMb,
    adapter_slots: ADAPTER_SLOTS,
    loads_per_s: 10,
    models: models.map((name) => ({
      name,
      weights_mb: MODEL_MB,
      load_time_s: 0.2,
      adapters: ADAPTERS,
      adapter_mb: ADAPTER_MB,
    })),
  };
}

function configOf({ models = [], slots = SLOTS, roomModels }: RelayFleetOptions) {
  const route = (name: string, kind: string) => ({
    name,
    host: 'soak.example',
    path_prefix: `/${name}/`,
    route_kind: kind,
    timeout_ms: DEADLINE_MS,
    target_latency_ms: 400,
    service: 'desk',
    attempts: 2,
    resumable: true,
  });
  return {
    version: 1,
    routes: [
      route('lookup', 'idempotent'),
      route('order', 'non_idempotent'),
      route('stream', 'streaming'),
    ],
    services: [
      {
        name: 'desk',
        max_connections: 8 * slots,
        ...(models.length === 0 ? {} : { engine: engineOf(models, slots, memoryMb(roomModels)) }),
      },
    ],
    tenants: [{ name: CUSTOMER, api_keys: [KEY] }],
  };
}

export class RelayFleet {
  readonly store = new SoakStore(async (server) => {
    await Promise.all([...this.gates.values()].map((gates) => gates.add(server)));
  });

  readonly observations: Observations = {
    runs: new Map(),
    arrivals: [],
    crashes: [],
    violations: [],
  };

  readonly vms: SoakVm[] = [];

  readonly engines: SoakEngine[] = [];

  /** Gates between a VM and the servers, by the VM's name, if there are any. */
  private readonly gates = new Map<string, ServerGates>();

  private readonly agent = new undici.Agent({ connections: 64, pipelining: 1 });

  private sent = 0;

  /** Ids of the requests without a response. */
  private readonly unanswered: string[] = [];

  private sendUntilMs = 0;

  private configVersion = 1;

  private constructor(
    readonly folder: string,
    private readonly opts: RelayFleetOptions,
  ) {}

  /** Starts a fleet; `program` is the path of the bundled program that the entry VMs run. */
  static async start(program: string, opts: RelayFleetOptions): Promise<RelayFleet> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-crash-'));
    const fleet = new RelayFleet(folder, opts);
    try {
      await fleet.startAll(program);
    } catch (err) {
      await fleet.stop();
      throw err;
    }
    return fleet;
  }

  async stop(): Promise<void> {
    await Promise.all(this.vms.map((vm) => vm.terminate('SIGKILL')));
    this.engines.forEach((engine) => engine.retire());
    await Promise.all([...this.gates.values()].map((gates) => gates.stop()));
    await this.agent.destroy();
    this.store.stop();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  /** The configuration that the fleet begins with. */
  get config(): ReturnType<typeof configOf> {
    return configOf(this.opts);
  }

  /** Sets a configuration that differs from the first one in these parts. */
  changeConfig(parts: Record<string, unknown>): void {
    this.configVersion += 1;
    this.store.put('config', 'main', {
      ...this.config,
      ...parts,
      version: this.configVersion,
    });
  }

  /** Sends a request to a VM; resolves with the status, or null without a response. */
  async send(vm: SoakVm, opts: Partial<FleetRequest> = {}): Promise<number | null> {
    const { route, body, crash, disconnectAfterMs, model, segments, ids, needsWhole } = {
      ...HARMLESS,
      ...opts,
    };
    this.sent += 1;
    const id = `c${this.sent}`;
    ids?.push(id);
    try {
      const res = await undici.request(`http://${vm.callers}/${route}/x`, {
        dispatcher: this.agent,
        method: 'POST',
        headers: {
          host: 'soak.example',
          'attempt-id': id,
          authorization: `Bearer ${KEY}`,
          'deadline-ms': String(DEADLINE_MS),
          ...(crash === null ? {} : { [CRASH_HEADER]: crash }),
          ...(model === null ? {} : { model, 'token-count': '20,20' }),
          ...(segments.length === 0 ? {} : { 'prompt-prefix': segments.join() }),
        },
        body,
        signal: AbortSignal.timeout(disconnectAfterMs ?? DEADLINE_MS),
      });
      // `dump` also resolves for a response that is cut off.
      await (needsWhole ? res.body.arrayBuffer() : res.body.dump());
      return res.statusCode;
    } catch {
      // The caller disconnected, the VM was killed, or the response was cut off.
      this.unanswered.push(id);
      return null;
    }
  }

  /** Sends a crashing request and its retries to the VMs in turn. */
  sendCrashing(opts: Partial<FleetRequest> = {}): Promise<Statuses> {
    return this.sendRepeatedly(REPEAT_INTERVAL_MS, { ...CRASHING, ...opts });
  }

  /** Partitions a VM from all servers, or ends the partition; the fleet must be gated. */
  async setGates({ name }: SoakVm, mode: GateMode): Promise<void> {
    await this.gates.get(name)?.setMode(mode);
  }

  /** Text of a VM's log. */
  logOf({ name }: SoakVm): string {
    return fs.readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
  }

  /** Ids of the requests that were refused for a segment of their prompt, from the VMs' logs. */
  refusedForPrompt(): ReadonlySet<string> {
    const lines = this.vms.flatMap((vm) => this.logOf(vm).split('\n'));
    const refused = lines.filter((line) => line.includes('"reason":"PromptBlocked"'));
    return new Set(refused.flatMap((line) => /"id":"([^"]+)"/.exec(line)?.[1] ?? []));
  }

  /** Ids of the requests that a server ran but that got no response. */
  executedWithoutResponse(): readonly string[] {
    return this.unanswered.filter((id) => this.observations.runs.has(id));
  }

  /**
   * Sends requests to the VMs in turn for `durationMs`; a `#` in the body or in a segment becomes the
   * index.
   */
  async sendRepeatedly(pauseMs: number, opts: Partial<FleetRequest>): Promise<Statuses> {
    const statuses: Promise<number | null>[] = [];
    for (let at = 0; performance.now() < this.sendUntilMs; at += 1) {
      const vm = this.vms[at % this.vms.length] as SoakVm;
      const body = (opts.body ?? '').replace('#', String(at));
      const segments = (opts.segments ?? []).map((segment) => segment.replace('#', String(at)));
      statuses.push(this.send(vm, { ...opts, body, segments }));
      await clocks.sleep(pauseMs);
    }
    return Promise.all(statuses);
  }

  /** Makes all that send repeatedly go on for at least `ms` from now on. */
  sendForAtLeast(ms: number): void {
    this.sendUntilMs = Math.max(this.sendUntilMs, performance.now() + ms);
  }

  /** Sends requests as `sendRepeatedly` does, for `ms` from now on. */
  sendFor(ms: number, pauseMs: number, opts: Partial<FleetRequest>): Promise<Statuses> {
    this.sendUntilMs = performance.now() + ms;
    return this.sendRepeatedly(pauseMs, opts);
  }

  /** Resolves `ms` after the first crash of a server. */
  async waitAfterFirstCrash(ms: number): Promise<void> {
    while (this.observations.crashes.length === 0) await clocks.sleep(10);
    await clocks.sleep(ms);
  }

  /** Resolves once the VMs have their first steward and are connected to it. */
  async waitUntilConnected(): Promise<void> {
    while (this.store.leaseHolder() === null) await clocks.sleep(POLL_MS);
    await clocks.sleep(CONNECT_MS);
  }

  /** Starts another server of the service, with this software version. */
  async joinServer(version: string): Promise<void> {
    const at = this.engines.length;
    this.addServer(`desk-${at}`, at, { ...this.opts, versions: [version] });
    await this.engines[at]?.start();
  }

  /** Number of arrivals of a crashing request more than the stable window after its third crash. */
  lateArrivals(name = 'it'): number {
    return lateArrivals(this.observations, name);
  }

  private async startAll(program: string): Promise<void> {
    const { opts } = this;
    const address = await this.store.start();
    this.store.put('config', 'main', configOf(opts));
    Array.from({ length: opts.servers }, (_, at) => this.addServer(`desk-${at}`, at, opts));
    await Promise.all(this.engines.map((engine) => engine.start()));
    for (let at = 0; at < opts.vms; at += 1) {
      const dataCentre = DATA_CENTRES[at % DATA_CENTRES.length] ?? 'a';
      const times = { ...opts.times, linkMbps: opts.links?.[at % opts.links.length] };
      const name = `vm-${at}`;
      const vm = await SoakVm.create(name, dataCentre, address, program, this.folder, times);
      this.vms.push(vm);
      if (opts.isGated === true) this.gates.set(name, new ServerGates(vm.useGates(address)));
    }
    this.vms.forEach((vm) => vm.start());
    await Promise.all(this.vms.map((vm) => vm.waitUntilReady()));
    this.sendUntilMs = performance.now() + opts.durationMs;
  }

  private addServer(
    name: string,
    at: number,
    { crash, slots = SLOTS, models = [], versions = [], roomModels }: RelayFleetOptions,
  ): void {
    const spec = {
      name,
      service: 'desk',
      dataCentre: DATA_CENTRES[at % DATA_CENTRES.length] ?? 'a',
      slots,
      memoryMb: memoryMb(roomModels),
      models: models.filter((_, index) => index % models.length === at % models.length),
      registration: REGISTRATION_TIMES,
      version: versions[at % versions.length],
      crash: { ...DEFAULT_CRASH, ...crash },
    };
    this.engines.push(new SoakEngine(spec, this.store, this.observations));
  }
}
