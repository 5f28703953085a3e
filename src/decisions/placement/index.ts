/**
 * Places replicas by demand.
 *
 * Loads that are wanted most go first, each customer's demand in turn. An engine is chosen by how
 * long it takes to load there and by what has to be evicted, which costs the time to bring it back
 * times the chance that it is wanted soon.
 */
import { ReplicaState } from '../ledger/index.js';
import { expectedLoadMs } from './load-time.js';
import {
  CheckpointTier,
  type EngineView,
  type PlacementAction,
  PlacementActionType,
  type PlacementPolicy,
  type PlacementTarget,
  type PlacementView,
  type ReplicaView,
  type WakeDemand,
} from './types.js';
import { UsageHistory } from './usage.js';

export * from './demand.js';
export * from './load-time.js';
export * from './types.js';
export { UsageHistory } from './usage.js';

/** Model loads at once that the weight store serves at full speed. */
export const MOST_MODEL_LOADS = 4;
/** Adapter loads at once that the weight store serves at full speed. */
export const MOST_ADAPTER_LOADS = 32;
/** A replica that was used within this time is not evicted for another. */
const SETTLED_MS = 1_000;
/** Over this time ahead the chance of a new use is weighed. */
const HORIZON_MS = 120_000;
/** Waiting requests per replica that justify one more. */
const WAITING_FOR_ANOTHER = 8;
/** Waiting requests of one customer that count, so that a flood does not take every engine. */
const MOST_COUNTED_PER_CUSTOMER = 32;
/** A replica is kept beyond its keep-warm time while the chance of a use soon is above this. */
const KEEP_CHANCE = 0.5;

/** What has to be loaded next, and the room that is wanted beside it for its adapter. */
interface Step {
  readonly target: PlacementTarget;
  readonly headroomMb: number;
}

/** A way to make room on an engine, with its price in milliseconds of expected delay. */
interface Option {
  readonly engine: EngineView;
  readonly evict: readonly ReplicaView[];
  readonly priceMs: number;
}

function isLoading(replica: ReplicaView): boolean {
  return replica.wanted && replica.state !== ReplicaState.loaded;
}

function tierOf(engine: EngineView, model: string): CheckpointTier {
  return engine.checkpoints.get(model) ?? CheckpointTier.remote;
}

function fullSize(engine: EngineView, target: PlacementTarget): number {
  const hasBase = engine.replicas.some(
    (replica) => replica.wanted && replica.adapter === null && replica.model === target.model,
  );
  return target.adapter !== null && !hasBase ? Infinity : target.bytesMb;
}

export class DemandPlacement implements PlacementPolicy {
  constructor(private readonly usage: UsageHistory) {}

  plan(view: PlacementView): readonly PlacementAction[] {
    const loads = this.planLoads(view);
    const touched = new Set(loads.map((action) => action.engineId));
    return [...loads, ...this.planIdle(view, touched)];
  }

  private planLoads(view: PlacementView): readonly PlacementAction[] {
    const replicas = view.engines.flatMap((engine) => engine.replicas);
    let modelLoads = replicas.filter((r) => isLoading(r) && r.adapter === null).length;
    let adapterLoads = replicas.filter((r) => isLoading(r) && r.adapter !== null).length;
    const taken = new Set<string>();
    return this.ranked(view).flatMap((demand) => {
      const step = this.nextStep(view, demand);
      if (step === null) return [];
      const isModel = step.target.adapter === null;
      if (isModel ? modelLoads >= MOST_MODEL_LOADS : adapterLoads >= MOST_ADAPTER_LOADS) return [];
      const actions = this.placeOrRebase(view, step, taken);
      actions.forEach((action) => {
        taken.add(action.engineId);
        if (action.type !== PlacementActionType.load) return;
        if (action.target.adapter === null) modelLoads += 1;
        else adapterLoads += 1;
      });
      return actions;
    });
  }

  /** Cold targets before more replicas of warm ones; then each customer's most urgent in turn. */
  private ranked(view: PlacementView): readonly WakeDemand[] {
    const loaded = new Set(
      view.engines.flatMap((engine) =>
        engine.replicas.filter(({ state }) => state === ReplicaState.loaded).map((r) => r.target),
      ),
    );
    const byUrgency = [...view.demands].sort(
      (a, b) => a.earliestDeadlineAtMs - b.earliestDeadlineAtMs || b.waiting - a.waiting,
    );
    const turns = new Map<string, number>();
    const withTurn = byUrgency.map((demand) => {
      const turn = Math.min(...demand.customers.map((customer) => turns.get(customer) ?? 0));
      demand.customers.forEach((customer) => turns.set(customer, (turns.get(customer) ?? 0) + 1));
      return { demand, turn };
    });
    const isCold = (name: string) => !loaded.has(name);
    return withTurn
      .sort(
        (a, b) =>
          Number(isCold(b.demand.target)) - Number(isCold(a.demand.target)) || a.turn - b.turn,
      )
      .map(({ demand }) => demand);
  }

  /** What has to be loaded next for a demand: the base model, then its adapter; null if nothing. */
  private nextStep(view: PlacementView, demand: WakeDemand): Step | null {
    const target = view.targets.get(demand.target);
    if (target === undefined) return null;
    const holding = (name: string) =>
      view.engines.flatMap((engine) =>
        engine.leaving || !engine.reachable
          ? []
          : engine.replicas.filter((r) => r.wanted && r.target === name),
      );
    const own = holding(target.name);
    const counted = Math.min(demand.waiting, demand.customers.length * MOST_COUNTED_PER_CUSTOMER);
    const wanted = 1 + Math.floor(counted / WAITING_FOR_ANOTHER);
    if (own.length > 0 && own.length >= wanted) return null;
    if (target.adapter === null) return { target, headroomMb: 0 };
    const bases = holding(target.model);
    if (bases.some((base) => base.state === ReplicaState.loaded) && own.length < bases.length) {
      return { target, headroomMb: 0 };
    }
    return bases.some(isLoading) ? null : this.baseStep(view, target);
  }

  private baseStep(view: PlacementView, adapter: PlacementTarget): Step | null {
    const target = view.targets.get(adapter.model);
    return target === undefined ? null : { target, headroomMb: adapter.bytesMb };
  }

  /** An adapter that no engine with its base has room for gets its base loaded elsewhere. */
  private placeOrRebase(
    view: PlacementView,
    step: Step,
    taken: ReadonlySet<string>,
  ): readonly PlacementAction[] {
    const actions = this.place(view, step, taken);
    if (actions.length > 0 || step.target.adapter === null) return actions;
    const base = this.baseStep(view, step.target);
    return base === null ? [] : this.place(view, base, taken);
  }

  private place(
    view: PlacementView,
    step: Step,
    taken: ReadonlySet<string>,
  ): readonly PlacementAction[] {
    const { target } = step;
    const options = view.engines.flatMap((engine) =>
      taken.has(engine.engineId) ? [] : (this.optionAt(view, engine, step) ?? []),
    );
    const best = options.reduce<Option | null>(
      (cheapest, option) =>
        cheapest === null || option.priceMs < cheapest.priceMs ? option : cheapest,
      null,
    );
    if (best === null) return [];
    const { engineId } = best.engine;
    if (best.evict.length === 0) {
      return [{ type: PlacementActionType.load, engineId, target, reason: 'demand' }];
    }
    return best.evict.slice(0, 1).map(({ orderId, target: evicted }) => ({
      type: PlacementActionType.unload,
      engineId,
      orderId,
      target: evicted,
      reason: `room for ${target.name}`,
    }));
  }

  private optionAt(
    view: PlacementView,
    engine: EngineView,
    { target, headroomMb }: Step,
  ): Option | null {
    const holds = engine.replicas.some((replica) => replica.target === target.name);
    const usable = engine.ready && engine.reachable && !engine.leaving;
    const fits = engine.service === target.service && usable && !holds;
    const neededMb = fullSize(engine, target) + headroomMb;
    if (!fits || neededMb > engine.memoryMb) return null;
    const loadMs = expectedLoadMs(tierOf(engine, target.model), target.bytesMb);
    if (engine.freeMb >= neededMb) return { engine, evict: [], priceMs: loadMs };
    return this.evictionAt(view, engine, target, neededMb, loadMs);
  }

  private evictionAt(
    view: PlacementView,
    engine: EngineView,
    target: PlacementTarget,
    sizeMb: number,
    loadMs: number,
  ): Option | null {
    const leaving = engine.replicas.filter((replica) => !replica.wanted);
    const coming = leaving.reduce((sum, replica) => sum + replica.bytesMb, 0);
    if (engine.freeMb + coming >= sizeMb) return null;
    const candidates = engine.replicas
      .filter((replica) => this.mayEvict(view, engine, replica, target))
      .map((replica) => ({ replica, priceMs: this.lossMs(view.nowMs, engine, replica) }))
      .sort((a, b) => a.priceMs / a.replica.bytesMb - b.priceMs / b.replica.bytesMb);
    let room = engine.freeMb + coming;
    const evict = candidates.filter(({ replica }) => {
      if (room >= sizeMb) return false;
      room += replica.bytesMb;
      return true;
    });
    if (room < sizeMb) return null;
    const priceMs = evict.reduce((sum, item) => sum + item.priceMs, loadMs);
    return { engine, evict: evict.map(({ replica }) => replica), priceMs };
  }

  private mayEvict(
    view: PlacementView,
    engine: EngineView,
    replica: ReplicaView,
    target: PlacementTarget,
  ): boolean {
    if (!replica.wanted || replica.state !== ReplicaState.loaded) return false;
    if (replica.model === target.model) return false;
    return view.nowMs - this.lastUseMs(view, engine, replica) >= SETTLED_MS;
  }

  /** Latest use of a replica; of a base model, its adapters' uses count too. */
  private lastUseMs(view: PlacementView, engine: EngineView, replica: ReplicaView): number {
    const names =
      replica.adapter === null
        ? engine.replicas.filter((r) => r.model === replica.model).map((r) => r.target)
        : [replica.target];
    const uses = names.map((name) => view.lastUsedAtMs(name));
    return Math.max(replica.loadedAtMs, ...uses);
  }

  /** Expected delay that losing a replica brings, ms. */
  private lossMs(nowMs: number, engine: EngineView, replica: ReplicaView): number {
    const reloadMs = expectedLoadMs(tierOf(engine, replica.model), replica.bytesMb);
    return reloadMs * this.usage.chanceWithin(nowMs, replica.target, HORIZON_MS);
  }

  /** Unloads what has been idle for its keep-warm time and is not likely to be wanted soon. */
  private planIdle(view: PlacementView, touched: ReadonlySet<string>): readonly PlacementAction[] {
    const demanded = new Set(view.demands.map((demand) => demand.target));
    return view.engines.flatMap((engine): readonly PlacementAction[] => {
      if (!engine.ready || touched.has(engine.engineId)) return [];
      const idle = engine.replicas.find(
        (replica) =>
          replica.wanted &&
          replica.state === ReplicaState.loaded &&
          !demanded.has(replica.target) &&
          (engine.leaving ? engine.load === 0 : this.isIdle(view, engine, replica)),
      );
      if (idle === undefined) return [];
      const { orderId, target } = idle;
      const { engineId } = engine;
      const reason = engine.leaving ? 'engine leaves' : 'idle';
      return [{ type: PlacementActionType.unload, engineId, orderId, target, reason }];
    });
  }

  private isIdle(view: PlacementView, engine: EngineView, replica: ReplicaView): boolean {
    const keepWarmMs = view.targets.get(replica.target)?.keepWarmMs ?? 0;
    const idleMs = view.nowMs - this.lastUseMs(view, engine, replica);
    if (idleMs < keepWarmMs) return false;
    return this.usage.chanceWithin(view.nowMs, replica.target, keepWarmMs) < KEEP_CHANCE;
  }
}
