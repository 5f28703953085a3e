/** All engines as the steward sees them: what they hold, run and are ordered to load. */
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
  HeldModel,
  WeightCopies,
} from '../../decisions/fleet-plan/index.js';
import {
  type EngineState,
  type ForecastLoad,
  forecastLoads,
  StorePace,
  type SwapAction,
  SwapPlanner,
  type SwapView,
  type Want,
} from '../../decisions/swaps/index.js';
import type { FollowerTask } from './follower.js';
import type { LeaseTask } from './lease-task.js';
import type { LoadView, RelayMessageOf } from './messages.js';
import { UseLog } from './use-log.js';
import type { EngineReport, PlatformWire } from './types.js';

/** Longest wait for an engine's answer to an order, ms. */
const ORDER_TIMEOUT_MS = 250;
const REPORT_TIMEOUT_MS = 300;
/** Pause between reports of an engine at rest, ms: each is priced as a probe. */
const REPORT_EVERY_MS = 700;
/** Pause while the engine's own word is needed, ms: its reports lag by about 100 ms. */
const REPORT_WANTED_MS = 60;
/** An engine that gave no answer this many times in a row is not ordered. */
const MOST_SILENCES = 2;
/** Places are reconsidered this often although nothing waits, ms. */
const REPLAN_MS = 200;
const MS_PER_S = 1000;
/** Part of the store's rate that is used: loads may begin later than they were ordered. */
const STORE_RATE_PART = 0.8;
const STORE_BURST = 2;
/** An adapter's load takes a few milliseconds. */
const ADAPTER_MS = 8;
/** Shortest time that is told of a load, ms. */
const LEAST_READY_MS = 20;
/** Time for entry VMs to hear that a model leaves an engine before it is unloaded, ms. */
const NOTICE_MS = 12;
/** Time that an engine takes to drop a model without runs, ms. */
const UNLOAD_MS = 50;

interface EngineRecord {
  server: BackendServer;
  readonly spec: EngineSpec;
  readonly orders: EngineOrders;
  copies: WeightCopies;
  reportedAtMs: number;
  reporting: boolean;
  silences: number;
  /** End of the load under way, ms. */
  loadEndsAtMs: number;
  /** The load from the weight store that was ordered last; null where it came from elsewhere. */
  storeLoad: StoreLoad | null;
}

interface StoreLoad {
  readonly startedAtMs: number;
  readonly usualMs: number;
  /** Most loads from the store that ran at once with it. */
  together: number;
}

export interface EngineYardOptions {
  readonly vm: string;
  readonly wire: PlatformWire;
  readonly follower: FollowerTask;
  readonly lease: LeaseTask;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Adapters on their way take a place already, and the order that brings them is counted. */
function withPending({ models, pendingAdapters }: EngineReport): readonly HeldModel[] {
  return models.map((model) => {
    const coming = pendingAdapters
      .filter((name) => name.startsWith(`${model.name}/`))
      .map((name) => name.slice(model.name.length + 1));
    return { ...model, adapters: [...new Set([...model.adapters, ...coming])] };
  });
}

export class EngineYard {
  private readonly engines = new Map<string, EngineRecord>();

  private readonly planner = new SwapPlanner();

  private readonly uses = new UseLog();

  private readonly storePace = new StorePace();

  /** Loads from the weight store that have not begun. */
  private forecast: readonly ForecastLoad[] = [];

  private plannedAtMs = -Infinity;

  private plannedFor = '';

  private storeTokens = 0;

  private storeTokensAtMs: number;

  constructor(private readonly opts: EngineYardOptions) {
    this.storeTokensAtMs = opts.clock.steadyMs();
  }

  takeReport(nowMs: number, report: RelayMessageOf<'report'>): void {
    this.uses.note(nowMs, report);
  }

  tick(nowMs: number, reports: readonly RelayMessageOf<'report'>[]): void {
    this.syncEngines();
    this.uses.sum(nowMs, reports);
    this.engines.forEach((engine) => this.askReport(nowMs, engine));
    this.plan(nowMs, reports);
    this.engines.forEach((engine) => this.drive(nowMs, engine));
  }

  /** Models that may be sent work. */
  modelsOf(server: BackendServer): readonly HeldModel[] {
    const engine = this.engines.get(server.id);
    if (engine === undefined || !this.isKnown(engine)) return server.models;
    if (engine.silences >= MOST_SILENCES) return [];
    const leaving = [...engine.orders.unloading, ...engine.orders.leavingAdapters];
    const nowMs = this.opts.clock.steadyMs();
    const held = [...engine.orders.held.keys()].filter((name) => !leaving.includes(name));
    return [...held, ...engine.orders.probablyLoaded(nowMs)].map((name) => ({
      name,
      version: 0,
      adapters: engine.orders
        .readyAdapters(nowMs, name)
        .filter((adapter) => !leaving.includes(`${name}/${adapter}`)),
    }));
  }

  runningAt(engineId: string): number {
    return this.uses.runningAt(engineId);
  }

  /** Loads under way and those that wait for the store, with the time until they end. */
  loads(nowMs: number): LoadView[] {
    const underWay = [...this.engines.values()].flatMap((engine) =>
      engine.orders.loading.map((model) => ({ model, readyAtMs: engine.loadEndsAtMs })),
    );
    return [...underWay, ...this.forecast].map(({ model, readyAtMs }) => ({
      model,
      adapter: null,
      readyInMs: Math.max(LEAST_READY_MS, readyAtMs - nowMs),
    }));
  }

  private isKnown(engine: EngineRecord): boolean {
    return engine.reportedAtMs > -Infinity;
  }

  /** Follows the list: engines that are gone are forgotten, new ones are asked for their state. */
  private syncEngines(): void {
    const { plan, backends } = this.opts.follower;
    backends.forEach((server, id) => {
      const spec = plan?.services.get(server.service)?.engine ?? null;
      if (spec === null) return;
      const known = this.engines.get(id);
      if (known === undefined) this.engines.set(id, this.createRecord(server, spec));
      else if (known.server !== server) this.takeEntry(known, server);
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
        running: (model) => this.uses.runningWith(server.id, model),
      }),
      copies: server.copies,
      reportedAtMs: -Infinity,
      reporting: false,
      silences: 0,
      loadEndsAtMs: 0,
      storeLoad: null,
    };
  }

  private takeEntry(engine: EngineRecord, server: BackendServer): void {
    const restarted = server.bornMs > engine.server.bornMs;
    Object.assign(engine, { server, copies: server.copies });
    if (restarted) Object.assign(engine, { silences: 0, reportedAtMs: -Infinity });
  }

  private expectedMs(engineId: string, step: OrderStep): number {
    if (step.type === OrderStepType.unload) return step.adapter === null ? UNLOAD_MS : 0;
    if (step.adapter !== null) return ADAPTER_MS;
    const engine = this.engines.get(engineId);
    const spec = engine?.spec.models.get(step.model);
    if (engine === undefined || spec === undefined) return 0;
    const { inMemory, onDisk } = engine.copies;
    // A copy in memory may have made way since the engine told of it.
    return [...inMemory, ...onDisk].includes(step.model) ? spec.diskLoadMs : spec.remoteLoadMs;
  }

  private askReport(nowMs: number, engine: EngineRecord): void {
    const pauseMs = engine.orders.wantsReport ? REPORT_WANTED_MS : REPORT_EVERY_MS;
    if (engine.reporting || nowMs - engine.reportedAtMs < pauseMs) return;
    const backoffMs = engine.silences * REPORT_WANTED_MS * 4;
    if (engine.silences > 0 && nowMs - engine.reportedAtMs < backoffMs) return;
    const { server } = engine;
    Object.assign(engine, { reporting: true });
    void this.opts.wire.report(server, REPORT_TIMEOUT_MS).then((report) => {
      Object.assign(engine, { reporting: false });
      if (engine.server.id === server.id) this.takeEngineReport(engine, report);
    });
  }

  private takeEngineReport(engine: EngineRecord, report: EngineReport | null): void {
    const nowMs = this.opts.clock.steadyMs();
    if (report === null) {
      Object.assign(engine, { silences: engine.silences + 1 });
      if (this.isKnown(engine)) Object.assign(engine, { reportedAtMs: nowMs });
      return;
    }
    Object.assign(engine, { silences: 0, reportedAtMs: nowMs });
    const loading = engine.orders.loading.length > 0;
    if (report.copies !== null) Object.assign(engine, { copies: report.copies });
    engine.orders.observe({
      bornMs: report.bornMs ?? engine.server.bornMs,
      count: report.orderCount,
      busy: report.busy,
      models: withPending(report),
    });
    if (loading && engine.orders.loading.length === 0) {
      this.noteStoreLoad(nowMs, engine);
      this.opts.logger.debug('load-ended', {
        engine: engine.server.id,
        overMs: nowMs - engine.loadEndsAtMs,
      });
    }
  }

  private noteStoreLoad(nowMs: number, { storeLoad }: EngineRecord): void {
    if (storeLoad === null) return;
    const { startedAtMs, usualMs, together } = storeLoad;
    const before = this.storePace.atOnce;
    this.storePace.noteEnd(nowMs - startedAtMs, usualMs, together);
    const { atOnce } = this.storePace;
    if (atOnce !== before) this.opts.logger.info('store-loads-limited', { atOnce, usualMs });
  }

  private plan(nowMs: number, reports: readonly RelayMessageOf<'report'>[]): void {
    const wants = this.wants(nowMs, reports);
    const key = wants.map(({ model, adapter }) => `${model}/${adapter}`).join();
    if (nowMs - this.plannedAtMs < (wants.length > 0 ? 0 : REPLAN_MS) && key === this.plannedFor) {
      return;
    }
    this.plannedAtMs = nowMs;
    this.plannedFor = key;
    const engines = [...this.engines.values()].map((engine) => this.stateOf(nowMs, engine));
    const rates = this.uses.rates(nowMs);
    const storeLoadsLeft = this.storeLoadsLeft(nowMs);
    const view = { nowMs, engines, wants, rates, storeLoadsLeft };
    const actions = this.planner.plan(view);
    this.forecastQueue(view, actions);
    actions.forEach((action) => {
      const engine = this.engines.get(action.engineId);
      if (engine === undefined) return;
      if (action.fromStore) this.storeTokens -= 1;
      const steps = action.steps.reduce(
        (sum, step) => sum + this.expectedMs(engine.server.id, step),
        0,
      );
      const storeLoad = action.fromStore
        ? { startedAtMs: nowMs, usualMs: steps, together: 1 }
        : null;
      Object.assign(engine, { loadEndsAtMs: nowMs + steps, storeLoad });
      const unloads = action.steps.some(
        ({ type, adapter }) => type === OrderStepType.unload && adapter === null,
      );
      engine.orders.add(action.steps, unloads ? nowMs + NOTICE_MS : 0);
      action.steps
        .filter(({ type }) => type === OrderStepType.unload)
        .forEach(({ model, adapter }) => this.uses.dropped(action.engineId, model, adapter));
      this.opts.logger.info('order-planned', {
        engine: action.engineId,
        steps: action.steps.map(({ type, model, adapter }) => [type, model, adapter].join(' ')),
        fromStore: action.fromStore,
        reason: action.reason,
      });
    });
  }

  private forecastQueue(view: SwapView, actions: readonly SwapAction[]): void {
    const begun = new Set(actions.flatMap(({ steps }) => steps.map(({ model }) => model)));
    const queue = this.planner.queuedLoads(view).filter(({ model }) => !begun.has(model));
    const beginning = actions.filter(({ fromStore }) => fromStore).length;
    const ends = this.runningStoreLoads().map(({ loadEndsAtMs }) => loadEndsAtMs);
    const spare = this.storePace.atOnce - beginning;
    this.forecast = forecastLoads(view.nowMs, ends, spare, queue);
  }

  private runningStoreLoads(): readonly EngineRecord[] {
    return [...this.engines.values()].filter(
      ({ storeLoad, orders }) => storeLoad !== null && orders.loading.length > 0,
    );
  }

  private wants(nowMs: number, reports: readonly RelayMessageOf<'report'>[]): readonly Want[] {
    const merged = new Map<string, Want>();
    reports.forEach(({ waits }) =>
      waits.forEach(({ service, model, adapter, waiting, dueInMs }) => {
        const key = `${service} ${model}/${adapter}`;
        const before = merged.get(key);
        merged.set(key, {
          service,
          model,
          adapter,
          waiting: (before?.waiting ?? 0) + waiting,
          dueAtMs: Math.min(before?.dueAtMs ?? Infinity, nowMs + dueInMs),
        });
      }),
    );
    return [...merged.values()];
  }

  private stateOf(nowMs: number, engine: EngineRecord): EngineState {
    const { server, spec, orders } = engine;
    const sound = !server.leaving && engine.silences < MOST_SILENCES && this.isKnown(engine);
    const leaving = orders.unloading;
    const leavingAdapters = new Set(orders.leavingAdapters);
    const staying = (model: string, adapters: ReadonlySet<string>) =>
      new Set([...adapters].filter((adapter) => !leavingAdapters.has(`${model}/${adapter}`)));
    return {
      id: server.id,
      service: server.service,
      spec,
      dataCentre: server.dataCentre,
      open: sound && !orders.busy && !orders.wantsReport,
      openForAdapters: sound && orders.hasOnlyAdapters && !orders.wantsReport,
      sound,
      places: [...orders.held]
        .filter(([model]) => !leaving.includes(model))
        .map(([model, adapters]) =>
          this.uses.place(nowMs, server.id, model, staying(model, adapters)),
        ),
      loading: orders.loading,
      loadingAdapters: orders.loadingAdapters,
      chargedMb: orders.chargedMb,
      chargedAdapters: orders.chargedAdapters,
      copies: engine.copies,
    };
  }

  private storeLoadsLeft(nowMs: number): number {
    const rates = [...this.engines.values()].map(({ spec }) => spec.loadsPerS);
    const perS = rates.length === 0 ? 0 : Math.min(...rates) * STORE_RATE_PART;
    const gained = ((nowMs - this.storeTokensAtMs) / MS_PER_S) * perS;
    this.storeTokens = Math.min(STORE_BURST, this.storeTokens + gained);
    this.storeTokensAtMs = nowMs;
    const running = this.runningStoreLoads().flatMap(({ storeLoad }) => storeLoad ?? []);
    running.forEach((load) =>
      Object.assign(load, { together: Math.max(load.together, running.length) }),
    );
    const mayStart = this.storePace.atOnce - running.length;
    return Math.max(0, Math.min(Math.floor(this.storeTokens), mayStart));
  }

  /** Sends the order that is due, if the lease still holds in this very step. */
  private drive(nowMs: number, engine: EngineRecord): void {
    if (engine.server.leaving) return;
    const fence = this.opts.lease.fence();
    if (fence === 0) return;
    const order = engine.orders.next(nowMs);
    if (order === null) return;
    void this.send(engine, order, fence);
  }

  private async send(engine: EngineRecord, order: Order, fence: number): Promise<void> {
    const authority = { holder: this.opts.vm, fence };
    const outcome = await this.opts.wire.order(engine.server, order, authority, ORDER_TIMEOUT_MS);
    const nowMs = this.opts.clock.steadyMs();
    const turnedDown = outcome !== OrderOutcome.accepted && outcome !== OrderOutcome.done;
    const level = turnedDown ? 'info' : 'debug';
    this.opts.logger[level](turnedDown ? 'order-turned-down' : 'order-answered', {
      engine: engine.server.id,
      ...order,
      outcome,
      running: this.uses.runningAt(engine.server.id),
    });
    engine.orders.answered(nowMs, outcome);
    if (outcome === OrderOutcome.fenced) this.opts.lease.noteFence(fence + 1);
    if (outcome === OrderOutcome.unknown) Object.assign(engine, { silences: engine.silences + 1 });
    if (this.engines.get(engine.server.id) === engine) this.drive(nowMs, engine);
  }
}
