/** Aggregates running requests and request rates from the reports of all entry VMs. */
import type { Replica } from '../../decisions/swaps/index.js';
import type { RelayMessageOf } from './messages.js';

/** Time constant of the moving average of request rates, ms. */
const RATE_WINDOW_MS = 4_000;
/** The same for the rates that are expected later: rarely used models have seconds between requests. */
const EXPECTED_RATE_WINDOW_MS = 30_000;
/** Minimum time of observation from which a mean rate is worked out, s. */
const MIN_OBSERVED_S = 1;
const MS_PER_S = 1000;

/** An exponentially decaying average. */
interface Rate {
  perS: number;
  atMs: number;
}

/** Moving averages of the requests for each model. */
class RateAverages {
  private readonly rateByModel = new Map<string, Rate>();

  constructor(private readonly windowMs: number) {}

  note(nowMs: number, model: string, requests: number): void {
    const before = this.rateByModel.get(model) ?? { perS: 0, atMs: nowMs };
    const perS = this.decayed(before, nowMs) + (requests * MS_PER_S) / this.windowMs;
    this.rateByModel.set(model, { perS, atMs: nowMs });
  }

  all(nowMs: number): ReadonlyMap<string, number> {
    return new Map(
      [...this.rateByModel].map(([model, rate]) => [model, this.decayed(rate, nowMs)]),
    );
  }

  private decayed({ perS, atMs }: Rate, nowMs: number): number {
    return perS * Math.exp((atMs - nowMs) / this.windowMs);
  }
}

/**
 * Tokens that the running requests may need, by server. Requests of earlier builds, which tell none, count
 * with the average of the others.
 */
export function tokensByServer(
  reports: readonly RelayMessageOf<'report'>[],
): ReadonlyMap<string, number> {
  const entries = reports
    .flatMap(({ running }) => running)
    .filter(({ model, running }) => model !== null && running > 0);
  const told = entries.filter(({ tokens }) => tokens !== undefined);
  const toldTokens = told.reduce((sum, { tokens = 0 }) => sum + tokens, 0);
  const meanTokens =
    toldTokens /
    Math.max(
      1,
      told.reduce((sum, { running }) => sum + running, 0),
    );
  const byServer = new Map<string, number>();
  entries.forEach(({ server, running, tokens = Math.round(running * meanTokens) }) =>
    byServer.set(server, (byServer.get(server) ?? 0) + tokens),
  );
  return byServer;
}

export class UsageTracker {
  private readonly recentRates = new RateAverages(RATE_WINDOW_MS);

  private readonly longTermRates = new RateAverages(EXPECTED_RATE_WINDOW_MS);

  /** Models that were loaded on any server. */
  private readonly loadedModels = new Set<string>();

  /** When the first request was reported; null before. */
  private observedSinceMs: number | null = null;

  /** Running requests per server, per model on a server, and per adapter of a model on a server. */
  private running = new Map<string, number>();

  /** Tokens that running requests may need, per server. */
  private tokens: ReadonlyMap<string, number> = new Map();

  /** When requests were last running, keyed like `running`. */
  private readonly usedAtMs = new Map<string, number>();

  /** When a model or adapter was first seen loaded, keyed like `running`. */
  private readonly loadedSinceMs = new Map<string, number>();

  /** Updates the request rates with the newly admitted requests of an entry VM's report. */
  note(nowMs: number, report: RelayMessageOf<'report'>): void {
    if (report.usage.length > 0) this.observedSinceMs ??= nowMs;
    report.usage.forEach(({ model, requests }) => {
      this.recentRates.note(nowMs, model, requests);
      this.longTermRates.note(nowMs, model, requests);
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
    this.tokens = tokensByServer(reports);
  }

  /** Tokens that the running requests of all entry VMs may need at a server. */
  tokensAt(serverId: string): number {
    return this.tokens.get(serverId) ?? 0;
  }

  runningAt(serverId: string): number {
    return this.running.get(serverId) ?? 0;
  }

  runningWith(serverId: string, model: string): number {
    return this.running.get(`${serverId} ${model}`) ?? 0;
  }

  rates(nowMs: number): ReadonlyMap<string, number> {
    return this.recentRates.all(nowMs);
  }

  /**
   * Rates that are expected later of all models that were ever loaded or requested. Each counts as
   * requested once more, in as much time as such a model takes on average: a new steward has seen no
   * request for most of them.
   */
  expectedRates(nowMs: number): ReadonlyMap<string, number> {
    const recent = this.recentRates.all(nowMs);
    const longTerm = this.longTermRates.all(nowMs);
    const models = [...new Set([...this.loadedModels, ...longTerm.keys()])];
    const ageMs = nowMs - (this.observedSinceMs ?? nowMs);
    const windowS = EXPECTED_RATE_WINDOW_MS / MS_PER_S;
    const observedS = windowS * (1 - Math.exp(-ageMs / EXPECTED_RATE_WINDOW_MS));
    const total = [...longTerm.values()].reduce((sum, perS) => sum + perS * windowS, 0);
    const meanPerS = total / Math.max(MIN_OBSERVED_S, observedS) / Math.max(1, models.length);
    const expected = (model: string) =>
      ((longTerm.get(model) ?? 0) * windowS + 1) / (observedS + 1 / meanPerS);
    return new Map(
      models.map((model) => [model, Math.max(recent.get(model) ?? 0, expected(model))]),
    );
  }

  /**
   * A replica of a model on a server, with its usage. The first call after a model or adapter was
   * loaded records its load time.
   */
  replica(nowMs: number, serverId: string, model: string, adapters: ReadonlySet<string>): Replica {
    this.loadedModels.add(model);
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
