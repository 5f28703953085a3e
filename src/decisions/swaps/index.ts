/**
 * Decides which models and adapters are loaded on which engines.
 *
 * Designed for a fleet with more models than its engines can hold. Most models are requested rarely
 * and evenly. One or two popular models make up half of the demand, and the popular models change
 * within seconds. A load from an engine's own disk or memory takes half a second; a load from the
 * weight store blocks the engine's orders for many seconds. A model is therefore loaded on an
 * engine that has a copy of its weights. The store is used only if no engine has a copy, if an
 * engine has free memory for the model, or if the only copy is on an overloaded engine. One load from
 * the store at a time goes to the most crowded model, before models that no engine has loaded. The models
 * in highest demand are preloaded into free memory, so that a new engine can serve requests for
 * them at once.
 */
import { OrderStepType } from '../engine-orders/index.js';
import { loadAdapter } from './adapter-loads.js';
import { blockedLoads, queuedLoads } from './awaited-loads.js';
import { mostCrowded } from './crowded-models.js';
import type { ForecastLoad, QueuedLoad } from './load-forecast.js';
import { loadModel, loadPlace, RESERVED_STORE_LOADS } from './model-loads.js';
import { PatienceTracker } from './patience.js';
import { preload } from './preloads.js';
import type { PendingDemand, SwapAction, SwapView } from './types.js';
import { inOrderOfUrgency } from './urgency.js';
import { busyModels } from './replica-needs.js';
import { findPlaceNeeds } from './version-places.js';
import { type IndexedView, indexView, modelKey, type ModelNeed, targetsOf } from './view-index.js';

export { describeCopy, NotLoadedReason, notLoadedReason } from './awaited-loads.js';
export { type ForecastLoad, forecastLoads, type QueuedLoad } from './load-forecast.js';
export { LoadProgress } from './load-progress.js';
export { StoreConcurrencyLimiter } from './store-concurrency.js';
export * from './types.js';
export { hasCopy, healthyEnginesFor, isLoadedSoon, modelKey } from './view-index.js';

/**
 * Servers of a version that have a crowded model below which another place may exceed the usual
 * number of loads from the weight store.
 */
const URGENT_PLACES = 2;

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
  private readonly patience = new PatienceTracker();

  /** Returns at most one action for each engine that accepts orders now. */
  plan(input: SwapView): readonly SwapAction[] {
    this.patience.note(input.nowMs, input.pendingDemand);
    const view = indexView(input, this.patience.all());
    const assignedEngines = new Set<string>();
    const placedModels = new Set<string>();
    const placeActions = this.loadPlaces(view, assignedEngines);
    placeActions
      .flatMap((action) => servedBy(view, action))
      .forEach((served) => placedModels.add(modelKey(served)));
    let storeLoadsLeft = Math.max(0, view.storeLoadsLeft - placeActions.length);
    const byUrgency = inOrderOfUrgency(view);
    // One plan loads a model on one engine only, however many of its adapters are in demand.
    const loadFor = (demand: PendingDemand, left: number, reserved = RESERVED_STORE_LOADS) =>
      placedModels.has(modelKey(demand))
        ? null
        : loadModel(view, demand, assignedEngines, { left, reserved });
    const passes: readonly ((demand: PendingDemand) => SwapAction | null)[] = [
      (demand) => loadAdapter(view, demand, assignedEngines),
      // Streams in progress come first, as long as a copy can serve them soon.
      (demand) => (demand.version === null ? null : loadFor(demand, 0)),
      (demand) => loadFor(demand, storeLoadsLeft, 0),
      (demand) => loadFor(demand, storeLoadsLeft),
      // Models whose engines fill up get a replica before requests have to wait for a slot.
      (demand) => loadFor(demand, 0),
    ];
    // `loadPlaces` may have begun to load a further replica from the store.
    const crowded = placeActions.length > 0 ? null : mostCrowded(view);
    const crowdedModels = crowded === null ? [] : [crowded];
    const demandOf = [byUrgency, byUrgency, crowdedModels, byUrgency, busyModels(view)];
    const demandActions = passes.flatMap((pass, at) =>
      (demandOf[at] ?? []).flatMap((demand) => {
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
      const action = preload(view, engine, loadingModels, storeLoadsLeft > RESERVED_STORE_LOADS);
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
      const action = loadPlace(view, need, assignedEngines);
      if (action === null) return;
      assignedEngines.add(action.engineId);
      actions.push(action);
    });
    return actions;
  }

  /** See `queuedLoads`. */
  queuedLoads(input: SwapView): readonly QueuedLoad[] {
    return queuedLoads(input);
  }

  /** See `blockedLoads`. */
  blockedLoads(input: SwapView): readonly ForecastLoad[] {
    return blockedLoads(input);
  }
}
