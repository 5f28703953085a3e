/**
 * Task that polls the engines of this data centre and publishes their routes to the entry VMs.
 *
 * The entry VM that does so is the inventory poller: the steward or, if there is none, the
 * available entry VM with the lowest id, so that routes stay up to date during an outage of the
 * platform.
 */
import { AdaptivePoller } from '../../core/adaptive-poller/index.js';
import type { Channel } from '../../core/channels/index.js';
import type { Clock } from '../../core/clock/index.js';
import * as messages from '../../core/messages/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Backend, Catalog } from '../../decisions/catalog/index.js';
import { type Inventory, ReplicaState } from '../../decisions/ledger/index.js';
import type { EngineRoute } from '../../decisions/routing/index.js';
import type { Backends, EngineReport } from '../backends/index.js';
import type { Inbound, Peers } from '../peers/index.js';

const TICK_MS = 50;
const IDLE_TICK_MS = 200;
/** Polling interval of an idle engine. */
export const IDLE_POLL_INTERVAL_MS = 1_000;
/** Polling interval of an engine with an order in progress. */
const BUSY_POLL_INTERVAL_MS = 100;
/** Interval at which all routes are published, whether they have changed or not. */
export const FULL_ROUTES_INTERVAL_MS = 30_000;
/** Interval at which load changes are published while the routes are otherwise the same. */
const LOADS_INTERVAL_MS = 1_000;
/** Smallest load change that is published, as a fraction of the slots. */
const MIN_LOAD_CHANGE = 1 / 8;
/** Routes are resent to an entry VM if its requests wait this long for a loaded target. */
const RESEND_AFTER_MS = 500;
/** Minimum time between two resends to an entry VM. */
const RESEND_INTERVAL_MS = 5_000;
/** An engine that has not responded for this long is published without targets. */
export const UNRESPONSIVE_AFTER_MS = 3_500;

/** State of an engine when it was polled. */
export interface EngineSnapshot {
  readonly backend: Backend;
  readonly report: EngineReport;
  readonly inventory: Inventory;
}

/** Routes to engines of a data centre: all of them if `whole`, otherwise those that changed. */
export interface RoutesUpdate {
  readonly dataCentre: string;
  readonly whole: boolean;
  readonly engines: readonly EngineRoute[];
}

/** Loads by engine id. */
export type LoadsUpdate = Readonly<Record<string, number>>;

export interface InventoryDeps {
  readonly dataCentre: string;
  readonly backends: Backends;
  readonly peers: Peers;
  readonly inbox: Channel<Inbound>;
  readonly snapshots: Channel<EngineSnapshot>;
  readonly connected: Channel<string>;
  readonly routes: Channel<RoutesUpdate>;
  readonly loads: Channel<LoadsUpdate>;
  currentCatalog(): Catalog | null;
  /** Engines on which orders of this entry VM are in progress. */
  busyEngines(): ReadonlySet<string>;
  readonly clock: Clock;
}

type WaitingTarget = messages.PeerMessageOf<'demand'>['waiting'][number];

interface EnginePollState {
  /** When the last poll was sent. */
  polledAtMs: number;
  /** When the last response was received. */
  respondedAtMs: number;
  /** Whether a poll is in progress. */
  polling: boolean;
  /** Route as last published; null if it has not been published. */
  published: EngineRoute | null;
  /** Route according to the last response; null before the first one. */
  latest: EngineRoute | null;
}

/** Whether the route, apart from its load, has changed; such changes are published immediately. */
function routeChanged(published: EngineRoute | null, latest: EngineRoute): boolean {
  return (
    published === null ||
    published.leaving !== latest.leaving ||
    published.targets.length !== latest.targets.length ||
    !published.targets.every((target) => latest.targets.includes(target))
  );
}

function loadChanged(published: EngineRoute, latest: EngineRoute): boolean {
  return Math.abs(published.load - latest.load) >= latest.slots * MIN_LOAD_CHANGE;
}

function routeOf(backend: Backend, report: EngineReport): EngineRoute {
  return {
    engineId: backend.id,
    dataCentre: backend.dataCentre,
    address: backend.address,
    slots: backend.slots,
    targets: report.replicas
      .filter(({ state }) => state === ReplicaState.loaded)
      .map(({ target }) => target),
    load: report.load,
    leaving: backend.leaving || report.leaving,
  };
}

export class InventoryTask implements Task {
  readonly name = 'inventory';

  private readonly pollStates = new Map<string, EnginePollState>();

  private readonly poller = new AdaptivePoller({
    busyMs: TICK_MS,
    idleMs: IDLE_TICK_MS,
    isBusy: () => this.deps.busyEngines().size > 0,
    tick: () => this.tick(),
  });

  private unsubscribe: () => void = () => undefined;

  private fullRoutesAtMs = -Infinity;

  private loadsSentAtMs = -Infinity;

  private readonly resentAtMs = new Map<string, number>();

  constructor(private readonly deps: InventoryDeps) {}

  async start(): Promise<void> {
    this.poller.start();
    const offConnected = this.deps.connected.subscribe((address) => this.sendRoutes(address));
    const offInbox = this.deps.inbox.subscribe(({ from, message }) => {
      if (message.type === messages.PeerMessageType.demand) this.resend(from, message.waiting);
      if (message.type === messages.PeerMessageType.routes) {
        const { dataCentre, whole, engines } = message;
        this.deps.routes.send({ dataCentre, whole, engines });
      } else if (message.type === messages.PeerMessageType.loads) {
        this.deps.loads.send(message.loads);
      }
    });
    this.unsubscribe = () => {
      offConnected();
      offInbox();
    };
  }

  async stop(): Promise<void> {
    this.poller.stop();
    this.unsubscribe();
  }

  /** Whether this entry VM is the inventory poller of its data centre. */
  private isInventoryPoller(): boolean {
    const { peers, dataCentre } = this.deps;
    const own = peers.self();
    const steward = peers.stewardOf(dataCentre);
    if (steward !== null) return steward.vm === own.vm;
    return peers.localMembers().every(({ vm }) => own.vm < vm);
  }

  private tick(): void {
    const current = this.deps.currentCatalog();
    if (current === null || !this.isInventoryPoller()) return;
    const nowMs = this.deps.clock.nowMs();
    const busy = this.deps.busyEngines();
    const engines = [...current.backends.values()].filter(
      ({ kind, dataCentre }) => kind === 'model' && dataCentre === this.deps.dataCentre,
    );
    const ids = new Set(engines.map(({ id }) => id));
    [...this.pollStates.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.pollStates.delete(id));
    engines.forEach((backend) => {
      const state = this.pollStateOf(backend.id);
      const intervalMs = busy.has(backend.id) ? BUSY_POLL_INTERVAL_MS : IDLE_POLL_INTERVAL_MS;
      if (!state.polling && nowMs - state.polledAtMs >= intervalMs) void this.poll(backend, state);
    });
    this.publishRoutes(nowMs);
  }

  private pollStateOf(engineId: string): EnginePollState {
    const state = this.pollStates.get(engineId) ?? {
      polledAtMs: -Infinity,
      respondedAtMs: -Infinity,
      polling: false,
      published: null,
      latest: null,
    };
    this.pollStates.set(engineId, state);
    return state;
  }

  private async poll(backend: Backend, state: EnginePollState): Promise<void> {
    const askedAtMs = this.deps.clock.nowMs();
    Object.assign(state, { polling: true, polledAtMs: askedAtMs });
    const report = await this.deps.backends.report(backend.address);
    Object.assign(state, { polling: false });
    if (report.isErr) return;
    const latest = routeOf(backend, report.value);
    Object.assign(state, { respondedAtMs: this.deps.clock.nowMs(), latest });
    const inventory: Inventory = { askedAtMs, replicas: report.value.replicas };
    this.deps.snapshots.send({ backend, report: report.value, inventory });
    this.publishRoutes(this.deps.clock.nowMs());
  }

  private publishRoutes(nowMs: number): void {
    this.pollStates.forEach((state) => {
      const isUnresponsive = nowMs - state.respondedAtMs > UNRESPONSIVE_AFTER_MS;
      if (!isUnresponsive || state.latest === null || state.latest.targets.length === 0) return;
      Object.assign(state, { latest: { ...state.latest, targets: [] } });
    });
    const whole = nowMs - this.fullRoutesAtMs >= FULL_ROUTES_INTERVAL_MS;
    if (whole) this.fullRoutesAtMs = nowMs;
    this.publishLoads(nowMs);
    const changed = [...this.pollStates.values()].filter(
      ({ published, latest }) => latest !== null && (whole || routeChanged(published, latest)),
    );
    if (changed.length === 0) return;
    changed.forEach((state) => Object.assign(state, { published: state.latest }));
    const engines = changed.flatMap(({ latest }) => latest ?? []);
    const { dataCentre } = this.deps;
    this.deps.routes.send({ dataCentre, whole, engines });
    const type = messages.PeerMessageType.routes;
    this.deps.peers.sendAll({ type, dataCentre, whole, engines });
  }

  /** Sends the routes to a newly connected peer, which may have missed updates. */
  private sendRoutes(address: string): void {
    if (!this.isInventoryPoller() || this.pollStates.size === 0) return;
    this.deps.peers.sendTo(address, this.knownRoutes());
  }

  /** Resends the routes to a VM whose requests wait for a loaded target, as it may lack them. */
  private resend(vm: string, waiting: readonly WaitingTarget[]): void {
    const nowMs = this.deps.clock.nowMs();
    const lastAtMs = this.resentAtMs.get(vm) ?? -Infinity;
    if (!this.isInventoryPoller() || nowMs - lastAtMs < RESEND_INTERVAL_MS) return;
    const routes = this.knownRoutes();
    const isLoaded = ({ target, waitedMs }: WaitingTarget) =>
      waitedMs >= RESEND_AFTER_MS && routes.engines.some(({ targets }) => targets.includes(target));
    if (!waiting.some(isLoaded)) return;
    this.resentAtMs.set(vm, nowMs);
    this.deps.peers.send(vm, routes);
  }

  /** All known routes; not marked as `whole`, as a new poller may not have polled all engines. */
  private knownRoutes(): messages.PeerMessageOf<'routes'> {
    const engines = [...this.pollStates.values()].flatMap(({ latest }) => latest ?? []);
    const { dataCentre } = this.deps;
    return { type: messages.PeerMessageType.routes, dataCentre, whole: false, engines };
  }

  /** Publishes load changes, only in this data centre, whose entry VMs prefer its engines. */
  private publishLoads(nowMs: number): void {
    if (nowMs - this.loadsSentAtMs < LOADS_INTERVAL_MS) return;
    this.loadsSentAtMs = nowMs;
    const changed = [...this.pollStates.values()].filter(
      ({ published, latest }) =>
        published !== null && latest !== null && loadChanged(published, latest),
    );
    if (changed.length === 0) return;
    changed.forEach((state) => Object.assign(state, { published: state.latest }));
    const engines = changed.flatMap(({ latest }) => latest ?? []);
    const { dataCentre } = this.deps;
    this.deps.routes.send({ dataCentre, whole: false, engines });
    const loads = Object.fromEntries(engines.map(({ engineId, load }) => [engineId, load]));
    this.deps.peers.sendToLocalMembers({ type: messages.PeerMessageType.loads, loads });
  }
}
