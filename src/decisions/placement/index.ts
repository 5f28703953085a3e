/**
 * Places replicas on engines by demand.
 *
 * Targets that are loaded nowhere go first, then a round-robin over customers in order of urgency.
 * The engine with the lowest cost is chosen: the load time there plus the cost of each eviction. An
 * eviction costs the reload time of the replica, multiplied by the probability that the replica is
 * used again soon.
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
  type ReplicaDemand,
} from './types.js';
import { UsageHistory } from './usage.js';

export * from './demand.js';
export * from './load-time.js';
export * from './types.js';
export { UsageHistory } from './usage.js';

/** Maximum number of concurrent model loads that the weight store serves at full speed. */
export const MAX_MODEL_LOADS = 4;
/** Maximum number of concurrent adapter loads that the weight store serves at full speed. */
export const MAX_ADAPTER_LOADS = 32;
/** Time for which a replica is not evicted after its load or last use, ms. */
const MIN_IDLE_MS = 1_000;
/** Horizon of the probability that an evicted replica is used again, ms. */
const REUSE_HORIZON_MS = 120_000;
/** Number of queued requests for which a target gets one more replica. */
const QUEUED_PER_REPLICA = 8;
/** Maximum queued requests counted per customer, so that one burst does not occupy all engines. */
const MAX_COUNTED_PER_CUSTOMER = 32;
/** Minimum probability of use at which a replica stays loaded beyond its keep-warm time. */
const KEEP_PROBABILITY = 0.5;

/**
 * A target to load next. For a base model, `headroomMb` is the free memory that its adapter will
 * need in addition.
 */
interface LoadStep {
  readonly target: PlacementTarget;
  readonly headroomMb: number;
}

/** A way to load a target on an engine. `costMs` is the expected delay that the load causes. */
interface PlacementOption {
  readonly engine: EngineView;
  readonly evict: readonly ReplicaView[];
  readonly costMs: number;
}

function isLoading(replica: ReplicaView): boolean {
  return replica.wanted && replica.state !== ReplicaState.loaded;
}

function tierOf(engine: EngineView, model: string): CheckpointTier {
  return engine.checkpoints.get(model) ?? CheckpointTier.remote;
}

function requiredMb(engine: EngineView, target: PlacementTarget): number {
  const hasBase = engine.replicas.some(
    (replica) => replica.wanted && replica.adapter === null && replica.model === target.model,
  );
  return target.adapter !== null && !hasBase ? Infinity : target.bytesMb;
}

export class DemandPlacement implements PlacementPolicy {
  constructor(private readonly usage: UsageHistory) {}

  plan(view: PlacementView): readonly PlacementAction[] {
    const loads = this.planLoads(view);
    const assignedEngines = new Set(loads.map((action) => action.engineId));
    return [...loads, ...this.planIdle(view, assignedEngines)];
  }

  private planLoads(view: PlacementView): readonly PlacementAction[] {
    const replicas = view.engines.flatMap((engine) => engine.replicas);
    let modelLoads = replicas.filter((r) => isLoading(r) && r.adapter === null).length;
    let adapterLoads = replicas.filter((r) => isLoading(r) && r.adapter !== null).length;
    const assignedEngines = new Set<string>();
    return this.rankDemands(view).flatMap((demand) => {
      const step = this.nextStep(view, demand);
      if (step === null) return [];
      const isModel = step.target.adapter === null;
      if (isModel ? modelLoads >= MAX_MODEL_LOADS : adapterLoads >= MAX_ADAPTER_LOADS) return [];
      const actions = this.placeOrLoadBase(view, step, assignedEngines);
      actions.forEach((action) => {
        assignedEngines.add(action.engineId);
        if (action.type !== PlacementActionType.load) return;
        if (action.target.adapter === null) modelLoads += 1;
        else adapterLoads += 1;
      });
      return actions;
    });
  }

  /** Sorts demand: cold targets first, then a round-robin over customers in order of urgency. */
  private rankDemands(view: PlacementView): readonly ReplicaDemand[] {
    const loaded = new Set(
      view.engines.flatMap((engine) =>
        engine.replicas.filter(({ state }) => state === ReplicaState.loaded).map((r) => r.target),
      ),
    );
    const byUrgency = [...view.demands].sort(
      (a, b) => a.earliestDeadlineAtMs - b.earliestDeadlineAtMs || b.waiting - a.waiting,
    );
    const rounds = new Map<string, number>();
    const withRound = byUrgency.map((demand) => {
      const round = Math.min(...demand.customers.map((customer) => rounds.get(customer) ?? 0));
      demand.customers.forEach((customer) => rounds.set(customer, (rounds.get(customer) ?? 0) + 1));
      return { demand, round };
    });
    const isCold = (name: string) => !loaded.has(name);
    return withRound
      .sort(
        (a, b) =>
          Number(isCold(b.demand.target)) - Number(isCold(a.demand.target)) || a.round - b.round,
      )
      .map(({ demand }) => demand);
  }

  /**
   * Returns what to load next for a demand, or null for nothing. A missing base model is loaded
   * before its adapter.
   */
  private nextStep(view: PlacementView, demand: ReplicaDemand): LoadStep | null {
    const target = view.targets.get(demand.target);
    if (target === undefined) return null;
    const replicasOf = (name: string) =>
      view.engines.flatMap((engine) =>
        engine.leaving || !engine.reachable
          ? []
          : engine.replicas.filter((r) => r.wanted && r.target === name),
      );
    const ownReplicas = replicasOf(target.name);
    const counted = Math.min(demand.waiting, demand.customers.length * MAX_COUNTED_PER_CUSTOMER);
    const neededReplicas = 1 + Math.floor(counted / QUEUED_PER_REPLICA);
    if (ownReplicas.length > 0 && ownReplicas.length >= neededReplicas) return null;
    if (target.adapter === null) return { target, headroomMb: 0 };
    const bases = replicasOf(target.model);
    if (
      bases.some((base) => base.state === ReplicaState.loaded) &&
      ownReplicas.length < bases.length
    ) {
      return { target, headroomMb: 0 };
    }
    return bases.some(isLoading) ? null : this.baseStep(view, target);
  }

  private baseStep(view: PlacementView, adapter: PlacementTarget): LoadStep | null {
    const target = view.targets.get(adapter.model);
    return target === undefined ? null : { target, headroomMb: adapter.bytesMb };
  }

  /** Places a target; if no engine with the base model has room for an adapter, places the base. */
  private placeOrLoadBase(
    view: PlacementView,
    step: LoadStep,
    assignedEngines: ReadonlySet<string>,
  ): readonly PlacementAction[] {
    const actions = this.place(view, step, assignedEngines);
    if (actions.length > 0 || step.target.adapter === null) return actions;
    const base = this.baseStep(view, step.target);
    return base === null ? [] : this.place(view, base, assignedEngines);
  }

  private place(
    view: PlacementView,
    step: LoadStep,
    assignedEngines: ReadonlySet<string>,
  ): readonly PlacementAction[] {
    const { target } = step;
    const options = view.engines.flatMap((engine) =>
      assignedEngines.has(engine.engineId) ? [] : (this.optionAt(view, engine, step) ?? []),
    );
    const best = options.reduce<PlacementOption | null>(
      (cheapest, option) =>
        cheapest === null || option.costMs < cheapest.costMs ? option : cheapest,
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
    { target, headroomMb }: LoadStep,
  ): PlacementOption | null {
    const holds = engine.replicas.some((replica) => replica.target === target.name);
    const isUsable = engine.ready && engine.reachable && !engine.leaving;
    const isSuitable = engine.service === target.service && isUsable && !holds;
    const neededMb = requiredMb(engine, target) + headroomMb;
    if (!isSuitable || neededMb > engine.memoryMb) return null;
    const loadMs = expectedLoadMs(tierOf(engine, target.model), target.bytesMb);
    if (engine.freeMb >= neededMb) return { engine, evict: [], costMs: loadMs };
    return this.evictionAt(view, engine, target, neededMb, loadMs);
  }

  private evictionAt(
    view: PlacementView,
    engine: EngineView,
    target: PlacementTarget,
    sizeMb: number,
    loadMs: number,
  ): PlacementOption | null {
    const unloading = engine.replicas.filter((replica) => !replica.wanted);
    const freeingMb = unloading.reduce((sum, replica) => sum + replica.bytesMb, 0);
    if (engine.freeMb + freeingMb >= sizeMb) return null;
    const candidates = engine.replicas
      .filter((replica) => this.mayEvict(view, engine, replica, target))
      .map((replica) => ({ replica, costMs: this.evictionCostMs(view.nowMs, engine, replica) }))
      .sort((a, b) => a.costMs / a.replica.bytesMb - b.costMs / b.replica.bytesMb);
    let availableMb = engine.freeMb + freeingMb;
    const evict = candidates.filter(({ replica }) => {
      if (availableMb >= sizeMb) return false;
      availableMb += replica.bytesMb;
      return true;
    });
    if (availableMb < sizeMb) return null;
    const costMs = evict.reduce((sum, item) => sum + item.costMs, loadMs);
    return { engine, evict: evict.map(({ replica }) => replica), costMs };
  }

  private mayEvict(
    view: PlacementView,
    engine: EngineView,
    replica: ReplicaView,
    target: PlacementTarget,
  ): boolean {
    if (!replica.wanted || replica.state !== ReplicaState.loaded) return false;
    if (replica.model === target.model) return false;
    return view.nowMs - this.lastUseMs(view, engine, replica) >= MIN_IDLE_MS;
  }

  /** Time of a replica's last use. The use of an adapter also counts as a use of its base model. */
  private lastUseMs(view: PlacementView, engine: EngineView, replica: ReplicaView): number {
    const names =
      replica.adapter === null
        ? engine.replicas.filter((r) => r.model === replica.model).map((r) => r.target)
        : [replica.target];
    const uses = names.map((name) => view.lastUsedAtMs(name));
    return Math.max(replica.loadedAtMs, ...uses);
  }

  /** Expected delay that evicting a replica causes, ms. */
  private evictionCostMs(nowMs: number, engine: EngineView, replica: ReplicaView): number {
    const reloadMs = expectedLoadMs(tierOf(engine, replica.model), replica.bytesMb);
    return reloadMs * this.usage.probabilityWithin(nowMs, replica.target, REUSE_HORIZON_MS);
  }

  /**
   * Unloads replicas that were idle for their keep-warm time and are unlikely to be used soon. A
   * draining engine without load gives up its replicas at once. Replicas in demand are kept.
   */
  private planIdle(
    view: PlacementView,
    assignedEngines: ReadonlySet<string>,
  ): readonly PlacementAction[] {
    const targetsInDemand = new Set(view.demands.map((demand) => demand.target));
    return view.engines.flatMap((engine): readonly PlacementAction[] => {
      if (!engine.ready || assignedEngines.has(engine.engineId)) return [];
      const idle = engine.replicas.find(
        (replica) =>
          replica.wanted &&
          replica.state === ReplicaState.loaded &&
          !targetsInDemand.has(replica.target) &&
          (engine.leaving ? engine.load === 0 : this.isIdle(view, engine, replica)),
      );
      if (idle === undefined) return [];
      const { orderId, target } = idle;
      const { engineId } = engine;
      const reason = engine.leaving ? 'engine is draining' : 'idle';
      return [{ type: PlacementActionType.unload, engineId, orderId, target, reason }];
    });
  }

  private isIdle(view: PlacementView, engine: EngineView, replica: ReplicaView): boolean {
    const keepWarmMs = view.targets.get(replica.target)?.keepWarmMs ?? 0;
    const idleMs = view.nowMs - this.lastUseMs(view, engine, replica);
    if (idleMs < keepWarmMs) return false;
    return this.usage.probabilityWithin(view.nowMs, replica.target, keepWarmMs) < KEEP_PROBABILITY;
  }
}
