/** The naive version of each decision, behind the same interface. */
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
  type WakeDemand,
} from '../../decisions/placement/index.js';
import {
  type EngineRoute,
  type RouteDecision,
  RouteOutcome,
  type RouteQuery,
  type Router,
} from '../../decisions/routing/index.js';

/** First in, first out. */
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
    // It keeps no accounts.
  }

  takeLate(nowMs: number): readonly QueuedRequest[] {
    const late = this.waiting.filter((req) => req.deadlineAtMs <= nowMs);
    this.waiting = this.waiting.filter((req) => req.deadlineAtMs > nowMs);
    return late;
  }

  demands(): readonly TargetDemand[] {
    return summarizeDemand(this.waiting);
  }
}

/** Any replica at random; the engine's own queue takes what it cannot run. */
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
    const holders = [...this.engines.values()].filter(
      (route) => !route.leaving && route.targets.includes(target),
    );
    const engine = this.random.pick(holders);
    return engine === undefined
      ? { type: RouteOutcome.cold }
      : { type: RouteOutcome.chosen, engine };
  }

  started(): void {
    // It keeps no counts.
  }

  finished(): void {
    // It keeps no counts.
  }
}

function idleSince(view: PlacementView, replica: ReplicaView): number {
  return Math.max(replica.loadedAtMs, view.lastUsedAtMs(replica.target));
}

/** Loads on demand at the first engine with room, and evicts the least recently used. */
export class OnDemandPlacement implements PlacementPolicy {
  plan(view: PlacementView): readonly PlacementAction[] {
    const taken = new Set<string>();
    return view.demands.flatMap((demand) => {
      const actions = this.planOne(view, demand, taken);
      actions.forEach((action) => taken.add(action.engineId));
      return actions;
    });
  }

  private planOne(
    view: PlacementView,
    demand: WakeDemand,
    taken: ReadonlySet<string>,
  ): readonly PlacementAction[] {
    const target = view.targets.get(demand.target);
    if (target === undefined) return [];
    const engines = view.engines.filter(
      (engine) => engine.service === target.service && engine.ready && !taken.has(engine.engineId),
    );
    const holders = view.engines.filter((engine) => this.holds(engine, target.name));
    if (holders.length > 0) return [];
    if (target.adapter !== null) {
      const base = view.engines.find((engine) => this.holds(engine, target.model));
      if (base === undefined) {
        return this.planOne(view, { ...demand, target: target.model }, taken);
      }
      const ready = engines.find((engine) => engine.engineId === base.engineId);
      return ready === undefined ? [] : this.loadAt(view, ready, target);
    }
    const roomy = engines.find((engine) => engine.freeMb >= target.bytesMb);
    const engine = roomy ?? engines.find((candidate) => candidate.memoryMb >= target.bytesMb);
    return engine === undefined ? [] : this.loadAt(view, engine, target);
  }

  private holds(engine: EngineView, name: string): boolean {
    return engine.replicas.some((replica) => replica.wanted && replica.target === name);
  }

  private loadAt(
    view: PlacementView,
    engine: EngineView,
    target: PlacementTarget,
  ): readonly PlacementAction[] {
    const { engineId } = engine;
    if (engine.freeMb >= target.bytesMb) {
      return [{ type: PlacementActionType.load, engineId, target, reason: 'demand' }];
    }
    if (engine.replicas.some((replica) => !replica.wanted)) return [];
    const [oldest] = engine.replicas
      .filter((replica) => replica.state === 'loaded' && replica.model !== target.model)
      .sort((a, b) => idleSince(view, a) - idleSince(view, b));
    if (oldest === undefined) return [];
    const { orderId, target: evicted } = oldest;
    return [
      { type: PlacementActionType.unload, engineId, orderId, target: evicted, reason: 'room' },
    ];
  }
}
