/**
 * Decides and orders the replicas of one engine.
 *
 * A decision is written to the ledger before its order is given, and its memory stays charged until
 * the engine's inventory shows the replica gone. An engine that ignores fencing numbers gets one
 * unconfirmed order at a time, and unloaded memory stays charged longer than a late order can live.
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

/** An order that the inventory does not confirm is repeated after this time. */
export const REPEAT_ORDER_MS = 1_000;
/** Longest life of a late order towards an engine that ignores fencing numbers. */
export const QUARANTINE_MS = 30_000;
const RESOLVE_EVERY_MS = 500;

const Phase = {
  fencing: 'fencing',
  reading: 'reading',
  ready: 'ready',
  writing: 'writing',
  superseded: 'superseded',
} as const;
type Phase = (typeof Phase)[keyof typeof Phase];

/** A replica as the steward sees it: the decision, and what the inventory shows of it. */
export interface LedgerReplica {
  readonly entry: LedgerEntry;
  readonly state: ReplicaState | null;
}

/** What this steward knows of a decision beside the ledger. */
interface Progress {
  /** When the latest order for it was sent; 0 before the first. */
  orderedAtMs: number;
  /** When the engine first took the unload; 0 before. */
  unloadTakenAtMs: number;
  /** Load orders that got no answer and may arrive late. */
  unansweredLoads: number;
}

/** A replica that no decision knows. */
interface Stray {
  /** Reads of the ledger when it was first seen. */
  readonly seenAtRead: number;
  orderedAtMs: number;
}

export class EngineLedger {
  private phase: Phase;

  private version = 0;

  private ledger: Ledger;

  private pending: Ledger | null = null;

  private inventory: Inventory | null = null;

  private readonly progress = new Map<string, Progress>();

  private readonly strayRecords = new Map<string, Stray>();

  private reads = 0;

  private readUnderWay = false;

  private nextResolveAtMs = 0;

  constructor(private readonly cfg: LedgerSettings) {
    this.phase = cfg.fencing ? Phase.fencing : Phase.reading;
    this.ledger = { engineId: cfg.engineId, epoch: 0, entries: [] };
  }

  /** Whether a new decision may be made now. */
  isReady(): boolean {
    if (this.phase !== Phase.ready || this.inventory === null) return false;
    return this.cfg.fencing || this.unconfirmed().length === 0;
  }

  /** Memory that is neither decided nor held by a replica that no decision knows, MB. */
  freeMb(): number {
    const entries = (this.pending ?? this.ledger).entries.reduce((sum, e) => sum + e.bytesMb, 0);
    const strays = this.strays().reduce((sum, replica) => sum + replica.bytesMb, 0);
    return this.cfg.memoryMb - entries - strays;
  }

  replicas(): readonly LedgerReplica[] {
    return this.ledger.entries.map((entry) => ({
      entry,
      state: this.shown(entry.orderId)?.state ?? null,
    }));
  }

  handle(nowMs: number, event: LedgerEvent): readonly LedgerEffect[] {
    if (this.phase === Phase.superseded) return [];
    switch (event.type) {
      case LedgerEventType.tick:
        return this.tick(nowMs);
      case LedgerEventType.read:
        return this.noteRead(nowMs, event.ledger, event.version);
      case LedgerEventType.readFailed:
        this.readUnderWay = false;
        return [];
      case LedgerEventType.written:
        return this.noteWritten(nowMs, event.version);
      case LedgerEventType.conflict:
      case LedgerEventType.writeUnknown:
        return this.resolve(nowMs);
      case LedgerEventType.inventory:
        this.inventory = event.inventory;
        return this.reconcile(nowMs);
      case LedgerEventType.orderAnswered:
        return this.noteAnswer(nowMs, event.action, event.orderId, event.outcome);
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
    this.nextResolveAtMs = nowMs + RESOLVE_EVERY_MS;
    if (this.phase === Phase.fencing) return [this.order(this.fenceOrder())];
    return this.phase === Phase.reading ? this.read() : [];
  }

  private resolve(nowMs: number): readonly LedgerEffect[] {
    this.phase = Phase.reading;
    this.nextResolveAtMs = nowMs + RESOLVE_EVERY_MS;
    return this.read();
  }

  /** One read at a time, and none beside a write: an older answer must not be taken for newer. */
  private read(): readonly LedgerEffect[] {
    if (this.readUnderWay) return [];
    this.readUnderWay = true;
    return [{ type: LedgerEffectType.read }];
  }

  /** Adopts the ledger as read; a pending write that is not in it did not take effect. */
  private noteRead(nowMs: number, ledger: Ledger | null, version: number): readonly LedgerEffect[] {
    this.readUnderWay = false;
    if (this.phase !== Phase.reading) return [];
    if (ledger !== null && ledger.epoch > this.cfg.epoch) return this.supersede(ledger.epoch);
    this.ledger = ledger ?? { engineId: this.cfg.engineId, epoch: 0, entries: [] };
    this.version = version;
    this.reads += 1;
    this.pending = null;
    this.phase = Phase.ready;
    return this.reconcile(nowMs);
  }

  private noteWritten(nowMs: number, version: number): readonly LedgerEffect[] {
    if (this.phase !== Phase.writing || this.pending === null) return [];
    this.ledger = this.pending;
    this.pending = null;
    this.version = version;
    this.phase = Phase.ready;
    return this.reconcile(nowMs);
  }

  private noteAnswer(
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
    if (action === OrderAction.unload) progress.unloadTakenAtMs ||= nowMs;
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

  /** An adapter goes before its base: unloading a model takes its adapters along. */
  private decideUnload(orderId: string): readonly LedgerEffect[] {
    const target = this.ledger.entries.find((e) => e.orderId === orderId);
    if (!this.isReady() || target === undefined) return [];
    const goes = (e: LedgerEntry) =>
      e.orderId === orderId || (target.adapter === null && e.model === target.model);
    const marked = this.ledger.entries.map((e) => (goes(e) ? { ...e, wanted: Wanted.absent } : e));
    return this.write(marked);
  }

  private write(entries: LedgerEntry[]): readonly LedgerEffect[] {
    const ledger: Ledger = { engineId: this.cfg.engineId, epoch: this.cfg.epoch, entries };
    this.pending = ledger;
    this.phase = Phase.writing;
    return [{ type: LedgerEffectType.write, ledger, version: this.version }];
  }

  /** Brings the engine and the ledger together, a step at a time. */
  private reconcile(nowMs: number): readonly LedgerEffect[] {
    if (this.phase !== Phase.ready || this.inventory === null) return [];
    const gone = this.ledger.entries.filter((entry) => this.isGone(nowMs, entry));
    if (gone.length > 0) {
      gone.forEach(({ orderId }) => this.progress.delete(orderId));
      return this.write(this.ledger.entries.filter((entry) => !gone.includes(entry)));
    }
    const failed = this.ledger.entries.find(
      ({ wanted, orderId }) =>
        wanted === Wanted.present && this.shown(orderId)?.state === ReplicaState.failed,
    );
    if (failed !== undefined && this.isReady()) return this.decideUnload(failed.orderId);
    return [...this.repeatOrders(nowMs), ...this.unloadStrays(nowMs)];
  }

  private repeatOrders(nowMs: number): readonly LedgerEffect[] {
    const due = this.unconfirmed().filter(
      ({ orderId }) => nowMs - this.progressOf(orderId).orderedAtMs >= REPEAT_ORDER_MS,
    );
    const sendable = this.cfg.fencing ? due : due.slice(0, 1);
    return sendable.map((entry) => {
      const progress = this.progressOf(entry.orderId);
      progress.orderedAtMs = nowMs;
      if (entry.wanted === Wanted.present) progress.unansweredLoads += 1;
      return this.order(this.orderFor(entry));
    });
  }

  /** Decisions that the inventory does not show carried out. */
  private unconfirmed(): readonly LedgerEntry[] {
    return this.ledger.entries.filter(({ wanted, orderId }) => {
      const replica = this.shown(orderId);
      if (wanted === Wanted.present) return replica === undefined;
      return replica !== undefined || this.progressOf(orderId).unloadTakenAtMs === 0;
    });
  }

  private isGone(nowMs: number, { orderId, wanted }: LedgerEntry): boolean {
    const { unloadTakenAtMs, unansweredLoads } = this.progressOf(orderId);
    if (wanted !== Wanted.absent || unloadTakenAtMs === 0) return false;
    const shownGone =
      (this.inventory?.askedAtMs ?? 0) > unloadTakenAtMs && this.shown(orderId) === undefined;
    const lateOrderPossible = !this.cfg.fencing || unansweredLoads > 0;
    const quarantineMs = lateOrderPossible ? QUARANTINE_MS : 0;
    return shownGone && nowMs - unloadTakenAtMs >= quarantineMs;
  }

  /** Replicas that no decision knows. The ledger is read again before one is taken for a stray. */
  private strays(): readonly InventoryReplica[] {
    const known = new Set(
      [...this.ledger.entries, ...(this.pending?.entries ?? [])].map((entry) => entry.orderId),
    );
    return (this.inventory?.replicas ?? []).filter(({ orderId }) => !known.has(orderId));
  }

  private unloadStrays(nowMs: number): readonly LedgerEffect[] {
    const strays = this.strays();
    const unseen = strays.filter(({ orderId }) => !this.strayRecords.has(orderId));
    unseen.forEach(({ orderId }) =>
      this.strayRecords.set(orderId, { seenAtRead: this.reads, orderedAtMs: -Infinity }),
    );
    if (unseen.length > 0) return this.resolve(nowMs);
    return strays.flatMap((replica) => {
      const record = this.strayRecords.get(replica.orderId);
      const confirmed = record !== undefined && this.reads > record.seenAtRead;
      if (!confirmed || nowMs - record.orderedAtMs < REPEAT_ORDER_MS) return [];
      record.orderedAtMs = nowMs;
      return [this.order(this.strayOrder(replica))];
    });
  }

  private shown(orderId: string): InventoryReplica | undefined {
    return this.inventory?.replicas.find((replica) => replica.orderId === orderId);
  }

  private progressOf(orderId: string): Progress {
    const progress = this.progress.get(orderId) ?? {
      orderedAtMs: -Infinity,
      unloadTakenAtMs: 0,
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

  private strayOrder({ target, orderId, bytesMb }: InventoryReplica): EngineOrder {
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
