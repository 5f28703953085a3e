/** Starts a fleet on this machine: stand-ins and entry VM daemons, each in its own process. */
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
const STOP_TIMEOUT_MS = 10_000;

/** A running entry VM. */
export interface EntryVm {
  readonly id: string;
  readonly dataCentre: string;
  readonly process: FleetProcess;
}

/**
 * Calls a control or admin endpoint and returns its JSON response: POST with `body` as JSON, or GET
 * without a body.
 */
export async function callControlEndpoint<T>(
  address: string,
  route: string,
  body?: object,
): Promise<T> {
  const res = await undici.request(`http://${address}${route}`, {
    method: body === undefined ? 'GET' : 'POST',
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
  });
  return (await res.body.json()) as T;
}

/** A running fleet. */
export class Fleet {
  readonly entries: EntryVm[] = [];

  /** Engine stand-ins by engine id. */
  readonly engines = new Map<string, FleetProcess>();

  /** Backend servers of the plain services, in the order of the spec. */
  readonly services: FleetProcess[] = [];

  readonly client: PlatformClient;

  private lastEntryNumber = 0;

  private constructor(
    private readonly spec: FleetSpec,
    private readonly program: string,
    private readonly folder: string,
    readonly platform: FleetProcess,
    readonly weights: FleetProcess,
  ) {
    this.client = createPlatformClient(this.platformAddress, PLATFORM_TIMEOUT_MS);
  }

  /** Starts the stand-ins, writes the settings with `extraEdits`, then starts the entry VMs. */
  static async start(spec: FleetSpec, extraEdits: readonly NodeEdit[]): Promise<Fleet> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-'));
    const program = path.join(folder, 'bilberrystand.cjs');
    await bundle(program);
    const startStandin = (name: string, ...args: string[]) =>
      startProcess(name, program, ['standin', ...args], path.join(folder, `${name}.log`));
    const [platform, weights] = await Promise.all([
      startStandin('platform', 'platform'),
      startStandin('weights', 'weights', `--mbPerS=${spec.weightsMbPerS}`),
    ]);
    const fleet = new Fleet(spec, program, folder, platform, weights);
    await fleet.startBackends();
    await fleet.edit([...fleet.deploymentEdits(), ...extraEdits]);
    const entryDataCentres = spec.dataCentres.flatMap((dataCentre) =>
      Array.from({ length: spec.entryVms }, () => dataCentre),
    );
    await Promise.all(entryDataCentres.map((dataCentre) => fleet.addEntry(dataCentre)));
    return fleet;
  }

  get platformAddress(): string {
    return this.platform.started.address ?? '';
  }

  /** Applies `edits` to the settings tree; throws when the platform rejects them. */
  async edit(edits: readonly NodeEdit[]): Promise<void> {
    const store = new TreeStore(this.client);
    const result = await store.edit(edits, `lab-${Date.now()}-${Math.random()}`, null);
    if (result.isErr) throw new Error(result.error.message);
  }

  /** Starts an entry VM and adds it to the VM list of the platform stand-in. */
  async addEntry(dataCentre: string): Promise<EntryVm> {
    this.lastEntryNumber += 1;
    const id = `${dataCentre}-vm-${this.lastEntryNumber}`;
    const file = path.join(this.folder, `${id}.toml`);
    fs.writeFileSync(file, this.settingsText(id, dataCentre));
    const log = path.join(this.folder, `${id}.log`);
    const args = ['serve', '--settings', file];
    const entry = { id, dataCentre, process: await startProcess(id, this.program, args, log) };
    this.entries.push(entry);
    await this.publishVms();
    return entry;
  }

  /** Removes a killed or stopped entry VM from `entries`; the platform is not updated. */
  removeEntry(entry: EntryVm): void {
    this.entries.splice(this.entries.indexOf(entry), 1);
  }

  /** Sends the VM list to the platform stand-in; the real platform has this list itself. */
  async publishVms(): Promise<void> {
    const vms = this.entries.map(({ id, dataCentre, process: { started } }) => ({
      id,
      dataCentre,
      address: started.peersAddress,
      state: 'live',
    }));
    await callControlEndpoint(this.platformAddress, '/_vms', { vms });
  }

  /** Polls `check` until it returns true; a rejected check counts as false. */
  async until(what: string, timeoutMs: number, check: () => Promise<boolean>): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (!(await check().catch(() => false))) {
      if (performance.now() > endMs) throw new Error(`${what}: timed out after ${timeoutMs} ms`);
      await clock.sleep(50);
    }
  }

  /**
   * Waits until every entry VM reports that it is ready, a steward, all other members and exactly
   * one lender per data centre.
   */
  async settle(timeoutMs = 30_000): Promise<void> {
    interface Status {
      readonly ready: boolean;
      readonly steward: string | null;
      readonly members: readonly { readonly lender: boolean }[];
      readonly self: { readonly lender: boolean };
    }
    await this.until('every entry VM is ready and connected', timeoutMs, async () => {
      const statuses = await Promise.all(
        this.entries.map(({ process: { started } }) =>
          callControlEndpoint<Status>(started.adminAddress ?? '', '/status'),
        ),
      );
      return statuses.every(
        ({ ready, steward, members, self }) =>
          ready &&
          steward !== null &&
          members.length === this.entries.length - 1 &&
          [self, ...members].filter(({ lender }) => lender).length === this.spec.dataCentres.length,
      );
    });
  }

  /** Kills all processes and deletes the temporary folder with their logs. */
  async stop(): Promise<void> {
    const processes = [
      ...this.entries.map(({ process: entry }) => entry),
      ...this.engines.values(),
      ...this.services,
      this.platform,
      this.weights,
    ];
    processes.forEach((child) => {
      child.signal('SIGCONT');
      child.signal('SIGKILL');
    });
    await Promise.race([
      Promise.all(processes.map(({ exited }) => exited)),
      clock.sleep(STOP_TIMEOUT_MS),
    ]);
    await this.client.close();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  private async startBackends(): Promise<void> {
    const startStandin = (name: string, args: readonly string[]) =>
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
      this.engines.set(id, await startStandin(id, args));
    });
    const services = this.spec.services.map(async ({ name }, index) => {
      this.services[index] = await startStandin(`${name}-${index}`, ['service']);
    });
    await Promise.all([...engines, ...services]);
  }

  /** Settings of the data centres and the backend servers. */
  private deploymentEdits(): readonly NodeEdit[] {
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

  /** Settings file of an entry VM, in TOML; the running entry VMs are its peers. */
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
