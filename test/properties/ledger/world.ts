/** One engine, its ledger object and a row of stewards, on a clock that the test moves. */
import * as ledger from '../../../src/decisions/ledger/index.js';

export const MEMORY_MB = 100;

interface Held {
  readonly orderId: string;
  readonly target: string;
  readonly bytesMb: number;
  state: ledger.ReplicaState;
}

/** Something under way between a steward and the engine or the platform. */
interface Flight {
  readonly sentAtMs: number;
  readonly steward: Steward;
  readonly effect: ledger.LedgerEffect;
}

interface Steward {
  readonly epoch: number;
  readonly book: ledger.EngineLedger;
}

/** What the test decides about one flight. */
export const Fate = {
  /** It arrives and is answered. */
  done: 'done',
  /** It arrives, and its answer is lost. */
  answerLost: 'answer-lost',
  /** It never arrives. */
  lost: 'lost',
  /** Its sender gives it up; it arrives later. */
  late: 'late',
} as const;
export type Fate = (typeof Fate)[keyof typeof Fate];

export class EngineWorld {
  nowMs = 0;

  readonly held = new Map<string, Held>();

  /** Loads that no ledger entry allowed. */
  undecided = 0;

  overcommits = 0;

  loads = 0;

  private stored: ledger.Ledger | null = null;

  private version = 0;

  private fence = 0;

  private flights: Flight[] = [];

  private lateOrders: Flight[] = [];

  private stewards: Steward[] = [];

  private orders = 0;

  constructor(private readonly fencing: boolean) {
    this.crown();
  }

  /** A new steward takes over; the one before may be paused and wake at any time. */
  crown(): void {
    const epoch = this.stewards.length + 1;
    const book = new ledger.EngineLedger({
      engineId: 'e',
      memoryMb: MEMORY_MB,
      fencing: this.fencing,
      epoch,
    });
    this.stewards.push({ epoch, book });
  }

  tick(index: number): void {
    this.feed(this.stewardAt(index), { type: ledger.LedgerEventType.tick });
  }

  /** Time passes. An order that an engine without fencing still takes is not older than this. */
  pass(ms: number): void {
    this.nowMs += ms;
    const alive = ({ sentAtMs }: Flight) => this.nowMs - sentAtMs < ledger.QUARANTINE_MS;
    this.lateOrders = this.lateOrders.filter(alive);
    this.flights = this.flights.filter(alive);
    this.held.forEach((replica) => {
      if (replica.state === ledger.ReplicaState.loading) {
        Object.assign(replica, { state: ledger.ReplicaState.loaded });
      }
    });
  }

  /** The engine restarts and loses its memory. */
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
    const replicas = steward.book.replicas();
    const entry = replicas[which % Math.max(1, replicas.length)]?.entry;
    if (entry === undefined) return;
    this.feed(steward, { type: ledger.LedgerEventType.unload, orderId: entry.orderId });
  }

  /** Decides what becomes of something under way. */
  resolve(which: number, fate: Fate): void {
    const [flight] = this.flights.splice(which % Math.max(1, this.flights.length), 1);
    if (flight === undefined) return;
    if (flight.effect.type === ledger.LedgerEffectType.read) this.resolveRead(flight, fate);
    else if (flight.effect.type === ledger.LedgerEffectType.write) this.resolveWrite(flight, fate);
    else this.resolveOrder(flight, fate);
  }

  /** An order or a write that was given up arrives after all. */
  land(which: number): void {
    const [flight] = this.lateOrders.splice(which % Math.max(1, this.lateOrders.length), 1);
    if (flight === undefined) return;
    const { effect } = flight;
    if (effect.type === ledger.LedgerEffectType.order) this.take(effect.order);
    else if (effect.type === ledger.LedgerEffectType.write)
      this.store(effect.ledger, effect.version);
  }

  private stewardAt(index: number): Steward {
    const steward = this.stewards[this.stewards.length - 1 - (index % this.stewards.length)];
    if (steward === undefined) throw new Error('there is no steward');
    return steward;
  }

  private feed(steward: Steward, event: ledger.LedgerEvent): void {
    steward.book.handle(this.nowMs, event).forEach((effect) => {
      const isCurrent = steward === this.stewards.at(-1);
      // An order needs the lease at the moment it is sent; reads and writes do not.
      if (effect.type === ledger.LedgerEffectType.order && !isCurrent) return;
      if (effect.type === ledger.LedgerEffectType.superseded) return;
      this.flights.push({ sentAtMs: this.nowMs, steward, effect });
    });
  }

  private resolveRead({ steward }: Flight, fate: Fate): void {
    const { LedgerEventType } = ledger;
    if (fate !== Fate.done) this.feed(steward, { type: LedgerEventType.readFailed });
    else {
      const { stored, version } = this;
      this.feed(steward, { type: LedgerEventType.read, ledger: stored, version });
    }
  }

  private resolveWrite(flight: Flight, fate: Fate): void {
    const { steward, effect } = flight;
    if (effect.type !== ledger.LedgerEffectType.write) return;
    const { LedgerEventType } = ledger;
    if (fate === Fate.done) {
      const ok = this.store(effect.ledger, effect.version);
      this.feed(
        steward,
        ok
          ? { type: LedgerEventType.written, version: this.version }
          : { type: LedgerEventType.conflict },
      );
      return;
    }
    if (fate === Fate.answerLost) this.store(effect.ledger, effect.version);
    if (fate === Fate.late) this.lateOrders.push(flight);
    this.feed(steward, { type: LedgerEventType.writeUnknown });
  }

  private resolveOrder(flight: Flight, fate: Fate): void {
    const { steward, effect } = flight;
    if (effect.type !== ledger.LedgerEffectType.order) return;
    const { action, orderId } = effect.order;
    const taken = fate === Fate.done || fate === Fate.answerLost ? this.take(effect.order) : null;
    if (fate === Fate.late) this.lateOrders.push(flight);
    const outcome = fate === Fate.done && taken !== null ? taken : ledger.OrderOutcome.unknown;
    const type = ledger.LedgerEventType.orderAnswered;
    this.feed(steward, { type, action, orderId, outcome });
  }

  private store(value: ledger.Ledger, version: number): boolean {
    if (version !== this.version) return false;
    this.stored = value;
    this.version += 1;
    return true;
  }

  private take(order: ledger.EngineOrder): ledger.OrderOutcome {
    if (this.fencing && order.fence < this.fence) return ledger.OrderOutcome.fenced;
    this.fence = Math.max(this.fence, order.fence);
    if (order.action === ledger.OrderAction.unload) this.held.delete(order.orderId);
    if (order.action === ledger.OrderAction.load && !this.held.has(order.orderId)) {
      this.start(order);
    }
    return ledger.OrderOutcome.accepted;
  }

  private start({ orderId, target, bytesMb }: ledger.EngineOrder): void {
    this.loads += 1;
    this.held.set(orderId, { orderId, target, bytesMb, state: ledger.ReplicaState.loading });
    const decided = this.stored?.entries.some((entry) => entry.orderId === orderId) ?? false;
    if (!decided) this.undecided += 1;
    const used = [...this.held.values()].reduce((sum, replica) => sum + replica.bytesMb, 0);
    if (used > MEMORY_MB) this.overcommits += 1;
  }
}
