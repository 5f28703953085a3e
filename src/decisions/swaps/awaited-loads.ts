/** Loads that callers can be told of: those queued for the weight store, and copies at busy engines. */
import type { ForecastLoad, QueuedLoad } from './load-forecast.js';
import { isLoading } from './replica-needs.js';
import type { EngineState, PendingDemand, SwapView } from './types.js';
import { inOrderOfUrgency } from './urgency.js';
import { distinctNeeds, healthyEnginesFor, holdsOrLoads, isLoadedSoon } from './view-index.js';
import { BLOCKED_MS, copyWaitMs, hasUsableCopy } from './weights.js';

/**
 * Models in demand that must be loaded from the weight store, most urgent first: no healthy
 * engine has the model loaded, is loading it, or has a copy of its weights.
 */
export function queuedLoads(input: SwapView): readonly QueuedLoad[] {
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
export function blockedLoads({ nowMs, engines, pendingDemand }: SwapView): readonly ForecastLoad[] {
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

/** Why a model in demand that no engine has is not being loaded. */
export const NotLoadedReason = {
  storeLimit: 'no usable copy, and the weight store takes no further load now',
  copiesBlocked: 'the engines with copies take no order now',
  noRoom: 'no engine can make room for the model now',
  loading: 'a load from the weight store is in progress',
} as const;
export type NotLoadedReason = (typeof NotLoadedReason)[keyof typeof NotLoadedReason];

export function notLoadedReason(view: SwapView, demand: PendingDemand): NotLoadedReason {
  const engines = healthyEnginesFor(view.engines, demand);
  if (engines.some((engine) => isLoading(engine, demand.model))) return NotLoadedReason.loading;
  const copied = engines.filter((engine) => hasUsableCopy(view.nowMs, engine, demand.model));
  if (copied.length === 0 && view.storeLoadsLeft === 0) return NotLoadedReason.storeLimit;
  if (copied.length > 0 && copied.every(({ open }) => !open)) return NotLoadedReason.copiesBlocked;
  return NotLoadedReason.noRoom;
}

/** What an engine with a copy does instead of loading it, for a log line. */
export function describeCopy(nowMs: number, { id, open, loading, replicas }: EngineState) {
  const loaded = replicas.map(({ model, running, loadedAtMs }) => ({
    model,
    running,
    loadedForMs: Math.round(nowMs - loadedAtMs),
  }));
  return { id, open, loading, loaded };
}
