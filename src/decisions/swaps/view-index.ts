/** Lookup tables over the state of the fleet, which the swap planner builds once per plan. */
import type { EngineState, PendingDemand, Replica, SwapView } from './types.js';

/**
 * Cost of a model load for each request per second to those models on the engine that have adapters
 * loaded, ms. Adapter orders wait until the model load has ended.
 */
const ADAPTER_DELAY_PER_RATE_MS = 300;
/** Assumed fraction of the requests for a model with adapters that need one. */
const ADAPTER_FRACTION = 0.5;
/** Upper bound of the cost of delayed adapter orders, ms. */
const MAX_ADAPTER_DELAY_MS = 2_500;

/**
 * A model of a service, at servers of one software version or, with null, of any. A stream can only
 * go on at the version that began it, so that replicas at other versions are of no use to it.
 */
export type ModelNeed = Pick<PendingDemand, 'service' | 'model' | 'version' | 'dataCentres'>;

/** The engines that a need allows. */
type Target = Omit<ModelNeed, 'model'>;

/** The view with lookup tables. */
export interface IndexedView extends SwapView {
  /** Engines by service, and by service and version. */
  readonly enginesByTarget: ReadonlyMap<string, readonly EngineState[]>;
  /** Healthy engines with each model loaded, by `modelKey`. */
  readonly holdersByModel: ReadonlyMap<string, readonly EngineState[]>;
  /** Healthy engines with a copy of each model's weights, by service and model. */
  readonly copiesByModel: ReadonlyMap<string, readonly EngineState[]>;
  /** Expected requests per second that fail while an engine takes no order, by engine. */
  readonly blockedRates: ReadonlyMap<string, number>;
  /** The models in demand, by `modelKey`. */
  readonly modelsInDemand: ReadonlySet<string>;
  /** Queued requests that a replica would serve, with any adapter or none, by `modelKey`. */
  readonly queuedByModel: ReadonlyMap<string, number>;
  /** Queued requests for a model at exactly one version, or at any, by `modelKey`. */
  readonly queuedByNeed: ReadonlyMap<string, number>;
  /** Latency objectives of the models' callers, ms; none for a model of which it is not known. */
  readonly objectivesMs: ReadonlyMap<string, number>;
  /** Part of the slots of healthy engines that requests use, by service. */
  readonly utilisation: ReadonlyMap<string, number>;
  /** Cost of the adapter orders that a load on the engine delays, ms, by engine. */
  readonly adapterDelayMs: ReadonlyMap<string, number>;
}

/** Key of the engines that can serve a need. */
export function targetKey({ service, version, dataCentres }: Target): string {
  const atVersion = version === null ? service : `${service} =${version}`;
  return dataCentres === undefined ? atVersion : `${atVersion} @${dataCentres.join()}`;
}

export function modelKey(need: ModelNeed): string {
  return `${targetKey(need)} ${need.model}`;
}

/** The healthy engines that can serve a need. */
export function healthyEnginesFor(
  engines: readonly EngineState[],
  { service, version, dataCentres }: Target,
): readonly EngineState[] {
  return engines.filter(
    (engine) =>
      engine.healthy &&
      engine.service === service &&
      (version === null || engine.version === version) &&
      dataCentres?.includes(engine.dataCentre) !== false,
  );
}

/** The models in demand, each once for all of its adapters, in the order of the demand. */
export function distinctNeeds(demand: readonly PendingDemand[]): readonly ModelNeed[] {
  const needs = new Map(
    demand.map(({ service, model, version, dataCentres }) => {
      const need = { service, model, version, dataCentres };
      return [modelKey(need), need];
    }),
  );
  return [...needs.values()];
}

export function replicaOf(engine: EngineState, model: string): Replica | undefined {
  return engine.replicas.find((replica) => replica.model === model);
}

export function hasLoaded(engine: EngineState, model: string): boolean {
  return replicaOf(engine, model) !== undefined;
}

/** Whether an engine has a model loaded, or loads it. */
export function holdsOrLoads(engine: EngineState, model: string): boolean {
  return engine.loading.includes(model) || hasLoaded(engine, model);
}

/** Running requests of an engine, with all of its models. */
export function runningAt({ replicas }: EngineState): number {
  return replicas.reduce((sum, { running }) => sum + running, 0);
}

/** Part of the engines' slots that requests use. */
export function utilisationOf(engines: readonly EngineState[]): number {
  const slots = engines.reduce((sum, { spec }) => sum + spec.slots, 0);
  return engines.reduce((sum, engine) => sum + runningAt(engine), 0) / Math.max(1, slots);
}

export function runningRequests(engines: readonly EngineState[], model: string): number {
  return engines.reduce((sum, engine) => sum + (replicaOf(engine, model)?.running ?? 0), 0);
}

/** Whether an engine has a copy of the model's weights, from which it is loaded fast. */
export function hasCopy({ copies }: EngineState, model: string): boolean {
  return copies.inMemory.includes(model) || copies.onDisk.includes(model);
}

/** Whether one of the engines has a model loaded, or will have soon: it loads the model from a copy. */
export function isLoadedSoon(engines: readonly EngineState[], model: string): boolean {
  return engines.some(
    (engine) =>
      hasLoaded(engine, model) || (engine.loading.includes(model) && hasCopy(engine, model)),
  );
}

/** The models of whose weights an engine has a copy. */
export function copiedModels({ copies }: EngineState): readonly string[] {
  return [...new Set([...copies.inMemory, ...copies.onDisk])];
}

/** Whether no other healthy engine has the model or a copy of its weights. */
export function isOnlyAt(
  { holdersByModel, copiesByModel }: Pick<IndexedView, 'holdersByModel' | 'copiesByModel'>,
  { id, service }: EngineState,
  model: string,
): boolean {
  const key = modelKey({ service, model, version: null });
  return [holdersByModel, copiesByModel].every((engines) =>
    (engines.get(key) ?? []).every((engine) => engine.id === id),
  );
}

function groupBy<T>(entries: readonly (readonly [string, T])[]): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  entries.forEach(([key, value]) => {
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [value]);
    else group.push(value);
  });
  return groups;
}

/** The lists of data centres to which demand is confined, each once. */
function confinementsOf(
  demand: readonly Pick<PendingDemand, 'dataCentres'>[],
): readonly (readonly string[])[] {
  const lists = demand.flatMap(({ dataCentres }) =>
    dataCentres === undefined ? [] : [dataCentres],
  );
  return [...new Map(lists.map((list) => [list.join(), list])).values()];
}

/** The targets of demand that an engine belongs to. */
export function targetsOf(
  { service, version, dataCentre }: EngineState,
  demand: readonly Pick<PendingDemand, 'dataCentres'>[],
): readonly Target[] {
  const confinements = confinementsOf(demand).filter((list) => list.includes(dataCentre));
  return [undefined, ...confinements].flatMap((dataCentres) =>
    [null, version].map((target) => ({ service, version: target, dataCentres })),
  );
}

function countQueued(demand: readonly PendingDemand[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  const add = (key: string, waiting: number) => counts.set(key, (counts.get(key) ?? 0) + waiting);
  demand.forEach((pending) => {
    add(modelKey({ ...pending, version: null }), pending.waiting);
    if (pending.version !== null) add(modelKey(pending), pending.waiting);
  });
  return counts;
}

function countQueuedByNeed(demand: readonly PendingDemand[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  demand.forEach((pending) => {
    const key = modelKey(pending);
    counts.set(key, (counts.get(key) ?? 0) + pending.waiting);
  });
  return counts;
}

function adapterDelayPenaltyMs(view: SwapView, engine: EngineState): number {
  const rates = engine.replicas
    .filter(({ adapters }) => adapters.size > 0)
    .map(({ model }) => view.rates.get(model) ?? 0);
  const delayMs = rates.reduce((sum, rate) => sum + rate, 0) * ADAPTER_DELAY_PER_RATE_MS;
  return Math.min(MAX_ADAPTER_DELAY_MS, delayMs);
}

/**
 * Expected requests per second that only an engine can serve, once it has taken an order: those for
 * models of which it has the only copy, and for adapters of models that no other engine has loaded.
 */
function blockedRate(
  index: Pick<IndexedView, 'holdersByModel' | 'copiesByModel' | 'expectedRates'>,
  engine: EngineState,
): number {
  const rateOf = (model: string) => index.expectedRates.get(model) ?? 0;
  const unloaded = copiedModels(engine).filter((model) => replicaOf(engine, model) === undefined);
  const onlyCopies = unloaded.filter((model) => isOnlyAt(index, engine, model));
  const adapted = engine.replicas
    .map(({ model }) => model)
    .filter((model) => (engine.spec.models.get(model)?.adapterCount ?? 0) > 0)
    .filter((model) => {
      const key = modelKey({ service: engine.service, model, version: null });
      return (index.holdersByModel.get(key) ?? []).every(({ id }) => id === engine.id);
    });
  return (
    onlyCopies.reduce((sum, model) => sum + rateOf(model), 0) +
    adapted.reduce((sum, model) => sum + rateOf(model) * ADAPTER_FRACTION, 0)
  );
}

export function indexView(
  view: SwapView,
  objectivesMs: ReadonlyMap<string, number> = new Map(),
): IndexedView {
  const healthy = view.engines.filter((engine) => engine.healthy);
  const confined = confinementsOf(view.pendingDemand).map((dataCentres) => ({ dataCentres }));
  const replicas = healthy.flatMap((engine) =>
    engine.replicas.flatMap(({ model }) =>
      targetsOf(engine, confined).map(
        (target) => [modelKey({ ...target, model }), engine] as const,
      ),
    ),
  );
  const holdersByModel = groupBy(replicas);
  const copiesByModel = groupBy(
    healthy.flatMap((engine) =>
      copiedModels(engine).map((model) => {
        const { service } = engine;
        return [modelKey({ service, model, version: null }), engine] as const;
      }),
    ),
  );
  const index = { ...view, holdersByModel, copiesByModel };
  return {
    ...view,
    objectivesMs,
    queuedByModel: countQueued(view.pendingDemand),
    queuedByNeed: countQueuedByNeed(view.pendingDemand),
    enginesByTarget: groupBy(
      view.engines.flatMap((engine) =>
        targetsOf(engine, confined).map((target) => [targetKey(target), engine] as const),
      ),
    ),
    holdersByModel,
    copiesByModel,
    blockedRates: new Map(view.engines.map((engine) => [engine.id, blockedRate(index, engine)])),
    utilisation: new Map(
      [...groupBy(healthy.map((engine) => [engine.service, engine] as const))].map(
        ([service, engines]) => [service, utilisationOf(engines)],
      ),
    ),
    // Confined demand for a model also counts as demand for it anywhere.
    modelsInDemand: new Set(
      view.pendingDemand.flatMap((demand) => [
        modelKey(demand),
        modelKey({ ...demand, dataCentres: undefined }),
      ]),
    ),
    adapterDelayMs: new Map(
      view.engines.map((engine) => [engine.id, adapterDelayPenaltyMs(view, engine)]),
    ),
  };
}
