/** What a steward does while it holds the lease: ledgers, orders, placement. */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Backend, Catalog } from '../../decisions/catalog/index.js';
import * as ledger from '../../decisions/ledger/index.js';
import * as placement from '../../decisions/placement/index.js';
import type { Backends } from '../backends/index.js';
import { type Reading, SILENT_AFTER_MS } from '../inventory/index.js';
import { type PlatformClient, PlatformOutcome } from '../platform/index.js';

/** Demand that was not repeated for this long is over. */
const DEMAND_TTL_MS = 1_000;
const PLAN_EVERY_MS = 100;
/** The same while nothing waits. */
const PLAN_EVERY_AT_REST_MS = 1_000;

export interface ReignDeps {
  readonly dataCentre: string;
  readonly epoch: number;
  readonly platform: PlatformClient;
  readonly backends: Backends;
  readonly usage: placement.UsageHistory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Whether the lease is held at this moment. */
  holdsLease(): boolean;
  /** A newer steward was met. */
  onSuperseded(epoch: number): void;
}

interface EngineState {
  readonly backend: Backend;
  readonly book: ledger.EngineLedger;
  reading: Reading | null;
}

interface HeardDemand {
  readonly demand: placement.WakeDemand;
  readonly heardAtMs: number;
}

function placementTargets(current: Catalog): ReadonlyMap<string, placement.PlacementTarget> {
  return new Map(
    [...current.targets.values()].map((target) => [
      target.name,
      {
        name: target.name,
        service: target.service,
        model: target.model,
        adapter: target.adapter,
        bytesMb: target.adapter === null ? target.modelMb : target.adapterMb,
        keepWarmMs: target.keepWarmMs,
      },
    ]),
  );
}

function checkpointsOf(reading: Reading | null): ReadonlyMap<string, placement.CheckpointTier> {
  const disk = reading?.report.checkpoints.disk ?? [];
  const memory = reading?.report.checkpoints.memory ?? [];
  return new Map([
    ...disk.map((name) => [name, placement.CheckpointTier.disk] as const),
    ...memory.map((name) => [name, placement.CheckpointTier.memory] as const),
  ]);
}

export class Reign {
  private readonly engines = new Map<string, EngineState>();

  private readonly demands = new Map<string, HeardDemand>();

  private readonly loadedAtMs = new Map<string, number>();

  private readonly policy: placement.PlacementPolicy;

  private targets: ReadonlyMap<string, placement.PlacementTarget> = new Map();

  private orders = 0;

  private plannedAtMs = -Infinity;

  constructor(private readonly deps: ReignDeps) {
    this.policy = new placement.DemandPlacement(deps.usage);
  }

  /** Takes a revision of the settings into account. */
  configure(current: Catalog): void {
    this.targets = placementTargets(current);
    const own = [...current.backends.values()].filter(
      ({ kind, dataCentre }) => kind === 'model' && dataCentre === this.deps.dataCentre,
    );
    own.forEach((backend) => this.adopt(backend));
    const ids = new Set(own.map(({ id }) => id));
    [...this.engines.keys()].filter((id) => !ids.has(id)).forEach((id) => this.engines.delete(id));
  }

  noteReading(reading: Reading): void {
    const state = this.engines.get(reading.backend.id);
    if (state === undefined) return;
    state.reading = reading;
    const { inventory } = reading;
    this.feed(state, { type: ledger.LedgerEventType.inventory, inventory });
  }

  /** Notes what waits on an entry VM. */
  noteDemand(vm: string, demands: readonly placement.WakeDemand[]): void {
    const heardAtMs = this.deps.clock.nowMs();
    demands.forEach((demand) => {
      this.deps.usage.note(heardAtMs, demand.target);
      this.demands.set(`${vm}/${demand.target}`, { demand, heardAtMs });
    });
  }

  tick(): void {
    this.engines.forEach((state) => this.feed(state, { type: ledger.LedgerEventType.tick }));
    this.plan();
  }

  /** Whether requests wait, or something is under way on an engine. */
  isBusy(): boolean {
    return this.demands.size > 0 || this.busyEngines().size > 0;
  }

  /** Engines on which something is under way. */
  busyEngines(): ReadonlySet<string> {
    const busy = [...this.engines.values()].filter(({ book }) => {
      const moving = book
        .replicas()
        .some(
          ({ entry, state }) =>
            entry.wanted === ledger.Wanted.absent || state !== ledger.ReplicaState.loaded,
        );
      return moving || !book.isReady();
    });
    return new Set(busy.map(({ backend }) => backend.id));
  }

  /** Engines with their decided replicas, for status. */
  view(): readonly placement.EngineView[] {
    return [...this.engines.values()].map((state) => this.viewOf(state));
  }

  private adopt(backend: Backend): void {
    const known = this.engines.get(backend.id);
    if (known !== undefined && known.backend.memoryMb === backend.memoryMb) {
      this.engines.set(backend.id, { ...known, backend });
      return;
    }
    const { id: engineId, memoryMb, fencing } = backend;
    const book = new ledger.EngineLedger({ engineId, memoryMb, fencing, epoch: this.deps.epoch });
    this.engines.set(backend.id, { backend, book, reading: null });
  }

  private plan(): void {
    const nowMs = this.deps.clock.nowMs();
    const demands = this.currentDemands(nowMs);
    const everyMs = demands.length > 0 ? PLAN_EVERY_MS : PLAN_EVERY_AT_REST_MS;
    if (nowMs - this.plannedAtMs < everyMs) return;
    this.plannedAtMs = nowMs;
    const view: placement.PlacementView = {
      nowMs,
      targets: this.targets,
      engines: this.view(),
      demands,
      lastUsedAtMs: (target) => this.deps.usage.lastUsedAtMs(target),
    };
    this.policy.plan(view).forEach((action) => this.act(action));
  }

  /** Adds the entry VMs' demands up by target. */
  private currentDemands(nowMs: number): readonly placement.WakeDemand[] {
    this.demands.forEach(({ heardAtMs }, key) => {
      if (nowMs - heardAtMs > DEMAND_TTL_MS) this.demands.delete(key);
    });
    return placement.joinDemands([...this.demands.values()].map(({ demand }) => demand));
  }

  private act(action: placement.PlacementAction): void {
    const state = this.engines.get(action.engineId);
    if (state === undefined) return;
    const { engineId, reason, type } = action;
    if (action.type === placement.PlacementActionType.unload) {
      const { orderId, target } = action;
      this.deps.logger.info('placement', { type, engineId, target, orderId, reason });
      this.feed(state, { type: ledger.LedgerEventType.unload, orderId });
      return;
    }
    this.orders += 1;
    const { name: target, model, adapter, bytesMb } = action.target;
    const orderId = `${this.deps.dataCentre}-${this.deps.epoch}-${this.orders}`;
    const request: ledger.LoadRequest = { target, model, adapter, bytesMb, orderId };
    this.deps.logger.info('placement', { type, engineId, target, orderId, reason });
    this.feed(state, { type: ledger.LedgerEventType.load, request });
  }

  private viewOf({ backend, book, reading }: EngineState): placement.EngineView {
    const replicas = book.replicas().map(({ entry, state }): placement.ReplicaView => {
      const { orderId, target, model, adapter, bytesMb } = entry;
      const wanted = entry.wanted === ledger.Wanted.present;
      const loadedAtMs = this.noteLoaded(orderId, state);
      return { orderId, target, model, adapter, bytesMb, state, wanted, loadedAtMs };
    });
    return {
      engineId: backend.id,
      service: backend.service,
      memoryMb: backend.memoryMb,
      freeMb: book.freeMb(),
      ready: book.isReady() && reading !== null,
      reachable: this.deps.clock.nowMs() - (reading?.inventory.askedAtMs ?? 0) < SILENT_AFTER_MS,
      leaving: backend.leaving || (reading?.report.leaving ?? false),
      replicas,
      checkpoints: checkpointsOf(reading),
      load: reading?.report.load ?? 0,
      slots: backend.slots,
    };
  }

  private noteLoaded(orderId: string, state: ledger.ReplicaState | null): number {
    if (state !== ledger.ReplicaState.loaded) return Infinity;
    const known = this.loadedAtMs.get(orderId) ?? this.deps.clock.nowMs();
    this.loadedAtMs.set(orderId, known);
    return known;
  }

  private feed(state: EngineState, event: ledger.LedgerEvent): void {
    state.book
      .handle(this.deps.clock.nowMs(), event)
      .forEach((effect) => this.carryOut(state, effect));
  }

  private carryOut(state: EngineState, effect: ledger.LedgerEffect): void {
    switch (effect.type) {
      case ledger.LedgerEffectType.read:
        void this.read(state);
        break;
      case ledger.LedgerEffectType.write:
        void this.write(state, effect.ledger, effect.version);
        break;
      case ledger.LedgerEffectType.order:
        void this.order(state, effect.order);
        break;
      case ledger.LedgerEffectType.superseded:
        this.deps.onSuperseded(effect.epoch);
        break;
      default:
    }
  }

  private keyOf({ backend }: EngineState): string {
    return `ledgers/${this.deps.dataCentre}/${backend.id}`;
  }

  private async read(state: EngineState): Promise<void> {
    const outcome = await this.deps.platform.read(this.keyOf(state));
    if (outcome.type !== PlatformOutcome.ok) {
      this.feed(state, { type: ledger.LedgerEventType.readFailed });
      return;
    }
    const type = ledger.LedgerEventType.read;
    const parsed = ledger.ledgerSchema.nullable().safeParse(outcome.value?.value ?? null);
    if (!parsed.success) return;
    this.feed(state, { type, ledger: parsed.data, version: outcome.value?.version ?? 0 });
  }

  private async write(state: EngineState, value: ledger.Ledger, version: number): Promise<void> {
    const { LedgerEventType } = ledger;
    if (!this.deps.holdsLease()) {
      this.feed(state, { type: LedgerEventType.writeUnknown });
      return;
    }
    const outcome = await this.deps.platform.write(this.keyOf(state), value, version);
    if (outcome.type === PlatformOutcome.ok) {
      this.feed(state, { type: LedgerEventType.written, version: outcome.version });
    } else if (outcome.type === PlatformOutcome.conflict) {
      this.feed(state, { type: LedgerEventType.conflict });
    } else this.feed(state, { type: LedgerEventType.writeUnknown });
  }

  private async order(state: EngineState, order: ledger.EngineOrder): Promise<void> {
    // The lease is looked at in the same step in which the order is sent.
    if (!this.deps.holdsLease()) return;
    const { action, orderId } = order;
    this.deps.metrics.count('engine_orders', { action });
    const outcome = await this.deps.backends.order(state.backend.address, order);
    const type = ledger.LedgerEventType.orderAnswered;
    this.feed(state, { type, action, orderId, outcome });
  }
}
