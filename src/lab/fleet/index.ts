/** Starts a whole fleet on this machine: stand-ins and daemons, each a process of its own. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import * as clock from '../../core/clock/index.js';
import type { NodeEdit } from '../../decisions/settings-tree/index.js';
import { createPlatformClient, type PlatformClient } from '../../entry/platform/index.js';
import { TreeStore } from '../../entry/settings/tree-store.js';
import { bundle } from './bundle.js';
import { startProcess } from './process.js';
import type { FleetProcess, FleetSpec } from './types.js';

export type * from './types.js';

const PLATFORM_TIMEOUT_MS = 2_000;
const CONTROL_TIMEOUT_MS = 2_000;
const STOP_PATIENCE_MS = 10_000;

export interface Entry {
  readonly id: string;
  readonly dataCentre: string;
  readonly process: FleetProcess;
}

/** Posts JSON to a stand-in's control path, or reads it without a body. */
export async function control<T>(address: string, route: string, body?: object): Promise<T> {
  const answer = await undici.request(`http://${address}${route}`, {
    method: body === undefined ? 'GET' : 'POST',
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
  });
  return (await answer.body.json()) as T;
}

export class Fleet {
  readonly entries: Entry[] = [];

  readonly engines = new Map<string, FleetProcess>();

  readonly services: FleetProcess[] = [];

  readonly client: PlatformClient;

  private lastEntry = 0;

  private constructor(
    private readonly spec: FleetSpec,
    private readonly program: string,
    private readonly folder: string,
    readonly platform: FleetProcess,
    readonly weights: FleetProcess,
  ) {
    this.client = createPlatformClient(this.platformAddress, PLATFORM_TIMEOUT_MS);
  }

  /** Starts stand-ins; then edits the tree by `extraEdits`, and starts the daemons. */
  static async start(spec: FleetSpec, extraEdits: readonly NodeEdit[]): Promise<Fleet> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-'));
    const program = path.join(folder, 'bilberrystand.cjs');
    await bundle(program);
    const standin = (name: string, ...args: string[]) =>
      startProcess(name, program, ['standin', ...args], path.join(folder, `${name}.log`));
    const [platform, weights] = await Promise.all([
      standin('platform', 'platform'),
      standin('weights', 'weights', `--mbPerS=${spec.weightsMbPerS}`),
    ]);
    const fleet = new Fleet(spec, program, folder, platform, weights);
    await fleet.startBackends();
    await fleet.edit([...fleet.treeEdits(), ...extraEdits]);
    const seats = spec.dataCentres.flatMap((dataCentre) =>
      Array.from({ length: spec.entryVms }, () => dataCentre),
    );
    await Promise.all(seats.map((dataCentre) => fleet.addEntry(dataCentre)));
    return fleet;
  }

  get platformAddress(): string {
    return this.platform.started.address ?? '';
  }

  async edit(edits: readonly NodeEdit[]): Promise<void> {
    const store = new TreeStore(this.client);
    const result = await store.edit(edits, `lab-${Date.now()}-${Math.random()}`, null);
    if (result.isErr) throw new Error(result.error.message);
  }

  /** Starts an entry VM, which the platform then lists. */
  async addEntry(dataCentre: string): Promise<Entry> {
    this.lastEntry += 1;
    const id = `${dataCentre}-vm-${this.lastEntry}`;
    const file = path.join(this.folder, `${id}.toml`);
    fs.writeFileSync(file, this.settingsText(id, dataCentre));
    const log = path.join(this.folder, `${id}.log`);
    const args = ['serve', '--settings', file];
    const entry = { id, dataCentre, process: await startProcess(id, this.program, args, log) };
    this.entries.push(entry);
    await this.publishVms();
    return entry;
  }

  /** Forgets an entry VM that was killed or stopped. */
  removeEntry(entry: Entry): void {
    this.entries.splice(this.entries.indexOf(entry), 1);
  }

  /** Tells the platform stand-in which VMs exist, as the real platform knows by itself. */
  async publishVms(): Promise<void> {
    const vms = this.entries.map(({ id, dataCentre, process: { started } }) => ({
      id,
      dataCentre,
      address: started.peersAddress,
      state: 'live',
    }));
    await control(this.platformAddress, '/_vms', { vms });
  }

  /** Waits until `check` holds. */
  async until(what: string, patienceMs: number, check: () => Promise<boolean>): Promise<void> {
    const endMs = performance.now() + patienceMs;
    while (!(await check().catch(() => false))) {
      if (performance.now() > endMs) throw new Error(`${what}: not within ${patienceMs} ms`);
      await clock.sleep(50);
    }
  }

  /** Waits until every entry VM is ready and knows the steward and the lender of its data centre. */
  async settle(patienceMs = 30_000): Promise<void> {
    interface Status {
      readonly ready: boolean;
      readonly steward: string | null;
      readonly members: readonly { readonly lender: boolean }[];
      readonly self: { readonly lender: boolean };
    }
    await this.until('fleet settles', patienceMs, async () => {
      const all = await Promise.all(
        this.entries.map(({ process: { started } }) =>
          control<Status>(started.adminAddress ?? '', '/status'),
        ),
      );
      return all.every(
        ({ ready, steward, members, self }) =>
          ready &&
          steward !== null &&
          members.length === this.entries.length - 1 &&
          [self, ...members].filter(({ lender }) => lender).length === this.spec.dataCentres.length,
      );
    });
  }

  async stop(): Promise<void> {
    const all = [
      ...this.entries.map(({ process: entry }) => entry),
      ...this.engines.values(),
      ...this.services,
      this.platform,
      this.weights,
    ];
    all.forEach((child) => {
      child.signal('SIGCONT');
      child.signal('SIGKILL');
    });
    await Promise.race([
      Promise.all(all.map(({ exited }) => exited)),
      clock.sleep(STOP_PATIENCE_MS),
    ]);
    await this.client.close();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  private async startBackends(): Promise<void> {
    const run = (name: string, args: readonly string[]) =>
      startProcess(name, this.program, ['standin', ...args], path.join(this.folder, `${name}.log`));
    const engines = this.spec.engines.map(async ({ id, fencing, memoryMb, slots }) => {
      const args = [
        'engine',
        `--id=${id}`,
        `--weights=${this.weights.started.address}`,
        `--memoryMb=${memoryMb}`,
        `--slots=${slots}`,
        `--tokenMs=${this.spec.tokenMs}`,
        fencing ? '--fencing' : '--no-fencing',
      ];
      this.engines.set(id, await run(id, args));
    });
    const services = this.spec.services.map(async ({ name }, index) => {
      this.services[index] = await run(`${name}-${index}`, ['service']);
    });
    await Promise.all([...engines, ...services]);
  }

  private treeEdits(): readonly NodeEdit[] {
    const { dataCentres, entryVms, engines, services } = this.spec;
    const addressOf = (child: FleetProcess | undefined) => child?.started.address ?? '';
    return [
      { path: '/', values: { dataCentres: [...dataCentres], entryVms } },
      ...engines.map(({ id, dataCentre, fencing, memoryMb, slots }): NodeEdit => ({
        path: `/backends/${dataCentre}/${id}`,
        values: {
          kind: 'model',
          service: 'drafting',
          address: addressOf(this.engines.get(id)),
          dataCentre,
          memoryMb,
          fencing,
          slots,
        },
      })),
      ...services.map(({ name, dataCentre }, index): NodeEdit => ({
        path: `/backends/${dataCentre}/${name}-${index}`,
        values: {
          kind: 'plain',
          service: name,
          address: addressOf(this.services[index]),
          dataCentre,
        },
      })),
    ];
  }

  private settingsText(id: string, dataCentre: string): string {
    const seeds = this.entries.map(({ process: { started } }) => `"${started.peersAddress}"`);
    return [
      `peers = [${seeds.join(', ')}]`,
      '[vm]',
      `id = "${id}"`,
      `dataCentre = "${dataCentre}"`,
      '[listen]',
      'callers = "127.0.0.1:0"',
      'peers = "127.0.0.1:0"',
      'admin = "127.0.0.1:0"',
      '[platform]',
      `address = "${this.platformAddress}"`,
      '[stop]',
      'noticeMs = 300',
      'graceMs = 20000',
    ].join('\n');
  }
}
