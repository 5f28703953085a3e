/** Stand-in of the platform: object API with versions, conditional updates and watches; VM list. */
import type * as http from 'node:http';
import * as clock from '../../core/clock/index.js';
import * as standinHttp from '../http/index.js';

/** Faults that can be switched on while it runs. */
export interface PlatformFaults {
  /** Ends every connection without an answer. */
  down: boolean;
  /** Delay of each answer, ms. */
  slowMs: number;
  /** Writes that take effect and whose answers are lost, from now on. */
  loseAnswers: number;
  /** How far the VM list lags, ms. */
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

const LONGEST_WATCH_MS = 30_000;

class PlatformStandin {
  readonly faults: PlatformFaults = { down: false, slowMs: 0, loseAnswers: 0, vmListLagMs: 0 };

  private readonly objects = new Map<string, StoredObject>();

  private readonly watchers = new Map<string, Set<() => void>>();

  private vmLists: { readonly atMs: number; readonly vms: readonly Vm[] }[] = [];

  private lastVersion = 0;

  private readonly counts = { reads: 0, writes: 0, conflicts: 0, lists: 0, watches: 0, vmLists: 0 };

  async handle(req: standinHttp.StandinRequest, res: http.ServerResponse): Promise<void> {
    if (standinHttp.handleControl(req, res, this.faults, () => this.counts)) return;
    if (req.url.pathname === '/_vms') {
      this.setVms(req, res);
      return;
    }
    if (this.faults.down) {
      res.destroy();
      return;
    }
    if (this.faults.slowMs > 0) await clock.sleep(this.faults.slowMs);
    await this.handleApi(req, res);
  }

  private async handleApi(
    req: standinHttp.StandinRequest,
    res: http.ServerResponse,
  ): Promise<void> {
    const { pathname } = req.url;
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
    this.watchers.get(key)?.forEach((wake) => wake());
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
    const waitMs = Math.min(LONGEST_WATCH_MS, Number(req.url.searchParams.get('timeoutMs') ?? 0));
    if ((this.objects.get(key)?.version ?? 0) === since) await this.changed(key, waitMs, res);
    if (this.faults.down) res.destroy();
    else standinHttp.sendJson(res, 200, this.objects.get(key) ?? { version: 0, value: null });
  }

  private changed(key: string, waitMs: number, res: http.ServerResponse): Promise<void> {
    return new Promise((resolve) => {
      const wakers = this.watchers.get(key) ?? new Set();
      this.watchers.set(key, wakers);
      let timer: NodeJS.Timeout | null = null;
      const wake = () => {
        if (timer !== null) clearTimeout(timer);
        wakers.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, waitMs);
      wakers.add(wake);
      res.once('close', wake);
    });
  }

  private setVms(req: standinHttp.StandinRequest, res: http.ServerResponse): void {
    const { vms } = JSON.parse(req.body.toString('utf8')) as { vms: Vm[] };
    this.vmLists = [...this.vmLists, { atMs: performance.now(), vms }].slice(-100);
    standinHttp.sendJson(res, 200, {});
  }

  private listVms(res: http.ServerResponse): void {
    this.counts.vmLists += 1;
    const seenAtMs = performance.now() - this.faults.vmListLagMs;
    const seen = this.vmLists.filter(({ atMs }) => atMs <= seenAtMs).at(-1);
    standinHttp.sendJson(res, 200, { vms: seen?.vms ?? [] });
  }
}

/** A platform stand-in that listens at `listen`. */
export function start(listen: string): Promise<standinHttp.Listener> {
  const platform = new PlatformStandin();
  return standinHttp.serve(listen, (req, res) => platform.handle(req, res));
}
