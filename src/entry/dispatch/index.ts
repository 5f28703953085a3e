/** The task that holds waiting requests, chooses their engines and tells stewards of the demand. */
import type { Channel, Unsubscribe } from '../../core/channels/index.js';
import type { Clock } from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import * as messages from '../../core/messages/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import { Pacer } from '../../core/pacer/index.js';
import type { Random } from '../../core/random/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Catalog } from '../../decisions/catalog/index.js';
import { DrainEstimator } from '../../decisions/drain/index.js';
import * as fairQueue from '../../decisions/fair-queue/index.js';
import * as placement from '../../decisions/placement/index.js';
import * as routing from '../../decisions/routing/index.js';
import { type Death, SuspectTable } from '../../decisions/suspects/index.js';
import type { LoadsUpdate, RoutesUpdate } from '../inventory/index.js';
import type { Inbound, Peers } from '../peers/index.js';
import { homesOf } from './homes.js';
import {
  type Dispatched,
  type Dispatcher,
  DispatchOutcome,
  type DispatchRequest,
  EngineVerdict,
} from './types.js';

export * from './types.js';

const TICK_MS = 25;
const REST_TICK_MS = 250;
/** Time between messages on what waits. */
const TELL_EVERY_MS = 100;
/** Time between messages on which replicas were used. */
const USED_EVERY_MS = 1_000;
const SHORTEST_RETRY_MS = 1_000;

export interface DispatchDeps {
  readonly dataCentre: string;
  readonly peers: Peers;
  readonly inbox: Channel<Inbound>;
  readonly routes: Channel<RoutesUpdate>;
  readonly loads: Channel<LoadsUpdate>;
  readonly applied: Channel<Catalog>;
  /** Tells the address of each peer to which a connection was made. */
  readonly linked: Channel<string>;
  currentCatalog(): Catalog | null;
  readonly maxQueue: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
}

interface Waiting {
  readonly req: DispatchRequest;
  readonly lane: string;
  resolve(dispatched: Dispatched): void;
}

export class DispatchTask implements Task, Dispatcher {
  readonly name = 'dispatch';

  private readonly queue: fairQueue.RequestQueue = new fairQueue.FairQueue();

  private readonly waiting = new Map<string, Waiting>();

  private readonly router: routing.Router;

  private readonly suspects = new SuspectTable();

  private readonly drain = new DrainEstimator();

  private readonly engines = new Map<string, routing.EngineRoute>();

  private readonly used = new Map<string, Set<string>>();

  private readonly pacer = new Pacer({
    busyMs: TICK_MS,
    restMs: REST_TICK_MS,
    isBusy: () => this.queue.size > 0,
    tick: () => this.tick(),
  });

  private unsubscribes: Unsubscribe[] = [];

  private toldAtMs = -Infinity;

  private usedToldAtMs = -Infinity;

  constructor(private readonly deps: DispatchDeps) {
    this.router = new routing.LeastLoadedRouter(deps.dataCentre, deps.random);
    // Peers tell a VM that starts what it missed, before all of its tasks have begun.
    deps.inbox.subscribe(({ message }) => {
      if (message.type !== messages.PeerMessageType.death) return;
      this.suspects.note(deps.clock.nowMs(), message);
    });
  }

  async start(): Promise<void> {
    this.pacer.start();
    this.unsubscribes = [
      this.deps.routes.subscribe((update) => this.noteRoutes(update)),
      this.deps.loads.subscribe((loads) => this.noteLoads(loads)),
      this.deps.applied.subscribe((current) => this.noteCatalog(current)),
      this.deps.linked.subscribe((address) => this.tellDeaths(address)),
    ];
  }

  async stop(): Promise<void> {
    this.pacer.stop();
    this.unsubscribes.forEach((unsubscribe) => unsubscribe());
  }

  get waitingCount(): number {
    return this.queue.size;
  }

  /** Engines as the request path knows them, for status. */
  view(): readonly routing.EngineRoute[] {
    return [...this.engines.values()];
  }

  acquire(req: DispatchRequest, signal: AbortSignal): Promise<Dispatched> {
    const nowMs = this.deps.clock.nowMs();
    const refusal = this.refusalOnArrival(nowMs, req);
    if (refusal !== null) return Promise.resolve(refusal);
    const isSuspect = this.suspects.isSuspect(nowMs, req.fingerprint);
    const lane = isSuspect ? `suspect ${req.id}` : req.target.name;
    return new Promise((resolve) => {
      this.waiting.set(req.id, { req, lane, resolve });
      this.queue.push({
        id: req.id,
        customer: req.customer,
        target: req.target.name,
        lane,
        cost: req.tokens,
        weight: req.weight,
        deadlineAtMs: req.deadlineAtMs,
        arrivedAtMs: nowMs,
      });
      signal.addEventListener('abort', () => this.abandon(req.id), { once: true });
      this.pump();
      this.pacer.wake();
    });
  }

  release(req: DispatchRequest, engine: routing.EngineRoute, verdict: EngineVerdict): void {
    const { engineId } = engine;
    const healthy = verdict !== EngineVerdict.failed;
    this.router.finished(this.deps.clock.nowMs(), engineId, healthy);
    if (verdict === EngineVerdict.absent) this.noteAbsent(engineId, req.target.name);
    this.suspects.suspectFinished(engineId, req.id);
    this.noteUsed(engine.dataCentre, req.target.name);
    this.pump();
  }

  noteDeath(death: Death): void {
    this.suspects.note(this.deps.clock.nowMs(), death);
    this.deps.peers.sendAll({ type: messages.PeerMessageType.death, ...death });
    this.deps.metrics.count('engine_deaths', { engine: death.engineId });
  }

  noteWhole(fingerprint: string): void {
    this.suspects.clear(fingerprint);
  }

  blockedForMs(fingerprint: string): number | null {
    const nowMs = this.deps.clock.nowMs();
    return this.suspects.isBlocked(nowMs, fingerprint)
      ? this.suspects.retryAfterMs(nowMs, fingerprint)
      : null;
  }

  /** A peer that has just been reached may have started after the deaths. */
  private tellDeaths(address: string): void {
    this.suspects.known(this.deps.clock.nowMs()).forEach((death) => {
      this.deps.peers.sendTo(address, { type: messages.PeerMessageType.death, ...death });
    });
  }

  private refusalOnArrival(nowMs: number, req: DispatchRequest): Dispatched | null {
    if (this.queue.size >= this.deps.maxQueue) {
      return this.refusal(req, 'the queue is full', SHORTEST_RETRY_MS);
    }
    const kind = this.kindOf(req);
    const ahead = [...this.waiting.values()].filter(
      (other) => other.req.customer === req.customer && other.req.target === req.target,
    ).length;
    const waitMs = this.drain.expectedWaitMs(nowMs, kind, ahead);
    if (waitMs === null || nowMs + waitMs <= req.deadlineAtMs) return null;
    return this.refusal(req, 'too many requests wait before it', waitMs);
  }

  private kindOf(req: DispatchRequest): string {
    return `${req.customer} ${req.target.name}`;
  }

  private refusal(req: DispatchRequest, reason: string, retryAfterMs: number): Dispatched {
    const peer = req.target.name;
    const failure = errors.createFailure(errors.data.NoCapacity, 'wait for engine', peer, reason);
    return { type: DispatchOutcome.refused, failure, retryAfterMs };
  }

  private abandon(id: string): void {
    const entry = this.waiting.get(id);
    if (entry === undefined) return;
    this.queue.remove(id);
    this.waiting.delete(id);
    entry.resolve(this.refusal(entry.req, 'the request was withdrawn', SHORTEST_RETRY_MS));
  }

  private tick(): void {
    if (this.queue.size + this.used.size === 0) return;
    const nowMs = this.deps.clock.nowMs();
    this.queue.takeLate(nowMs).forEach(({ id }) => this.refuseLate(id));
    this.pump();
    this.tell(nowMs);
  }

  private refuseLate(id: string): void {
    const entry = this.waiting.get(id);
    if (entry === undefined) return;
    this.waiting.delete(id);
    const { target } = entry.req;
    const loadMs = placement.expectedLoadMs(placement.CheckpointTier.remote, target.modelMb);
    const isCold = this.route(entry).type === routing.RouteOutcome.cold;
    const reason = isCold ? 'the model is still loading' : 'all replicas are busy';
    const retryAfterMs = Math.max(SHORTEST_RETRY_MS, isCold ? loadMs : 0);
    entry.resolve(this.refusal(entry.req, reason, retryAfterMs));
  }

  private route({ req, lane }: Waiting): routing.RouteDecision {
    const isSuspect = lane !== req.target.name;
    return this.router.route(this.deps.clock.nowMs(), {
      target: req.target.name,
      prefixKey: req.prefixKey,
      exclude: isSuspect ? this.suspects.enginesWithSuspect() : [],
      avoid: req.avoid,
    });
  }

  /** Sends waiting requests on as long as engines have room. */
  private pump(): void {
    const open = new Map<string, boolean>();
    const samples = new Map([...this.waiting.values()].map((entry) => [entry.lane, entry]));
    const canRun = (lane: string): boolean => {
      const known = open.get(lane);
      if (known !== undefined) return known;
      const sample = samples.get(lane);
      const answer =
        sample !== undefined && this.route(sample).type === routing.RouteOutcome.chosen;
      open.set(lane, answer);
      return answer;
    };
    let next = this.queue.take(canRun);
    while (next !== null) {
      const placed = this.place(next);
      open.clear();
      next = placed ? this.queue.take(canRun) : null;
    }
  }

  /** @returns False where no engine took it after all; it waits on. */
  private place(queued: fairQueue.QueuedRequest): boolean {
    const entry = this.waiting.get(queued.id);
    if (entry === undefined) return true;
    const decision = this.route(entry);
    if (decision.type !== routing.RouteOutcome.chosen) {
      this.queue.push(queued);
      return false;
    }
    const { engine } = decision;
    const nowMs = this.deps.clock.nowMs();
    this.waiting.delete(queued.id);
    this.router.started(engine.engineId);
    if (entry.lane !== entry.req.target.name) {
      this.suspects.suspectStarted(engine.engineId, entry.req.id);
    }
    if (nowMs > queued.arrivedAtMs) this.drain.served(nowMs, this.kindOf(entry.req));
    this.noteUsed(engine.dataCentre, entry.req.target.name);
    entry.resolve({ type: DispatchOutcome.engine, engine });
    return true;
  }

  private noteRoutes({ dataCentre, whole, engines }: RoutesUpdate): void {
    if (whole) {
      const named = new Set(engines.map(({ engineId }) => engineId));
      [...this.engines.values()]
        .filter((route) => route.dataCentre === dataCentre && !named.has(route.engineId))
        .forEach(({ engineId }) => this.engines.delete(engineId));
    }
    engines.forEach((route) => {
      this.engines.set(route.engineId, route);
      this.router.update(route);
    });
    this.router.retain(new Set(this.engines.keys()));
    this.pump();
  }

  private noteLoads(loads: LoadsUpdate): void {
    Object.entries(loads).forEach(([engineId, load]) => {
      const route = this.engines.get(engineId);
      if (route === undefined) return;
      this.engines.set(engineId, { ...route, load });
      this.router.update({ ...route, load });
    });
    this.pump();
  }

  /** Sends nothing more for this target to the engine until it is told to hold it again. */
  private noteAbsent(engineId: string, target: string): void {
    const route = this.engines.get(engineId);
    if (route === undefined) return;
    const targets = route.targets.filter((name) => name !== target);
    this.engines.set(engineId, { ...route, targets });
    this.router.update({ ...route, targets });
  }

  /** Takes engines that operators marked as leaving or took away off the routes at once. */
  private noteCatalog(current: Catalog): void {
    this.engines.forEach((route, engineId) => {
      const backend = current.backends.get(engineId);
      if (backend === undefined) this.engines.delete(engineId);
      else if (backend.leaving) {
        const leaving = { ...route, leaving: true };
        this.engines.set(engineId, leaving);
        this.router.update(leaving);
      }
    });
    this.router.retain(new Set(this.engines.keys()));
  }

  private noteUsed(dataCentre: string, target: string): void {
    const names = this.used.get(dataCentre) ?? new Set<string>();
    this.used.set(dataCentre, names.add(target));
  }

  /** Tells each steward what waits for its engines, and which of its replicas were used. */
  private tell(nowMs: number): void {
    const current = this.deps.currentCatalog();
    if (current === null || nowMs - this.toldAtMs < TELL_EVERY_MS) return;
    this.toldAtMs = nowMs;
    const withUsed = nowMs - this.usedToldAtMs >= USED_EVERY_MS;
    if (withUsed) this.usedToldAtMs = nowMs;
    const demands = this.queue.demands();
    current.dataCentres.forEach((dataCentre) => {
      const waiting = demands
        .filter((demand) => homesOf(current, this.deps, nowMs, demand).includes(dataCentre))
        .map(({ target, waiting: count, earliestDeadlineAtMs, oldestAtMs, customers }) => ({
          target,
          waiting: count,
          deadlineInMs: earliestDeadlineAtMs - nowMs,
          waitedMs: nowMs - oldestAtMs,
          customers: [...customers],
        }));
      const used = withUsed ? [...(this.used.get(dataCentre) ?? [])] : [];
      const steward = this.deps.peers.stewardOf(dataCentre);
      if (steward === null || waiting.length + used.length === 0) return;
      if (withUsed) this.used.delete(dataCentre);
      this.deps.peers.send(steward.vm, {
        type: messages.PeerMessageType.demand,
        waiting,
        used,
      });
    });
  }
}
