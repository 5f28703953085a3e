/**
 * Replays requests for many models against the decisions of the steward and the entry VMs: the swap
 * planner, the forecast of loads, the request rates and the queue. Engines and callers are simulated.
 */
import { createRandom, type Random } from '../../src/core/random/index.js';
import { OrderStepType } from '../../src/decisions/engine-orders/index.js';
import type { EngineSpec, ModelSpec } from '../../src/decisions/fleet-plan/index.js';
import {
  type EngineState,
  type ForecastLoad,
  forecastLoads,
  modelKey,
  type PendingDemand,
  servedBy,
  StoreConcurrencyLimiter,
  type SwapAction,
  SwapPlanner,
  type SwapView,
} from '../../src/decisions/swaps/index.js';
import { rejectAtMs, retryAfterMs } from '../../src/decisions/wait-list/index.js';
import type { PlacementTrace, TraceRequest } from '../../src/lab/placement-bound/index.js';
import { RelayMessageType, type RelayMessageOf } from '../../src/entry/relay/messages.js';
import { UsageTracker } from '../../src/entry/relay/usage-tracker.js';

const SERVICE = 'drafting';
const DEFAULT_VERSION = 'v1';
/** Time after which a caller whose stream was cut takes it up, ms. */
const TAKE_UP_MS = 60;
const TICK_MS = 20;
const MS_PER_S = 1_000;
const MODEL_MB = 70;
const UNLOAD_MS = 50;
/** Models unloaded last of which an engine keeps a copy in its memory. */
const MEMORY_COPIES = 2;
/** Fraction of the slots that requests use at most, as for the entry VMs. */
const MAX_UTILISATION = 0.9;
const STORE_RATE_FRACTION = 0.8;
const STORE_BURST = 2;
/** Part of its time that a caller waits before it returns at most. */
const RETURN_FRACTION = 1 / 3;

type ModelShares = readonly (readonly [model: string, share: number])[];

/** Why a request was refused. */
export const RefusalReason = {
  notLoaded: 'not loaded',
  loadedTooLate: 'loaded too late',
  slotsInUse: 'slots in use',
} as const;

/** A kind of request. */
export interface RequestClass {
  readonly name: string;
  readonly perS: number;
  /** Models that it asks for, with their shares. */
  readonly models: ModelShares;
  /** Sets of models that take turns, each for `turnMs`, in place of `models`. */
  readonly turns?: { readonly turnMs: number; readonly models: readonly ModelShares[] };
  /** A time in which the class sends a multiple of its rate. */
  readonly burst?: { readonly fromMs: number; readonly untilMs: number; readonly factor: number };
  readonly objectiveMs: number;
  readonly callerTimeoutMs: number;
  readonly deadlineMs: number;
  readonly runMs: number;
  /** When its requests begin, ms; 0 by default. */
  readonly fromMs?: number;
  /** How often a caller returns; once by default. */
  readonly retries?: number;
}

/** Engines of a version that crash together: those with the most running requests. */
export interface Crash {
  readonly atMs: number;
  readonly version: string;
  readonly count: number;
  /** Time until they are back, with nothing but their disk, ms. */
  readonly forMs: number;
}

export interface ModelFleetOptions {
  readonly seed: number;
  readonly engines: number;
  /** Models that an engine has room for. */
  readonly places: number;
  /** Models of which an engine has a copy on its disk. */
  readonly copies: number;
  readonly slots: number;
  readonly loadMs: Pick<ModelSpec, 'remoteLoadMs' | 'diskLoadMs' | 'memoryLoadMs'>;
  /** Concurrent loads that the weight store serves at full speed. */
  readonly fullSpeedLoads: number;
  readonly loadsPerS: number;
  /** All models, busiest first. */
  readonly models: readonly string[];
  /**
   * Engines on which each of the busiest models is loaded at the start; null if each engine starts
   * with models drawn at random, as a fleet does whose demand has changed.
   */
  readonly busyPlaces: readonly number[] | null;
  readonly classes: readonly RequestClass[];
  readonly durationMs: number;
  /** Software versions of the engines; one for all by default. */
  readonly versions?: readonly string[];
  /** Versions whose engines have nothing at the start, not even copies. */
  readonly emptyVersions?: readonly string[];
  readonly crashes?: readonly Crash[];
}

/** Outcomes of the requests of one class. */
export interface Outcome {
  asked: number;
  inTime: number;
  late: number;
  refused: number;
}

/** Attempts of callers. */
export interface Attempts {
  asked: number;
  served: number;
}

interface Request {
  readonly id: string;
  readonly of: RequestClass;
  readonly model: string;
  /** When the caller first asked, ms. */
  readonly askedAtMs: number;
  readonly arrivedAtMs: number;
  /** How often the caller has returned. */
  readonly returns: number;
  /** Version that began the stream; null for a new request. */
  readonly version: string | null;
  /** Whether the entry VM itself seeks another engine, as the stream has just broken off. */
  readonly isFailover: boolean;
}

interface Engine {
  readonly id: string;
  readonly version: string;
  /** When the engine is back after a crash, ms; null while it is up. */
  downUntilMs: number | null;
  models: string[];
  disk: string[];
  memory: string[];
  steps: { type: string; model: string }[];
  /** Load in progress: the work left, ms at full speed. */
  load: { model: string; leftMs: number; fromStore: boolean; startedAtMs: number } | null;
  unload: { model: string; untilMs: number } | null;
  /** Ends of the running requests, by model. */
  runs: { model: string; endsAtMs: number; request: Request }[];
  loadEndsAtMs: number;
  maxConcurrent: number;
}

export class ModelFleet {
  readonly outcomes = new Map<string, Outcome>();

  /** Refusals by model, those of returning callers included. */
  readonly refusals = new Map<string, number>();

  /** Refusals by class and reason, those of returning callers included. */
  readonly refusalReasons = new Map<string, number>();

  /** Requests of callers by model, and those of them that were served. */
  readonly byModel = new Map<string, Attempts>();

  /** Time that requests ran on each engine, ms. */
  readonly runMsByEngine = new Map<string, number>();

  /** Model loads that were started, from the weight store and from copies. */
  readonly loads = { fromStore: 0, fromCopy: 0 };

  /** Attempts of callers to begin streams, and to take up those that were cut. */
  readonly begun: Attempts = { asked: 0, served: 0 };

  readonly takenUp: Attempts = { asked: 0, served: 0 };

  private readonly random: Random;

  private readonly planner = new SwapPlanner();

  private readonly usage = new UsageTracker();

  private readonly limiter = new StoreConcurrencyLimiter();

  private readonly engines: readonly Engine[];

  private readonly spec: EngineSpec;

  private queue: Request[] = [];

  private returning: { atMs: number; request: Request }[] = [];

  private forecast: readonly ForecastLoad[] = [];

  private expected: {
    model: string;
    version: string | null;
    untilMs: number;
    dueAtMs: number;
  }[] = [];

  private readonly requests: TraceRequest[] = [];

  /** Models loaded at the start, and engines with a copy of each. */
  private readonly start: Pick<PlacementTrace, 'loaded' | 'copies'>;

  private storeTokens = 0;

  private used = new Map<string, number>();

  private sent = 0;

  constructor(private readonly opts: ModelFleetOptions) {
    this.random = createRandom(opts.seed);
    this.spec = {
      slots: opts.slots,
      kvTokens: 54_000,
      memoryMb: opts.places * MODEL_MB,
      adapterSlots: 0,
      loadsPerS: opts.loadsPerS,
      models: new Map(
        opts.models.map((name) => [
          name,
          {
            name,
            sizeMb: MODEL_MB,
            adapterCount: 0,
            adapterMb: 0,
            ...opts.loadMs,
          } satisfies ModelSpec,
        ]),
      ),
    };
    this.engines = this.placeModels();
    const copies = new Map<string, number>();
    this.engines.forEach(({ models, disk }) =>
      new Set([...models, ...disk]).forEach((model) =>
        copies.set(model, (copies.get(model) ?? 0) + 1),
      ),
    );
    this.start = { loaded: new Set(this.engines.flatMap(({ models }) => models)), copies };
    opts.classes.forEach(({ name }) =>
      this.outcomes.set(name, { asked: 0, inTime: 0, late: 0, refused: 0 }),
    );
  }

  play(): void {
    const arrivals = this.opts.classes.map((of) => ({
      of,
      nextAtMs: (of.fromMs ?? 0) + this.pauseMs(of, 0),
    }));
    for (let nowMs = 0; nowMs < this.opts.durationMs; nowMs += TICK_MS) {
      arrivals.forEach((arrival) => {
        while (arrival.nextAtMs <= nowMs) {
          this.arrive(nowMs, arrival.of);
          const pauseMs = this.pauseMs(arrival.of, arrival.nextAtMs);
          Object.assign(arrival, { nextAtMs: arrival.nextAtMs + pauseMs });
        }
      });
      this.returning
        .filter(({ atMs }) => atMs <= nowMs)
        .forEach(({ request }) => this.enqueue({ ...request, arrivedAtMs: nowMs }));
      this.returning = this.returning.filter(({ atMs }) => atMs > nowMs);
      this.crashAndRestart(nowMs);
      this.progress(nowMs);
      this.serveQueue(nowMs);
      this.plan(nowMs);
    }
  }

  /** Share of the requests of a class that were served in time. */
  inTimeShare(name: string): number {
    const { asked, inTime } = this.outcomes.get(name) ?? { asked: 1, inTime: 0 };
    return inTime / Math.max(1, asked);
  }

  /** The requests so far and the state at the start, for a bound of what any plan could serve. */
  trace(): PlacementTrace {
    const { slots, loadMs, fullSpeedLoads, durationMs } = this.opts;
    return {
      ...this.start,
      requests: this.requests,
      slots: slots * MAX_UTILISATION,
      copyLoadMs: loadMs.memoryLoadMs,
      storeLoadMs: loadMs.remoteLoadMs,
      fullSpeedLoads,
      durationMs,
    };
  }

  /** Models requested `times` or more that were never served. */
  neverServed(times: number): readonly string[] {
    return [...this.byModel]
      .filter(([, { asked, served }]) => asked >= times && served === 0)
      .map(([model]) => model);
  }

  /** Running requests of the busiest engine, in relation to the mean, over the whole time. */
  busiestToMean(): number {
    const all = this.engines.map(({ id }) => this.runMsByEngine.get(id) ?? 0);
    return (Math.max(...all) * all.length) / all.reduce((sum, ms) => sum + ms, 0);
  }

  private pauseMs({ perS, burst }: RequestClass, nowMs: number): number {
    const isBurst = burst !== undefined && nowMs >= burst.fromMs && nowMs < burst.untilMs;
    return this.random.exponential(MS_PER_S / (perS * (isBurst ? burst.factor : 1)));
  }

  /** Places the busiest models as told, and each of the others once while there is room. */
  private placeModels(): readonly Engine[] {
    const { opts, random } = this;
    const engines = Array.from({ length: opts.engines }, (_, at) => ({
      id: `e${at}`,
      version: opts.versions?.[at] ?? DEFAULT_VERSION,
      downUntilMs: null,
      models: [] as string[],
      disk: [] as string[],
      memory: [] as string[],
      steps: [],
      load: null,
      unload: null,
      runs: [],
      loadEndsAtMs: 0,
      maxConcurrent: 0,
    }));
    const { busyPlaces } = opts;
    if (busyPlaces === null)
      engines.forEach(({ models }) =>
        models.push(...this.shuffled(opts.models).slice(0, opts.places)),
      );
    (busyPlaces === null ? [] : opts.models).forEach((model, at) => {
      const count = busyPlaces?.[at] ?? 1;
      const free = () =>
        engines
          .filter(({ version }) => opts.emptyVersions?.includes(version) !== true)
          .filter(({ models }) => models.length < opts.places && !models.includes(model))
          .sort((a, b) => a.models.length - b.models.length || random.real() - 0.5);
      Array.from({ length: count }, () => free()[0]?.models.push(model));
    });
    engines.forEach((engine) => {
      if (opts.emptyVersions?.includes(engine.version) === true) return;
      engine.disk.push(...engine.models);
      const others = this.shuffled(opts.models.filter((model) => !engine.models.includes(model)));
      engine.disk.push(...others.slice(0, opts.copies - engine.models.length));
    });
    return engines;
  }

  private shuffled(models: readonly string[]): readonly string[] {
    return models
      .map((model) => ({ model, key: this.random.real() }))
      .sort((a, b) => a.key - b.key)
      .map(({ model }) => model);
  }

  private arrive(nowMs: number, of: RequestClass): void {
    const { turnMs = 1, models: sets = [] } = of.turns ?? {};
    const models = sets[Math.floor(nowMs / turnMs) % sets.length] ?? of.models;
    const total = models.reduce((sum, [, share]) => sum + share, 0);
    let draw = this.random.real() * total;
    const [model] = models.find(([, share]) => {
      draw -= share;
      return draw < 0;
    }) ?? ['', 0];
    this.outcomeOf(of).asked += 1;
    this.attemptsFor(model).asked += 1;
    this.sent += 1;
    const { objectiveMs, runMs } = of;
    this.requests.push({ atMs: nowMs, model, objectiveMs, runMs });
    const id = `r${this.sent}`;
    const times = { askedAtMs: nowMs, arrivedAtMs: nowMs };
    this.enqueue({ id, of, model, ...times, returns: 0, version: null, isFailover: false });
  }

  private outcomeOf({ name }: RequestClass): Outcome {
    const outcome = this.outcomes.get(name);
    if (outcome === undefined) throw new Error(`unknown class ${name}`);
    return outcome;
  }

  private enqueue(request: Request): void {
    const { model, version } = request;
    if (!request.isFailover) this.used.set(model, (this.used.get(model) ?? 0) + 1);
    if (!request.isFailover) this.attemptsOf(version).asked += 1;
    this.queue.push(request);
  }

  private attemptsFor(model: string): Attempts {
    const attempts = this.byModel.get(model) ?? { asked: 0, served: 0 };
    this.byModel.set(model, attempts);
    return attempts;
  }

  private attemptsOf(version: string | null): Attempts {
    return version === null ? this.begun : this.takenUp;
  }

  private crashAndRestart(nowMs: number): void {
    this.engines
      .filter(({ downUntilMs }) => downUntilMs !== null && downUntilMs <= nowMs)
      .forEach((engine) => Object.assign(engine, { downUntilMs: null }));
    (this.opts.crashes ?? [])
      .filter(({ atMs }) => atMs <= nowMs && nowMs < atMs + TICK_MS)
      .forEach((crash) => {
        [...this.engines]
          .filter(({ version, downUntilMs }) => version === crash.version && downUntilMs === null)
          .sort((a, b) => b.runs.length - a.runs.length)
          .slice(0, crash.count)
          .forEach((engine) => this.crash(nowMs, engine, crash.forMs));
      });
  }

  private crash(nowMs: number, engine: Engine, forMs: number): void {
    const { id, version, runs, models } = engine;
    models.forEach((model) => this.usage.noteUnloaded(id, model, null));
    Object.assign(engine, {
      models: [],
      memory: [],
      steps: [],
      load: null,
      unload: null,
      runs: [],
      downUntilMs: nowMs + forMs,
    });
    runs.forEach(({ request }) =>
      this.enqueue({ ...request, version, arrivedAtMs: nowMs, returns: 0, isFailover: true }),
    );
  }

  /** Advances loads, unloads and runs. */
  private progress(nowMs: number): void {
    const fromStore = this.engines.filter(({ load }) => load?.fromStore === true);
    const speed = Math.min(1, this.opts.fullSpeedLoads / Math.max(1, fromStore.length));
    this.engines.forEach((engine) => {
      Object.assign(engine, { runs: engine.runs.filter(({ endsAtMs }) => endsAtMs > nowMs) });
      if (engine.downUntilMs !== null) return;
      if (engine.load !== null) this.progressLoad(nowMs, engine, speed, fromStore.length);
      else this.nextStep(nowMs, engine);
    });
  }

  private progressLoad(nowMs: number, engine: Engine, speed: number, concurrent: number): void {
    const { load } = engine;
    if (load === null) return;
    load.leftMs -= TICK_MS * (load.fromStore ? speed : 1);
    Object.assign(engine, { maxConcurrent: Math.max(engine.maxConcurrent, concurrent) });
    if (load.leftMs > 0) return;
    engine.models.push(load.model);
    if (load.fromStore) {
      Object.assign(engine, { disk: [load.model, ...engine.disk].slice(0, this.opts.copies) });
      this.limiter.recordLoad(
        nowMs - load.startedAtMs,
        this.opts.loadMs.remoteLoadMs,
        engine.maxConcurrent,
      );
    }
    Object.assign(engine, { load: null });
  }

  private nextStep(nowMs: number, engine: Engine): void {
    if (engine.unload !== null) {
      const { model, untilMs } = engine.unload;
      if (nowMs < untilMs || engine.runs.some((run) => run.model === model)) return;
      Object.assign(engine, {
        models: engine.models.filter((name) => name !== model),
        memory: [model, ...engine.memory].slice(0, MEMORY_COPIES),
        unload: null,
      });
    }
    const step = engine.steps.shift();
    if (step === undefined) return;
    const { model } = step;
    if (step.type === OrderStepType.unload) {
      Object.assign(engine, { unload: { model, untilMs: nowMs + UNLOAD_MS } });
      return;
    }
    const { leftMs, fromStore } = this.source(engine, model);
    const load = { model, leftMs, fromStore, startedAtMs: nowMs };
    Object.assign(engine, { load, maxConcurrent: 0 });
  }

  private source({ memory, disk }: Engine, model: string) {
    const { remoteLoadMs, diskLoadMs, memoryLoadMs } = this.opts.loadMs;
    if (memory.includes(model)) return { leftMs: memoryLoadMs, fromStore: false };
    if (disk.includes(model)) return { leftMs: diskLoadMs, fromStore: false };
    return { leftMs: remoteLoadMs, fromStore: true };
  }

  private isUsable(engine: Engine, { model, version }: Request): boolean {
    if (version !== null && engine.version !== version) return false;
    const isLeaving =
      engine.unload?.model === model ||
      engine.steps.some((step) => step.type === OrderStepType.unload && step.model === model);
    return engine.models.includes(model) && !isLeaving;
  }

  private serveQueue(nowMs: number): void {
    const byUrgency = [...this.queue].sort(
      (a, b) => a.askedAtMs + a.of.objectiveMs - (b.askedAtMs + b.of.objectiveMs),
    );
    this.queue = byUrgency.filter((request) => !this.serveOrRefuse(nowMs, request));
  }

  /** Whether a queued request was served or refused. */
  private serveOrRefuse(nowMs: number, request: Request): boolean {
    const { of, model, version, askedAtMs, arrivedAtMs, isFailover } = request;
    const room = this.engines
      .filter((engine) => this.isUsable(engine, request))
      .filter(({ runs }) => runs.length < this.opts.slots * MAX_UTILISATION)
      .sort((a, b) => a.runs.length - b.runs.length)[0];
    const outcome = this.outcomeOf(of);
    if (room !== undefined) {
      room.runs.push({ model, endsAtMs: nowMs + of.runMs, request });
      this.runMsByEngine.set(room.id, (this.runMsByEngine.get(room.id) ?? 0) + of.runMs);
      if (version === null) this.attemptsFor(model).served += 1;
      if (!request.isFailover) this.attemptsOf(version).served += 1;
      if (version === null && nowMs - askedAtMs <= of.objectiveMs) outcome.inTime += 1;
      else if (version === null) outcome.late += 1;
      return true;
    }
    const ends = this.loadEnds(request);
    const readyAtMs = ends.length === 0 ? null : Math.min(...ends);
    const isLoaded = this.engines.some((engine) => this.isUsable(engine, request));
    const queued = {
      id: request.id,
      service: SERVICE,
      model,
      adapter: null,
      version,
      isInterrupted: isFailover,
      priority: 0,
      arrivedAtMs,
      objectiveAtMs: arrivedAtMs + of.objectiveMs,
      deadlineAtMs: arrivedAtMs + Math.min(of.callerTimeoutMs, of.deadlineMs),
    };
    if (nowMs < rejectAtMs(queued, { readyAtMs, isLoaded, permitAtMs: null })) return false;
    if (readyAtMs !== null && !isLoaded)
      this.expected.push({ model, version, untilMs: readyAtMs + MS_PER_S, dueAtMs: readyAtMs });
    this.refusals.set(model, (this.refusals.get(model) ?? 0) + 1);
    const unloaded = readyAtMs === null ? RefusalReason.notLoaded : RefusalReason.loadedTooLate;
    const reason = `${of.name}: ${isLoaded ? RefusalReason.slotsInUse : unloaded}`;
    this.refusalReasons.set(reason, (this.refusalReasons.get(reason) ?? 0) + 1);
    this.returnLater(nowMs, request, readyAtMs);
    return true;
  }

  /** Lets the caller of a refused request return, or that of a stream that was cut take it up. */
  private returnLater(nowMs: number, request: Request, readyAtMs: number | null): void {
    const { of, returns, isFailover, askedAtMs } = request;
    const pauseMs = Math.min(
      retryAfterMs(nowMs, readyAtMs),
      (askedAtMs + of.deadlineMs - nowMs) * RETURN_FRACTION,
    );
    if (isFailover) {
      const takeUp = { ...request, isFailover: false };
      this.returning.push({ atMs: nowMs + TAKE_UP_MS, request: takeUp });
    } else if (returns < (of.retries ?? 1)) {
      this.returning.push({ atMs: nowMs + pauseMs, request: { ...request, returns: returns + 1 } });
    } else if (request.version === null) this.outcomeOf(of).refused += 1;
  }

  private loadEnds({ model, version }: Request): readonly number[] {
    const inProgress = this.engines
      .filter((engine) => version === null || engine.version === version)
      .filter(
        ({ load, steps }) =>
          load?.model === model ||
          steps.some((step) => step.type === OrderStepType.load && step.model === model),
      )
      .map(({ loadEndsAtMs }) => loadEndsAtMs);
    const queued = this.forecast
      .filter((load) => load.model === model)
      .filter((load) => version === null || load.version === version);
    return [...inProgress, ...queued.map(({ readyAtMs }) => readyAtMs)];
  }

  private plan(nowMs: number): void {
    this.usage.note(nowMs, this.report(nowMs));
    this.usage.sumRunning(nowMs, [this.report(nowMs)]);
    this.used = new Map();
    const view = this.view(nowMs);
    const actions = this.planner.plan(view);
    actions.forEach((action) => this.carryOut(nowMs, action));
    const started = new Set(actions.flatMap((action) => servedBy(view, action)).map(modelKey));
    const queue = this.planner.queuedLoads(view).filter((load) => !started.has(modelKey(load)));
    const ends = this.engines
      .filter(({ load }) => load?.fromStore === true)
      .map(({ loadEndsAtMs }) => loadEndsAtMs);
    const startedFromStore = actions.filter(({ fromStore }) => fromStore).length;
    this.forecast = [
      ...forecastLoads(nowMs, ends, this.limiter.atOnce - startedFromStore, queue),
      ...this.planner.blockedLoads(view),
    ];
  }

  private carryOut(nowMs: number, { engineId, steps, fromStore }: SwapAction): void {
    const engine = this.engines.find(({ id }) => id === engineId);
    if (engine === undefined) return;
    if (fromStore) this.storeTokens -= 1;
    this.loads[fromStore ? 'fromStore' : 'fromCopy'] += 1;
    const loadMs = steps
      .filter(({ type }) => type === OrderStepType.load)
      .reduce((sum, { model }) => sum + this.source(engine, model).leftMs, 0);
    const unloads = steps.filter(({ type }) => type === OrderStepType.unload).length;
    Object.assign(engine, { loadEndsAtMs: nowMs + loadMs + unloads * UNLOAD_MS });
    engine.steps.push(...steps.map(({ type, model }) => ({ type, model })));
    steps
      .filter(({ type }) => type === OrderStepType.unload)
      .forEach(({ model }) => this.usage.noteUnloaded(engineId, model, null));
  }

  private report(nowMs: number): RelayMessageOf<'report'> {
    const running = this.engines.flatMap(({ id, runs }) => {
      const models = [...new Set(runs.map(({ model }) => model))];
      return models.map((model) => ({
        server: id,
        model,
        adapter: null,
        running: runs.filter((run) => run.model === model).length,
      }));
    });
    return {
      type: RelayMessageType.report,
      vm: 'vm',
      address: '',
      dataCentre: 'a',
      sentAtMs: nowMs,
      clockMs: nowMs,
      planRevision: 0,
      appliedSeq: 0,
      shares: [],
      running,
      waits: [],
      usage: [...this.used].map(([model, requests]) => ({ model, requests })),
      returned: {},
      unreachable: [],
      reached: [],
      partitioned: [],
      connected: [],
      usesSlots: false,
      knownTypes: null,
      leaving: false,
    };
  }

  private view(nowMs: number): SwapView {
    const perS = this.opts.loadsPerS * STORE_RATE_FRACTION;
    this.storeTokens = Math.min(STORE_BURST, this.storeTokens + (perS * TICK_MS) / MS_PER_S);
    const running = this.engines.filter(({ load }) => load?.fromStore === true).length;
    const free = this.limiter.atOnce - running;
    const loadsLeft = Math.max(0, Math.min(Math.floor(this.storeTokens), free));
    const engines = this.engines.map((engine) => this.stateOf(nowMs, engine));
    return {
      nowMs,
      engines,
      pendingDemand: this.demand(nowMs),
      rates: this.usage.rates(nowMs),
      expectedRates: this.usage.expectedRates(nowMs),
      storeLoadsLeft: loadsLeft,
      placeLoadsLeft: loadsLeft,
    };
  }

  private stateOf(nowMs: number, engine: Engine): EngineState {
    const { id, version, models, load, unload, steps, disk, memory } = engine;
    const isUp = engine.downUntilMs === null;
    const unloading = [
      ...(unload === null ? [] : [unload.model]),
      ...steps.filter(({ type }) => type === OrderStepType.unload).map(({ model }) => model),
    ];
    const loading = [
      ...(load === null ? [] : [load.model]),
      ...steps.filter(({ type }) => type === OrderStepType.load).map(({ model }) => model),
    ];
    const isOpen = isUp && load === null && unload === null && steps.length === 0;
    return {
      id,
      service: SERVICE,
      version,
      spec: this.spec,
      dataCentre: 'a',
      open: isOpen,
      openForAdapters: isOpen,
      healthy: isUp,
      replicas: models
        .filter((model) => !unloading.includes(model))
        .map((model) => this.usage.replica(nowMs, id, model, new Set())),
      loading,
      loadingAdapters: [],
      busyUntilMs: isOpen || !isUp ? nowMs : engine.loadEndsAtMs,
      reservedMb: (models.length + loading.length) * MODEL_MB,
      reservedAdapterSlots: 0,
      copies: { inMemory: memory, onDisk: disk },
    };
  }

  private demand(nowMs: number): readonly PendingDemand[] {
    this.expected = this.expected.filter(({ untilMs }) => untilMs > nowMs);
    const all = [
      ...this.queue.map(({ model, version, arrivedAtMs, of }) => ({
        model,
        version,
        dueAtMs: arrivedAtMs + of.objectiveMs,
      })),
      ...this.expected,
    ];
    const merged = new Map<string, PendingDemand>();
    all.forEach(({ model, version, dueAtMs }) => {
      const key = modelKey({ service: SERVICE, model, version });
      const before = merged.get(key);
      merged.set(key, {
        service: SERVICE,
        model,
        adapter: null,
        version,
        waiting: (before?.waiting ?? 0) + 1,
        dueAtMs: Math.min(before?.dueAtMs ?? Infinity, dueAtMs),
      });
    });
    return [...merged.values()];
  }
}
