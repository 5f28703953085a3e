/** Loads of adapters on engines that have their model loaded. */
import { OrderStepType } from '../engine-orders/index.js';
import type { EngineState, PendingDemand, SwapAction } from './types.js';
import { type IndexedView, replicaOf, targetKey } from './view-index.js';
import { BLOCKED_MS, specOf } from './weights.js';

/** Time for which an adapter is kept after its load or last use, ms: requests may be in transit. */
const KEEP_ADAPTER_MS = 250;

/**
 * Finds the least recently used adapter that has no running request and was not used within
 * `KEEP_ADAPTER_MS`.
 */
function leastRecentlyUsedAdapter(nowMs: number, engine: EngineState) {
  const idle = engine.replicas
    .flatMap((replica) =>
      [...replica.adapters]
        .filter((adapter) => (replica.runningAdapters.get(adapter) ?? 0) === 0)
        .filter((adapter) => nowMs - (replica.adapterUsedAtMs.get(adapter) ?? 0) >= KEEP_ADAPTER_MS)
        .map((adapter) => ({
          step: { type: OrderStepType.unload, model: replica.model, adapter },
          usedAtMs: replica.adapterUsedAtMs.get(adapter) ?? 0,
        })),
    )
    .sort((a, b) => a.usedAtMs - b.usedAtMs)[0];
  return idle === undefined ? null : { step: idle.step, cost: 10 };
}

/**
 * Returns the way to load an adapter on an engine, or none. The cost is the number of the
 * engine's running requests, plus 10 if another adapter is evicted.
 */
function adapterOptions(nowMs: number, engine: EngineState, model: string) {
  const replica = replicaOf(engine, model);
  const spec = specOf(engine, model);
  if (replica === undefined || spec === undefined) return [];
  const load = engine.replicas.reduce((sum, { running }) => sum + running, 0);
  const hasSlot = engine.reservedAdapterSlots < engine.spec.adapterSlots;
  const hasMemory = engine.reservedMb + spec.adapterMb <= engine.spec.memoryMb;
  if (hasSlot && hasMemory) return [{ engineId: engine.id, evict: [], cost: load }];
  const idle = leastRecentlyUsedAdapter(nowMs, engine);
  if (idle === null) return [];
  return [{ engineId: engine.id, evict: [idle.step], cost: load + idle.cost }];
}

/**
 * Whether no engine with the model can load the demand's adapter soon: each of them has no room for
 * it and can evict no idle one, or takes no order for longer.
 */
export function lacksAdapterSlots(
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
        (engine.openForAdapters && adapterOptions(nowMs, engine, demand.model).length === 0)),
  );
}

/** Loads an adapter on an engine that has its model loaded, which takes a few milliseconds. */
export function loadAdapter(
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
    .flatMap((engine) => adapterOptions(view.nowMs, engine, model))
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
