/** Baseline for measurements: the simplest implementation of each decision interface. */
import type { Random } from '../../core/random/index.js';
import {
  type QueuedRequest,
  type RequestQueue,
  summarizeDemand,
  type TargetDemand,
} from '../../decisions/fair-queue/index.js';
import {
  type EngineView,
  type PlacementAction,
  PlacementActionType,
  type PlacementPolicy,
  type PlacementTarget,
  type PlacementView,
  type ReplicaView,
  type ReplicaDemand,
} from '../../decisions/placement/index.js';
import {
  type EngineRoute,
  type RouteDecision,
  RouteOutcome,
  type RouteQuery,
  type Router,
} from '../../decisions/routing/index.js';

/** Queue without fairness: first in, first out. */
export class FifoQueue implements RequestQueue {
  private waiting: QueuedRequest[] = [];

  get size(): number {
    return this.waiting.length;
  }

  push(req: QueuedRequest): void {
    this.waiting.push(req);
  }

  remove(id: string): QueuedRequest | null {
    const req = this.waiting.find((other) => other.id === id) ?? null;
    this.waiting = this.waiting.filter((other) => other.id !== id);
    return req;
  }

  take(canRun: (lane: string) => boolean): QueuedRequest | null {
    const next = this.waiting.find((req) => canRun(req.lane));
    return next === undefined ? null : this.remove(next.id);
  }

  correct(): void {
    // A FIFO queue has no costs to correct.
  }

  takeExpired(nowMs: number): readonly QueuedRequest[] {
    const expired = this.waiting.filter((req) => req.deadlineAtMs <= nowMs);
    this.waiting = this.waiting.filter((req) => req.deadlineAtMs > nowMs);
    return expired;
  }

  demands(): readonly TargetDemand[] {
    return summarizeDemand(this.waiting);
  }
}

/** Chooses a replica at random and ignores load; busy engines queue the request themselves. */
export class RandomRouter implements Router {
  private readonly engines = new Map<string, EngineRoute>();

  constructor(private readonly random: Random) {}

  update(route: EngineRoute): void {
    this.engines.set(route.engineId, route);
  }

  retain(engineIds: ReadonlySet<string>): void {
    [...this.engines.keys()]
      .filter((engineId) => !engineIds.has(engineId))
      .forEach((engineId) => this.engines.delete(engineId));
  }

  route(_nowMs: number, { target }: RouteQuery): RouteDecision {
    const candidates = [...this.engines.values()].filter(
      (route) => !route.leaving && route.targets.includes(target),
    );
    const engine = this.random.pick(candidates);
    return engine === undefined
      ? { type: RouteOutcome.cold }
      : { type: RouteOutcome.chosen, engine };
  }

  started(): void {
    // Random routing does not count running requests.
  }

  finished(): void {
    // Random routing does not count running requests.
  }
}

/** Time since which a replica is unused: its last use, or the end of its load. */
function idleSinceMs(view: PlacementView, replica: ReplicaView): number {
  return Math.max(replica.loadedAtMs, view.lastUsedAtMs(replica.target));
}

/**
 * Loads a target on demand at the first engine with enough free memory. If there is none, it evicts
 * the least recently used replica of the first engine that is large enough.
 */
export class OnDemandPlacement implements PlacementPolicy {
  plan(view: PlacementView): readonly PlacementAction[] {
    const usedEngines = new Set<string>();
    return view.demands.flatMap((demand) => {
      const actions = this.planOne(view, demand, usedEngines);
      actions.forEach((action) => usedEngines.add(action.engineId));
      return actions;
    });
  }

  /** Actions for one demand; the base model of an adapter is loaded first if it has no replica. */
  private planOne(
    view: PlacementView,
    demand: ReplicaDemand,
    usedEngines: ReadonlySet<string>,
  ): readonly PlacementAction[] {
    const target = view.targets.get(demand.target);
    if (target === undefined) return [];
    const engines = view.engines.filter(
      (engine) =>
        engine.service === target.service && engine.ready && !usedEngines.has(engine.engineId),
    );
    const replicaEngines = view.engines.filter((engine) => this.hasReplica(engine, target.name));
    if (replicaEngines.length > 0) return [];
    if (target.adapter !== null) {
      const baseEngine = view.engines.find((engine) => this.hasReplica(engine, target.model));
      if (baseEngine === undefined) {
        return this.planOne(view, { ...demand, target: target.model }, usedEngines);
      }
      const readyEngine = engines.find((engine) => engine.engineId === baseEngine.engineId);
      return readyEngine === undefined ? [] : this.loadOrEvict(view, readyEngine, target);
    }
    const engineWithRoom = engines.find((engine) => engine.freeMb >= target.bytesMb);
    const engine =
      engineWithRoom ?? engines.find((candidate) => candidate.memoryMb >= target.bytesMb);
    return engine === undefined ? [] : this.loadOrEvict(view, engine, target);
  }

  private hasReplica(engine: EngineView, name: string): boolean {
    return engine.replicas.some((replica) => replica.wanted && replica.target === name);
  }

  /** Loads `target`, or evicts one replica at a time until its memory is free. */
  private loadOrEvict(
    view: PlacementView,
    engine: EngineView,
    target: PlacementTarget,
  ): readonly PlacementAction[] {
    const { engineId } = engine;
    if (engine.freeMb >= target.bytesMb) {
      return [{ type: PlacementActionType.load, engineId, target, reason: 'demand' }];
    }
    if (engine.replicas.some((replica) => !replica.wanted)) return [];
    const [leastRecentlyUsed] = engine.replicas
      .filter((replica) => replica.state === 'loaded' && replica.model !== target.model)
      .sort((a, b) => idleSinceMs(view, a) - idleSinceMs(view, b));
    if (leastRecentlyUsed === undefined) return [];
    const { orderId, target: evicted } = leastRecentlyUsed;
    return [
      { type: PlacementActionType.unload, engineId, orderId, target: evicted, reason: 'room' },
    ];
  }
}
