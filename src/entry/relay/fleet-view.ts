/** Finds the backend servers to which this entry VM can send a request now. */
import type { Clock } from '../../core/clock/index.js';
import type { Candidate } from '../../decisions/engine-choice/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { allows } from '../../decisions/homes/index.js';
import type { Prompt } from '../../decisions/prompt-cache/index.js';
import { ServerHealth } from '../../decisions/server-health/index.js';
import type { RunEstimate } from './first-tokens.js';
import type { StoreWatcherTask } from './store-watcher.js';
import type { EngineView, LoadView, RelayMessageOf } from './messages.js';
import type { PeerConnector } from './peer-connector.js';
import type { RequestLimits } from './request-limits.js';
import type { ServerTokens } from './server-tokens.js';

/**
 * Bounds of a not-loaded pause, ms. The pause starts when a server replies that a model or adapter
 * is not loaded. Until its end, the server gets no requests for that model or adapter. Each further
 * pause is twice as long as the last.
 */
const MIN_NOT_LOADED_PAUSE_MS = 80;
const MAX_NOT_LOADED_PAUSE_MS = 1_280;
/** A pause that starts this long after the end of the last one has the minimum length, ms. */
const NOT_LOADED_RESET_MS = 3_000;

/** Maximum pause that a server can ask for, ms. */
const MAX_REQUESTED_PAUSE_MS = 600_000;

/** What a server must have loaded for a request; `model` is null for a service without models. */
export interface Need {
  readonly service: string;
  readonly model: string | null;
  readonly adapter: string | null;
  /** Software version that the server must have; null or undefined for any. */
  readonly version?: string | null;
  /** Data centres that the server must be in; null or undefined for any. */
  readonly dataCentres?: readonly string[] | null;
}

function hasVersion(server: BackendServer, { version }: Need): boolean {
  return version == null || server.version === version;
}

/** A request running on a server. */
export interface Run extends Need {
  readonly server: BackendServer;
  /** What was known of its time to the first token; undefined if it was not estimated. */
  readonly estimate?: RunEstimate;
  /** Undefined if the request does not declare its prompt. */
  readonly prompt?: Prompt;
  /** Tokens that it may need at the server: prompt and largest output; undefined if unknown. */
  readonly tokens?: number;
}

interface TimedLoad extends LoadView {
  readonly readyAtMs: number;
}

function runKey({ server, model, adapter }: Run): string {
  return JSON.stringify([server.id, model, adapter]);
}

export class FleetView {
  readonly health = new ServerHealth();

  private readonly engineViews = new Map<string, EngineView>();

  /** Number of running requests of all entry VMs, by server, as received from the steward. */
  private readonly runningInFleet = new Map<string, number>();

  private loads: readonly TimedLoad[] = [];

  /** Number of entry VMs connected to the steward. */
  private memberCount = 1;

  /** Running requests of this entry VM, by server, model and adapter. */
  private readonly runs = new Map<string, { run: Run; count: number; tokens: number }>();

  /** Number of running requests of this entry VM, by server. */
  private readonly runningLocally = new Map<string, number>();

  /** Since when a server has had running requests of this entry VM without a pause, by server. */
  private readonly busySinceMs = new Map<string, number>();

  /** Number of running requests, by server, in the last report to the steward. */
  private runningReported: ReadonlyMap<string, number> = new Map();

  /** Pauses for models and adapters that are not loaded on a server, by server and name. */
  private readonly notLoaded = new Map<string, { untilMs: number; pauseMs: number }>();

  /** Ends of the pauses that servers have asked for, by server. */
  private readonly pausedUntilMs = new Map<string, number>();

  constructor(
    private readonly storeWatcher: StoreWatcherTask,
    private readonly clock: Clock,
    private readonly isStewardConnected: () => boolean,
    private readonly limits: Pick<
      RequestLimits,
      'allows' | 'isAnyKnown' | 'isThrottled' | 'noteEnded'
    >,
    private readonly peers: Pick<
      PeerConnector,
      'canReach' | 'isUnreachable' | 'unreachableServers'
    >,
    /** Tokens that running requests may need, by server. */
    private readonly tokens: Pick<
      ServerTokens,
      'applyView' | 'noteEnded' | 'noteReported' | 'noteStarted'
    >,
    /** Whether requests with this need may be sent to the server, wherever it is. */
    private readonly mayServe: (server: BackendServer, need: Need) => boolean = () => true,
  ) {}

  get members(): number {
    return this.memberCount;
  }

  /** Applies a `view` message from the steward. */
  applyView(view: RelayMessageOf<'view'>): void {
    const nowMs = this.clock.steadyMs();
    if (view.whole) {
      this.engineViews.clear();
      this.runningInFleet.clear();
    }
    Object.entries(view.running).forEach(([id, count]) => this.runningInFleet.set(id, count));
    view.engines.forEach((engine) => this.engineViews.set(engine.id, engine));
    this.tokens.applyView(view);
    this.memberCount = view.members;
    this.loads = view.loads.map((load) => ({ ...load, readyAtMs: nowMs + load.readyInMs }));
  }

  /** Healthy servers that have loaded what the request needs and may get a request now. */
  candidates(need: Need): readonly Candidate[] {
    return this.healthyServers(need).filter(({ isAllowed }) => isAllowed);
  }

  /** Healthy servers that have loaded what the request needs, but may get no request now. */
  throttled(need: Need): readonly Candidate[] {
    if (!this.limits.isAnyKnown) return [];
    return this.healthyServers(need).filter(({ isAllowed }) => !isAllowed);
  }

  /** Whether all servers of a service that are not draining are throttled. */
  isFullyThrottled(service: string): boolean {
    return [...this.storeWatcher.backends.values()]
      .filter((server) => server.service === service && !server.leaving)
      .filter((server) => this.mayServe(server, { service, model: null, adapter: null }))
      .every((server) => this.limits.isThrottled(server));
  }

  /** Whether any server that is not draining has loaded the model that the request needs. */
  isLoaded({ service, model, version, dataCentres }: Need): boolean {
    const nowMs = this.clock.steadyMs();
    const isConnected = this.isStewardConnected();
    const need = { service, model, adapter: null, version, dataCentres };
    return [...this.storeWatcher.backends.values()].some(
      (server) =>
        server.service === service &&
        !server.leaving &&
        hasVersion(server, need) &&
        this.mayServe(server, need) &&
        this.hasLoaded(nowMs, server, need, isConnected),
    );
  }

  /** Whether any server that is not draining has the version that the request needs. */
  hasServers(need: Need): boolean {
    return [...this.storeWatcher.backends.values()].some(
      (server) => server.service === need.service && !server.leaving && hasVersion(server, need),
    );
  }

  /** Earliest expected end of a load of the needed model, ms; null if unknown. */
  readyAtMs(need: Need): number | null {
    const ends = this.loads
      .filter(
        ({ service, model, adapter, version, dataCentre }) =>
          (service === null || service === need.service) &&
          model === need.model &&
          adapter === null &&
          (need.version == null || version === need.version) &&
          (dataCentre === undefined || allows(need.dataCentres, dataCentre)),
      )
      .map(({ readyAtMs }) => readyAtMs);
    return ends.length === 0 || !this.isStewardConnected() ? null : Math.min(...ends);
  }

  /** Records the reply of a server that the model or adapter of a request is not loaded. */
  noteNotLoaded(run: Run): void {
    const nowMs = this.clock.steadyMs();
    const key = runKey(run);
    const last = this.notLoaded.get(key);
    // Replies during a pause come from requests that were already in flight, and don't extend it.
    if (last !== undefined && nowMs < last.untilMs) return;
    const isReset = last === undefined || nowMs - last.untilMs > NOT_LOADED_RESET_MS;
    const pauseMs = isReset
      ? MIN_NOT_LOADED_PAUSE_MS
      : Math.min(MAX_NOT_LOADED_PAUSE_MS, last.pauseMs * 2);
    this.notLoaded.set(key, { untilMs: nowMs + pauseMs, pauseMs });
  }

  /** Records that a server wants no request from this entry VM for some time. */
  notePause({ id }: BackendServer, pauseMs: number): void {
    const untilMs = this.clock.steadyMs() + Math.min(MAX_REQUESTED_PAUSE_MS, pauseMs);
    this.pausedUntilMs.set(id, Math.max(untilMs, this.pausedUntilMs.get(id) ?? 0));
  }

  /** Whether a server wants no request from this entry VM at the moment. */
  isPaused({ id }: BackendServer): boolean {
    return this.clock.steadyMs() < (this.pausedUntilMs.get(id) ?? 0);
  }

  started(run: Run): void {
    const key = runKey(run);
    const entry = this.runs.get(key) ?? { run, count: 0, tokens: 0 };
    entry.count += 1;
    entry.tokens += this.tokens.noteStarted(run);
    this.runs.set(key, entry);
    const { id } = run.server;
    const running = this.runningLocally.get(id) ?? 0;
    if (running === 0) this.busySinceMs.set(id, this.clock.steadyMs());
    this.runningLocally.set(id, running + 1);
  }

  ended(run: Run): void {
    const key = runKey(run);
    const entry = this.runs.get(key);
    if (entry === undefined) return;
    entry.count -= 1;
    entry.tokens -= this.tokens.noteEnded(run);
    if (entry.count === 0) this.runs.delete(key);
    this.limits.noteEnded(run.server);
    const { id } = run.server;
    const running = Math.max(0, (this.runningLocally.get(id) ?? 0) - 1);
    if (running === 0) this.busySinceMs.delete(id);
    this.runningLocally.set(id, running);
  }

  /** Running requests of this entry VM, for the report to the steward. */
  running(): RelayMessageOf<'report'>['running'] {
    return [...this.runs.values()].map(({ run, count, tokens }) => ({
      server: run.server.id,
      model: run.model,
      adapter: run.adapter,
      running: count,
      ...(run.model === null ? {} : { tokens }),
    }));
  }

  /** Services with running requests of this entry VM whose servers all have sent nothing for a time. */
  silentServices(silenceMs: number): readonly string[] {
    const sinceMs = this.clock.steadyMs() - silenceMs;
    const silent = new Set<string>();
    const answering = new Set<string>();
    this.busySinceMs.forEach((busySinceMs, id) => {
      const service = this.storeWatcher.backends.get(id)?.service;
      if (service === undefined) return;
      const isSilent = Math.max(busySinceMs, this.health.lastReceivedAtMs(id)) < sinceMs;
      (isSilent ? silent : answering).add(service);
    });
    return [...silent].filter((service) => !answering.has(service));
  }

  /** Servers that this entry VM can't connect to, for the report to the steward. */
  unreachable(): RelayMessageOf<'report'>['unreachable'] {
    const nowMs = this.clock.steadyMs();
    const failures = [...this.peers.unreachableServers(), ...this.health.unreachable(nowMs)];
    const failedAtMs = new Map(failures.map(({ id, atMs }) => [id, atMs]));
    return [...failedAtMs].map(([server, atMs]) => ({ server, ageMs: nowMs - atMs }));
  }

  /**
   * Engines that have sent this entry VM data in the last `maxAgeMs`, which may be Infinity, for the
   * report to the steward.
   */
  reached(maxAgeMs: number): RelayMessageOf<'report'>['reached'] {
    const nowMs = this.clock.steadyMs();
    const engines = [...this.storeWatcher.backends.values()].filter(({ models }) => models.length);
    return engines.flatMap(({ id }) => {
      const ageMs = nowMs - this.health.lastReceivedAtMs(id);
      // Infinite for an engine without data, which no message can carry.
      return Number.isFinite(ageMs) && ageMs <= maxAgeMs ? [{ server: id, ageMs }] : [];
    });
  }

  /** Records that this entry VM is no longer partitioned from the servers of a service. */
  noteReachable(service: string): void {
    const servers = [...this.storeWatcher.backends.values()].filter(
      (server) => server.service === service,
    );
    const ids = servers.map(({ id }) => id);
    this.health.forgetFailures(this.clock.steadyMs(), ids);
  }

  /** Records that the numbers of running requests were reported to the steward. */
  noteReported(): void {
    this.runningReported = new Map(this.runningLocally);
    this.tokens.noteReported();
  }

  /** Healthy servers that have loaded what the request needs, throttled ones included. */
  private healthyServers(need: Need): readonly (Candidate & { readonly isAllowed: boolean })[] {
    const nowMs = this.clock.steadyMs();
    const isConnected = this.isStewardConnected();
    const eligible = [...this.storeWatcher.backends.values()].filter(
      (server) =>
        server.service === need.service &&
        !server.leaving &&
        hasVersion(server, need) &&
        this.mayServe(server, need) &&
        (this.pausedUntilMs.get(server.id) ?? 0) <= nowMs &&
        this.hasLoaded(nowMs, server, need, isConnected),
    );
    const peers = eligible.map(({ id }) => id);
    return this.reachable(nowMs, eligible).map((server) => ({
      id: server.id,
      dataCentre: server.dataCentre,
      slots: server.slots,
      running: this.runningAt(server.id, isConnected),
      slowness: this.health.slowness(nowMs, server.id, peers),
      isAllowed: this.limits.allows(server),
    }));
  }

  /** The servers that can be reached directly or over a peer, as far as is known. */
  private reachable(nowMs: number, eligible: readonly BackendServer[]): readonly BackendServer[] {
    const { peers } = this;
    const servers = this.health.eligible(nowMs, eligible, (server) => peers.canReach(server));
    const reachable = servers.filter(
      (server) => !peers.isUnreachable(server) || peers.canReach(server),
    );
    return reachable.length > 0 ? reachable : servers;
  }

  private hasLoaded(
    nowMs: number,
    server: BackendServer,
    need: Need,
    isConnected: boolean,
  ): boolean {
    if (need.model === null) return true;
    if (this.isMissing(nowMs, server, need)) return false;
    const view = this.engineViews.get(server.id);
    const isViewUsable = isConnected || this.storeWatcher.isFromSteward(server.id);
    const isCurrent = isViewUsable && view !== undefined && view.bornMs >= server.bornMs;
    const models = isCurrent ? view.models : server.models;
    const loaded = models.find(({ name }) => name === need.model);
    if (loaded === undefined) return false;
    return need.adapter === null || loaded.adapters.includes(need.adapter);
  }

  /** Whether the server recently replied that the needed model or adapter is not loaded. */
  private isMissing(nowMs: number, server: BackendServer, need: Need): boolean {
    if (this.notLoaded.size === 0) return false;
    return (this.notLoaded.get(runKey({ ...need, server }))?.untilMs ?? 0) > nowMs;
  }

  /**
   * Running requests of all entry VMs on a server. The number of this VM is current, the others are
   * from the steward's last message. Without a steward, only this VM's requests are counted.
   */
  private runningAt(id: string, isConnected: boolean): number {
    const local = this.runningLocally.get(id) ?? 0;
    if (!isConnected) return local;
    const remote = (this.runningInFleet.get(id) ?? 0) - (this.runningReported.get(id) ?? 0);
    return local + Math.max(0, remote);
  }
}
