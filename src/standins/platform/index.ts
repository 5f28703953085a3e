/** Stand-in for the platform: versioned objects, conditional writes, watches and the VM list. */
import type * as http from 'node:http';
import * as clock from '../../core/clock/index.js';
import { ERA_HEADER } from '../../entry/platform/types.js';
import * as standinHttp from '../http/index.js';

/** Faults that can be changed at run time. */
export interface PlatformFaults {
  /** Closes every connection without a response. */
  down: boolean;
  /** Delay of each response, ms. */
  slowMs: number;
  /** Number of upcoming writes that take effect but get no response. */
  loseAnswers: number;
  /** Delay until a published VM list becomes visible, ms. */
  vmListLagMs: number;
}

interface StoredObject {
  readonly version: number;
  readonly value: unknown;
}

interface Vm {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly state: string;
}

export interface PlatformCounters {
  readonly reads: number;
  readonly writes: number;
  readonly conflicts: number;
  readonly lists: number;
  readonly watches: number;
  readonly vmLists: number;
}

/** Upper limit of the time that a watch waits for a change. */
const MAX_WATCH_MS = 30_000;

class PlatformStandin {
  readonly faults: PlatformFaults = { down: false, slowMs: 0, loseAnswers: 0, vmListLagMs: 0 };

  private readonly objects = new Map<string, StoredObject>();

  /** Callbacks of the waiting watches, by key. */
  private readonly watchers = new Map<string, Set<() => void>>();

  /** Published VM lists, oldest first. */
  private vmLists: { readonly atMs: number; readonly vms: readonly Vm[] }[] = [];

  private lastVersion = 0;

  /** How often the platform has returned from a copy. */
  private era = 0;

  /** A copy of the objects, from which the platform can return. */
  private copy: { readonly objects: ReadonlyMap<string, StoredObject>; readonly version: number } =
    {
      objects: new Map(),
      version: 0,
    };

  private readonly counts = { reads: 0, writes: 0, conflicts: 0, lists: 0, watches: 0, vmLists: 0 };

  async handle(req: standinHttp.StandinRequest, res: http.ServerResponse): Promise<void> {
    if (standinHttp.handleControl(req, res, this.faults, () => this.counts)) return;
    if (req.url.pathname === '/_vms') {
      this.setVms(req, res);
      return;
    }
    if (this.handleCopy(req, res)) return;
    if (this.faults.down) {
      res.destroy();
      return;
    }
    if (this.faults.slowMs > 0) await clock.sleep(this.faults.slowMs);
    await this.handleApi(req, res);
  }

  /** Control endpoints that make a copy of the objects, and return to it: later writes are lost. */
  private handleCopy(req: standinHttp.StandinRequest, res: http.ServerResponse): boolean {
    const { pathname } = req.url;
    if (pathname === '/_copy') {
      this.copy = { objects: new Map(this.objects), version: this.lastVersion };
    } else if (pathname === '/_restore') {
      this.era += 1;
      this.objects.clear();
      this.copy.objects.forEach((object, key) => this.objects.set(key, object));
      this.lastVersion = this.copy.version;
      [...this.watchers.values()].forEach((callbacks) => callbacks.forEach((notify) => notify()));
    } else {
      return false;
    }
    standinHttp.sendJson(res, 200, {});
    return true;
  }

  private async handleApi(
    req: standinHttp.StandinRequest,
    res: http.ServerResponse,
  ): Promise<void> {
    const { pathname } = req.url;
    res.setHeader(ERA_HEADER, String(this.era));
    if (pathname === '/list') this.list(req, res);
    else if (pathname === '/watch') await this.watch(req, res);
    else if (pathname === '/vms') this.listVms(res);
    else if (pathname.startsWith('/objects/')) this.handleObject(req, res);
    else standinHttp.sendJson(res, 404, { error: 'no such path' });
  }

  private handleObject(req: standinHttp.StandinRequest, res: http.ServerResponse): void {
    const key = decodeURIComponent(req.url.pathname.slice('/objects/'.length));
    if (req.method === 'GET') {
      this.read(key, res);
      return;
    }
    this.counts.writes += 1;
    const expected = Number(req.headers['if-match'] ?? 0);
    const current = this.objects.get(key)?.version ?? 0;
    if (expected !== current) {
      this.counts.conflicts += 1;
      standinHttp.sendJson(res, 409, { version: current });
      return;
    }
    this.store(key, req);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      res.destroy();
      return;
    }
    standinHttp.sendJson(res, 200, { version: this.objects.get(key)?.version ?? 0 });
  }

  private read(key: string, res: http.ServerResponse): void {
    this.counts.reads += 1;
    const object = this.objects.get(key);
    if (object === undefined) standinHttp.sendJson(res, 404, { error: 'no such object' });
    else standinHttp.sendJson(res, 200, object);
  }

  private store(key: string, req: standinHttp.StandinRequest): void {
    this.lastVersion += 1;
    if (req.method === 'DELETE') this.objects.delete(key);
    else {
      const { value } = JSON.parse(req.body.toString('utf8')) as { value: unknown };
      this.objects.set(key, { version: this.lastVersion, value });
    }
    this.watchers.get(key)?.forEach((notify) => notify());
  }

  private list(req: standinHttp.StandinRequest, res: http.ServerResponse): void {
    this.counts.lists += 1;
    const prefix = req.url.searchParams.get('prefix') ?? '';
    const objects = [...this.objects]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, object]) => ({ key, ...object }));
    standinHttp.sendJson(res, 200, { objects });
  }

  private async watch(req: standinHttp.StandinRequest, res: http.ServerResponse): Promise<void> {
    this.counts.watches += 1;
    const key = req.url.searchParams.get('key') ?? '';
    const since = Number(req.url.searchParams.get('since') ?? 0);
    const waitMs = Math.min(MAX_WATCH_MS, Number(req.url.searchParams.get('timeoutMs') ?? 0));
    if ((this.objects.get(key)?.version ?? 0) === since) await this.waitForChange(key, waitMs, res);
    res.setHeader(ERA_HEADER, String(this.era));
    if (this.faults.down) res.destroy();
    else standinHttp.sendJson(res, 200, this.objects.get(key) ?? { version: 0, value: null });
  }

  /** Resolves when the object changes, the caller disconnects or `waitMs` is over. */
  private waitForChange(key: string, waitMs: number, res: http.ServerResponse): Promise<void> {
    return new Promise((resolve) => {
      const callbacks = this.watchers.get(key) ?? new Set();
      this.watchers.set(key, callbacks);
      let timer: NodeJS.Timeout | null = null;
      const notify = () => {
        if (timer !== null) clearTimeout(timer);
        callbacks.delete(notify);
        resolve();
      };
      timer = setTimeout(notify, waitMs);
      callbacks.add(notify);
      res.once('close', notify);
    });
  }

  private setVms(req: standinHttp.StandinRequest, res: http.ServerResponse): void {
    const { vms } = JSON.parse(req.body.toString('utf8')) as { vms: Vm[] };
    this.vmLists = [...this.vmLists, { atMs: performance.now(), vms }].slice(-100);
    standinHttp.sendJson(res, 200, {});
  }

  private listVms(res: http.ServerResponse): void {
    this.counts.vmLists += 1;
    const publishedBeforeMs = performance.now() - this.faults.vmListLagMs;
    const visible = this.vmLists.filter(({ atMs }) => atMs <= publishedBeforeMs).at(-1);
    standinHttp.sendJson(res, 200, { vms: visible?.vms ?? [] });
  }
}

/** Starts a platform stand-in that listens at `listen`. */
export function start(listen: string): Promise<standinHttp.StandinServer> {
  const platform = new PlatformStandin();
  return standinHttp.serve(listen, (req, res) => platform.handle(req, res));
}
