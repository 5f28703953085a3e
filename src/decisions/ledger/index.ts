/**
 * State machine that keeps the replicas of one engine consistent with its ledger.
 *
 * A decision is written to the ledger before its engine order is sent. The memory of a replica
 * stays reserved until the engine's inventory no longer contains the replica. An engine that
 * ignores fencing tokens gets one unconfirmed order at a time. On such an engine, the memory of an
 * unloaded replica stays reserved for longer than a late order can take to arrive.
 */
import {
  type EngineOrder,
  type Inventory,
  type InventoryReplica,
  type Ledger,
  type LedgerEffect,
  LedgerEffectType,
  type LedgerEntry,
  type LedgerEvent,
  LedgerEventType,
  type LedgerSettings,
  type LoadRequest,
  OrderAction,
  OrderOutcome,
  ReplicaState,
  Wanted,
} from './types.js';

export * from './types.js';

/** Time after which an order that the inventory has not confirmed is sent again, ms. */
export const ORDER_RETRY_MS = 1_000;
/** Time after which no copy of an order can still reach an engine that ignores fencing tokens. */
export const QUARANTINE_MS = 30_000;
/** Interval at which fencing orders and ledger reads are retried. */
const RESOLVE_INTERVAL_MS = 500;

const Phase = {
  fencing: 'fencing',
  reading: 'reading',
  ready: 'ready',
  writing: 'writing',
  superseded: 'superseded',
} as const;
type Phase = (typeof Phase)[keyof typeof Phase];

/**
 * A ledger entry and the state of its replica. The state is null if the inventory does not contain
 * the replica.
 */
export interface LedgerReplica {
  readonly entry: LedgerEntry;
  readonly state: ReplicaState | null;
}

/** How far a decision has been carried out; not stored in the ledger. */
interface Progress {
  /** When its latest order was sent; -Infinity before the first. */
  orderedAtMs: number;
  /** When the engine first responded to an unload order; 0 before that. */
  unloadAcceptedAtMs: number;
  /** Load orders without a response, which may still reach the engine. */
  unansweredLoads: number;
}

/** Record of an orphan: a replica in the inventory without a ledger entry. */
interface OrphanRecord {
  /** Number of ledger reads when the orphan was first seen. */
  readonly firstSeenAtRead: number;
  orderedAtMs: number;
}

export class EngineLedger {
  private phase: Phase;

  private version = 0;

  private ledger: Ledger;

  private pending: Ledger | null = null;

  private inventory: Inventory | null = null;

  private readonly progress = new Map<string, Progress>();

  private readonly orphanRecords = new Map<string, OrphanRecord>();

  private readCount = 0;

  private readInFlight = false;

  private nextResolveAtMs = 0;

  constructor(private readonly cfg: LedgerSettings) {
    this.phase = cfg.fencing ? Phase.fencing : Phase.reading;
    this.ledger = { engineId: cfg.engineId, epoch: 0, entries: [] };
  }

  /** Whether a new decision is possible now. */
  isReady(): boolean {
    if (this.phase !== Phase.ready || this.inventory === null) return false;
    return this.cfg.fencing || this.unconfirmed().length === 0;
  }

  /** Memory that is neither reserved by ledger entries nor used by orphans, MB. */
  freeMb(): number {
    const entriesMb = (this.pending ?? this.ledger).entries.reduce((sum, e) => sum + e.bytesMb, 0);
    const orphansMb = this.orphans().reduce((sum, replica) => sum + replica.bytesMb, 0);
    return this.cfg.memoryMb - entriesMb - orphansMb;
  }

  replicas(): readonly LedgerReplica[] {
    return this.ledger.entries.map((entry) => ({
      entry,
      state: this.findInInventory(entry.orderId)?.state ?? null,
    }));
  }

  handle(nowMs: number, event: LedgerEvent): readonly LedgerEffect[] {
    if (this.phase === Phase.superseded) return [];
    switch (event.type) {
      case LedgerEventType.tick:
        return this.tick(nowMs);
      case LedgerEventType.read:
        return this.onRead(nowMs, event.ledger, event.version);
      case LedgerEventType.readFailed:
        this.readInFlight = false;
        return [];
      case LedgerEventType.written:
        return this.onWritten(nowMs, event.version);
      case LedgerEventType.conflict:
      case LedgerEventType.writeUnknown:
        return this.resolve(nowMs);
      case LedgerEventType.inventory:
        this.inventory = event.inventory;
        return this.reconcile(nowMs);
      case LedgerEventType.orderAnswered:
        return this.onOrderAnswered(nowMs, event.action, event.orderId, event.outcome);
      case LedgerEventType.load:
        return this.decideLoad(event.request);
      case LedgerEventType.unload:
        return this.decideUnload(event.orderId);
      default:
        return [];
    }
  }

  private tick(nowMs: number): readonly LedgerEffect[] {
    if (this.phase === Phase.ready) return this.reconcile(nowMs);
    if (nowMs < this.nextResolveAtMs) return [];
    this.nextResolveAtMs = nowMs + RESOLVE_INTERVAL_MS;
    if (this.phase === Phase.fencing) return [this.order(this.fenceOrder())];
    return this.phase === Phase.reading ? this.read() : [];
  }

  private resolve(nowMs: number): readonly LedgerEffect[] {
    this.phase = Phase.reading;
    this.nextResolveAtMs = nowMs + RESOLVE_INTERVAL_MS;
    return this.read();
  }

  /**
   * Reads run one at a time and never during a write, so that no stale result replaces a newer one.
   */
  private read(): readonly LedgerEffect[] {
    if (this.readInFlight) return [];
    this.readInFlight = true;
    return [{ type: LedgerEffectType.read }];
  }

  /** Replaces the local ledger with the stored one, which contains every write that took effect. */
  private onRead(nowMs: number, ledger: Ledger | null, version: number): readonly LedgerEffect[] {
    this.readInFlight = false;
    if (this.phase !== Phase.reading) return [];
    if (ledger !== null && ledger.epoch > this.cfg.epoch) return this.supersede(ledger.epoch);
    this.ledger = ledger ?? { engineId: this.cfg.engineId, epoch: 0, entries: [] };
    this.version = version;
    this.readCount += 1;
    this.pending = null;
    this.phase = Phase.ready;
    return this.reconcile(nowMs);
  }

  private onWritten(nowMs: number, version: number): readonly LedgerEffect[] {
    if (this.phase !== Phase.writing || this.pending === null) return [];
    this.ledger = this.pending;
    this.pending = null;
    this.version = version;
    this.phase = Phase.ready;
    return this.reconcile(nowMs);
  }

  private onOrderAnswered(
    nowMs: number,
    action: OrderAction,
    orderId: string,
    outcome: OrderOutcome,
  ): readonly LedgerEffect[] {
    if (outcome === OrderOutcome.fenced) return this.supersede(this.cfg.epoch + 1);
    if (outcome === OrderOutcome.unknown) return [];
    if (this.phase === Phase.fencing) {
      return this.resolve(nowMs);
    }
    const entry = this.ledger.entries.find((e) => e.orderId === orderId);
    const progress = this.progress.get(orderId);
    if (entry === undefined || progress === undefined) return [];
    if (action === OrderAction.load) progress.unansweredLoads -= 1;
    if (action === OrderAction.unload) progress.unloadAcceptedAtMs ||= nowMs;
    return [];
  }

  private supersede(epoch: number): readonly LedgerEffect[] {
    this.phase = Phase.superseded;
    return [{ type: LedgerEffectType.superseded, epoch }];
  }

  private decideLoad(request: LoadRequest): readonly LedgerEffect[] {
    if (!this.isReady() || this.freeMb() < request.bytesMb) return [];
    const entry: LedgerEntry = { ...request, wanted: Wanted.present, epoch: this.cfg.epoch };
    return this.write([...this.ledger.entries, entry]);
  }

  /** Unloading a model unloads its adapters too, because an adapter needs its base model. */
  private decideUnload(orderId: string): readonly LedgerEffect[] {
    const target = this.ledger.entries.find((e) => e.orderId === orderId);
    if (!this.isReady() || target === undefined) return [];
    const matches = (e: LedgerEntry) =>
      e.orderId === orderId || (target.adapter === null && e.model === target.model);
    const next = this.ledger.entries.map((e) => (matches(e) ? { ...e, wanted: Wanted.absent } : e));
    return this.write(next);
  }

  private write(entries: LedgerEntry[]): readonly LedgerEffect[] {
    const ledger: Ledger = { engineId: this.cfg.engineId, epoch: this.cfg.epoch, entries };
    this.pending = ledger;
    this.phase = Phase.writing;
    return [{ type: LedgerEffectType.write, ledger, version: this.version }];
  }

  /** Takes the next step that brings the engine in line with the ledger. */
  private reconcile(nowMs: number): readonly LedgerEffect[] {
    if (this.phase !== Phase.ready || this.inventory === null) return [];
    const removed = this.ledger.entries.filter((entry) => this.isRemoved(nowMs, entry));
    if (removed.length > 0) {
      removed.forEach(({ orderId }) => this.progress.delete(orderId));
      return this.write(this.ledger.entries.filter((entry) => !removed.includes(entry)));
    }
    const failed = this.ledger.entries.find(
      ({ wanted, orderId }) =>
        wanted === Wanted.present && this.findInInventory(orderId)?.state === ReplicaState.failed,
    );
    if (failed !== undefined && this.isReady()) return this.decideUnload(failed.orderId);
    return [...this.repeatOrders(nowMs), ...this.unloadOrphans(nowMs)];
  }

  private repeatOrders(nowMs: number): readonly LedgerEffect[] {
    const due = this.unconfirmed().filter(
      ({ orderId }) => nowMs - this.progressOf(orderId).orderedAtMs >= ORDER_RETRY_MS,
    );
    const sendable = this.cfg.fencing ? due : due.slice(0, 1);
    return sendable.map((entry) => {
      const progress = this.progressOf(entry.orderId);
      progress.orderedAtMs = nowMs;
      if (entry.wanted === Wanted.present) progress.unansweredLoads += 1;
      return this.order(this.orderFor(entry));
    });
  }

  /** Entries whose load or unload the engine has not confirmed yet. */
  private unconfirmed(): readonly LedgerEntry[] {
    return this.ledger.entries.filter(({ wanted, orderId }) => {
      const replica = this.findInInventory(orderId);
      if (wanted === Wanted.present) return replica === undefined;
      return replica !== undefined || this.progressOf(orderId).unloadAcceptedAtMs === 0;
    });
  }

  /** Whether the replica is unloaded and no late load order can bring it back. */
  private isRemoved(nowMs: number, { orderId, wanted }: LedgerEntry): boolean {
    const { unloadAcceptedAtMs, unansweredLoads } = this.progressOf(orderId);
    if (wanted !== Wanted.absent || unloadAcceptedAtMs === 0) return false;
    const isUnloadConfirmed =
      (this.inventory?.askedAtMs ?? 0) > unloadAcceptedAtMs &&
      this.findInInventory(orderId) === undefined;
    const lateOrderPossible = !this.cfg.fencing || unansweredLoads > 0;
    const quarantineMs = lateOrderPossible ? QUARANTINE_MS : 0;
    return isUnloadConfirmed && nowMs - unloadAcceptedAtMs >= quarantineMs;
  }

  /**
   * Replicas in the inventory without a ledger entry. The ledger is read again before an orphan is
   * unloaded.
   */
  private orphans(): readonly InventoryReplica[] {
    const known = new Set(
      [...this.ledger.entries, ...(this.pending?.entries ?? [])].map((entry) => entry.orderId),
    );
    return (this.inventory?.replicas ?? []).filter(({ orderId }) => !known.has(orderId));
  }

  private unloadOrphans(nowMs: number): readonly LedgerEffect[] {
    const orphans = this.orphans();
    const unseen = orphans.filter(({ orderId }) => !this.orphanRecords.has(orderId));
    unseen.forEach(({ orderId }) =>
      this.orphanRecords.set(orderId, { firstSeenAtRead: this.readCount, orderedAtMs: -Infinity }),
    );
    if (unseen.length > 0) return this.resolve(nowMs);
    return orphans.flatMap((replica) => {
      const record = this.orphanRecords.get(replica.orderId);
      const confirmed = record !== undefined && this.readCount > record.firstSeenAtRead;
      if (!confirmed || nowMs - record.orderedAtMs < ORDER_RETRY_MS) return [];
      record.orderedAtMs = nowMs;
      return [this.order(this.orphanUnloadOrder(replica))];
    });
  }

  private findInInventory(orderId: string): InventoryReplica | undefined {
    return this.inventory?.replicas.find((replica) => replica.orderId === orderId);
  }

  private progressOf(orderId: string): Progress {
    const progress = this.progress.get(orderId) ?? {
      orderedAtMs: -Infinity,
      unloadAcceptedAtMs: 0,
      unansweredLoads: 0,
    };
    this.progress.set(orderId, progress);
    return progress;
  }

  private orderFor(entry: LedgerEntry): EngineOrder {
    const { target, model, adapter, bytesMb, orderId, wanted } = entry;
    const action = wanted === Wanted.present ? OrderAction.load : OrderAction.unload;
    return { action, orderId, fence: this.cfg.epoch, target, model, adapter, bytesMb };
  }

  private orphanUnloadOrder({ target, orderId, bytesMb }: InventoryReplica): EngineOrder {
    return {
      action: OrderAction.unload,
      orderId,
      fence: this.cfg.epoch,
      target,
      model: target,
      adapter: null,
      bytesMb,
    };
  }

  private fenceOrder(): EngineOrder {
    return {
      action: OrderAction.fence,
      orderId: `fence-${this.cfg.epoch}`,
      fence: this.cfg.epoch,
      target: '',
      model: '',
      adapter: null,
      bytesMb: 0,
    };
  }

  private order(order: EngineOrder): LedgerEffect {
    return { type: LedgerEffectType.order, order };
  }
}
