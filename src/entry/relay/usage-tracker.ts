/** Aggregates running requests and request rates from the reports of all entry VMs. */
import type { Replica } from '../../decisions/swaps/index.js';
import type { RelayMessageOf } from './messages.js';

/** Time constant of the moving average of request rates, ms. */
const RATE_WINDOW_MS = 4_000;
const MS_PER_S = 1000;

/** An exponentially decaying average. */
interface Rate {
  perS: number;
  atMs: number;
}

function decayed(rate: Rate, nowMs: number): number {
  return rate.perS * Math.exp((rate.atMs - nowMs) / RATE_WINDOW_MS);
}

export class UsageTracker {
  private readonly rateByModel = new Map<string, Rate>();

  /** Running requests per server, per model on a server, and per adapter of a model on a server. */
  private running = new Map<string, number>();

  /** When requests were last running, keyed like `running`. */
  private readonly usedAtMs = new Map<string, number>();

  /** When a model or adapter was first seen loaded, keyed like `running`. */
  private readonly loadedSinceMs = new Map<string, number>();

  /** Updates the request rates with the newly admitted requests of an entry VM's report. */
  note(nowMs: number, report: RelayMessageOf<'report'>): void {
    report.usage.forEach(({ model, requests }) => {
      const rate = this.rateByModel.get(model) ?? { perS: 0, atMs: nowMs };
      const perS = decayed(rate, nowMs) + (requests * MS_PER_S) / RATE_WINDOW_MS;
      this.rateByModel.set(model, { perS, atMs: nowMs });
    });
  }

  /** Sums the running requests over the latest report of each entry VM. */
  sumRunning(nowMs: number, reports: readonly RelayMessageOf<'report'>[]): void {
    const next = new Map<string, number>();
    const add = (key: string, count: number) => {
      next.set(key, (next.get(key) ?? 0) + count);
      this.usedAtMs.set(key, nowMs);
    };
    reports.forEach((report) =>
      report.running.forEach(({ server, model, adapter, running }) => {
        add(server, running);
        if (model !== null) add(`${server} ${model}`, running);
        if (model !== null && adapter !== null) add(`${server} ${model}/${adapter}`, running);
      }),
    );
    this.running = next;
  }

  runningAt(serverId: string): number {
    return this.running.get(serverId) ?? 0;
  }

  runningWith(serverId: string, model: string): number {
    return this.running.get(`${serverId} ${model}`) ?? 0;
  }

  rates(nowMs: number): ReadonlyMap<string, number> {
    return new Map([...this.rateByModel].map(([model, rate]) => [model, decayed(rate, nowMs)]));
  }

  /**
   * A replica of a model on a server, with its usage. The first call after a model or adapter was
   * loaded records its load time.
   */
  replica(nowMs: number, serverId: string, model: string, adapters: ReadonlySet<string>): Replica {
    const key = `${serverId} ${model}`;
    const keys = [...adapters].map((adapter) => [adapter, `${key}/${adapter}`] as const);
    const names = [key, ...keys.map(([, name]) => name)];
    names
      .filter((name) => !this.loadedSinceMs.has(name))
      .forEach((name) => this.loadedSinceMs.set(name, nowMs));
    // A model or adapter without requests so far counts as last used when it was loaded.
    const usedAt = (name: string) =>
      Math.max(this.usedAtMs.get(name) ?? 0, this.loadedSinceMs.get(name) ?? 0);
    return {
      model,
      adapters,
      running: this.running.get(key) ?? 0,
      runningAdapters: new Map(keys.map(([name, at]) => [name, this.running.get(at) ?? 0])),
      loadedAtMs: this.loadedSinceMs.get(key) ?? nowMs,
      usedAtMs: usedAt(key),
      adapterUsedAtMs: new Map(keys.map(([name, at]) => [name, usedAt(at)])),
    };
  }

  /** Removes the load time of an unloaded adapter, or of an unloaded model and all its adapters. */
  noteUnloaded(serverId: string, model: string, adapter: string | null): void {
    const key = `${serverId} ${model}`;
    if (adapter !== null) this.loadedSinceMs.delete(`${key}/${adapter}`);
    else {
      [...this.loadedSinceMs.keys()]
        .filter((name) => name === key || name.startsWith(`${key}/`))
        .forEach((name) => this.loadedSinceMs.delete(name));
    }
  }
}
