/** Whether a model needs another replica. */
import { lacksAdapterSlots } from './adapter-loads.js';
import type { EngineState, PendingDemand } from './types.js';
import {
  hasCopy,
  type IndexedView,
  modelKey,
  runningRequests,
  targetKey,
  utilisationOf,
} from './view-index.js';

/** Requests per second above which a model gets a second replica, in case the first one fails. */
const SECOND_REPLICA_RATE_PER_S = 3;
/** Slot utilisation, over all engines with a model, above which the model gets another replica. */
const MAX_UTILISATION = 0.6;
/** Load of the busiest engine, in relation to the mean of its service, that needs no replica. */
const MAX_BUSIEST_TO_MEAN = 2;
/** Slot utilisation below which the load need not be spread: the engine has enough free slots. */
const MIN_UNEVEN_UTILISATION = 0.3;
/** Queued requests without an adapter at which a loaded model gets another replica. */
const QUEUED_FOR_ANOTHER_REPLICA = 6;

/** Whether a load of the model is expected to end: an engine that does not respond may never do it. */
export function isLoading({ healthy, loading }: EngineState, model: string): boolean {
  return healthy && loading.includes(model);
}

/** The largest number of engines that have the same software version. */
function mostAtOneVersion(engines: readonly EngineState[]): number {
  const counts = engines.map(
    ({ version }) => engines.filter((other) => other.version === version).length,
  );
  return Math.max(0, ...counts);
}

/** Whether all loads of the model come from the weight store. */
export function isOnlyLoadedSlowly(engines: readonly EngineState[], model: string): boolean {
  const loading = engines.filter((engine) => isLoading(engine, model));
  return loading.length > 0 && !loading.some((engine) => hasCopy(engine, model));
}

/** Number of replicas needed to serve queued and running requests at `MAX_UTILISATION`. */
function replicasNeeded(
  view: IndexedView,
  holders: readonly EngineState[],
  demand: PendingDemand,
): number {
  const slots = view.enginesByTarget.get(targetKey(demand))?.[0]?.spec.slots ?? 1;
  const waiting = view.queuedByModel.get(modelKey(demand)) ?? 0;
  return (runningRequests(holders, demand.model) + waiting) / (slots * MAX_UTILISATION);
}

/**
 * Whether the engines with a model use more than the fraction of their slots, most of it for this
 * model: two popular models on one engine need another replica although neither fills it.
 */
function exceeds(holders: readonly EngineState[], model: string, fraction: number): boolean {
  const slots = holders.reduce((sum, { spec }) => sum + spec.slots, 0);
  const running = runningRequests(holders, model);
  return utilisationOf(holders) > fraction && running > (slots * fraction) / 2;
}

export function isOverloaded(holders: readonly EngineState[], model: string): boolean {
  return exceeds(holders, model, MAX_UTILISATION);
}

/** Whether the engines with a model have so much more load than the mean that another should share it. */
function isUneven(view: IndexedView, holders: readonly EngineState[], model: string) {
  const mean = view.utilisation.get(holders[0]?.service ?? '') ?? 0;
  const fraction = Math.max(MIN_UNEVEN_UTILISATION, mean * MAX_BUSIEST_TO_MEAN);
  return exceeds(holders, model, Math.min(MAX_UTILISATION, fraction));
}

/**
 * Whether the model's queued requests, running requests or request rate call for another replica.
 */
export function needsReplica(
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
    return holders.length + loadingCount < replicasNeeded(view, holders, demand);
  if (lacksAdapterSlots(view.nowMs, holders, demand)) return true;
  if (demand.adapter === null && demand.waiting >= QUEUED_FOR_ANOTHER_REPLICA) return true;
  if (demand.waiting === 0 ? isUneven(view, holders, model) : isOverloaded(holders, model))
    return true;
  return mostAtOneVersion(holders) < 2 && (view.rates.get(model) ?? 0) > SECOND_REPLICA_RATE_PER_S;
}

/** Models without queued requests whose engines have too much load, the busiest first. */
export function busyModels(view: IndexedView): readonly PendingDemand[] {
  const loaded = new Map(
    view.engines.flatMap(({ service, replicas }) =>
      replicas.map(({ model }) => {
        const need = { service, model, version: null };
        return [modelKey(need), need] as const;
      }),
    ),
  );
  // While a release goes on, servers of one version leave soon: `findPlaceNeeds` adds replicas then.
  if (new Set(view.engines.map(({ version }) => version)).size > 1) return [];
  return [...loaded]
    .filter(([key]) => !view.queuedByModel.has(key))
    .map(([key, need]) => ({ need, holders: view.holdersByModel.get(key) ?? [] }))
    .filter(({ need, holders }) => isUneven(view, holders, need.model))
    .map(({ need, holders }) => ({ need, running: runningRequests(holders, need.model) }))
    .sort((a, b) => b.running - a.running)
    .map(({ need }) => ({ ...need, adapter: null, waiting: 0, dueAtMs: Infinity }));
}
