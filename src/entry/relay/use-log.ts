/** What entry VMs run and how often models are asked for, summed for the steward. */
import type { Place } from '../../decisions/swaps/index.js';
import type { RelayMessageOf } from './messages.js';

/** Time over which rates are averaged, ms. */
const RATE_WINDOW_MS = 4_000;
const MS_PER_S = 1000;

interface Rate {
  perS: number;
  atMs: number;
}

function decayed(rate: Rate, nowMs: number): number {
  return rate.perS * Math.exp((rate.atMs - nowMs) / RATE_WINDOW_MS);
}

export class UseLog {
  private readonly rateByModel = new Map<string, Rate>();

  /** Requests that run, by server, server and model, and server, model and adapter. */
  private running = new Map<string, number>();

  private readonly usedAtMs = new Map<string, number>();

  private readonly heldSinceMs = new Map<string, number>();

  /** Notes the requests that arrived at an entry VM since its last report. */
  note(nowMs: number, report: RelayMessageOf<'report'>): void {
    report.usage.forEach(({ model, requests }) => {
      const rate = this.rateByModel.get(model) ?? { perS: 0, atMs: nowMs };
      const perS = decayed(rate, nowMs) + (requests * MS_PER_S) / RATE_WINDOW_MS;
      this.rateByModel.set(model, { perS, atMs: nowMs });
    });
  }

  /** Sums what runs, from the latest report of each entry VM. */
  sum(nowMs: number, reports: readonly RelayMessageOf<'report'>[]): void {
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

  place(nowMs: number, serverId: string, model: string, adapters: ReadonlySet<string>): Place {
    const key = `${serverId} ${model}`;
    const keys = [...adapters].map((adapter) => [adapter, `${key}/${adapter}`] as const);
    const names = [key, ...keys.map(([, name]) => name)];
    names
      .filter((name) => !this.heldSinceMs.has(name))
      .forEach((name) => this.heldSinceMs.set(name, nowMs));
    // What was not used yet counts from when it was loaded.
    const usedAt = (name: string) =>
      Math.max(this.usedAtMs.get(name) ?? 0, this.heldSinceMs.get(name) ?? 0);
    return {
      model,
      adapters,
      running: this.running.get(key) ?? 0,
      runningAdapters: new Map(keys.map(([name, at]) => [name, this.running.get(at) ?? 0])),
      loadedAtMs: this.heldSinceMs.get(key) ?? nowMs,
      usedAtMs: usedAt(key),
      adapterUsedAtMs: new Map(keys.map(([name, at]) => [name, usedAt(at)])),
    };
  }

  /** Forgets since when a model or adapter is held, once it is unloaded. */
  dropped(serverId: string, model: string, adapter: string | null): void {
    const key = `${serverId} ${model}`;
    if (adapter !== null) this.heldSinceMs.delete(`${key}/${adapter}`);
    else {
      [...this.heldSinceMs.keys()]
        .filter((name) => name === key || name.startsWith(`${key}/`))
        .forEach((name) => this.heldSinceMs.delete(name));
    }
  }
}
