/**
 * The task that reads the engines of this data centre and tells the entry VMs what they hold.
 *
 * The steward does it; where there is none, the first living entry VM by name does, so that a
 * platform outage does not blind the request path.
 */
import type { Channel } from '../../core/channels/index.js';
import type { Clock } from '../../core/clock/index.js';
import * as messages from '../../core/messages/index.js';
import { Pacer } from '../../core/pacer/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Backend, Catalog } from '../../decisions/catalog/index.js';
import { type Inventory, ReplicaState } from '../../decisions/ledger/index.js';
import type { EngineRoute } from '../../decisions/routing/index.js';
import type { Backends, EngineReport } from '../backends/index.js';
import type { Inbound, Peers } from '../peers/index.js';

const TICK_MS = 50;
const REST_TICK_MS = 200;
/** Time between readings of an engine at rest. */
export const REST_EVERY_MS = 1_000;
/** Time between readings of an engine on which an order is under way. */
const BUSY_EVERY_MS = 100;
/** All routes are told this often, whether they changed or not. */
export const WHOLE_EVERY_MS = 30_000;
/** Changes of load alone are told together, this often. */
const LOADS_EVERY_MS = 1_000;
/** A change of load smaller than this part of the slots is not worth telling. */
const LOAD_STEP = 1 / 8;
/** Requests that wait this long for a target that is loaded make the reader repeat the routes. */
const REMIND_AFTER_MS = 500;
const REMIND_EVERY_MS = 5_000;
/** An engine that does not answer for this long is taken off the routes. */
export const SILENT_AFTER_MS = 3_500;

/** One reading of an engine. */
export interface Reading {
  readonly backend: Backend;
  readonly report: EngineReport;
  readonly inventory: Inventory;
}

/** Routes of one data centre. */
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
  readonly readings: Channel<Reading>;
  readonly linked: Channel<string>;
  readonly routes: Channel<RoutesUpdate>;
  readonly loads: Channel<LoadsUpdate>;
  currentCatalog(): Catalog | null;
  /** Engines on which this entry VM's orders are under way. */
  busyEngines(): ReadonlySet<string>;
  readonly clock: Clock;
}

type WaitingTarget = messages.PeerMessageOf<'demand'>['waiting'][number];

interface EngineWatch {
  readAtMs: number;
  answeredAtMs: number;
  reading: boolean;
  told: EngineRoute | null;
  latest: EngineRoute | null;
}

/** Whether other targets can be served there now; told at once. */
function holdsOthers(told: EngineRoute | null, latest: EngineRoute): boolean {
  return (
    told === null ||
    told.leaving !== latest.leaving ||
    told.targets.length !== latest.targets.length ||
    !told.targets.every((target) => latest.targets.includes(target))
  );
}

function loadMoved(told: EngineRoute, latest: EngineRoute): boolean {
  return Math.abs(told.load - latest.load) >= latest.slots * LOAD_STEP;
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

  private readonly watches = new Map<string, EngineWatch>();

  private readonly pacer = new Pacer({
    busyMs: TICK_MS,
    restMs: REST_TICK_MS,
    isBusy: () => this.deps.busyEngines().size > 0,
    tick: () => this.tick(),
  });

  private unsubscribe: () => void = () => undefined;

  private wholeAtMs = -Infinity;

  private loadsAtMs = -Infinity;

  private readonly remindedAtMs = new Map<string, number>();

  constructor(private readonly deps: InventoryDeps) {}

  async start(): Promise<void> {
    this.pacer.start();
    const offLinked = this.deps.linked.subscribe((address) => this.greet(address));
    const offInbox = this.deps.inbox.subscribe(({ from, message }) => {
      if (message.type === messages.PeerMessageType.demand) this.remind(from, message.waiting);
      if (message.type === messages.PeerMessageType.routes) {
        const { dataCentre, whole, engines } = message;
        this.deps.routes.send({ dataCentre, whole, engines });
      } else if (message.type === messages.PeerMessageType.loads) {
        this.deps.loads.send(message.loads);
      }
    });
    this.unsubscribe = () => {
      offLinked();
      offInbox();
    };
  }

  async stop(): Promise<void> {
    this.pacer.stop();
    this.unsubscribe();
  }

  private isReader(): boolean {
    const { peers, dataCentre } = this.deps;
    const own = peers.self();
    const steward = peers.stewardOf(dataCentre);
    if (steward !== null) return steward.vm === own.vm;
    return peers.nearMembers().every(({ vm }) => own.vm < vm);
  }

  private tick(): void {
    const current = this.deps.currentCatalog();
    if (current === null || !this.isReader()) return;
    const nowMs = this.deps.clock.nowMs();
    const busy = this.deps.busyEngines();
    const engines = [...current.backends.values()].filter(
      ({ kind, dataCentre }) => kind === 'model' && dataCentre === this.deps.dataCentre,
    );
    const ids = new Set(engines.map(({ id }) => id));
    [...this.watches.keys()].filter((id) => !ids.has(id)).forEach((id) => this.watches.delete(id));
    engines.forEach((backend) => {
      const watch = this.watchOf(backend.id);
      const everyMs = busy.has(backend.id) ? BUSY_EVERY_MS : REST_EVERY_MS;
      if (!watch.reading && nowMs - watch.readAtMs >= everyMs) void this.read(backend, watch);
    });
    this.tell(nowMs);
  }

  private watchOf(engineId: string): EngineWatch {
    const watch = this.watches.get(engineId) ?? {
      readAtMs: -Infinity,
      answeredAtMs: -Infinity,
      reading: false,
      told: null,
      latest: null,
    };
    this.watches.set(engineId, watch);
    return watch;
  }

  private async read(backend: Backend, watch: EngineWatch): Promise<void> {
    const askedAtMs = this.deps.clock.nowMs();
    Object.assign(watch, { reading: true, readAtMs: askedAtMs });
    const report = await this.deps.backends.report(backend.address);
    Object.assign(watch, { reading: false });
    if (report.isErr) return;
    const latest = routeOf(backend, report.value);
    Object.assign(watch, { answeredAtMs: this.deps.clock.nowMs(), latest });
    const inventory: Inventory = { askedAtMs, replicas: report.value.replicas };
    this.deps.readings.send({ backend, report: report.value, inventory });
    this.tell(this.deps.clock.nowMs());
  }

  private tell(nowMs: number): void {
    this.watches.forEach((watch) => {
      const silent = nowMs - watch.answeredAtMs > SILENT_AFTER_MS;
      if (!silent || watch.latest === null || watch.latest.targets.length === 0) return;
      Object.assign(watch, { latest: { ...watch.latest, targets: [] } });
    });
    const whole = nowMs - this.wholeAtMs >= WHOLE_EVERY_MS;
    if (whole) this.wholeAtMs = nowMs;
    this.tellLoads(nowMs);
    const changed = [...this.watches.values()].filter(
      ({ told, latest }) => latest !== null && (whole || holdsOthers(told, latest)),
    );
    if (changed.length === 0) return;
    changed.forEach((watch) => Object.assign(watch, { told: watch.latest }));
    const engines = changed.flatMap(({ latest }) => latest ?? []);
    const { dataCentre } = this.deps;
    this.deps.routes.send({ dataCentre, whole, engines });
    const type = messages.PeerMessageType.routes;
    this.deps.peers.sendAll({ type, dataCentre, whole, engines });
  }

  /** A peer that was just connected may know nothing, or have missed something. */
  private greet(address: string): void {
    if (!this.isReader() || this.watches.size === 0) return;
    this.deps.peers.sendTo(address, this.knownRoutes());
  }

  /** Requests that wait for long although replicas are there: the entry VM may have missed them. */
  private remind(vm: string, waiting: readonly WaitingTarget[]): void {
    const nowMs = this.deps.clock.nowMs();
    const lastAtMs = this.remindedAtMs.get(vm) ?? -Infinity;
    if (!this.isReader() || nowMs - lastAtMs < REMIND_EVERY_MS) return;
    const routes = this.knownRoutes();
    const isThere = ({ target, waitedMs }: WaitingTarget) =>
      waitedMs >= REMIND_AFTER_MS && routes.engines.some(({ targets }) => targets.includes(target));
    if (!waiting.some(isThere)) return;
    this.remindedAtMs.set(vm, nowMs);
    this.deps.peers.send(vm, routes);
  }

  /** What was read so far; not whole, since a new reader may not have read every engine yet. */
  private knownRoutes(): messages.PeerMessageOf<'routes'> {
    const engines = [...this.watches.values()].flatMap(({ latest }) => latest ?? []);
    const { dataCentre } = this.deps;
    return { type: messages.PeerMessageType.routes, dataCentre, whole: false, engines };
  }

  /** Loads alone go to this data centre, whose entry VMs choose among its engines first. */
  private tellLoads(nowMs: number): void {
    if (nowMs - this.loadsAtMs < LOADS_EVERY_MS) return;
    this.loadsAtMs = nowMs;
    const moved = [...this.watches.values()].filter(
      ({ told, latest }) => told !== null && latest !== null && loadMoved(told, latest),
    );
    if (moved.length === 0) return;
    moved.forEach((watch) => Object.assign(watch, { told: watch.latest }));
    const engines = moved.flatMap(({ latest }) => latest ?? []);
    const { dataCentre } = this.deps;
    this.deps.routes.send({ dataCentre, whole: false, engines });
    const loads = Object.fromEntries(engines.map(({ engineId, load }) => [engineId, load]));
    this.deps.peers.sendNear({ type: messages.PeerMessageType.loads, loads });
  }
}
