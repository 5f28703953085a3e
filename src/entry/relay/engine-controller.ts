/** The steward's control loop for engines: polls their state, plans loads and sends orders. */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import {
  EngineOrders,
  type Order,
  OrderOutcome,
  type OrderStep,
  OrderStepType,
} from '../../decisions/engine-orders/index.js';
import type {
  BackendServer,
  EngineSpec,
  LoadedModel,
  WeightCopies,
} from '../../decisions/fleet-plan/index.js';
import {
  describeCopy,
  type EngineState,
  type ForecastLoad,
  forecastLoads,
  hasCopy,
  healthyEnginesFor,
  isLoadedSoon,
  LoadProgress,
  modelKey,
  type ModelRates,
  notLoadedReason,
  servedBy,
  StoreConcurrencyLimiter,
  type SwapAction,
  SwapPlanner,
  type SwapView,
  type PendingDemand,
} from '../../decisions/swaps/index.js';
import {
  avoidedServers,
  type PermitIssuer,
  servableReplicas,
} from '../../decisions/throttling/index.js';
import type { StoreWatcherTask } from './store-watcher.js';
import type { LeaseTask } from './lease-task.js';
import type { LoadView, RelayMessageOf } from './messages.js';
import { UsageTracker } from './usage-tracker.js';
import type { ReachabilityTask } from './reachability.js';
import type { EngineReport, PlatformWire } from './types.js';

/** Timeout of a call that sends an engine order, ms. */
const ORDER_TIMEOUT_MS = 250;
/** Timeout of a call that fetches a report, ms. */
const REPORT_TIMEOUT_MS = 300;
/** Delay of a timeout beyond which the call says nothing about the engine, ms. */
const MAX_TIMEOUT_DELAY_MS = 100;
/**
 * Time by which data from an engine must be newer than a call without an answer, ms: the time of its
 * receipt at an entry VM is known only approximately.
 */
const RECEIPT_MARGIN_MS = 100;
/** Pause between report calls while no order needs a report, ms: each is billed as a probe. */
const REPORT_PAUSE_MS = 700;
/** Pause between report calls while an order needs a report, ms: reports lag by about 100 ms. */
const NEEDED_REPORT_PAUSE_MS = 60;
/** Consecutive unanswered calls after which an engine gets no new orders or requests. */
const MAX_CONSECUTIVE_FAILURES = 2;
/** Time between two plans while no requests are queued, ms. */
const REPLAN_MS = 200;
/** Minimum time between two log lines on the same model that is not being loaded, ms. */
const NOT_LOADED_LOG_PAUSE_MS = 1_000;
const MS_PER_S = 1000;
/**
 * Fraction of the weight store's load rate that the steward uses. The rest is a margin, because a
 * load may start later than its order.
 */
const STORE_RATE_FRACTION = 0.8;
/** Loads beyond the store's limit for crowded models that few servers of a version have. */
const EXTRA_PLACE_LOADS = 1;
/** Capacity of the token bucket for loads from the weight store; each load takes one token. */
const STORE_BURST = 2;
/** Expected duration of an adapter load, ms. */
const ADAPTER_LOAD_MS = 8;
/** Minimum value of the remaining load time that is reported to entry VMs, ms. */
const MIN_READY_MS = 20;
/** Delay before an unload, ms: entry VMs are first notified that the model is unavailable. */
const UNLOAD_NOTICE_MS = 12;
/** Expected duration of an unload of a model without running requests, ms. */
const UNLOAD_MS = 50;

interface EngineRecord {
  server: BackendServer;
  readonly spec: EngineSpec;
  readonly orders: EngineOrders;
  copies: WeightCopies;
  /** When the last report call ended; -Infinity before the first report. */
  reportedAtMs: number;
  /** Whether a report call is in progress. */
  reporting: boolean;
  /** Consecutive calls without an answer. */
  consecutiveFailures: number;
  /** When the first of these calls ended; Infinity if there are none. */
  failingSinceMs: number;
  /** When entry VMs that are not partitioned from the service last failed to connect to the engine. */
  readonly connectFailures: Map<string, number>;
  /** When an entry VM last received data from the engine. */
  reachedAtMs: number;
  /** The model load that was planned last; null before the first. */
  load: LoadProgress | null;
  /** Since when the engine carries out an order of the last steward, ms; null if it does not. */
  foreignSinceMs: number | null;
}

export interface EngineControllerOptions {
  readonly vm: string;
  readonly wire: PlatformWire;
  readonly storeWatcher: Pick<StoreWatcherTask, 'plan' | 'backends'>;
  readonly lease: LeaseTask;
  readonly reachability: Pick<ReachabilityTask, 'isPartitioned' | 'isUndecided' | 'noteSuspicion'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Limits the requests to engines that have named a limit. */
  readonly issuer: PermitIssuer;
}

/**
 * Adds the pending adapters of a report to its models. Pending adapters occupy adapter slots, and
 * their orders are part of the accepted order count.
 */
function withPendingAdapters({ models, pendingAdapters }: EngineReport): readonly LoadedModel[] {
  return models.map((model) => {
    const pending = pendingAdapters
      .filter((name) => name.startsWith(`${model.name}/`))
      .map((name) => name.slice(model.name.length + 1));
    return { ...model, adapters: [...new Set([...model.adapters, ...pending])] };
  });
}

/** When an entry VM last failed to connect to the engine; -Infinity if none did. */
function unreachableAtMs({ connectFailures }: EngineRecord): number {
  return Math.max(-Infinity, ...connectFailures.values());
}

/** Whether the engine has answered one of the last calls of the steward. */
function isResponsive({ consecutiveFailures }: EngineRecord): boolean {
  return consecutiveFailures < MAX_CONSECUTIVE_FAILURES;
}

/**
 * Whether an engine may have ended since it last answered: a call of the steward had no answer, or an
 * entry VM could not connect to it. Until that is known, its models and loads count.
 */
function isDoubtful(engine: EngineRecord): boolean {
  const { consecutiveFailures, reportedAtMs } = engine;
  const isUnreachable = unreachableAtMs(engine) > reportedAtMs;
  return isResponsive(engine) && (consecutiveFailures > 0 || isUnreachable);
}

/** Expected end of the model loads in progress or queued, ms. */
function expectedEndMs(nowMs: number, { load }: EngineRecord): number {
  return load?.endsAtMs(nowMs) ?? nowMs;
}

export class EngineController {
  private readonly engines = new Map<string, EngineRecord>();

  private readonly planner = new SwapPlanner();

  private readonly usageTracker = new UsageTracker();

  private readonly storeConcurrency = new StoreConcurrencyLimiter();

  /** Expected ends of the loads that are queued for the weight store or for their engine. */
  private forecast: readonly ForecastLoad[] = [];

  private plannedAtMs = -Infinity;

  /** Models, adapters and versions with pending demand at the last plan, joined. */
  private plannedDemand = '';

  /** When each model that is not being loaded was last logged, by `modelKey`. */
  private readonly notLoadedLoggedAtMs = new Map<string, number>();

  /** Tokens in the bucket for loads from the weight store. */
  private storeTokens = 0;

  private storeTokensAtMs: number;

  constructor(private readonly opts: EngineControllerOptions) {
    this.storeTokensAtMs = opts.clock.steadyMs();
  }

  addReport(nowMs: number, report: RelayMessageOf<'report'>): void {
    this.usageTracker.note(nowMs, report);
    report.reached.forEach(({ server, ageMs }) => {
      const engine = this.engines.get(server);
      if (engine === undefined) return;
      engine.reachedAtMs = Math.max(engine.reachedAtMs, nowMs - ageMs);
    });
    report.unreachable.forEach(({ server, ageMs }) =>
      this.engines.get(server)?.connectFailures.set(report.vm, nowMs - ageMs),
    );
    if (report.partitioned.length === 0) return;
    // Failures of a partitioned VM say nothing about the engines, nor do those just before it knew.
    this.engines.forEach(({ server, connectFailures }) => {
      if (report.partitioned.includes(server.service)) connectFailures.delete(report.vm);
    });
  }

  /** Runs one planning pass, with the latest report of each entry VM. */
  tick(nowMs: number, reports: readonly RelayMessageOf<'report'>[]): void {
    this.syncEngines();
    this.usageTracker.sumRunning(nowMs, reports);
    this.engines.forEach((engine) => this.pollReport(nowMs, engine));
    this.plan(nowMs, reports);
    this.engines.forEach((engine) => this.sendDueOrder(nowMs, engine));
  }

  /** Models and adapters of a server to which requests may be sent. */
  availableModels(server: BackendServer): readonly LoadedModel[] {
    const engine = this.engines.get(server.id);
    if (engine === undefined || !this.hasReported(engine)) return server.models;
    if (!this.isUp(engine)) return [];
    const unloading = [...engine.orders.unloading, ...engine.orders.unloadingAdapters];
    const nowMs = this.opts.clock.steadyMs();
    const loaded = [...engine.orders.loadedModels.keys()].filter(
      (name) => !unloading.includes(name),
    );
    return [...loaded, ...engine.orders.presumedLoaded(nowMs)].map((name) => ({
      name,
      version: 0,
      adapters: engine.orders
        .readyAdapters(nowMs, name)
        .filter((adapter) => !unloading.includes(`${name}/${adapter}`)),
    }));
  }

  runningAt(engineId: string): number {
    return this.usageTracker.runningAt(engineId);
  }

  /** Tokens that the running requests of all entry VMs may need at an engine. */
  tokensAt(engineId: string): number {
    return this.usageTracker.tokensAt(engineId);
  }

  /** Loads in progress or queued for the weight store, each with its expected remaining time. */
  loads(nowMs: number): LoadView[] {
    const healthy = [...this.engines.values()].filter((engine) => this.isHealthy(engine));
    const inProgress = healthy.flatMap((engine) =>
      engine.orders.loading.map((model) => ({
        service: engine.server.service,
        model,
        version: engine.server.version,
        dataCentre: engine.server.dataCentre,
        readyAtMs: expectedEndMs(nowMs, engine),
      })),
    );
    return [...inProgress, ...this.forecast].map(({ readyAtMs, ...load }) => ({
      ...load,
      adapter: null,
      readyInMs: Math.max(MIN_READY_MS, readyAtMs - nowMs),
    }));
  }

  /** Whether the engine's replicas and loads count: it is up and not draining. */
  private isHealthy(engine: EngineRecord): boolean {
    return !engine.server.leaving && this.isUp(engine) && this.hasReported(engine);
  }

  /**
   * Whether requests may be sent to the engine. If it does not answer the steward, others can know
   * better: an entry VM that has received data from it since, or all of them if this VM is
   * partitioned from the service.
   */
  private isUp(engine: EngineRecord): boolean {
    if (isResponsive(engine)) return true;
    const { failingSinceMs, reachedAtMs, server } = engine;
    const failedAtMs = Math.max(failingSinceMs, unreachableAtMs(engine));
    if (reachedAtMs > failedAtMs + RECEIPT_MARGIN_MS) return true;
    const { reachability } = this.opts;
    const isOwnFault =
      reachability.isPartitioned(server.service) || reachability.isUndecided(server.service);
    return isOwnFault && unreachableAtMs(engine) < failingSinceMs;
  }

  private hasReported(engine: EngineRecord): boolean {
    return engine.reportedAtMs > -Infinity;
  }

  /** Adds, updates and removes engines according to the list of backend servers. */
  private syncEngines(): void {
    const { plan, backends } = this.opts.storeWatcher;
    backends.forEach((server, id) => {
      const spec = plan?.services.get(server.service)?.engine ?? null;
      if (spec === null) return;
      const engine = this.engines.get(id);
      if (engine === undefined) this.engines.set(id, this.createRecord(server, spec));
      else if (engine.server !== server) this.updateRecord(engine, server);
    });
    [...this.engines.keys()]
      .filter((id) => !backends.has(id))
      .forEach((id) => this.engines.delete(id));
  }

  private createRecord(server: BackendServer, spec: EngineSpec): EngineRecord {
    return {
      server,
      spec,
      orders: new EngineOrders({
        memoryMb: spec.memoryMb,
        adapterSlots: spec.adapterSlots,
        modelMb: (model) => spec.models.get(model)?.sizeMb ?? 0,
        adapterMb: (model) => spec.models.get(model)?.adapterMb ?? 0,
        expectedMs: (step) => this.expectedMs(server.id, step),
        running: (model) => this.usageTracker.runningWith(server.id, model),
      }),
      copies: server.copies,
      reportedAtMs: -Infinity,
      reporting: false,
      consecutiveFailures: 0,
      failingSinceMs: Infinity,
      connectFailures: new Map(),
      reachedAtMs: -Infinity,
      load: null,
      foreignSinceMs: null,
    };
  }

  private updateRecord(engine: EngineRecord, server: BackendServer): void {
    const restarted = server.bornMs > engine.server.bornMs;
    Object.assign(engine, { server, copies: server.copies });
    if (!restarted) return;
    Object.assign(engine, {
      consecutiveFailures: 0,
      failingSinceMs: Infinity,
      reportedAtMs: -Infinity,
    });
  }

  private expectedMs(engineId: string, step: OrderStep): number {
    if (step.type === OrderStepType.unload) return step.adapter === null ? UNLOAD_MS : 0;
    if (step.adapter !== null) return ADAPTER_LOAD_MS;
    const engine = this.engines.get(engineId);
    const spec = engine?.spec.models.get(step.model);
    if (engine === undefined || spec === undefined) return 0;
    const { inMemory, onDisk } = engine.copies;
    // A copy in memory may have been evicted since the report, so the disk load time is assumed.
    return [...inMemory, ...onDisk].includes(step.model) ? spec.diskLoadMs : spec.remoteLoadMs;
  }

  private pollReport(nowMs: number, engine: EngineRecord): void {
    const isNeeded = engine.orders.needsReport || isDoubtful(engine);
    const pauseMs = isNeeded ? NEEDED_REPORT_PAUSE_MS : REPORT_PAUSE_MS;
    if (engine.reporting || nowMs - engine.reportedAtMs < pauseMs) return;
    const backoffMs = engine.consecutiveFailures * NEEDED_REPORT_PAUSE_MS * 4;
    if (!isResponsive(engine) && nowMs - engine.reportedAtMs < backoffMs) return;
    const { server } = engine;
    if (!this.opts.issuer.takeReport(nowMs, server.id)) return;
    Object.assign(engine, { reporting: true });
    void this.opts.wire.report(server, REPORT_TIMEOUT_MS).then((report) => {
      Object.assign(engine, { reporting: false });
      if (engine.server.id !== server.id) return;
      const isLate = this.isLate(nowMs, REPORT_TIMEOUT_MS);
      if (report !== null || !isLate) this.applyReport(engine, report);
    });
  }

  /**
   * Whether a call ended so long after its timeout that this VM stood still meanwhile: its answer may
   * have arrived without being read.
   */
  private isLate(sentAtMs: number, timeoutMs: number): boolean {
    return this.opts.clock.steadyMs() - sentAtMs > timeoutMs + MAX_TIMEOUT_DELAY_MS;
  }

  private applyReport(engine: EngineRecord, report: EngineReport | null): void {
    const nowMs = this.opts.clock.steadyMs();
    if (report === null) {
      this.noteFailure(engine);
      if (this.hasReported(engine)) Object.assign(engine, { reportedAtMs: nowMs });
      return;
    }
    if (!isResponsive(engine))
      this.opts.logger.info('engine-responds', { engine: engine.server.id });
    Object.assign(engine, {
      consecutiveFailures: 0,
      failingSinceMs: Infinity,
      reportedAtMs: nowMs,
    });
    const [loading] = engine.orders.loading;
    if (report.copies !== null) Object.assign(engine, { copies: report.copies });
    engine.orders.observe({
      bornMs: report.bornMs ?? engine.server.bornMs,
      acceptedOrders: report.orderCount,
      busy: report.busy,
      models: withPendingAdapters(report),
    });
    const { hasForeignOrder, loadedModels } = engine.orders;
    Object.assign(engine, {
      foreignSinceMs: hasForeignOrder ? (engine.foreignSinceMs ?? nowMs) : null,
    });
    const hasEnded = loading !== undefined && engine.orders.loading.length === 0;
    // A load that ended with its engine says nothing about the weight store.
    if (hasEnded && loadedModels.has(loading)) this.noteLoadEnd(nowMs, engine);
  }

  /** Counts a call without an answer. */
  private noteFailure(engine: EngineRecord): void {
    const consecutiveFailures = engine.consecutiveFailures + 1;
    const failingSinceMs = Math.min(engine.failingSinceMs, this.opts.clock.steadyMs());
    Object.assign(engine, { consecutiveFailures, failingSinceMs });
    const { id, service } = engine.server;
    this.opts.reachability.noteSuspicion(service, consecutiveFailures === 1);
    if (consecutiveFailures !== MAX_CONSECUTIVE_FAILURES) return;
    const { loading } = engine.orders;
    const isPartitioned = this.opts.reachability.isPartitioned(service);
    const isUp = this.isUp(engine);
    this.opts.logger.info('engine-unresponsive', { engine: id, loading, isPartitioned, isUp });
  }

  private noteLoadEnd(nowMs: number, { load, server }: EngineRecord): void {
    if (load === null) return;
    const tookMs = Math.round(load.durationMs(nowMs));
    const { usualMs, fromStore, maxConcurrent } = load;
    const fields = { engine: server.id, tookMs, usualMs, fromStore, maxConcurrent };
    this.opts.logger.debug('load-ended', fields);
    if (!fromStore) return;
    const before = this.storeConcurrency.atOnce;
    this.storeConcurrency.recordLoad(tookMs, usualMs, maxConcurrent);
    const { atOnce } = this.storeConcurrency;
    if (atOnce !== before) this.opts.logger.info('store-loads-limited', { atOnce, usualMs });
  }

  private plan(nowMs: number, reports: readonly RelayMessageOf<'report'>[]): void {
    const demand = this.pendingDemand(nowMs, reports);
    const key = demand
      .map(({ model, adapter, version }) => `${model}/${adapter}@${version}`)
      .join();
    if (
      nowMs - this.plannedAtMs < (demand.length > 0 ? 0 : REPLAN_MS) &&
      key === this.plannedDemand
    ) {
      return;
    }
    this.plannedAtMs = nowMs;
    this.plannedDemand = key;
    this.advanceLoads(nowMs);
    const rates = this.usageTracker.rates(nowMs);
    const engines = this.engineStates(nowMs, rates);
    const loadsLeft = this.loadsLeft(nowMs);
    const expectedRates = this.usageTracker.expectedRates(nowMs);
    const view = { nowMs, engines, pendingDemand: demand, rates, expectedRates, ...loadsLeft };
    const actions = this.planner.plan(view);
    this.forecastQueue(view, actions);
    this.logNotLoaded(view, actions);
    actions.forEach((action) => {
      const engine = this.engines.get(action.engineId);
      if (engine === undefined) return;
      if (action.fromStore) this.storeTokens -= 1;
      const modelLoad = action.steps.find(
        ({ type, adapter }) => type === OrderStepType.load && adapter === null,
      );
      if (modelLoad !== undefined) {
        const usualMs = this.expectedMs(engine.server.id, modelLoad);
        Object.assign(engine, { load: new LoadProgress(usualMs, action.fromStore) });
      }
      const hasUnload = action.steps.some(
        ({ type, adapter }) => type === OrderStepType.unload && adapter === null,
      );
      engine.orders.add(action.steps, hasUnload ? nowMs + UNLOAD_NOTICE_MS : 0);
      action.steps
        .filter(({ type }) => type === OrderStepType.unload)
        .forEach(({ model, adapter }) =>
          this.usageTracker.noteUnloaded(action.engineId, model, adapter),
        );
      this.opts.logger.info('order-planned', {
        engine: action.engineId,
        version: engine.server.version,
        steps: action.steps.map(({ type, model, adapter }) => [type, model, adapter].join(' ')),
        fromStore: action.fromStore,
        ratesPerS: action.steps.map(({ model }) => expectedRates.get(model) ?? 0),
        reason: action.reason,
      });
    });
  }

  /**
   * Logs the models in demand that no engine has loaded or loads from a copy, with what keeps the
   * engines with copies from it.
   */
  private logNotLoaded(view: SwapView, actions: readonly SwapAction[]): void {
    const served = new Set(actions.flatMap((action) => servedBy(view, action)).map(modelKey));
    view.pendingDemand
      .filter((demand) => !served.has(modelKey(demand)))
      .forEach((demand) => {
        const key = modelKey(demand);
        const loggedAtMs = this.notLoadedLoggedAtMs.get(key) ?? -Infinity;
        if (view.nowMs - loggedAtMs < NOT_LOADED_LOG_PAUSE_MS) return;
        const { model, version, waiting, dueAtMs } = demand;
        const engines = healthyEnginesFor(view.engines, demand);
        if (isLoadedSoon(engines, model)) return;
        this.notLoadedLoggedAtMs.set(key, view.nowMs);
        this.opts.logger.info('model-not-loaded', {
          reason: notLoadedReason(view, demand),
          model,
          version,
          waiting,
          dueInMs: Math.round(dueAtMs - view.nowMs),
          ratePerS: view.rates.get(model) ?? 0,
          storeLoadsLeft: view.storeLoadsLeft,
          open: engines.filter(({ open }) => open).length,
          loadingFromStore: engines
            .filter((engine) => engine.loading.includes(model))
            .map(({ id }) => id),
          copies: engines
            .filter((engine) => hasCopy(engine, model))
            .map((engine) => describeCopy(view.nowMs, engine)),
        });
      });
  }

  private forecastQueue(view: SwapView, actions: readonly SwapAction[]): void {
    const started = new Set(actions.flatMap((action) => servedBy(view, action)).map(modelKey));
    const queue = this.planner.queuedLoads(view).filter((load) => !started.has(modelKey(load)));
    const startedFromStore = actions.filter(({ fromStore }) => fromStore).length;
    const ends = this.storeLoadEnds(view.nowMs);
    const maxLoads = this.storeConcurrency.atOnce - startedFromStore;
    const blocked = this.planner.blockedLoads(view).filter((load) => !started.has(modelKey(load)));
    this.forecast = [...forecastLoads(view.nowMs, ends, maxLoads, queue), ...blocked];
  }

  /** Counts the work that the loads in progress have done. */
  private advanceLoads(nowMs: number): void {
    const { atOnce } = this.storeConcurrency;
    const running = this.runningStoreLoads();
    const begun = running.filter(({ orders }) => orders.loadAcceptedAtMs !== null);
    const concurrent = begun.length + this.foreignEnds(nowMs).length;
    this.engines.forEach(({ load, orders }) =>
      load?.advance(nowMs, orders.loadAcceptedAtMs, concurrent, atOnce),
    );
  }

  /** Expected ends of all loads from the weight store, ms. */
  private storeLoadEnds(nowMs: number): readonly number[] {
    const own = this.runningStoreLoads().map((engine) => expectedEndMs(nowMs, engine));
    return [...own, ...this.foreignEnds(nowMs)];
  }

  /** Engines with a load from the weight store, planned or in progress. */
  private runningStoreLoads(): readonly EngineRecord[] {
    return [...this.engines.values()].filter(
      (engine) =>
        isResponsive(engine) && engine.load?.fromStore === true && engine.orders.loading.length > 0,
    );
  }

  /**
   * Latest ends of the orders of the last steward that engines carry out, ms: each may be a load from
   * the weight store.
   */
  private foreignEnds(nowMs: number): readonly number[] {
    return [...this.engines.values()]
      .filter(isResponsive)
      .flatMap(({ foreignSinceMs, spec }) => {
        if (foreignSinceMs === null) return [];
        const loadsMs = [...spec.models.values()].map(({ remoteLoadMs }) => remoteLoadMs);
        return [foreignSinceMs + Math.max(0, ...loadsMs)];
      })
      .filter((endsAtMs) => endsAtMs > nowMs);
  }

  /** Sums the queued requests of all entry VMs by what they need. */
  private pendingDemand(
    nowMs: number,
    reports: readonly RelayMessageOf<'report'>[],
  ): readonly PendingDemand[] {
    const merged = new Map<string, PendingDemand>();
    reports.forEach(({ waits }) =>
      waits.forEach(({ waiting, dueInMs, ...wait }) => {
        const { service, model, adapter, version, dataCentres } = wait;
        const need = { service, model, adapter, version, dataCentres };
        const key = JSON.stringify(need);
        const before = merged.get(key);
        merged.set(key, {
          ...need,
          waiting: (before?.waiting ?? 0) + waiting,
          dueAtMs: Math.min(before?.dueAtMs ?? Infinity, nowMs + dueInMs),
        });
      }),
    );
    return [...merged.values()];
  }

  /**
   * The states of all engines for the planner. Avoided engines get no new models, and only those of
   * their replicas count that their limits can serve.
   */
  private engineStates(nowMs: number, rates: ModelRates): readonly EngineState[] {
    const { issuer } = this.opts;
    const engines = [...this.engines.values()];
    const avoided = avoidedServers(
      engines.map(({ server }) => server),
      (id) => issuer.requestsPerS(id) !== null,
    );
    const replicaCounts = new Map<string, number>();
    engines.forEach(({ orders }) =>
      [...orders.loadedModels.keys()].forEach((model) =>
        replicaCounts.set(model, (replicaCounts.get(model) ?? 0) + 1),
      ),
    );
    const ratePerS = (model: string) =>
      (rates.get(model) ?? 0) / Math.max(1, replicaCounts.get(model) ?? 1);
    return engines.map((engine) => {
      const state = this.engineState(nowMs, engine);
      const requestsPerS = issuer.requestsPerS(state.id);
      if (requestsPerS === null || !avoided.has(state.id)) return state;
      const replicas = servableReplicas(state.replicas, requestsPerS, ratePerS);
      return { ...state, open: false, replicas };
    });
  }

  private engineState(nowMs: number, engine: EngineRecord): EngineState {
    const { server, spec, orders } = engine;
    const isHealthy = this.isHealthy(engine);
    // Orders would not reach an engine that does not answer the steward.
    const isOpen = isHealthy && isResponsive(engine);
    const unloadingModels = orders.unloading;
    const unloadingAdapters = new Set(orders.unloadingAdapters);
    const remainingAdapters = (model: string, adapters: ReadonlySet<string>) =>
      new Set([...adapters].filter((adapter) => !unloadingAdapters.has(`${model}/${adapter}`)));
    return {
      id: server.id,
      service: server.service,
      version: server.version,
      spec,
      dataCentre: server.dataCentre,
      open: isOpen && !orders.busy && !orders.needsReport,
      openForAdapters: isOpen && orders.acceptsAdapterSteps && !orders.needsReport,
      healthy: isHealthy,
      replicas: [...orders.loadedModels]
        .filter(([model]) => !unloadingModels.includes(model))
        .map(([model, adapters]) =>
          this.usageTracker.replica(nowMs, server.id, model, remainingAdapters(model, adapters)),
        ),
      loading: orders.loading,
      loadingAdapters: orders.loadingAdapters,
      busyUntilMs: orders.loading.length > 0 ? expectedEndMs(nowMs, engine) : nowMs,
      reservedMb: orders.reservedMb,
      reservedAdapterSlots: orders.reservedAdapterSlots,
      copies: engine.copies,
    };
  }

  /** Number of loads that the weight store's load rate and concurrency limit allow to start now. */
  private loadsLeft(nowMs: number): Pick<SwapView, 'storeLoadsLeft' | 'placeLoadsLeft'> {
    const rates = [...this.engines.values()].map(({ spec }) => spec.loadsPerS);
    const perS = rates.length === 0 ? 0 : Math.min(...rates) * STORE_RATE_FRACTION;
    const gained = ((nowMs - this.storeTokensAtMs) / MS_PER_S) * perS;
    this.storeTokens = Math.min(STORE_BURST, this.storeTokens + gained);
    this.storeTokensAtMs = nowMs;
    const freeLoads = this.storeConcurrency.atOnce - this.storeLoadEnds(nowMs).length;
    const bounded = (loads: number) => Math.max(0, Math.min(Math.floor(this.storeTokens), loads));
    return {
      storeLoadsLeft: bounded(freeLoads),
      placeLoadsLeft: bounded(freeLoads + EXTRA_PLACE_LOADS),
    };
  }

  /** Sends the due engine order, in the same synchronous step as the check of the lease. */
  private sendDueOrder(nowMs: number, engine: EngineRecord): void {
    const { leaving, service } = engine.server;
    if (leaving || this.opts.reachability.isPartitioned(service)) return;
    const fence = this.opts.lease.fence();
    if (fence === 0) return;
    if (!this.opts.issuer.allowsOrder(nowMs, engine.server.id)) return;
    const order = engine.orders.next(nowMs);
    if (order === null) return;
    this.opts.issuer.noteOrder(nowMs, engine.server.id);
    void this.sendOrder(engine, order, fence);
  }

  private async sendOrder(engine: EngineRecord, order: Order, fence: number): Promise<void> {
    const authority = { holder: this.opts.vm, fence };
    const sentAtMs = this.opts.clock.steadyMs();
    const outcome = await this.opts.wire.order(engine.server, order, authority, ORDER_TIMEOUT_MS);
    const nowMs = this.opts.clock.steadyMs();
    const isRejected = outcome !== OrderOutcome.accepted && outcome !== OrderOutcome.done;
    const level = isRejected ? 'info' : 'debug';
    this.opts.logger[level](isRejected ? 'order-turned-down' : 'order-answered', {
      engine: engine.server.id,
      ...order,
      outcome,
      running: this.usageTracker.runningAt(engine.server.id),
    });
    engine.orders.answered(nowMs, outcome);
    if (outcome === OrderOutcome.fenced) this.opts.lease.noteFence(fence + 1);
    const isUnanswered = outcome === OrderOutcome.unknown;
    if (isUnanswered && !this.isLate(sentAtMs, ORDER_TIMEOUT_MS)) this.noteFailure(engine);
    if (this.engines.get(engine.server.id) === engine) this.sendDueOrder(nowMs, engine);
  }
}
