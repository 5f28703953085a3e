/** The work of a steward while it holds the lease: placement, ledgers and engine orders. */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Backend, Catalog } from '../../decisions/catalog/index.js';
import * as ledger from '../../decisions/ledger/index.js';
import * as placement from '../../decisions/placement/index.js';
import type { Backends } from '../backends/index.js';
import { type EngineSnapshot, UNRESPONSIVE_AFTER_MS } from '../inventory/index.js';
import { type PlatformClient, PlatformOutcome } from '../platform/index.js';

/** Demand expires unless it is reported again within this time. */
const DEMAND_TTL_MS = 1_000;
const PLAN_INTERVAL_MS = 100;
/** Planning interval while there is no demand. */
const IDLE_PLAN_INTERVAL_MS = 1_000;

export interface StewardTermDeps {
  readonly dataCentre: string;
  readonly epoch: number;
  readonly platform: PlatformClient;
  readonly backends: Backends;
  readonly usage: placement.UsageHistory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Whether the lease is held now. */
  holdsLease(): boolean;
  /** Called with the epoch of a newer steward when a ledger shows that there is one. */
  onSuperseded(epoch: number): void;
}

interface EngineState {
  readonly backend: Backend;
  readonly engineLedger: ledger.EngineLedger;
  snapshot: EngineSnapshot | null;
}

interface ReceivedDemand {
  readonly demand: placement.ReplicaDemand;
  readonly receivedAtMs: number;
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

function checkpointsOf(
  snapshot: EngineSnapshot | null,
): ReadonlyMap<string, placement.CheckpointTier> {
  const disk = snapshot?.report.checkpoints.disk ?? [];
  const memory = snapshot?.report.checkpoints.memory ?? [];
  return new Map([
    ...disk.map((name) => [name, placement.CheckpointTier.disk] as const),
    ...memory.map((name) => [name, placement.CheckpointTier.memory] as const),
  ]);
}

export class StewardTerm {
  private readonly engines = new Map<string, EngineState>();

  private readonly demands = new Map<string, ReceivedDemand>();

  private readonly loadedAtMs = new Map<string, number>();

  private readonly policy: placement.PlacementPolicy;

  private targets: ReadonlyMap<string, placement.PlacementTarget> = new Map();

  private orderCount = 0;

  private plannedAtMs = -Infinity;

  constructor(private readonly deps: StewardTermDeps) {
    this.policy = new placement.DemandPlacement(deps.usage);
  }

  /** Applies a revision of the settings. */
  configure(current: Catalog): void {
    this.targets = placementTargets(current);
    const own = [...current.backends.values()].filter(
      ({ kind, dataCentre }) => kind === 'model' && dataCentre === this.deps.dataCentre,
    );
    own.forEach((backend) => this.addEngine(backend));
    const ids = new Set(own.map(({ id }) => id));
    [...this.engines.keys()].filter((id) => !ids.has(id)).forEach((id) => this.engines.delete(id));
  }

  applySnapshot(snapshot: EngineSnapshot): void {
    const state = this.engines.get(snapshot.backend.id);
    if (state === undefined) return;
    state.snapshot = snapshot;
    const { inventory } = snapshot;
    this.handleEvent(state, { type: ledger.LedgerEventType.inventory, inventory });
  }

  /** Records the demand reported by an entry VM. */
  recordDemand(vm: string, demands: readonly placement.ReplicaDemand[]): void {
    const receivedAtMs = this.deps.clock.nowMs();
    demands.forEach((demand) => {
      this.deps.usage.note(receivedAtMs, demand.target);
      this.demands.set(`${vm}/${demand.target}`, { demand, receivedAtMs });
    });
  }

  tick(): void {
    this.engines.forEach((state) => this.handleEvent(state, { type: ledger.LedgerEventType.tick }));
    this.plan();
  }

  /** Whether there is demand, or an engine is busy. */
  isBusy(): boolean {
    return this.demands.size > 0 || this.busyEngines().size > 0;
  }

  /** Engines whose replicas are being loaded or unloaded, or whose ledger is not ready. */
  busyEngines(): ReadonlySet<string> {
    const busy = [...this.engines.values()].filter(({ engineLedger }) => {
      const inProgress = engineLedger
        .replicas()
        .some(
          ({ entry, state }) =>
            entry.wanted === ledger.Wanted.absent || state !== ledger.ReplicaState.loaded,
        );
      return inProgress || !engineLedger.isReady();
    });
    return new Set(busy.map(({ backend }) => backend.id));
  }

  /** Engines with their planned replicas. */
  view(): readonly placement.EngineView[] {
    return [...this.engines.values()].map((state) => this.viewOf(state));
  }

  private addEngine(backend: Backend): void {
    const existing = this.engines.get(backend.id);
    if (existing !== undefined && existing.backend.memoryMb === backend.memoryMb) {
      this.engines.set(backend.id, { ...existing, backend });
      return;
    }
    const { id: engineId, memoryMb, fencing } = backend;
    const engineLedger = new ledger.EngineLedger({
      engineId,
      memoryMb,
      fencing,
      epoch: this.deps.epoch,
    });
    this.engines.set(backend.id, { backend, engineLedger, snapshot: null });
  }

  private plan(): void {
    const nowMs = this.deps.clock.nowMs();
    const demands = this.currentDemands(nowMs);
    const intervalMs = demands.length > 0 ? PLAN_INTERVAL_MS : IDLE_PLAN_INTERVAL_MS;
    if (nowMs - this.plannedAtMs < intervalMs) return;
    this.plannedAtMs = nowMs;
    const view: placement.PlacementView = {
      nowMs,
      targets: this.targets,
      engines: this.view(),
      demands,
      lastUsedAtMs: (target) => this.deps.usage.lastUsedAtMs(target),
    };
    this.policy.plan(view).forEach((action) => this.applyAction(action));
  }

  /** Removes expired demand and sums up the rest by target. */
  private currentDemands(nowMs: number): readonly placement.ReplicaDemand[] {
    this.demands.forEach(({ receivedAtMs }, key) => {
      if (nowMs - receivedAtMs > DEMAND_TTL_MS) this.demands.delete(key);
    });
    return placement.joinDemands([...this.demands.values()].map(({ demand }) => demand));
  }

  private applyAction(action: placement.PlacementAction): void {
    const state = this.engines.get(action.engineId);
    if (state === undefined) return;
    const { engineId, reason, type } = action;
    if (action.type === placement.PlacementActionType.unload) {
      const { orderId, target } = action;
      this.deps.logger.info('placement', { type, engineId, target, orderId, reason });
      this.handleEvent(state, { type: ledger.LedgerEventType.unload, orderId });
      return;
    }
    this.orderCount += 1;
    const { name: target, model, adapter, bytesMb } = action.target;
    const orderId = `${this.deps.dataCentre}-${this.deps.epoch}-${this.orderCount}`;
    const request: ledger.LoadRequest = { target, model, adapter, bytesMb, orderId };
    this.deps.logger.info('placement', { type, engineId, target, orderId, reason });
    this.handleEvent(state, { type: ledger.LedgerEventType.load, request });
  }

  private viewOf({ backend, engineLedger, snapshot }: EngineState): placement.EngineView {
    const replicas = engineLedger.replicas().map(({ entry, state }): placement.ReplicaView => {
      const { orderId, target, model, adapter, bytesMb } = entry;
      const wanted = entry.wanted === ledger.Wanted.present;
      const loadedAtMs = this.recordLoaded(orderId, state);
      return { orderId, target, model, adapter, bytesMb, state, wanted, loadedAtMs };
    });
    return {
      engineId: backend.id,
      service: backend.service,
      memoryMb: backend.memoryMb,
      freeMb: engineLedger.freeMb(),
      ready: engineLedger.isReady() && snapshot !== null,
      reachable:
        this.deps.clock.nowMs() - (snapshot?.inventory.askedAtMs ?? 0) < UNRESPONSIVE_AFTER_MS,
      leaving: backend.leaving || (snapshot?.report.leaving ?? false),
      replicas,
      checkpoints: checkpointsOf(snapshot),
      load: snapshot?.report.load ?? 0,
      slots: backend.slots,
    };
  }

  /** When a replica was first seen loaded; Infinity while it is not loaded. */
  private recordLoaded(orderId: string, state: ledger.ReplicaState | null): number {
    if (state !== ledger.ReplicaState.loaded) return Infinity;
    const firstSeenMs = this.loadedAtMs.get(orderId) ?? this.deps.clock.nowMs();
    this.loadedAtMs.set(orderId, firstSeenMs);
    return firstSeenMs;
  }

  private handleEvent(state: EngineState, event: ledger.LedgerEvent): void {
    state.engineLedger
      .handle(this.deps.clock.nowMs(), event)
      .forEach((effect) => this.runEffect(state, effect));
  }

  private runEffect(state: EngineState, effect: ledger.LedgerEffect): void {
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
      this.handleEvent(state, { type: ledger.LedgerEventType.readFailed });
      return;
    }
    const type = ledger.LedgerEventType.read;
    const parsed = ledger.ledgerSchema.nullable().safeParse(outcome.value?.value ?? null);
    if (!parsed.success) return;
    this.handleEvent(state, { type, ledger: parsed.data, version: outcome.value?.version ?? 0 });
  }

  private async write(state: EngineState, value: ledger.Ledger, version: number): Promise<void> {
    const { LedgerEventType } = ledger;
    if (!this.deps.holdsLease()) {
      this.handleEvent(state, { type: LedgerEventType.writeUnknown });
      return;
    }
    const outcome = await this.deps.platform.write(this.keyOf(state), value, version);
    if (outcome.type === PlatformOutcome.ok) {
      this.handleEvent(state, { type: LedgerEventType.written, version: outcome.version });
    } else if (outcome.type === PlatformOutcome.conflict) {
      this.handleEvent(state, { type: LedgerEventType.conflict });
    } else this.handleEvent(state, { type: LedgerEventType.writeUnknown });
  }

  private async order(state: EngineState, order: ledger.EngineOrder): Promise<void> {
    // The lease is checked in the same synchronous step in which the order is sent.
    if (!this.deps.holdsLease()) return;
    const { action, orderId } = order;
    this.deps.metrics.count('engine_orders', { action });
    const outcome = await this.deps.backends.order(state.backend.address, order);
    const type = ledger.LedgerEventType.orderAnswered;
    this.handleEvent(state, { type, action, orderId, outcome });
  }
}
