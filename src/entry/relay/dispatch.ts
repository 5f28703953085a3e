/** Queues requests until a backend server can run them; rejects those that can't run in time. */
import type { Clock } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import {
  type Candidate,
  chooseServer,
  hasSlot,
  usableSlots,
} from '../../decisions/engine-choice/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import {
  byUrgency,
  ExpectedRetries,
  rejectAtMs,
  retryAfterMs,
  type QueuedRequest,
} from '../../decisions/wait-list/index.js';
import { addCounts, FleetQueues } from './fleet-queues.js';
import { QueueForecast } from './queue-forecast.js';
import type { FirstTokens } from './first-tokens.js';
import type { FleetView, Run } from './fleet-view.js';
import type { MemoryPermits } from './memory-permits.js';
import type { StoreWatcherTask } from './store-watcher.js';
import type { RelayMessageOf } from './messages.js';
import type { ServerTokens } from './server-tokens.js';
import { CapacityNeeds, type RequestLimits } from './request-limits.js';

/** A run at a backend server, or a rejection with the time after which the caller should retry. */
export type Placement =
  | { readonly run: Run; readonly retryAfterMs: null }
  | { readonly run: null; readonly retryAfterMs: number };

interface QueueEntry {
  readonly request: QueuedRequest;
  readonly tried: ReadonlySet<string>;
  /** Whether the servers that have what it needs lack a free slot. */
  isSlotBound: boolean;
  settle(placement: Placement): void;
}

/** Interval at which queued requests are re-evaluated, ms. */
const QUEUE_POLL_MS = 25;

/** See `tryPlace`. */
interface PlacementOptions {
  readonly candidates?: readonly Candidate[];
  readonly permittedId?: string | null;
  readonly needsPermit?: boolean;
}

export interface DispatchOptions {
  readonly dataCentre: string;
  readonly storeWatcher: StoreWatcherTask;
  readonly view: FleetView;
  readonly limits: RequestLimits;
  readonly firstTokens: FirstTokens;
  readonly memory: Pick<ServerTokens, 'memoryOf' | 'withRoom'>;
  readonly memoryPermits: Pick<MemoryPermits, 'mustWait'>;
  readonly clock: Clock;
  readonly random: Random;
  isStewardConnected(): boolean;
  /** Called when a request is queued. */
  onEnqueue(): void;
}

export class Dispatcher {
  private readonly waiting = new Map<string, QueueEntry>();

  private readonly expectedRetries = new ExpectedRetries();

  private readonly fleetQueues = new FleetQueues(() => this.opts.isStewardConnected());

  private timer: NodeJS.Timeout | null = null;

  private isScheduled = false;

  constructor(private readonly opts: DispatchOptions) {}

  /** Number of requests that wait for a server. */
  get queuedCount(): number {
    return this.waiting.size;
  }

  start(): void {
    this.timer = setInterval(() => this.schedulePlacement(), QUEUE_POLL_MS);
  }

  stop(): void {
    if (this.timer !== null) clearInterval(this.timer);
  }

  /** Resolves with a run at a server that is not in `tried`, or with a rejection. */
  place(request: QueuedRequest, tried: ReadonlySet<string>): Promise<Placement> {
    const run = this.placeNow(request, tried, true);
    if (run !== null) return Promise.resolve({ run, retryAfterMs: null });
    return new Promise((resolve) => {
      this.waiting.set(request.id, { request, tried, isSlotBound: false, settle: resolve });
      const needs = new CapacityNeeds(this.opts.dataCentre);
      this.addNeeds(needs, request, tried);
      this.opts.limits.requestPermits(needs, false);
      this.opts.onEnqueue();
    });
  }

  /**
   * A run at a server that is not in `tried` and can run the request now; null if there is none.
   * @param needsPermit False for a second attempt of a request that is not queued, so that no permit
   * could reach it. The retry budget bounds such attempts.
   */
  placeNow(request: QueuedRequest, tried: ReadonlySet<string>, needsPermit: boolean): Run | null {
    // A server that has just become free is for the queued requests first.
    if (this.isScheduled) this.placeQueued();
    return this.tryPlace(request, tried, { needsPermit });
  }

  /** Removes a queued request whose caller has disconnected or whose time is up. */
  cancel(id: string): void {
    const entry = this.waiting.get(id);
    this.waiting.delete(id);
    entry?.settle({ run: null, retryAfterMs: 0 });
  }

  /** Places the queued requests in this turn of the event loop, once for all changes in the turn. */
  schedulePlacement(): void {
    if (this.isScheduled || this.waiting.size === 0) return;
    this.isScheduled = true;
    setImmediate(() => this.placeQueued());
  }

  /** Places the queued requests that a server can run now, most urgent first. */
  private placeQueued(): void {
    this.isScheduled = false;
    if (this.waiting.size === 0) return;
    const nowMs = this.opts.clock.steadyMs();
    const byPriority = [...this.waiting.values()].sort((a, b) => byUrgency(a.request, b.request));
    const needs = new CapacityNeeds(this.opts.dataCentre);
    const forecast = new QueueForecast({
      fleetQueues: this.fleetQueues,
      runMs: (service) => this.opts.firstTokens.runMs(service),
    });
    byPriority.forEach((entry) => this.placeOrReject(nowMs, entry, needs, forecast));
    this.opts.limits.requestPermits(needs, true);
  }

  /** Counts queued requests and expected retries by what they need, for the report. */
  waits(): RelayMessageOf<'report'>['waits'] {
    const nowMs = this.opts.clock.steadyMs();
    const waiting = [...this.waiting.values()].map(({ request, isSlotBound }) => ({
      ...request,
      dueAtMs: request.objectiveAtMs,
      byPriority: isSlotBound ? { [request.priority]: 1 } : {},
    }));
    const expected = this.expectedRetries
      .all(nowMs)
      .map((retry) => ({ ...retry, dueAtMs: retry.atMs, byPriority: {} }));
    const groups = new Map<string, RelayMessageOf<'report'>['waits'][number]>();
    [...waiting, ...expected].forEach((wait) => {
      const { service, model, adapter, version, dataCentres, dueAtMs } = wait;
      if (model === null) return;
      const key = JSON.stringify([service, model, adapter, version, dataCentres]);
      const before = groups.get(key);
      groups.set(key, {
        service,
        model,
        adapter,
        version,
        ...(dataCentres == null ? {} : { dataCentres: [...dataCentres] }),
        waiting: (before?.waiting ?? 0) + 1,
        byPriority: addCounts(before?.byPriority ?? {}, wait.byPriority),
        dueInMs: Math.min(before?.dueInMs ?? Infinity, dueAtMs - nowMs),
      });
    });
    return [...groups.values()];
  }

  /** Applies what a `view` message tells of the queues of all entry VMs. */
  applyQueues(view: RelayMessageOf<'view'>): void {
    this.fleetQueues.applyView(view);
  }

  /** Records that these queues were reported to the steward. */
  noteReported(waits: RelayMessageOf<'report'>['waits']): void {
    this.fleetQueues.noteReported(waits);
  }

  /**
   * Places a queued request, or rejects it once it can no longer be served in time.
   * @param needs What the queued requests need; updated.
   */
  private placeOrReject(
    nowMs: number,
    entry: QueueEntry,
    needs: CapacityNeeds,
    forecast: QueueForecast,
  ): void {
    const { request, tried, settle } = entry;
    const candidates = this.opts.view.candidates(request);
    const run = this.tryPlace(request, tried, { candidates });
    if (run !== null) {
      this.waiting.delete(request.id);
      settle({ run, retryAfterMs: null });
      return;
    }
    const readyAtMs = this.opts.view.readyAtMs(request);
    const isLoaded = this.opts.view.isLoaded(request);
    const positions = this.addNeeds(needs, request, tried);
    const permitAtMs = candidates.length > 0 ? null : this.permitAtMs(nowMs, request, positions);
    const servers = candidates.filter(({ id }) => !tried.has(id));
    Object.assign(entry, { isSlotBound: servers.length > 0 && !servers.some(hasSlot) });
    const waitMs = forecast.waitMs(request, servers);
    // A request that waits for something else than a slot has no such forecast.
    const slotAtMs = waitMs === null || !entry.isSlotBound ? null : nowMs + waitMs;
    if (nowMs < rejectAtMs(request, { readyAtMs, isLoaded, permitAtMs, slotAtMs })) return;
    this.waiting.delete(request.id);
    const { service, model, adapter, version, dataCentres } = request;
    if (readyAtMs !== null && !isLoaded) {
      this.expectedRetries.note({ service, model, adapter, version, dataCentres, atMs: readyAtMs });
    }
    settle({ run: null, retryAfterMs: retryAfterMs(nowMs, readyAtMs ?? permitAtMs ?? slotAtMs) });
  }

  /**
   * Adds a queued request to the needs of the throttled servers that could run it.
   * @returns For each of these servers, the number of requests so far.
   */
  private addNeeds(
    needs: CapacityNeeds,
    request: QueuedRequest,
    tried: ReadonlySet<string>,
  ): ReadonlyMap<string, number> {
    return needs.add(this.opts.view.throttled(request).filter(({ id }) => !tried.has(id)));
  }

  /**
   * Expected time of a permit for a request without candidates. Null if no server is throttled, if the
   * time is unknown, or if the steward may load the model that the request needs on another server.
   */
  private permitAtMs(
    nowMs: number,
    request: QueuedRequest,
    positions: ReadonlyMap<string, number>,
  ): number | null {
    const { view, limits } = this.opts;
    if (positions.size === 0) return null;
    if (request.model !== null && !view.isFullyThrottled(request.service)) return null;
    const position = Math.max(...positions.values());
    const waitMs = limits.expectedWaitMs([...positions.keys()], position);
    return waitMs === null ? null : nowMs + waitMs;
  }

  /** Places a waiting request at a server whose memory the steward has reserved for it. */
  placeWithPermit(requestId: string, serverId: string): void {
    const entry = this.waiting.get(requestId);
    if (entry === undefined) return;
    const run = this.tryPlace(entry.request, entry.tried, { permittedId: serverId });
    if (run === null) return;
    this.waiting.delete(requestId);
    entry.settle({ run, retryAfterMs: null });
  }

  /**
   * @param candidates The view's candidates for the request, if they were looked up already.
   * @param permittedId Server whose memory is reserved for the request; null if there is none.
   * @param needsPermit Whether the request waits for a permit where it could exceed a server's memory.
   */
  private tryPlace(
    request: QueuedRequest,
    tried: ReadonlySet<string>,
    {
      candidates: possible = this.opts.view.candidates(request),
      permittedId = null,
      needsPermit = permittedId === null,
    }: PlacementOptions = {},
  ): Run | null {
    const { dataCentre, storeWatcher, random, view, limits, firstTokens, memory } = this.opts;
    const { prompt, tokens } = request;
    const withRoom =
      permittedId === null
        ? memory.withRoom(request.service, possible, tokens)
        : possible.filter(({ id }) => id === permittedId);
    const candidates = firstTokens.describe(withRoom, prompt);
    const pace = firstTokens.pace(request.service);
    if (permittedId === null && !this.mayGoFirst(request, candidates)) return null;
    const chosen = chooseServer(candidates, { dataCentre, tried, random, pace, prompt });
    const server: BackendServer | undefined =
      chosen === null ? undefined : storeWatcher.backends.get(chosen.server.id);
    if (chosen === null || server === undefined) return null;
    if (needsPermit && this.mustWait(request, server.id)) return null;
    limits.take(server);
    this.probeThrottled(request, tried);
    const { service, model, adapter } = request;
    const estimate = firstTokens.noteChoice(service, chosen, prompt);
    const run = { server, service, model, adapter, estimate, prompt, tokens };
    view.started(run);
    return run;
  }

  /** Whether a slot is left beside those for more urgent requests at other entry VMs. */
  private mayGoFirst(
    { service, model, adapter, priority }: QueuedRequest,
    candidates: readonly Candidate[],
  ): boolean {
    if (model === null) return true;
    const urgent = this.fleetQueues.moreUrgent({ service, model, adapter }, priority);
    if (urgent === 0) return true;
    const free = candidates.reduce(
      (sum, server) => sum + Math.max(0, usableSlots(server) - server.running),
      0,
    );
    return free > urgent;
  }

  /** Whether the request has to wait for the steward's permit to fill the memory of a server. */
  private mustWait({ id, service, tokens: needTokens }: QueuedRequest, serverId: string): boolean {
    const { memory, memoryPermits } = this.opts;
    const { tokens, ...known } = memory.memoryOf(service, serverId, needTokens);
    return memoryPermits.mustWait(id, serverId, tokens, known);
  }

  /** Asks for permits of throttled servers, for requests that show whether their limits hold. */
  private probeThrottled(request: QueuedRequest, tried: ReadonlySet<string>): void {
    const { view, limits } = this.opts;
    view
      .throttled(request)
      .filter(({ id }) => !tried.has(id))
      .forEach(({ id }) => limits.requestProbe(id));
  }
}
