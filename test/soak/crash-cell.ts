/**
 * A cell whose servers end under one request that its caller repeats: real entry VMs before a store
 * and the servers of one service.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import * as clocks from '../../src/core/clock/index.js';
import { CUSTOMER, KEY } from './callers.js';
import {
  CRASH_HEADER,
  type CrashRule,
  lateArrivals,
  type Ledger,
  SoakEngine,
  USUAL_CRASH,
} from './engine.js';
import { SoakStore } from './store.js';
import { SoakVm, type VmTimes } from './vms.js';

const DATA_CENTRES = ['a', 'b'];
/** The caller repeats its request after this long, ms. */
const REPEAT_MS = 250;
const DEADLINE_MS = 3_000;
/** Entries of the users' servers: a heartbeat each 1.2 s, gone after three of silence. */
const ENTRY_TIMES = { heartbeatMs: 1_200, lapseMs: 3_600 };
export interface CrashCellOptions {
  readonly vms: number;
  readonly servers: number;
  readonly crash: Partial<CrashRule>;
  /** Length of the run, ms. */
  readonly forMs: number;
  readonly times?: VmTimes;
}

/** Statuses in the order of the requests; null where there was no answer. */
export type Answers = readonly (number | null)[];

/** One request to a VM. */
export interface CellRequest {
  /** Its route: `lookup` (idempotent), `order` (may run once) or `stream` (may be resumed). */
  readonly route: string;
  readonly body: string;
  /** Names the crashing request; null for one that is sound. */
  readonly crash: string | null;
  /** When the caller leaves, ms; null if it stays. */
  readonly leaveAfterMs: number | null;
}

const SOUND: CellRequest = { route: 'lookup', body: 'sound', crash: null, leaveAfterMs: null };
const CRASHING: CellRequest = { ...SOUND, body: 'crashing', crash: 'it' };

function configOf() {
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
    services: [{ name: 'desk', max_connections: 64 }],
    tenants: [{ name: CUSTOMER, api_keys: [KEY] }],
  };
}

export class CrashCell {
  readonly store = new SoakStore();

  readonly ledger: Ledger = { runs: new Map(), arrivals: [], ends: [], faults: [] };

  readonly vms: SoakVm[] = [];

  private readonly engines: SoakEngine[] = [];

  private readonly agent = new undici.Agent({ connections: 64, pipelining: 1 });

  private sent = 0;

  /** Requests that got no answer. */
  private readonly unanswered: string[] = [];

  private endsAtMs = 0;

  private constructor(readonly folder: string) {}

  /** Starts a cell for a run of `forMs`; `program` is the bundled entry VM. */
  static async start(program: string, opts: CrashCellOptions): Promise<CrashCell> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-crash-'));
    const cell = new CrashCell(folder);
    try {
      await cell.begin(program, opts);
    } catch (err) {
      await cell.stop();
      throw err;
    }
    return cell;
  }

  async stop(): Promise<void> {
    await Promise.all(this.vms.map((vm) => vm.end('SIGKILL')));
    this.engines.forEach((engine) => engine.retire());
    await this.agent.destroy();
    this.store.stop();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  /** Sends a request to one VM; resolves with the status, null where there was none. */
  async send(vm: SoakVm, opts: Partial<CellRequest> = {}): Promise<number | null> {
    const { route, body, crash, leaveAfterMs } = { ...SOUND, ...opts };
    this.sent += 1;
    const id = `c${this.sent}`;
    try {
      const answer = await undici.request(`http://${vm.callers}/${route}/x`, {
        dispatcher: this.agent,
        method: 'POST',
        headers: {
          host: 'soak.example',
          'attempt-id': id,
          authorization: `Bearer ${KEY}`,
          'deadline-ms': String(DEADLINE_MS),
          ...(crash === null ? {} : { [CRASH_HEADER]: crash }),
        },
        body,
        signal: AbortSignal.timeout(leaveAfterMs ?? DEADLINE_MS),
      });
      await answer.body.dump();
      return answer.statusCode;
    } catch {
      // The caller left, the VM was killed, or the answer was cut.
      this.unanswered.push(id);
      return null;
    }
  }

  /** Sends a crashing request to one VM after the other, as its caller repeats it. */
  repeat(opts: Partial<CellRequest> = {}): Promise<Answers> {
    return this.sendEach(REPEAT_MS, { ...CRASHING, ...opts });
  }

  /** Requests that ran and whose callers got no answer. */
  cutRequests(): readonly string[] {
    return this.unanswered.filter((id) => this.ledger.runs.has(id));
  }

  /** Sends requests to one VM after the other until the cell's time is over. */
  async sendEach(pauseMs: number, opts: Partial<CellRequest>): Promise<Answers> {
    const answers: Promise<number | null>[] = [];
    for (let at = 0; performance.now() < this.endsAtMs; at += 1) {
      const vm = this.vms[at % this.vms.length] as SoakVm;
      const body = (opts.body ?? '').replace('#', String(at));
      answers.push(this.send(vm, { ...opts, body }));
      await clocks.sleep(pauseMs);
    }
    return Promise.all(answers);
  }

  /** Resolves `ms` after the first server has ended under a crashing request. */
  async untilAfterFirstEnd(ms: number): Promise<void> {
    while (this.ledger.ends.length === 0) await clocks.sleep(10);
    await clocks.sleep(ms);
  }

  /** Arrivals of a crashing request at servers later than the bound after the third end. */
  lateArrivals(name = 'it'): number {
    return lateArrivals(this.ledger, name);
  }

  private async begin(program: string, opts: CrashCellOptions): Promise<void> {
    const address = await this.store.start();
    this.store.put('config', 'main', configOf());
    Array.from({ length: opts.servers }, (_, at) => this.addServer(`desk-${at}`, at, opts.crash));
    await Promise.all(this.engines.map((engine) => engine.start()));
    for (let at = 0; at < opts.vms; at += 1) {
      const dataCentre = DATA_CENTRES[at % DATA_CENTRES.length] ?? 'a';
      const { times } = opts;
      this.vms.push(
        await SoakVm.create(`vm-${at}`, dataCentre, address, program, this.folder, times),
      );
    }
    this.vms.forEach((vm) => vm.start());
    await Promise.all(this.vms.map((vm) => vm.untilReady()));
    this.endsAtMs = performance.now() + opts.forMs;
  }

  private addServer(name: string, at: number, crash: Partial<CrashRule>): void {
    const spec = {
      name,
      service: 'desk',
      dataCentre: DATA_CENTRES[at % DATA_CENTRES.length] ?? 'a',
      slots: 8,
      memoryMb: 0,
      models: [],
      entry: ENTRY_TIMES,
      crash: { ...USUAL_CRASH, ...crash },
    };
    this.engines.push(new SoakEngine(spec, this.store, this.ledger));
  }
}
