/** Task that queues requests, chooses their engines and reports demand to the stewards. */
import { AdaptivePoller } from '../../core/adaptive-poller/index.js';
import type { Channel, Unsubscribe } from '../../core/channels/index.js';
import type { Clock } from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import * as messages from '../../core/messages/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Random } from '../../core/random/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Catalog } from '../../decisions/catalog/index.js';
import { DrainEstimator } from '../../decisions/drain/index.js';
import * as fairQueue from '../../decisions/fair-queue/index.js';
import * as placement from '../../decisions/placement/index.js';
import * as routing from '../../decisions/routing/index.js';
import { CrashSegments, type EngineCrash, SuspectTable } from '../../decisions/suspects/index.js';
import type { LoadsUpdate, RoutesUpdate } from '../inventory/index.js';
import type { Inbound, Peers } from '../peers/index.js';
import { loadingDataCentres } from './loading-data-centres.js';
import {
  type Dispatched,
  type Dispatcher,
  DispatchOutcome,
  type DispatchRequest,
  EngineOutcome,
} from './types.js';

export * from './types.js';

const TICK_MS = 25;
const IDLE_TICK_MS = 250;
/** Interval between demand reports. */
const DEMAND_INTERVAL_MS = 100;
/** Interval at which demand reports include the used targets. */
const USAGE_INTERVAL_MS = 1_000;
const MIN_RETRY_AFTER_MS = 1_000;

export interface DispatchDeps {
  readonly dataCentre: string;
  readonly peers: Peers;
  readonly inbox: Channel<Inbound>;
  readonly routes: Channel<RoutesUpdate>;
  readonly loads: Channel<LoadsUpdate>;
  readonly applied: Channel<Catalog>;
  /** Publishes the address of each peer when a connection to it is established. */
  readonly connected: Channel<string>;
  currentCatalog(): Catalog | null;
  readonly maxQueue: number;
  /** Whether this entry VM may probe refused segments: only the steward of a data centre may. */
  mayProbe(): boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
}

interface PendingDispatch {
  readonly req: DispatchRequest;
  /** Sub-queue that holds the request: that of its target, or one of its own if it is suspect. */
  readonly lane: string;
  resolve(dispatched: Dispatched): void;
}

function crashMessage(crash: EngineCrash): messages.PeerMessageOf<'death'> {
  return { type: messages.PeerMessageType.death, ...crash, segments: [...crash.segments] };
}

export class DispatchTask implements Task, Dispatcher {
  readonly name = 'dispatch';

  private readonly queue: fairQueue.RequestQueue = new fairQueue.FairQueue();

  private readonly waiting = new Map<string, PendingDispatch>();

  private readonly router: routing.Router;

  private readonly suspects = new SuspectTable();

  private readonly crashSegments = new CrashSegments();

  private readonly drainEstimator = new DrainEstimator();

  private readonly engines = new Map<string, routing.EngineRoute>();

  private readonly used = new Map<string, Set<string>>();

  private readonly poller = new AdaptivePoller({
    busyMs: TICK_MS,
    idleMs: IDLE_TICK_MS,
    isBusy: () => this.queue.size > 0,
    tick: () => this.tick(),
  });

  private unsubscribes: Unsubscribe[] = [];

  private demandSentAtMs = -Infinity;

  private usageSentAtMs = -Infinity;

  constructor(private readonly deps: DispatchDeps) {
    this.router = new routing.LeastLoadedRouter(deps.dataCentre, deps.random);
    // Peers send known crashes to a VM as soon as it connects, possibly before this task starts.
    deps.inbox.subscribe(({ message }) => {
      if (message.type !== messages.PeerMessageType.death) return;
      this.noteCrash(message);
    });
  }

  async start(): Promise<void> {
    this.poller.start();
    this.unsubscribes = [
      this.deps.routes.subscribe((update) => this.applyRoutes(update)),
      this.deps.loads.subscribe((loads) => this.applyLoads(loads)),
      this.deps.applied.subscribe((current) => this.applyCatalog(current)),
      this.deps.connected.subscribe((address) => this.sendCrashes(address)),
    ];
  }

  async stop(): Promise<void> {
    this.poller.stop();
    this.unsubscribes.forEach((unsubscribe) => unsubscribe());
  }

  get waitingCount(): number {
    return this.queue.size;
  }

  /** Known engines, for the status. */
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
      signal.addEventListener('abort', () => this.cancel(req.id), { once: true });
      this.assignQueued();
      this.poller.wake();
    });
  }

  release(req: DispatchRequest, engine: routing.EngineRoute, outcome: EngineOutcome): void {
    const { engineId } = engine;
    const healthy = outcome !== EngineOutcome.failed;
    this.router.finished(this.deps.clock.nowMs(), engineId, healthy);
    if (outcome === EngineOutcome.absent) this.removeTarget(engineId, req.target.name);
    this.suspects.suspectFinished(engineId, req.id);
    this.recordUse(engine.dataCentre, req.target.name);
    this.assignQueued();
  }

  reportCrash(crash: EngineCrash): void {
    this.noteCrash(crash);
    this.deps.peers.sendAll(crashMessage(crash));
    this.deps.metrics.count('engine_deaths', { engine: crash.engineId });
  }

  noteCompleted(fingerprint: string, segments: readonly string[]): void {
    this.suspects.clear(fingerprint);
    this.crashSegments.noteCompleted(this.deps.clock.nowMs(), segments);
  }

  promptBlockedForMs(segments: readonly string[]): number | null {
    const { clock, mayProbe } = this.deps;
    return this.crashSegments.refusedForMs(clock.nowMs(), segments, mayProbe());
  }

  blockedForMs(fingerprint: string): number | null {
    const nowMs = this.deps.clock.nowMs();
    return this.suspects.isBlocked(nowMs, fingerprint)
      ? this.suspects.retryAfterMs(nowMs, fingerprint)
      : null;
  }

  private noteCrash(crash: EngineCrash): void {
    const nowMs = this.deps.clock.nowMs();
    this.suspects.note(nowMs, crash);
    this.crashSegments.note(nowMs, crash);
  }

  /** Sends known crashes to a newly connected peer, which may have started after them. */
  private sendCrashes(address: string): void {
    const nowMs = this.deps.clock.nowMs();
    const crashes = [this.suspects, this.crashSegments].flatMap((known) => [
      ...known.knownCrashes(nowMs),
    ]);
    crashes.forEach((crash) => {
      this.deps.peers.sendTo(address, crashMessage(crash));
    });
  }

  private refusalOnArrival(nowMs: number, req: DispatchRequest): Dispatched | null {
    if (this.queue.size >= this.deps.maxQueue) {
      return this.refusal(req, 'the queue is full', MIN_RETRY_AFTER_MS);
    }
    const drainKey = this.drainKeyOf(req);
    const ahead = [...this.waiting.values()].filter(
      (other) => other.req.customer === req.customer && other.req.target === req.target,
    ).length;
    const waitMs = this.drainEstimator.expectedWaitMs(nowMs, drainKey, ahead);
    if (waitMs === null || nowMs + waitMs <= req.deadlineAtMs) return null;
    return this.refusal(req, 'too many requests are queued before it', waitMs);
  }

  private drainKeyOf(req: DispatchRequest): string {
    return `${req.customer} ${req.target.name}`;
  }

  private refusal(req: DispatchRequest, reason: string, retryAfterMs: number): Dispatched {
    const peer = req.target.name;
    const failure = errors.createFailure(errors.data.NoCapacity, 'wait for engine', peer, reason);
    return { type: DispatchOutcome.refused, failure, retryAfterMs };
  }

  private cancel(id: string): void {
    const entry = this.waiting.get(id);
    if (entry === undefined) return;
    this.queue.remove(id);
    this.waiting.delete(id);
    entry.resolve(this.refusal(entry.req, 'the request was cancelled', MIN_RETRY_AFTER_MS));
  }

  private tick(): void {
    if (this.queue.size + this.used.size === 0) return;
    const nowMs = this.deps.clock.nowMs();
    this.queue.takeExpired(nowMs).forEach(({ id }) => this.refuseExpired(id));
    this.assignQueued();
    this.reportDemand(nowMs);
  }

  private refuseExpired(id: string): void {
    const entry = this.waiting.get(id);
    if (entry === undefined) return;
    this.waiting.delete(id);
    const { target } = entry.req;
    const loadMs = placement.expectedLoadMs(placement.CheckpointTier.remote, target.modelMb);
    const isCold = this.route(entry).type === routing.RouteOutcome.cold;
    const reason = isCold ? 'the model is still loading' : 'all replicas are busy';
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, isCold ? loadMs : 0);
    entry.resolve(this.refusal(entry.req, reason, retryAfterMs));
  }

  private route({ req, lane }: PendingDispatch): routing.RouteDecision {
    const isSuspect = lane !== req.target.name;
    return this.router.route(this.deps.clock.nowMs(), {
      target: req.target.name,
      prefixKey: req.prefixKey,
      exclude: isSuspect ? this.suspects.enginesWithSuspect() : [],
      avoid: req.avoid,
    });
  }

  /** Assigns queued requests as long as engines have capacity. */
  private assignQueued(): void {
    const runnableLanes = new Map<string, boolean>();
    const samples = new Map([...this.waiting.values()].map((entry) => [entry.lane, entry]));
    const canRun = (lane: string): boolean => {
      const cached = runnableLanes.get(lane);
      if (cached !== undefined) return cached;
      const sample = samples.get(lane);
      const isRunnable =
        sample !== undefined && this.route(sample).type === routing.RouteOutcome.chosen;
      runnableLanes.set(lane, isRunnable);
      return isRunnable;
    };
    let next = this.queue.take(canRun);
    while (next !== null) {
      const isAssigned = this.assign(next);
      runnableLanes.clear();
      next = isAssigned ? this.queue.take(canRun) : null;
    }
  }

  /** @returns False if no engine is available any more; the request is then queued again. */
  private assign(queued: fairQueue.QueuedRequest): boolean {
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
    if (nowMs > queued.arrivedAtMs)
      this.drainEstimator.recordServed(nowMs, this.drainKeyOf(entry.req));
    this.recordUse(engine.dataCentre, entry.req.target.name);
    entry.resolve({ type: DispatchOutcome.engine, engine });
    return true;
  }

  private applyRoutes({ dataCentre, whole, engines }: RoutesUpdate): void {
    if (whole) {
      const listed = new Set(engines.map(({ engineId }) => engineId));
      [...this.engines.values()]
        .filter((route) => route.dataCentre === dataCentre && !listed.has(route.engineId))
        .forEach(({ engineId }) => this.engines.delete(engineId));
    }
    engines.forEach((route) => {
      this.engines.set(route.engineId, route);
      this.router.update(route);
    });
    this.router.retain(new Set(this.engines.keys()));
    this.assignQueued();
  }

  private applyLoads(loads: LoadsUpdate): void {
    Object.entries(loads).forEach(([engineId, load]) => {
      const route = this.engines.get(engineId);
      if (route === undefined) return;
      this.engines.set(engineId, { ...route, load });
      this.router.update({ ...route, load });
    });
    this.assignQueued();
  }

  /** Removes a target from an engine's route until another update of the route lists it. */
  private removeTarget(engineId: string, target: string): void {
    const route = this.engines.get(engineId);
    if (route === undefined) return;
    const targets = route.targets.filter((name) => name !== target);
    this.engines.set(engineId, { ...route, targets });
    this.router.update({ ...route, targets });
  }

  /** Removes the engines that operators have deleted, and marks draining ones. */
  private applyCatalog(current: Catalog): void {
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

  private recordUse(dataCentre: string, target: string): void {
    const names = this.used.get(dataCentre) ?? new Set<string>();
    this.used.set(dataCentre, names.add(target));
  }

  /** Reports queued requests and, at a longer interval, used targets to the stewards concerned. */
  private reportDemand(nowMs: number): void {
    const current = this.deps.currentCatalog();
    if (current === null || nowMs - this.demandSentAtMs < DEMAND_INTERVAL_MS) return;
    this.demandSentAtMs = nowMs;
    const includesUsage = nowMs - this.usageSentAtMs >= USAGE_INTERVAL_MS;
    if (includesUsage) this.usageSentAtMs = nowMs;
    const demands = this.queue.demands();
    current.dataCentres.forEach((dataCentre) => {
      const waiting = demands
        .filter((demand) =>
          loadingDataCentres(current, this.deps, nowMs, demand).includes(dataCentre),
        )
        .map(({ target, waiting: count, earliestDeadlineAtMs, oldestAtMs, customers }) => ({
          target,
          waiting: count,
          deadlineInMs: earliestDeadlineAtMs - nowMs,
          waitedMs: nowMs - oldestAtMs,
          customers: [...customers],
        }));
      const used = includesUsage ? [...(this.used.get(dataCentre) ?? [])] : [];
      const steward = this.deps.peers.stewardOf(dataCentre);
      if (steward === null || waiting.length + used.length === 0) return;
      if (includesUsage) this.used.delete(dataCentre);
      this.deps.peers.send(steward.vm, {
        type: messages.PeerMessageType.demand,
        waiting,
        used,
      });
    });
  }
}
