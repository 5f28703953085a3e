/**
 * Decides which models and adapters are loaded on which engines.
 *
 * Designed for a fleet with more models than its engines can hold. Most models are requested rarely
 * and evenly. One or two popular models make up half of the demand, and the popular models change
 * within seconds. A load from an engine's own disk or memory takes half a second; a load from the
 * weight store blocks the engine's orders for many seconds. A model is therefore loaded on an
 * engine that has a copy of its weights. The store is used only if no engine has a copy, if an
 * engine has free memory for the model, or if the only copy is on an overloaded engine. The models
 * in highest demand are preloaded into free memory, so that a new engine can serve requests for
 * them at once.
 */
import { type OrderStep, OrderStepType } from '../engine-orders/index.js';
import type { ModelSpec } from '../fleet-plan/index.js';
import type { ForecastLoad, QueuedLoad } from './load-forecast.js';
import type { EngineState, Replica, SwapAction, SwapView, PendingDemand } from './types.js';
import { findPlaceNeeds, type PlaceNeed } from './version-places.js';
import {
  distinctNeeds,
  hasCopy,
  healthyEnginesFor,
  holdsOrLoads,
  type IndexedView,
  indexView,
  isLoadedSoon,
  isOnlyAt,
  modelKey,
  type ModelNeed,
  replicaOf,
  runningRequests,
  targetKey,
  targetsOf,
} from './view-index.js';

export { type ForecastLoad, forecastLoads, type QueuedLoad } from './load-forecast.js';
export { LoadProgress } from './load-progress.js';
export { StoreConcurrencyLimiter } from './store-concurrency.js';
export * from './types.js';
export { hasCopy, healthyEnginesFor, isLoadedSoon, modelKey } from './view-index.js';

/** Minimum residency of a model replica, ms, so that a loaded model is also used. */
const MIN_RESIDENCY_MS = 1_500;
/** Time for which an adapter is kept after its load or last use, ms: requests may be in transit. */
const KEEP_ADAPTER_MS = 250;
/**
 * Time after its last use for which a replica counts as in use, ms. During this time, the same
 * value is added to the replica's eviction cost.
 */
const RECENT_USE_MS = 300;
/** Assumed time until a replica's running requests have ended, ms; an unload waits for them. */
const RUN_END_MS = 2_000;
/** Eviction cost of a replica for each request per second to its model, ms. */
const EVICTION_COST_PER_RATE_MS = 1_500;
/** Time before the latency objective of a demand at which its urgency starts to grow, ms. */
const URGENCY_LEAD_MS = 2_000;
/** Time in which the urgency grows by 1, as much as one more queued request adds, ms. */
const URGENCY_STEP_MS = 700;
/** Requests per second below which a model is not preloaded. */
const MIN_PRELOAD_RATE_PER_S = 0.02;
/** Loads from the weight store that are reserved for requested models that no engine has loaded. */
const RESERVED_STORE_LOADS = 1;
/** Time after the latency objective of a demand at which any of its loads may evict replicas in use, ms. */
const OVERDUE_MS = 500;
/** Maximum cost of a load, ms. `MAX_COST_PER_QUEUED_MS` is added for each queued request. */
const MAX_COST_MS = 4_000;
/** Increase of the maximum cost of a load for each queued request, ms. */
const MAX_COST_PER_QUEUED_MS = 500;
/** Requests per second above which a model gets a second replica, in case the first one fails. */
const SECOND_REPLICA_RATE_PER_S = 3;
/**
 * Cost of a replica at another software version than the model's other replicas, ms: the streams of
 * one version can't go on at the other.
 */
const OTHER_VERSION_COST_MS = 1_500;
/**
 * Servers of a version that have a crowded model below which another place may exceed the usual
 * number of loads from the weight store.
 */
const URGENT_PLACES = 2;
/** Time until a copy can be loaded from which on callers are told that time, ms. */
const BLOCKED_MS = 2_000;
/** Slot utilisation, over all engines with a model, above which the model gets another replica. */
const MAX_UTILISATION = 0.6;
/** Queued requests for a model below which no model in use is evicted for it before it is overdue. */
const MIN_OUTNUMBERING = 6;
/** Queued requests without an adapter at which a loaded model gets another replica. */
const QUEUED_FOR_ANOTHER_REPLICA = 6;

/** A way to load a model on an engine. */
interface LoadOption {
  readonly engine: EngineState;
  readonly evict: readonly Replica[];
  readonly fromStore: boolean;
  /**
   * Total cost: the load time, the time for which the load blocks the engine's orders, and
   * `delayToOthersMs`.
   */
  readonly costMs: number;
  /** Delay for requests to other models, ms, apart from those that no other engine could serve. */
  readonly delayToOthersMs: number;
}

function specOf(engine: EngineState, model: string): ModelSpec | undefined {
  return engine.spec.models.get(model);
}

function loadSource(engine: EngineState, spec: ModelSpec): { ms: number; fromStore: boolean } {
  if (engine.copies.inMemory.includes(spec.name))
    return { ms: spec.memoryLoadMs, fromStore: false };
  if (engine.copies.onDisk.includes(spec.name)) return { ms: spec.diskLoadMs, fromStore: false };
  return { ms: spec.remoteLoadMs, fromStore: true };
}

/** Time until a model could be loaded on an engine from its copy, ms. */
function copyWaitMs(nowMs: number, engine: EngineState, model: string): number {
  const loadMs = specOf(engine, model)?.diskLoadMs ?? 0;
  return Math.max(0, engine.busyUntilMs - nowMs) + loadMs;
}

/**
 * Whether an engine has a copy from which a model is loaded sooner than from the weight store: an
 * engine takes no other order during a load from the store.
 */
function hasUsableCopy(nowMs: number, engine: EngineState, model: string): boolean {
  const remoteLoadMs = specOf(engine, model)?.remoteLoadMs ?? 0;
  return hasCopy(engine, model) && copyWaitMs(nowMs, engine, model) < remoteLoadMs;
}

function loadSteps(evict: readonly Replica[], model: string): readonly OrderStep[] {
  const unloads = evict.map((replica) => ({
    type: OrderStepType.unload,
    model: replica.model,
    adapter: null,
  }));
  return [...unloads, { type: OrderStepType.load, model, adapter: null }];
}

/** Whether a load of the model is expected to end: an engine that does not respond may never do it. */
function isLoading({ healthy, loading }: EngineState, model: string): boolean {
  return healthy && loading.includes(model);
}

/**
 * Returns the urgency of a demand: one for each queued request, plus an amount that grows from
 * `URGENCY_LEAD_MS` before the latency objective. Long queues go first, but a single request does
 * not starve.
 */
function urgencyOf(nowMs: number, { waiting, dueAtMs }: PendingDemand): number {
  return waiting + Math.max(0, nowMs - dueAtMs + URGENCY_LEAD_MS) / URGENCY_STEP_MS;
}

function inOrderOfUrgency({ nowMs, pendingDemand }: SwapView): readonly PendingDemand[] {
  return [...pendingDemand].sort((a, b) => urgencyOf(nowMs, b) - urgencyOf(nowMs, a));
}

/** The largest number of engines that have the same software version. */
function mostAtOneVersion(engines: readonly EngineState[]): number {
  const counts = engines.map(
    ({ version }) => engines.filter((other) => other.version === version).length,
  );
  return Math.max(0, ...counts);
}

/** The needs that an action serves: its model at any version, and at that of its engine. */
export function servedBy(
  { engines, pendingDemand }: Pick<SwapView, 'engines' | 'pendingDemand'>,
  { engineId, steps }: SwapAction,
): readonly ModelNeed[] {
  const engine = engines.find(({ id }) => id === engineId);
  if (engine === undefined) return [];
  const targets = targetsOf(engine, pendingDemand);
  return steps
    .filter(({ type, adapter }) => type === OrderStepType.load && adapter === null)
    .flatMap(({ model }) => targets.map((target) => ({ ...target, model })));
}

export class SwapPlanner {
  /** Returns at most one action for each engine that accepts orders now. */
  plan(input: SwapView): readonly SwapAction[] {
    const view = indexView(input);
    const assignedEngines = new Set<string>();
    const placedModels = new Set<string>();
    const placeActions = this.loadPlaces(view, assignedEngines);
    placeActions
      .flatMap((action) => servedBy(view, action))
      .forEach((served) => placedModels.add(modelKey(served)));
    let storeLoadsLeft = Math.max(0, view.storeLoadsLeft - placeActions.length);
    const byUrgency = inOrderOfUrgency(view);
    // One plan loads a model on one engine only, however many of its adapters are in demand.
    const loadModel = (demand: PendingDemand, storeLoads: number) =>
      placedModels.has(modelKey(demand))
        ? null
        : this.loadModel(view, demand, assignedEngines, storeLoads);
    const passes: readonly ((demand: PendingDemand) => SwapAction | null)[] = [
      (demand) => this.loadAdapter(view, demand, assignedEngines),
      // Streams in progress come first, as long as a copy can serve them soon.
      (demand) => (demand.version === null ? null : loadModel(demand, 0)),
      (demand) => loadModel(demand, storeLoadsLeft),
    ];
    const demandActions = passes.flatMap((pass) =>
      byUrgency.flatMap((demand) => {
        const action = pass(demand);
        if (action === null) return [];
        assignedEngines.add(action.engineId);
        servedBy(view, action).forEach((served) => placedModels.add(modelKey(served)));
        if (action.fromStore) storeLoadsLeft -= 1;
        return [action];
      }),
    );
    const actions = [...placeActions, ...demandActions];
    const loadingModels = new Set(
      actions.flatMap(({ steps: all }) => all.map(({ model }) => model)),
    );
    const preloadActions = view.engines.flatMap((engine) => {
      if (!engine.open || assignedEngines.has(engine.id)) return [];
      const action = this.preload(
        view,
        engine,
        loadingModels,
        storeLoadsLeft > RESERVED_STORE_LOADS,
      );
      if (action === null) return [];
      loadingModels.add(action.steps[0]?.model ?? '');
      if (action.fromStore) storeLoadsLeft -= 1;
      return [action];
    });
    return [...actions, ...preloadActions];
  }

  /**
   * Loads crowded models from the weight store at versions at which few servers have them. The
   * engines are added to `assignedEngines`.
   */
  private loadPlaces(view: IndexedView, assignedEngines: Set<string>): readonly SwapAction[] {
    const actions: SwapAction[] = [];
    findPlaceNeeds(view).forEach((need) => {
      const isUrgent = need.places < URGENT_PLACES;
      if (actions.length >= (isUrgent ? view.placeLoadsLeft : view.storeLoadsLeft)) return;
      const action = this.loadPlace(view, need, assignedEngines);
      if (action === null) return;
      assignedEngines.add(action.engineId);
      actions.push(action);
    });
    return actions;
  }

  private loadPlace(
    view: IndexedView,
    need: PlaceNeed,
    assignedEngines: ReadonlySet<string>,
  ): SwapAction | null {
    const { model } = need;
    const best = (view.enginesByTarget.get(targetKey(need)) ?? [])
      .filter((engine) => engine.open && !assignedEngines.has(engine.id))
      .filter((engine) => replicaOf(engine, model) === undefined && !hasCopy(engine, model))
      .flatMap((engine) => this.cheapestOption(view, engine, model, null))
      .filter(({ delayToOthersMs }) => delayToOthersMs <= MAX_COST_MS)
      .sort((a, b) => a.costMs - b.costMs)[0];
    if (best === undefined) return null;
    return {
      engineId: best.engine.id,
      steps: loadSteps(best.evict, model),
      fromStore: true,
      reason: `servers of the version that have the model: ${need.places}`,
    };
  }

  /**
   * Models in demand that must be loaded from the weight store, most urgent first: no healthy
   * engine has the model loaded, is loading it, or has a copy of its weights.
   */
  queuedLoads(input: SwapView): readonly QueuedLoad[] {
    return distinctNeeds(inOrderOfUrgency(input)).flatMap((need) => {
      const { service, model, version } = need;
      const engines = healthyEnginesFor(input.engines, need);
      const isAvailable = (engine: EngineState) =>
        holdsOrLoads(engine, model) || hasUsableCopy(input.nowMs, engine, model);
      const spec = engines[0]?.spec.models.get(model);
      if (spec === undefined || engines.some(isAvailable)) return [];
      return [{ service, model, version, loadMs: spec.remoteLoadMs }];
    });
  }

  /**
   * Models in demand that no healthy engine has loaded or loads from a copy, although there are copies
   * that are worth waiting for: their engines take no order for longer, or the model is being loaded
   * from the weight store, which takes longer.
   */
  blockedLoads({ nowMs, engines, pendingDemand }: SwapView): readonly ForecastLoad[] {
    return distinctNeeds(pendingDemand).flatMap((need) => {
      const { model } = need;
      const own = healthyEnginesFor(engines, need);
      if (isLoadedSoon(own, model)) return [];
      const isLoadedLater = own.some((engine) => isLoading(engine, model));
      const waitsMs = own
        .filter((engine) => hasUsableCopy(nowMs, engine, model))
        // An engine that takes orders and has none for the model is not about to load it.
        .filter((engine) => !isLoadedLater || engine.loading.length > 0)
        .map((engine) => copyWaitMs(nowMs, engine, model));
      if (waitsMs.length === 0) return [];
      if (!isLoadedLater && Math.min(...waitsMs) < BLOCKED_MS) return [];
      return [{ ...need, readyAtMs: nowMs + Math.min(...waitsMs) }];
    });
  }

  /** Loads the model with the highest benefit into the free memory of an engine. */
  private preload(
    view: IndexedView,
    engine: EngineState,
    loadingModels: ReadonlySet<string>,
    mayUseStore: boolean,
  ): SwapAction | null {
    const freeMb = engine.spec.memoryMb - engine.reservedMb;
    const best = [...engine.spec.models.values()]
      .filter(({ name, sizeMb }) => sizeMb <= freeMb && !loadingModels.has(name))
      .filter(({ name }) => replicaOf(engine, name) === undefined)
      .map((spec) => ({
        spec,
        fromStore: loadSource(engine, spec).fromStore,
        benefit: this.benefitOf(view, engine.service, spec.name),
      }))
      .filter(({ benefit, fromStore }) => benefit > 0 && (!fromStore || mayUseStore))
      .sort((a, b) => b.benefit - a.benefit)[0];
    if (best === undefined) return null;
    const { spec, fromStore } = best;
    return {
      engineId: engine.id,
      steps: [{ type: OrderStepType.load, model: spec.name, adapter: null }],
      fromStore,
      reason: 'free memory',
    };
  }

  /** Benefit of one more replica of a model: its request rate, lower for each existing replica. */
  private benefitOf(view: IndexedView, service: string, model: string): number {
    const rate = view.rates.get(model) ?? 0;
    if (rate < MIN_PRELOAD_RATE_PER_S) return 0;
    const engines = view.enginesByTarget.get(targetKey({ service, version: null })) ?? [];
    const replicaCount = engines.filter(
      (engine) => engine.healthy && holdsOrLoads(engine, model),
    ).length;
    return rate / (1 + replicaCount * replicaCount * 4);
  }

  /** Loads an adapter on an engine that has its model loaded, which takes a few milliseconds. */
  private loadAdapter(
    view: IndexedView,
    demand: PendingDemand,
    assignedEngines: ReadonlySet<string>,
  ): SwapAction | null {
    const { adapter, model } = demand;
    if (adapter === null) return null;
    const name = `${model}/${adapter}`;
    const engines = view.enginesByTarget.get(targetKey(demand)) ?? [];
    const isAvailable = engines.some(
      (engine) =>
        engine.healthy &&
        (engine.loadingAdapters.includes(name) ||
          replicaOf(engine, model)?.adapters.has(adapter) === true),
    );
    if (isAvailable) return null;
    const options = engines
      .filter((engine) => engine.openForAdapters && !assignedEngines.has(engine.id))
      .flatMap((engine) => this.adapterOptions(view.nowMs, engine, model))
      .sort((a, b) => a.cost - b.cost);
    const best = options[0];
    if (best === undefined) return null;
    const load = { type: OrderStepType.load, model, adapter };
    return {
      engineId: best.engineId,
      steps: [...best.evict, load],
      fromStore: false,
      reason: `queued requests for the adapter: ${demand.waiting}`,
    };
  }

  /**
   * Returns the way to load an adapter on an engine, or none. The cost is the number of the
   * engine's running requests, plus 10 if another adapter is evicted.
   */
  private adapterOptions(nowMs: number, engine: EngineState, model: string) {
    const replica = replicaOf(engine, model);
    const spec = specOf(engine, model);
    if (replica === undefined || spec === undefined) return [];
    const load = engine.replicas.reduce((sum, { running }) => sum + running, 0);
    const hasSlot = engine.reservedAdapterSlots < engine.spec.adapterSlots;
    const hasMemory = engine.reservedMb + spec.adapterMb <= engine.spec.memoryMb;
    if (hasSlot && hasMemory) return [{ engineId: engine.id, evict: [], cost: load }];
    const idle = this.leastRecentlyUsedAdapter(nowMs, engine);
    if (idle === null) return [];
    return [{ engineId: engine.id, evict: [idle.step], cost: load + idle.cost }];
  }

  /**
   * Finds the least recently used adapter that has no running request and was not used within
   * `KEEP_ADAPTER_MS`.
   */
  private leastRecentlyUsedAdapter(nowMs: number, engine: EngineState) {
    const idle = engine.replicas
      .flatMap((replica) =>
        [...replica.adapters]
          .filter((adapter) => (replica.runningAdapters.get(adapter) ?? 0) === 0)
          .filter(
            (adapter) => nowMs - (replica.adapterUsedAtMs.get(adapter) ?? 0) >= KEEP_ADAPTER_MS,
          )
          .map((adapter) => ({
            step: { type: OrderStepType.unload, model: replica.model, adapter },
            usedAtMs: replica.adapterUsedAtMs.get(adapter) ?? 0,
          })),
      )
      .sort((a, b) => a.usedAtMs - b.usedAtMs)[0];
    return idle === undefined ? null : { step: idle.step, cost: 10 };
  }

  private loadModel(
    view: IndexedView,
    demand: PendingDemand,
    assignedEngines: ReadonlySet<string>,
    storeLoadsLeft: number,
  ): SwapAction | null {
    const { model } = demand;
    const engines = view.enginesByTarget.get(targetKey(demand)) ?? [];
    const holders = view.holdersByModel.get(modelKey(demand)) ?? [];
    const isNeeded = this.needsReplica(view, engines, demand);
    if (!isNeeded && (holders.length > 0 || !this.isOnlyLoadedSlowly(engines, model))) return null;
    const options = engines
      .filter((engine) => engine.open && !assignedEngines.has(engine.id))
      .filter((engine) => replicaOf(engine, model) === undefined)
      .flatMap((engine) => this.cheapestOption(view, engine, model, demand))
      .map((option) => ({ ...option, rank: option.costMs + this.splitCostMs(option, holders) }))
      .sort((a, b) => a.rank - b.rank);
    // A load from the store evicts replicas only if no engine has a copy that can be used sooner.
    const copyExists = engines.some(
      (engine) => engine.healthy && hasUsableCopy(view.nowMs, engine, model),
    );
    const maxCostMs = MAX_COST_MS + demand.waiting * MAX_COST_PER_QUEUED_MS;
    const copyExistsElsewhere = engines.some(
      (engine) =>
        engine.healthy && !holders.includes(engine) && hasUsableCopy(view.nowMs, engine, model),
    );
    const isUsable = ({ fromStore, evict, delayToOthersMs: delayMs }: LoadOption) => {
      if (!fromStore) return true;
      if (!isNeeded) return false;
      if (holders.length === 0) return storeLoadsLeft > 0 && (!copyExists || evict.length === 0);
      // If only engines that hold the model have a copy, another replica can only come from the
      // store.
      const mayUseStore = storeLoadsLeft > RESERVED_STORE_LOADS && !copyExistsElsewhere;
      return mayUseStore && this.isOverloaded(holders, model) && delayMs <= maxCostMs;
    };
    const best = options.find(isUsable);
    if (best === undefined || (!best.fromStore && best.costMs > maxCostMs)) return null;
    return {
      engineId: best.engine.id,
      steps: loadSteps(best.evict, model),
      fromStore: best.fromStore,
      reason: `queued requests for the model: ${demand.waiting}`,
    };
  }

  /** Cost of a replica that does not help the streams of the model's present replicas, ms. */
  private splitCostMs({ engine }: LoadOption, holders: readonly EngineState[]): number {
    const isSplit =
      holders.length > 0 && !holders.some(({ version }) => version === engine.version);
    return isSplit ? OTHER_VERSION_COST_MS : 0;
  }

  /**
   * Whether the model's queued requests, running requests or request rate call for another replica.
   */
  private needsReplica(
    view: IndexedView,
    engines: readonly EngineState[],
    demand: PendingDemand,
  ): boolean {
    const { model } = demand;
    const loadingCount = engines.filter((engine) => isLoading(engine, model)).length;
    const holders = view.holdersByModel.get(modelKey(demand)) ?? [];
    if (loadingCount === 0 && holders.length === 0) return demand.waiting > 0;
    if (holders.length + loadingCount >= engines.length / 2) return false;
    if (loadingCount > 0)
      return holders.length + loadingCount < this.replicasNeeded(view, holders, demand);
    if (this.lacksAdapterSlots(view.nowMs, holders, demand)) return true;
    if (demand.adapter === null && demand.waiting >= QUEUED_FOR_ANOTHER_REPLICA) return true;
    if (this.isOverloaded(holders, model)) return true;
    return (
      mostAtOneVersion(holders) < 2 && (view.rates.get(model) ?? 0) > SECOND_REPLICA_RATE_PER_S
    );
  }

  /** Whether all loads of the model come from the weight store. */
  private isOnlyLoadedSlowly(engines: readonly EngineState[], model: string): boolean {
    const loading = engines.filter((engine) => isLoading(engine, model));
    return loading.length > 0 && !loading.some((engine) => hasCopy(engine, model));
  }

  /** Number of replicas needed to serve queued and running requests at `MAX_UTILISATION`. */
  private replicasNeeded(
    view: IndexedView,
    holders: readonly EngineState[],
    demand: PendingDemand,
  ): number {
    const slots = view.enginesByTarget.get(targetKey(demand))?.[0]?.spec.slots ?? 1;
    const waiting = view.queuedByModel.get(modelKey(demand)) ?? 0;
    return (runningRequests(holders, demand.model) + waiting) / (slots * MAX_UTILISATION);
  }

  private isOverloaded(holders: readonly EngineState[], model: string): boolean {
    const slots = holders.reduce((sum, { spec }) => sum + spec.slots, 0);
    return runningRequests(holders, model) > slots * MAX_UTILISATION;
  }

  /**
   * Whether no engine with the model can load the demand's adapter soon: each of them has no room for
   * it and can evict no idle one, or takes no order for longer.
   */
  private lacksAdapterSlots(
    nowMs: number,
    holders: readonly EngineState[],
    demand: PendingDemand,
  ): boolean {
    if (demand.adapter === null) return false;
    const name = `${demand.model}/${demand.adapter}`;
    const hasAdapter = (engine: EngineState) =>
      engine.loadingAdapters.includes(name) ||
      replicaOf(engine, demand.model)?.adapters.has(demand.adapter ?? '') === true;
    return holders.every(
      (engine) =>
        !hasAdapter(engine) &&
        (engine.busyUntilMs - nowMs > BLOCKED_MS ||
          (engine.openForAdapters &&
            this.adapterOptions(nowMs, engine, demand.model).length === 0)),
    );
  }

  /**
   * Returns the cheapest way to load a model on an engine; empty if the model can't be made to fit.
   * @param demand What the load is for; null for a load ahead of any demand.
   */
  private cheapestOption(
    view: IndexedView,
    engine: EngineState,
    model: string,
    demand: PendingDemand | null,
  ): readonly LoadOption[] {
    const spec = specOf(engine, model);
    if (spec === undefined) return [];
    const { ms, fromStore } = loadSource(engine, spec);
    const missingMb = engine.reservedMb + spec.sizeMb - engine.spec.memoryMb;
    const adapterDelayMs = view.adapterDelayMs.get(engine.id) ?? 0;
    const blockedMs = fromStore ? ms : 0;
    const blockMs = blockedMs * (1 + (view.blockedRates.get(engine.id) ?? 0));
    if (missingMb <= 0)
      return [
        {
          engine,
          evict: [],
          fromStore,
          costMs: ms + adapterDelayMs + blockMs,
          delayToOthersMs: adapterDelayMs,
        },
      ];
    const candidates = engine.replicas
      .filter((replica) => this.isEvictable(view, replica, demand, fromStore))
      .map((replica) => ({
        replica,
        delayMs: this.evictionCostMs(view, engine, replica, model),
        absenceMs: this.absenceCostMs(view, engine, replica, blockedMs),
      }))
      .map((candidate) => ({ ...candidate, costMs: candidate.delayMs + candidate.absenceMs }))
      .sort((a, b) => a.costMs - b.costMs);
    const chosen = this.chooseEvictions(engine, candidates, missingMb);
    if (chosen === null) return [];
    const evictionMs = chosen.reduce((sum, { costMs }) => sum + costMs, 0);
    const delayMs = chosen.reduce((sum, candidate) => sum + candidate.delayMs, 0);
    return [
      {
        engine,
        evict: chosen.map(({ replica }) => replica),
        fromStore,
        costMs: ms + evictionMs + adapterDelayMs + blockMs,
        delayToOthersMs: delayMs + adapterDelayMs,
      },
    ];
  }

  /**
   * Whether a replica may be evicted for a demand. One that has just been loaded stays, and one in use as
   * well: a replica on another engine is likely to become idle sooner. It may go for an overdue demand,
   * or for a load from a copy if the queued requests that no engine can serve outnumber its own.
   */
  private isEvictable(
    view: IndexedView,
    { running, loadedAtMs }: Replica,
    demand: PendingDemand | null,
    fromStore: boolean,
  ): boolean {
    if (view.nowMs - loadedAtMs < MIN_RESIDENCY_MS) return false;
    if (running === 0) return true;
    if (demand === null) return false;
    if (view.nowMs > demand.dueAtMs + OVERDUE_MS) return true;
    return !fromStore && this.isOutnumbered(view, running, demand);
  }

  /** Whether more requests than run on a replica are queued for a model that no engine has loaded. */
  private isOutnumbered(view: IndexedView, running: number, demand: PendingDemand): boolean {
    const key = modelKey(demand);
    const waiting = view.queuedByNeed.get(key) ?? 0;
    const isServed = (view.holdersByModel.get(key) ?? []).length > 0;
    return !isServed && waiting >= MIN_OUTNUMBERING && waiting > running;
  }

  /**
   * Cost of requests for an evicted model that no other engine could serve while the load blocks this
   * engine, ms.
   */
  private absenceCostMs(
    view: IndexedView,
    engine: EngineState,
    { model }: Replica,
    blockedMs: number,
  ): number {
    return isOnlyAt(view, engine, model) ? (view.expectedRates.get(model) ?? 0) * blockedMs : 0;
  }

  private chooseEvictions<T extends { readonly replica: Replica }>(
    engine: EngineState,
    candidates: readonly T[],
    missingMb: number,
  ): readonly T[] | null {
    const sizeOf = (replica: Replica) => {
      const spec = specOf(engine, replica.model);
      return (spec?.sizeMb ?? 0) + replica.adapters.size * (spec?.adapterMb ?? 0);
    };
    const single = candidates.find(({ replica }) => sizeOf(replica) >= missingMb);
    if (single !== undefined) return [single];
    let freed = 0;
    const chosen = candidates.filter(({ replica }) => {
      if (freed >= missingMb) return false;
      freed += sizeOf(replica);
      return true;
    });
    return freed >= missingMb ? chosen : null;
  }

  /**
   * Eviction cost of a replica, ms: the wait for its running requests and later cold starts, with
   * additions for recent use and for pending demand.
   */
  private evictionCostMs(
    view: IndexedView,
    engine: EngineState,
    replica: Replica,
    incomingModel: string,
  ): number {
    const rate = view.expectedRates.get(replica.model) ?? 0;
    const anyVersion = { service: engine.service, model: replica.model, version: null };
    const holders = view.holdersByModel.get(modelKey(anyVersion)) ?? [];
    const otherReplicas = holders.filter(({ id }) => id !== engine.id).length;
    const incomingRate = view.rates.get(incomingModel) ?? 0;
    const coldStartMs =
      Math.max(0, rate / (1 + otherReplicas ** 2 * 2) - incomingRate / 4) *
      EVICTION_COST_PER_RATE_MS;
    const runEndMs = replica.running > 0 ? RUN_END_MS + replica.running * 50 : 0;
    const recentUseMs = view.nowMs - replica.usedAtMs < RECENT_USE_MS ? RECENT_USE_MS : 0;
    // High enough that a model with pending demand is rarely evicted.
    const isInDemand = [anyVersion, { ...anyVersion, version: engine.version }].some((need) =>
      view.modelsInDemand.has(modelKey(need)),
    );
    const demandMs = isInDemand ? 10_000 : 0;
    return coldStartMs + runEndMs + recentUseMs + demandMs;
  }
}
