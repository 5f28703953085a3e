/** The ways to load a model on an engine, with what is evicted for it and what it costs. */
import { hasSlot } from '../engine-choice/index.js';
import { type OrderStep, OrderStepType } from '../engine-orders/index.js';
import type { EngineState, PendingDemand, Replica } from './types.js';
import { type IndexedView, isOnlyAt, modelKey, runningAt } from './view-index.js';
import { URGENCY_LEAD_MS, urgencyWeight } from './patience.js';
import { hasUsableCopy, loadSource, specOf } from './weights.js';

/** Minimum residency of a model replica, ms, so that a loaded model is also used. */
const MIN_RESIDENCY_MS = 1_500;
/**
 * Time after its last use for which a replica counts as in use, ms. During this time, the same
 * value is added to the replica's eviction cost.
 */
const RECENT_USE_MS = 300;
/** Assumed time until a replica's running requests have ended, ms; an unload waits for them. */
const RUN_END_MS = 2_000;
/** Eviction cost of a replica for each request per second to its model, ms. */
const EVICTION_COST_PER_RATE_MS = 1_500;
/** Minimum time after its latency objective at which a demand may evict replicas in use, ms. */
const OVERDUE_MS = 500;
/** Loads from a copy that must end within the objective of callers who can wait for one of them. */
const LOADS_WITHIN_OBJECTIVE = 2;
/** Queued requests for a model below which no model in use is evicted for it before it is overdue. */
const MIN_OUTNUMBERING = 6;

/** A way to load a model on an engine. */
export interface LoadOption {
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

/** Whether an engine has slots left for requests to a further model. */
export function hasFreeSlots(engine: EngineState): boolean {
  return hasSlot({ running: runningAt(engine), slots: engine.spec.slots });
}

export function loadSteps(evict: readonly Replica[], model: string): readonly OrderStep[] {
  const unloads = evict.map((replica) => ({
    type: OrderStepType.unload,
    model: replica.model,
    adapter: null,
  }));
  return [...unloads, { type: OrderStepType.load, model, adapter: null }];
}

/** Whether more requests than run on a replica are queued for a model that no engine has loaded. */
function isOutnumbered(view: IndexedView, running: number, demand: PendingDemand): boolean {
  const key = modelKey(demand);
  const waiting = view.queuedByNeed.get(key) ?? 0;
  const isServed = (view.holdersByModel.get(key) ?? []).length > 0;
  return !isServed && waiting >= MIN_OUTNUMBERING && waiting > running;
}

/**
 * Time after the latency objective of a demand at which it may evict replicas in use, ms. Callers with
 * a long objective wait for several objectives, and a replica in use may serve callers who don't.
 */
function overdueMs(view: IndexedView, { model }: PendingDemand): number {
  return Math.max(OVERDUE_MS, (view.objectivesMs.get(model) ?? 0) - URGENCY_LEAD_MS);
}

/** Whether another engine has the model loaded. */
function isSpare(view: IndexedView, { id, service }: EngineState, model: string): boolean {
  const holders = view.holdersByModel.get(modelKey({ service, model, version: null })) ?? [];
  return holders.some((holder) => holder.id !== id);
}

/**
 * Whether an evicted model could be loaded again from a copy. Of this engine's copies only those on disk
 * count: the ones in memory are soon replaced by others.
 */
function keepsCopy(view: IndexedView, engine: EngineState, model: string): boolean {
  const key = modelKey({ service: engine.service, model, version: null });
  return (
    engine.copies.onDisk.includes(model) ||
    (view.copiesByModel.get(key) ?? []).some(
      (other) => other.id !== engine.id && hasUsableCopy(view.nowMs, other, model),
    )
  );
}

/** Cost of requests for an evicted model that could only be loaded from the weight store then, ms. */
function lostCopyCostMs(view: IndexedView, engine: EngineState, model: string): number {
  if (isSpare(view, engine, model) || keepsCopy(view, engine, model)) return 0;
  return (view.expectedRates.get(model) ?? 0) * (specOf(engine, model)?.remoteLoadMs ?? 0);
}

/**
 * Whether a replica may be evicted ahead of demand: another engine has the model, or its callers can
 * wait until it has been loaded again from a copy.
 */
function isDispensable(view: IndexedView, engine: EngineState, model: string): boolean {
  if (isSpare(view, engine, model)) return true;
  const loadMs = specOf(engine, model)?.diskLoadMs ?? Infinity;
  const objectiveMs = view.objectivesMs.get(model) ?? 0;
  return objectiveMs >= loadMs * LOADS_WITHIN_OBJECTIVE && keepsCopy(view, engine, model);
}

/**
 * Whether a replica may be evicted for a demand. One that has just been loaded stays, and one in use as
 * well: a replica on another engine is likely to become idle sooner. It may go for an overdue demand,
 * or for a load from a copy if the queued requests that no engine can serve outnumber its own.
 */
function isEvictable(
  view: IndexedView,
  engine: EngineState,
  { model, running, loadedAtMs }: Replica,
  demand: PendingDemand | null,
  fromStore: boolean,
): boolean {
  if (view.nowMs - loadedAtMs < MIN_RESIDENCY_MS) return false;
  if (demand?.waiting === 0) return running === 0 && isDispensable(view, engine, model);
  if (running === 0) return true;
  if (demand === null) return false;
  if (view.nowMs > demand.dueAtMs + overdueMs(view, demand)) return true;
  return !fromStore && isOutnumbered(view, running, demand);
}

/**
 * Cost of requests for an evicted model that no other engine could serve while the load blocks this
 * engine, ms.
 */
function absenceCostMs(
  view: IndexedView,
  engine: EngineState,
  { model }: Replica,
  blockedMs: number,
): number {
  return isOnlyAt(view, engine, model) ? (view.expectedRates.get(model) ?? 0) * blockedMs : 0;
}

function chooseEvictions<T extends { readonly replica: Replica }>(
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
function evictionCostMs(
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
  const coldStarts = rate / (1 + otherReplicas ** 2 * 2) - incomingRate / 4;
  // Callers who may wait longer than a load from a copy takes notice less of a cold start.
  const weight = urgencyWeight(view.objectivesMs.get(replica.model) ?? 0);
  const coldStartMs = Math.max(0, coldStarts) * EVICTION_COST_PER_RATE_MS * weight;
  const runEndMs = replica.running > 0 ? RUN_END_MS + replica.running * 50 : 0;
  const recentUseMs = view.nowMs - replica.usedAtMs < RECENT_USE_MS ? RECENT_USE_MS : 0;
  // High enough that a model with pending demand is rarely evicted.
  const isInDemand = [anyVersion, { ...anyVersion, version: engine.version }].some((need) =>
    view.modelsInDemand.has(modelKey(need)),
  );
  const demandMs = isInDemand ? 10_000 : 0;
  const lostCopyMs = lostCopyCostMs(view, engine, replica.model);
  return coldStartMs + lostCopyMs + runEndMs + recentUseMs + demandMs;
}

/** The cheapest way to load a model on an engine that evicts none but the given replicas. */
function optionAmong(
  view: IndexedView,
  engine: EngineState,
  model: string,
  isEvictableFor: (replica: Replica, fromStore: boolean) => boolean,
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
    .filter((replica) => isEvictableFor(replica, fromStore))
    .map((replica) => ({
      replica,
      delayMs: evictionCostMs(view, engine, replica, model),
      absenceMs: absenceCostMs(view, engine, replica, blockedMs),
    }))
    .map((candidate) => ({ ...candidate, costMs: candidate.delayMs + candidate.absenceMs }))
    .sort((a, b) => a.costMs - b.costMs);
  const chosen = chooseEvictions(engine, candidates, missingMb);
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
 * Returns the cheapest way to load a model on an engine; empty if the model can't be made to fit.
 * @param demand What the load is for; null for a load ahead of any demand.
 */
export function cheapestOption(
  view: IndexedView,
  engine: EngineState,
  model: string,
  demand: PendingDemand | null,
): readonly LoadOption[] {
  return optionAmong(view, engine, model, (replica, fromStore) =>
    isEvictable(view, engine, replica, demand, fromStore),
  );
}

/**
 * Whether an engine is expected to take a load within the cost, now or soon: it has free slots for
 * the model, and replicas that can go once their minimum residency and their runs have ended.
 */
export function canTakeSoon(
  view: IndexedView,
  engine: EngineState,
  model: string,
  maxCostMs: number,
): boolean {
  return (
    hasFreeSlots(engine) &&
    optionAmong(view, engine, model, () => true).some(({ costMs }) => costMs <= maxCostMs)
  );
}
