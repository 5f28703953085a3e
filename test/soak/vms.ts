/** Entry VM processes that tests start, freeze, stop and kill. */
import { type ChildProcess, spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import * as path from 'node:path';
import * as undici from 'undici';
import * as clocks from '../../src/core/clock/index.js';
import { GATE_SCRIPT } from './server-gates.js';

const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 20_000;
/** Lines of the log that are shown when a VM does not get ready. */
const LOGGED_LINES = 12;
/** As in deploy/system.toml: beyond this heap, Node.js ends the process. */
const HEAP_LIMIT = '--max-old-space-size=200';

/** Durations and link rate in the settings of a VM. */
export interface VmTimes {
  /** Grace period of a planned stop, ms. */
  readonly graceMs?: number;
  /** Duration of the steward lease, ms. */
  readonly leaseMs?: number;
  /** Bound for evacuations, ms; without it, they are not in force. */
  readonly evacuateMs?: number;
  /** Link rate that the settings state, Mbit/s; none without it. */
  readonly linkMbps?: number;
}

const DEFAULT_TIMES = { graceMs: 4_000, leaseMs: 2_000 };

let vmsCreated = 0;

/**
 * A loopback address for one VM of this test process. On 127.0.0.1, an outgoing connection or a VM
 * that starts at the same time could take the chosen ports before this VM listens on them.
 */
function uniqueLoopbackHost(): string {
  vmsCreated += 1;
  const { pid } = process;
  return `127.${1 + (pid % 250)}.${1 + (Math.floor(pid / 250) % 250)}.${1 + (vmsCreated % 250)}`;
}

/** Addresses on one host whose ports the operating system has just reported as free. */
async function freeAddresses(count: number): Promise<readonly string[]> {
  const host = uniqueLoopbackHost();
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = net.createServer();
      await new Promise<void>((resolve) => {
        server.listen(0, host, resolve);
      });
      return server;
    }),
  );
  const addresses = servers.map((server) => `${host}:${(server.address() as AddressInfo).port}`);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return addresses;
}

export class SoakVm {
  private child: ChildProcess | null = null;

  private exited: Promise<void> = Promise.resolve();

  /** Number of times that the process ended without a signal of the test. */
  unexpectedExits = 0;

  private isTerminated = false;

  private preload: readonly string[] = [];

  private env: Readonly<Record<string, string>> = {};

  /** Times at which the process was started or received a signal, from `performance.now()`. */
  private readonly disturbedAtMs: number[] = [];

  private constructor(
    readonly name: string,
    /** Address on which callers' requests are accepted. */
    readonly callers: string,
    private readonly admin: string,
    private readonly program: string,
    private readonly folder: string,
  ) {}

  static async create(
    name: string,
    dataCentre: string,
    store: string,
    program: string,
    folder: string,
    times: VmTimes = {},
  ): Promise<SoakVm> {
    const { graceMs, leaseMs, evacuateMs, linkMbps } = { ...DEFAULT_TIMES, ...times };
    const [callers = '', admin = '', peers = ''] = await freeAddresses(3);
    const settings = `
      [vm]
      id = "${name}"
      dataCentre = "${dataCentre}"
      ${linkMbps === undefined ? '' : `linkMbps = "${linkMbps}"`}
      [listen]
      callers = "${callers}"
      admin = "${admin}"
      peers = "${peers}"
      [platform]
      address = "${store}"
      timeoutMs = 700
      [lease]
      durationMs = ${leaseMs}
      marginMs = 300
      [stop]
      graceMs = ${graceMs}
      [relay]
      enabled = true
      keyRevocationMs = 5000
      enginesCheckFences = true
      ${evacuateMs === undefined ? '' : `evacuateMs = ${evacuateMs}`}
      [relay.retries]
      ratio = 0.2
      windowMs = 10000
      slack = 52
    `;
    fs.writeFileSync(path.join(folder, `${name}.toml`), settings);
    return new SoakVm(name, callers, admin, program, folder);
  }

  /** Makes the process connect to gates on its own host in place of the servers; returns the host. */
  useGates(store: string): string {
    const [host = ''] = this.callers.split(':');
    const script = path.join(this.folder, `${this.name}-gates.cjs`);
    fs.writeFileSync(script, GATE_SCRIPT);
    this.preload = ['--require', script];
    this.env = { GATE_HOST: host, GATE_STORE: store };
    return host;
  }

  /** Whether the process was neither started nor signalled between two times. */
  wasUndisturbed(fromMs: number, toMs: number): boolean {
    return !this.disturbedAtMs.some((atMs) => atMs >= fromMs && atMs <= toMs);
  }

  /** Memory that the process has in use, bytes; 0 if it has ended. */
  residentBytes(): number {
    try {
      const status = fs.readFileSync(`/proc/${this.child?.pid}/status`, 'utf8');
      return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * 1_024;
    } catch {
      return 0;
    }
  }

  /** Starts the process without waiting until it is ready. */
  start(): void {
    this.disturbedAtMs.push(performance.now());
    const log = fs.openSync(path.join(this.folder, `${this.name}.log`), 'a');
    const settings = path.join(this.folder, `${this.name}.toml`);
    const child = spawn(
      process.execPath,
      [HEAP_LIMIT, ...this.preload, this.program, 'serve', '--settings', settings],
      {
        stdio: ['ignore', log, log],
        env: { ...process.env, ...this.env },
      },
    );
    fs.closeSync(log);
    this.child = child;
    this.isTerminated = false;
    this.exited = new Promise((resolve) => {
      child.once('exit', () => {
        if (!this.isTerminated) this.unexpectedExits += 1;
        resolve();
      });
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.disturbedAtMs.push(performance.now());
    this.child?.kill(signal);
  }

  /** Sends a signal that ends the process and waits until it has exited. */
  async terminate(signal: NodeJS.Signals): Promise<void> {
    this.isTerminated = true;
    this.signal(signal);
    await this.exited;
  }

  async waitUntilReady(): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (performance.now() > untilMs) {
        throw new Error(`${this.name} was not ready in time: ${this.describeState()}`);
      }
      await clocks.sleep(READY_POLL_MS);
    }
  }

  /** Whether the process runs, and the end of its log. */
  private describeState(): string {
    const { exitCode = null, signalCode = null } = this.child ?? {};
    const log = fs.readFileSync(path.join(this.folder, `${this.name}.log`), 'utf8');
    const lines = log.trimEnd().split('\n').slice(-LOGGED_LINES).join('\n');
    return `exit code ${exitCode}, signal ${signalCode}, log:\n${lines}`;
  }

  /** Whether the process answers the balancer's question for readiness with yes. */
  async isReady(): Promise<boolean> {
    try {
      const { statusCode, body } = await undici.request(`http://${this.admin}/v1/readiness`);
      await body.dump();
      return statusCode === 200;
    } catch {
      // Not listening yet, or frozen.
      return false;
    }
  }
}
