/** Simulates one engine, its stored ledger and successive stewards on a manual clock. */
import * as ledger from '../../../src/decisions/ledger/index.js';

export const MEMORY_MB = 100;

/** A replica on the engine. */
interface HeldReplica {
  readonly orderId: string;
  readonly target: string;
  readonly bytesMb: number;
  state: ledger.ReplicaState;
}

/** A call in flight from a steward to the engine or the platform. */
interface InFlightCall {
  readonly sentAtMs: number;
  readonly steward: Steward;
  readonly effect: ledger.LedgerEffect;
}

interface Steward {
  readonly epoch: number;
  readonly engineLedger: ledger.EngineLedger;
}

/** Outcome of a call in flight, chosen by the test. */
export const CallOutcome = {
  /** The call arrives and its response is delivered. */
  done: 'done',
  /** The call arrives, but its response is lost. */
  answerLost: 'answer-lost',
  /** The call never arrives. */
  lost: 'lost',
  /** The call arrives after its sender has timed out. */
  late: 'late',
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

export class EngineWorld {
  nowMs = 0;

  readonly held = new Map<string, HeldReplica>();

  /** Loads without a ledger entry. */
  undecidedLoads = 0;

  overcommits = 0;

  loads = 0;

  private stored: ledger.Ledger | null = null;

  private version = 0;

  private fence = 0;

  private inFlight: InFlightCall[] = [];

  private lateCalls: InFlightCall[] = [];

  private stewards: Steward[] = [];

  private orders = 0;

  constructor(private readonly fencing: boolean) {
    this.electSteward();
  }

  /** Starts a new steward; a previous one may resume after a pause at any time. */
  electSteward(): void {
    const epoch = this.stewards.length + 1;
    const engineLedger = new ledger.EngineLedger({
      engineId: 'e',
      memoryMb: MEMORY_MB,
      fencing: this.fencing,
      epoch,
    });
    this.stewards.push({ epoch, engineLedger });
  }

  tick(index: number): void {
    this.feed(this.stewardAt(index), { type: ledger.LedgerEventType.tick });
  }

  /** Advances the clock. Calls older than the quarantine are dropped and never arrive. */
  advance(ms: number): void {
    this.nowMs += ms;
    const canArrive = ({ sentAtMs }: InFlightCall) => this.nowMs - sentAtMs < ledger.QUARANTINE_MS;
    this.lateCalls = this.lateCalls.filter(canArrive);
    this.inFlight = this.inFlight.filter(canArrive);
    this.held.forEach((replica) => {
      if (replica.state === ledger.ReplicaState.loading) {
        Object.assign(replica, { state: ledger.ReplicaState.loaded });
      }
    });
  }

  /** Restarts the engine, which unloads all replicas. */
  crash(): void {
    this.held.clear();
  }

  inventory(index: number): void {
    const replicas = [...this.held.values()].map((replica) => ({ ...replica }));
    this.feed(this.stewardAt(index), {
      type: ledger.LedgerEventType.inventory,
      inventory: { askedAtMs: this.nowMs, replicas },
    });
  }

  load(index: number, bytesMb: number): void {
    this.orders += 1;
    const target = `m${this.orders}`;
    const orderId = `order-${this.orders}`;
    const request = { target, model: target, adapter: null, bytesMb, orderId };
    this.feed(this.stewardAt(index), { type: ledger.LedgerEventType.load, request });
  }

  unload(index: number, which: number): void {
    const steward = this.stewardAt(index);
    const replicas = steward.engineLedger.replicas();
    const entry = replicas[which % Math.max(1, replicas.length)]?.entry;
    if (entry === undefined) return;
    this.feed(steward, { type: ledger.LedgerEventType.unload, orderId: entry.orderId });
  }

  /** Completes a call in flight with the given outcome. */
  resolve(which: number, outcome: CallOutcome): void {
    const [call] = this.inFlight.splice(which % Math.max(1, this.inFlight.length), 1);
    if (call === undefined) return;
    if (call.effect.type === ledger.LedgerEffectType.read) this.resolveRead(call, outcome);
    else if (call.effect.type === ledger.LedgerEffectType.write) this.resolveWrite(call, outcome);
    else this.resolveOrder(call, outcome);
  }

  /** Delivers an order or a write whose sender has timed out. */
  deliverLate(which: number): void {
    const [call] = this.lateCalls.splice(which % Math.max(1, this.lateCalls.length), 1);
    if (call === undefined) return;
    const { effect } = call;
    if (effect.type === ledger.LedgerEffectType.order) this.execute(effect.order);
    else if (effect.type === ledger.LedgerEffectType.write)
      this.store(effect.ledger, effect.version);
  }

  private stewardAt(index: number): Steward {
    const steward = this.stewards[this.stewards.length - 1 - (index % this.stewards.length)];
    if (steward === undefined) throw new Error('no steward was elected');
    return steward;
  }

  private feed(steward: Steward, event: ledger.LedgerEvent): void {
    steward.engineLedger.handle(this.nowMs, event).forEach((effect) => {
      const isCurrent = steward === this.stewards.at(-1);
      // Only the lease holder may send an order; reads and writes do not need the lease.
      if (effect.type === ledger.LedgerEffectType.order && !isCurrent) return;
      if (effect.type === ledger.LedgerEffectType.superseded) return;
      this.inFlight.push({ sentAtMs: this.nowMs, steward, effect });
    });
  }

  private resolveRead({ steward }: InFlightCall, outcome: CallOutcome): void {
    const { LedgerEventType } = ledger;
    if (outcome !== CallOutcome.done) this.feed(steward, { type: LedgerEventType.readFailed });
    else {
      const { stored, version } = this;
      this.feed(steward, { type: LedgerEventType.read, ledger: stored, version });
    }
  }

  private resolveWrite(call: InFlightCall, outcome: CallOutcome): void {
    const { steward, effect } = call;
    if (effect.type !== ledger.LedgerEffectType.write) return;
    const { LedgerEventType } = ledger;
    if (outcome === CallOutcome.done) {
      const ok = this.store(effect.ledger, effect.version);
      this.feed(
        steward,
        ok
          ? { type: LedgerEventType.written, version: this.version }
          : { type: LedgerEventType.conflict },
      );
      return;
    }
    if (outcome === CallOutcome.answerLost) this.store(effect.ledger, effect.version);
    if (outcome === CallOutcome.late) this.lateCalls.push(call);
    this.feed(steward, { type: LedgerEventType.writeUnknown });
  }

  private resolveOrder(call: InFlightCall, outcome: CallOutcome): void {
    const { steward, effect } = call;
    if (effect.type !== ledger.LedgerEffectType.order) return;
    const { action, orderId } = effect.order;
    const executed =
      outcome === CallOutcome.done || outcome === CallOutcome.answerLost
        ? this.execute(effect.order)
        : null;
    if (outcome === CallOutcome.late) this.lateCalls.push(call);
    const orderOutcome =
      outcome === CallOutcome.done && executed !== null ? executed : ledger.OrderOutcome.unknown;
    const type = ledger.LedgerEventType.orderAnswered;
    this.feed(steward, { type, action, orderId, outcome: orderOutcome });
  }

  private store(value: ledger.Ledger, version: number): boolean {
    if (version !== this.version) return false;
    this.stored = value;
    this.version += 1;
    return true;
  }

  private execute(order: ledger.EngineOrder): ledger.OrderOutcome {
    if (this.fencing && order.fence < this.fence) return ledger.OrderOutcome.fenced;
    this.fence = Math.max(this.fence, order.fence);
    if (order.action === ledger.OrderAction.unload) this.held.delete(order.orderId);
    if (order.action === ledger.OrderAction.load && !this.held.has(order.orderId)) {
      this.startLoad(order);
    }
    return ledger.OrderOutcome.accepted;
  }

  private startLoad({ orderId, target, bytesMb }: ledger.EngineOrder): void {
    this.loads += 1;
    this.held.set(orderId, { orderId, target, bytesMb, state: ledger.ReplicaState.loading });
    const isDecided = this.stored?.entries.some((entry) => entry.orderId === orderId) ?? false;
    if (!isDecided) this.undecidedLoads += 1;
    const usedMb = [...this.held.values()].reduce((sum, replica) => sum + replica.bytesMb, 0);
    if (usedMb > MEMORY_MB) this.overcommits += 1;
  }
}
