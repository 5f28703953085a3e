/**
 * A small deployment on loopback addresses: entry VMs as the deploy file starts them, the platform's
 * store and the engines of two services.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import { SoakStore } from '../../test/soak/store.js';
import { Engine, type EngineSpec } from './engine.js';
import { Link } from './link.js';
import type { Recorder } from './record.js';

export const HOST = 'shop.example';
export const KEY = 'key-of-acme';
/** `memory_mb` of an entry VM. */
export const MEMORY_MB = 350;
const READY_TIMEOUT_MS = 20_000;
/** The platform restarts a process that has ended after a short delay. */
const RESTART_MS = 500;
const MEMORY_POLL_MS = 10;
/** Last bytes of the VMs' loopback addresses, and of those of the links to them. */
const FIRST_HOST = 101;
const LINK_HOST_OFFSET = 100;
const KB_PER_MB = 1_024;

/** The figures of the sheet of Ruedas Compartidas. */
const BOUNDS: Readonly<Record<string, string>> = {
  'bounds.grace_s': '8',
  'bounds.revoke_ms': '5000',
  'bounds.require_fence': 'true',
  'bounds.budget_ratio': '0.2',
  'bounds.budget_window_s': '10',
  'bounds.budget_slack': '52',
};

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Fills in the template of the settings, as the platform does. */
function fillIn(values: Readonly<Record<string, string>>): string {
  return fs
    .readFileSync('deploy/settings.toml', 'utf8')
    .replace(/\{\{([a-z_.0-9]+)(\|json)?\}\}/g, (whole, name: string, json?: string) => {
      const value = values[name] ?? BOUNDS[name] ?? whole;
      return json === undefined ? value : JSON.stringify(value);
    });
}

/** A port on a host that the operating system reports as free. */
async function freePort(host: string): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

function isReadyAt(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    http
      .get(`http://${address}/v1/readiness`, { agent: false }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      })
      .on('error', () => resolve(false));
  });
}

/** One entry VM, which the platform starts again when its process ends. */
export class EntryVm {
  /** How often the process has ended by itself. */
  ends = 0;

  /** How often the process was killed for its memory. */
  memoryKills = 0;

  /** Highest resident memory, without files, that was seen, MB. */
  peakMb = 0;

  private child: ChildProcess | null = null;

  private isStopping = false;

  private isSignalled = false;

  private readonly memoryTimer: NodeJS.Timeout;

  constructor(
    readonly name: string,
    readonly front: string,
    private readonly ready: string,
    /** Its link to the platform's store. */
    readonly link: Link,
    private readonly folder: string,
    private readonly recorder: Recorder,
  ) {
    this.memoryTimer = setInterval(() => this.checkMemory(), MEMORY_POLL_MS);
  }

  get settings(): string {
    return path.join(this.folder, `${this.name}.toml`);
  }

  start(): void {
    const log = fs.openSync(path.join(this.folder, `${this.name}.log`), 'a');
    const program = ['target/bilberrystand.cjs', 'serve', '--settings', this.settings];
    const child = spawn(process.execPath, ['--max-old-space-size=200', ...program], {
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.child = child;
    child.once('exit', (code, signal) => this.handleExit(code, signal));
  }

  /** Sends the process a signal. If it ends, the platform starts it again. */
  signal(signal: NodeJS.Signals): void {
    this.recorder.note(this.name, `gets ${signal}`);
    this.isSignalled = true;
    this.child?.kill(signal);
  }

  /** Kills the process; it is not started again. */
  stop(): void {
    this.isStopping = true;
    clearInterval(this.memoryTimer);
    this.child?.kill('SIGKILL');
    this.link.stop();
  }

  isReady(): Promise<boolean> {
    return isReadyAt(this.ready);
  }

  async waitUntilReady(): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (performance.now() > untilMs) throw new Error(`${this.name} was not ready in time`);
      await sleep(50);
    }
  }

  private handleExit(code: number | null, signal: string | null): void {
    if (this.isStopping) return;
    if (this.isSignalled) this.restart();
    else this.noteEnd(code, signal);
  }

  private restart(): void {
    setTimeout(() => {
      this.isSignalled = false;
      if (!this.isStopping) this.start();
    }, RESTART_MS);
  }

  private noteEnd(code: number | null, signal: string | null): void {
    this.ends += 1;
    this.recorder.note(this.name, `its process ends by itself, code ${code}, signal ${signal}`);
    const log = fs.readFileSync(path.join(this.folder, `${this.name}.log`), 'utf8');
    const trace = log.split('\n').filter((line) => line !== '' && !line.startsWith('{'));
    trace
      .slice(0, 12)
      .forEach((line) => this.recorder.note(this.name, `  | ${line.slice(0, 160)}`));
    this.restart();
  }

  /** Kills the process if it exceeds its memory, as the platform does. */
  private checkMemory(): void {
    const pid = this.child?.pid;
    if (pid === undefined || this.child?.exitCode !== null) return;
    let status = '';
    try {
      status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    } catch {
      return;
    }
    const mb = Number(/RssAnon:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
    this.peakMb = Math.max(this.peakMb, mb);
    if (mb <= MEMORY_MB) return;
    this.memoryKills += 1;
    this.recorder.note(this.name, `uses ${mb.toFixed(0)} MB of ${MEMORY_MB} MB and is killed`);
    this.child?.kill('SIGKILL');
  }
}

export interface DeploymentOptions {
  readonly zones: readonly string[];
  readonly engines: readonly EngineSpec[];
  readonly config: unknown;
  /** Whether the last entry VM starts after the others, and reaches them over links. */
  readonly isLastLinked?: boolean;
}

export class Deployment {
  readonly store = new SoakStore();

  readonly vms: EntryVm[] = [];

  readonly engines: Engine[] = [];

  /** Links of the last entry VM to the others, if it has any. */
  readonly peerLinks: Link[] = [];

  /** Addresses of the entry VMs for their peers. */
  private readonly peerAddresses: string[] = [];

  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-review-'));

  constructor(
    private readonly recorder: Recorder,
    private readonly opts: DeploymentOptions,
  ) {}

  async start(): Promise<void> {
    // Also when the script ends by an exception or a signal.
    process.once('exit', () => this.stop());
    ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => {
      process.once(signal, () => process.exit(2));
    });
    const store = await this.store.start();
    this.store.put('config', 'main', this.opts.config);
    this.opts.engines.forEach((spec) => {
      this.engines.push(new Engine(spec, this.store, this.recorder));
    });
    await Promise.all(this.engines.map((engine) => engine.start()));
    const { zones } = this.opts;
    for (let at = 0; at < zones.length; at += 1) {
      this.vms.push(await this.createVm(`edge-${at + 1}`, zones[at] ?? '', at, store));
    }
    const last = this.opts.isLastLinked === true ? this.vms.slice(-1) : [];
    const first = this.vms.filter((vm) => !last.includes(vm));
    first.forEach((vm) => vm.start());
    await Promise.all(first.map((vm) => vm.waitUntilReady()));
    last.forEach((vm) => vm.start());
    await Promise.all(last.map((vm) => vm.waitUntilReady()));
    this.recorder.note('platform', `${this.vms.length} entry VMs are ready`);
  }

  stop(): void {
    this.vms.forEach((vm) => vm.stop());
    this.peerLinks.forEach((link) => link.stop());
    this.engines.forEach((engine) => engine.stop());
    this.store.stop();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  /** Creates the links to the entry VMs so far; returns their addresses by those of the VMs. */
  private async linkPeers(): Promise<ReadonlyMap<string, string>> {
    const linked = new Map(
      this.peerAddresses.map((address) => {
        const [host = '', port = ''] = address.split(':');
        const bytes = host.split('.').map(Number);
        const link = [...bytes.slice(0, -1), (bytes.at(-1) ?? 0) + LINK_HOST_OFFSET].join('.');
        return [address, `${link}:${port}`];
      }),
    );
    await Promise.all(
      [...linked].map(async ([address, linkAddress]) => {
        const link = new Link(address, linked);
        this.peerLinks.push(link);
        await link.start(linkAddress);
      }),
    );
    return linked;
  }

  private async createVm(name: string, zone: string, at: number, store: string): Promise<EntryVm> {
    const { pid } = process;
    const ip = `127.${1 + (pid % 250)}.${1 + (Math.floor(pid / 250) % 250)}.${FIRST_HOST + at}`;
    const [front, ready, peers] = [await freePort(ip), await freePort(ip), await freePort(ip)];
    const isLinked = this.opts.isLastLinked === true && at === this.opts.zones.length - 1;
    const link = new Link(store, isLinked ? await this.linkPeers() : new Map());
    this.peerAddresses.push(`${ip}:${peers}`);
    const vm = new EntryVm(
      name,
      `${ip}:${front}`,
      `${ip}:${ready}`,
      link,
      this.folder,
      this.recorder,
    );
    const values = {
      node: name,
      zone,
      'listen.front': vm.front,
      'listen.ready': `${ip}:${ready}`,
      ip,
      'port_range.0': String(peers),
      'platform.address': await link.start(),
    };
    fs.writeFileSync(vm.settings, fillIn(values));
    return vm;
  }
}

/** A configuration with a service of models, plain services and five routes. */
export function configOf(models: readonly string[]) {
  const route = (name: string, kind: string, service: string) => ({
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    route_kind: kind,
    service,
  });
  const once = { timeout_ms: 4_000, target_latency_ms: 386, priority: 2, attempts: 1 };
  const stream = { timeout_ms: 12_000, target_latency_ms: 400, gap_aim_ms: 200, priority: 1 };
  const tender = { ...stream, timeout_ms: 20_000, target_latency_ms: 2_000 };
  const engine = {
    engine_slots: 64,
    kv_capacity: 114_341,
    weights_mb: 230_000,
    adapter_slots: 8,
    loads_per_s: 3,
    models: models.map((name) => ({
      name,
      weights_mb: 72_700,
      load_time_s: 6,
      adapters: 0,
      adapter_mb: 66,
    })),
  };
  return {
    version: 1,
    routes: [
      { ...route('order', 'non_idempotent', 'desk'), ...once },
      { ...route('stock', 'idempotent', 'desk'), ...once, attempts: 2 },
      { ...route('talk', 'streaming', 'talk'), ...stream, attempts: 2, resumable: true },
      { ...route('draft', 'streaming', 'writer'), ...stream, attempts: 2, resumable: true },
      { ...route('tender', 'streaming', 'writer'), ...tender, attempts: 1, resumable: false },
    ],
    services: [
      { name: 'desk', health_check: '/health', max_connections: 96 },
      { name: 'talk', health_check: '/health', max_connections: 96 },
      { name: 'writer', health_check: '/health', max_connections: 360, engine },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'acme', api_keys: [KEY] }],
  };
}
