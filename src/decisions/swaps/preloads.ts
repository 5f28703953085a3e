/** Loads into the free memory of engines ahead of demand. */
import { OrderStepType } from '../engine-orders/index.js';
import type { EngineState, SwapAction } from './types.js';
import { holdsOrLoads, type IndexedView, replicaOf, targetKey } from './view-index.js';
import { loadSource } from './weights.js';

/** Requests per second below which a model is not preloaded. */
const MIN_PRELOAD_RATE_PER_S = 0.02;

/** Benefit of one more replica of a model: its request rate, lower for each existing replica. */
function benefitOf(view: IndexedView, service: string, model: string): number {
  const rate = view.rates.get(model) ?? 0;
  if (rate < MIN_PRELOAD_RATE_PER_S) return 0;
  const engines = view.enginesByTarget.get(targetKey({ service, version: null })) ?? [];
  const replicaCount = engines.filter(
    (engine) => engine.healthy && holdsOrLoads(engine, model),
  ).length;
  return rate / (1 + replicaCount * replicaCount * 4);
}

/** Loads the model with the highest benefit into the free memory of an engine. */
export function preload(
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
      benefit: benefitOf(view, engine.service, spec.name),
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
