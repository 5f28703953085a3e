/** A small deployment inside the test process: daemons and stand-ins on real sockets. */
import * as undici from 'undici';
import * as clock from '../../src/core/clock/index.js';
import { createLogger } from '../../src/core/logger/index.js';
import { parseSettings } from '../../src/core/settings/index.js';
import type { NodeEdit } from '../../src/decisions/settings-tree/index.js';
import { digestOf } from '../../src/entry/gateway/authenticate.js';
import { createPlatformClient, type PlatformClient } from '../../src/entry/platform/index.js';
import { TreeStore } from '../../src/entry/settings/tree-store.js';
import { type Daemon, startDaemon } from '../../src/entry/wire.js';
import { callControlEndpoint } from '../../src/lab/fleet/index.js';
import * as engines from '../../src/standins/engine/index.js';
import * as links from '../../src/standins/link/index.js';
import type { StandinServer } from '../../src/standins/http/index.js';
import * as platforms from '../../src/standins/platform/index.js';
import * as services from '../../src/standins/service/index.js';
import * as weightStores from '../../src/standins/weights/index.js';

export const KEY = 'bsk_test_small';
export const LARGE_KEY = 'bsk_test_large';
const WAIT_TIMEOUT_MS = 15_000;

export interface LocalFleetSpec {
  /** Data centre of each entry VM. */
  readonly entries: readonly string[];
  /** Data centre of each engine. */
  readonly engines: readonly string[];
  /** Data centre of each server of the plain service `desk`. */
  readonly services?: readonly string[];
  readonly edits?: readonly NodeEdit[];
  readonly slots?: number;
  readonly tokenMs?: number;
  readonly memoryMb?: number;
  /**
   * Routes the traffic from peers and to the platform of each entry VM through links that can be
   * cut.
   */
  readonly links?: boolean;
}

export interface LocalEntry {
  readonly id: string;
  readonly dataCentre: string;
  readonly daemon: Daemon;
  /** Address that is advertised to peers: that of the link, if there is one. */
  readonly peersAddress: string;
  readonly peerLink: links.NetworkLink | null;
  readonly platformLink: links.NetworkLink | null;
}

export interface CallerResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Body of an error response. */
export interface ErrorBody {
  readonly error: { readonly type: string; readonly ran: string; readonly retryAfterMs: number };
}

export class LocalFleet {
  readonly entries: LocalEntry[] = [];

  readonly engines: StandinServer[] = [];

  readonly services: StandinServer[] = [];

  private entriesStarted = 0;

  private constructor(
    private readonly spec: LocalFleetSpec,
    readonly platform: StandinServer,
    readonly weights: StandinServer,
    readonly client: PlatformClient,
  ) {}

  static async start(spec: LocalFleetSpec): Promise<LocalFleet> {
    const local = '127.0.0.1:0';
    const platform = await platforms.start(local);
    const speed = { mbPerS: 100_000, latencyMs: 1, adapterMs: 5 };
    const weights = await weightStores.start(local, speed);
    const client = createPlatformClient(platform.address, 2_000);
    const fleet = new LocalFleet(spec, platform, weights, client);
    await fleet.startBackends();
    await fleet.edit(fleet.treeEdits());
    await spec.entries.reduce(
      (before, dataCentre) =>
        before.then(async () => {
          await fleet.addEntry(dataCentre);
        }),
      Promise.resolve(),
    );
    await fleet.settle();
    return fleet;
  }

  async edit(edits: readonly NodeEdit[]): Promise<void> {
    const id = `test-${performance.now()}`;
    const result = await new TreeStore(this.client).edit(edits, id, null);
    if (result.isErr) throw new Error(result.error.message);
  }

  async addEntry(dataCentre: string): Promise<LocalEntry> {
    this.entriesStarted += 1;
    const id = `${dataCentre}-vm-${this.entriesStarted}`;
    const local = '"127.0.0.1:0"';
    const seeds = this.entries.map(({ peersAddress }) => `"${peersAddress}"`).join(', ');
    const usesLinks = this.spec.links === true;
    const peerLink = usesLinks ? await links.start('') : null;
    const platformLink = usesLinks ? await links.start(this.platform.address) : null;
    const advertised = peerLink === null ? '' : `, peersAdvertised = "${peerLink.address}"`;
    const platform = platformLink?.address ?? this.platform.address;
    const text = `
      peers = [${seeds}]
      vm = { id = "${id}", dataCentre = "${dataCentre}" }
      listen = { callers = ${local}, peers = ${local}, admin = ${local}${advertised} }
      platform = { address = "${platform}", timeoutMs = 500 }
      limits = { bodyBytes = 65536, slowSenderMs = 1000 }
      stop = { noticeMs = 100, graceMs = 20000 }`;
    const settings = parseSettings(text, id);
    if (settings.isErr) throw new Error(settings.error.message);
    const daemon = await startDaemon(settings.value, createLogger(id, 'silent'));
    const { peersAddress } = daemon;
    if (peerLink !== null) peerLink.target = daemon.boundPeersAddress;
    const entry = { id, dataCentre, daemon, peersAddress, peerLink, platformLink };
    this.entries.push(entry);
    await this.publishVms();
    return entry;
  }

  async publishVms(): Promise<void> {
    const vms = this.entries.map(({ id, dataCentre, peersAddress }) => ({
      id,
      dataCentre,
      address: peersAddress,
      state: 'live',
    }));
    await callControlEndpoint(this.platform.address, '/_vms', { vms });
  }

  /** Stops an entry VM gracefully and removes it from the platform's VM list. */
  async stopEntry(entry: LocalEntry): Promise<void> {
    this.entries.splice(this.entries.indexOf(entry), 1);
    await entry.daemon.stop(false);
    await this.publishVms();
  }

  entry(index: number): LocalEntry {
    const entry = this.entries[index];
    if (entry === undefined) throw new Error(`no entry VM has index ${index}`);
    return entry;
  }

  engine(index: number): StandinServer {
    const engine = this.engines[index];
    if (engine === undefined) throw new Error(`no engine has index ${index}`);
    return engine;
  }

  /** Sets faults of a stand-in; those that are not named stay as they are. */
  setFaults(standin: { readonly address: string }, faults: object): Promise<unknown> {
    return callControlEndpoint(standin.address, '/_faults', faults);
  }

  /** Counters of a stand-in; waits until it answers, as it may be restarting after a crash. */
  async counters<T>(standin: { readonly address: string }): Promise<T> {
    await this.until('the stand-in answers', async () => {
      await callControlEndpoint(standin.address, '/_counters');
      return true;
    });
    return callControlEndpoint<T>(standin.address, '/_counters');
  }

  status<T>(index: number): Promise<T> {
    return callControlEndpoint<T>(this.entry(index).daemon.adminAddress, '/status');
  }

  async send(
    index: number,
    method: 'GET' | 'POST',
    path: string,
    opts: { body?: string; key?: string | null; headers?: Record<string, string> } = {},
  ): Promise<CallerResponse> {
    const key = opts.key === undefined ? KEY : opts.key;
    const res = await undici.request(`http://${this.entry(index).daemon.callersAddress}${path}`, {
      method,
      body: opts.body ?? null,
      headers: {
        ...(key === null ? {} : { authorization: `Bearer ${key}` }),
        ...opts.headers,
      },
    });
    return { status: res.statusCode, headers: res.headers, text: await res.body.text() };
  }

  complete(
    index: number,
    body: { model?: string; prompt?: string; max_tokens?: number; stream?: boolean },
    opts: { key?: string; headers?: Record<string, string> } = {},
  ): Promise<CallerResponse> {
    const completion = { model: 'wheel', prompt: 'a caster', max_tokens: 8, ...body };
    return this.send(index, 'POST', '/v1/completions', {
      ...opts,
      body: JSON.stringify(completion),
    });
  }

  /** Waits until `check` resolves with true; a rejection counts as false. */
  async until(what: string, check: () => Promise<boolean>): Promise<void> {
    const endMs = performance.now() + WAIT_TIMEOUT_MS;
    while (!(await check().catch(() => false))) {
      if (performance.now() > endMs) throw new Error(`timed out waiting until ${what}`);
      await clock.sleep(20);
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.entries.map(({ daemon }) => daemon.stop(true)));
    await this.client.close();
    const networkLinks = this.entries.flatMap(({ peerLink, platformLink }) => [
      peerLink,
      platformLink,
    ]);
    await Promise.all(networkLinks.map((link) => link?.close()));
    const standins = [...this.engines, ...this.services, this.platform, this.weights];
    await Promise.all(standins.map((standin) => standin.close()));
  }

  /** Waits until all entry VMs know each other and a steward, and each data centre has a lender. */
  async settle(): Promise<void> {
    interface Status {
      readonly steward: string | null;
      readonly self: { readonly lender: boolean };
      readonly members: readonly { readonly lender: boolean }[];
    }
    const dataCentres = new Set(this.spec.entries).size;
    await this.until('all entry VMs know each other, a steward and the lenders', async () => {
      const all = await Promise.all(this.entries.map((_, index) => this.status<Status>(index)));
      return all.every(
        ({ steward, self, members }) =>
          steward !== null &&
          members.length === this.entries.length - 1 &&
          [self, ...members].filter(({ lender }) => lender).length === dataCentres,
      );
    });
  }

  private async startBackends(): Promise<void> {
    const { slots = 4, tokenMs = 1, memoryMb = 40_000 } = this.spec;
    const startedEngines = await Promise.all(
      this.spec.engines.map((_, index) =>
        engines.start('127.0.0.1:0', {
          engineId: `engine-${index}`,
          memoryMb,
          slots,
          fencing: true,
          tokenMs,
          prefillMs: 1,
          weights: this.weights.address,
        }),
      ),
    );
    this.engines.push(...startedEngines);
    const startedServices = await Promise.all(
      (this.spec.services ?? []).map(() => services.start('127.0.0.1:0')),
    );
    this.services.push(...startedServices);
  }

  private treeEdits(): readonly NodeEdit[] {
    const { slots = 4, memoryMb = 40_000 } = this.spec;
    const customer = (name: string, key: string): readonly NodeEdit[] => [
      { path: `/customers/${name}`, values: { ratePerS: 10_000, burst: 50_000 } },
      { path: `/customers/${name}/keys/k1`, values: { sha256: digestOf(key) } },
    ];
    return [
      {
        path: '/',
        values: {
          dataCentres: [...new Set(this.spec.entries)],
          entryVms: Math.max(
            1,
            Math.round(this.spec.entries.length / new Set(this.spec.entries).size),
          ),
        },
      },
      { path: '/services/drafting', values: { kind: 'model', deadlineMs: 10_000 } },
      { path: '/services/drafting/models/wheel', values: { bytesMb: 16_000 } },
      { path: '/services/drafting/models/caster', values: { bytesMb: 16_000 } },
      { path: '/services/drafting/models/wheel/adapters/wheel-es', values: { bytesMb: 200 } },
      { path: '/services/desk', values: { kind: 'plain', deadlineMs: 3_000 } },
      ...customer('small', KEY),
      ...customer('large', LARGE_KEY),
      ...this.engines.map(({ address }, index): NodeEdit => ({
        path: `/backends/all/engine-${index}`,
        values: {
          kind: 'model',
          service: 'drafting',
          dataCentre: this.spec.engines[index],
          address,
          memoryMb,
          slots,
        },
      })),
      ...this.services.map(({ address }, index): NodeEdit => ({
        path: `/backends/all/desk-${index}`,
        values: {
          kind: 'plain',
          service: 'desk',
          dataCentre: this.spec.services?.[index],
          address,
        },
      })),
      ...(this.spec.edits ?? []),
    ];
  }
}

/** The error in the body of an error response. */
export function errorOf({ text }: CallerResponse): ErrorBody['error'] {
  return (JSON.parse(text) as ErrorBody).error;
}
