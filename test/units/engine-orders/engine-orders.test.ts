/** Engine orders with late, lost and duplicate responses, restarts and concurrent stewards. */
import { describe, expect, test } from 'vitest';
import {
  EngineOrders,
  type Order,
  OrderOutcome,
  type OrderStep,
  OrderStepType,
  type ReportedState,
} from '../../../src/decisions/engine-orders/index.js';

const MODEL_MB = 70;
const ADAPTER_MB = 1;
const LOAD_MS = 600;

function createOrders(running: (model: string) => number = () => 0) {
  return new EngineOrders({
    memoryMb: 215,
    adapterSlots: 2,
    modelMb: () => MODEL_MB,
    adapterMb: () => ADAPTER_MB,
    expectedMs: ({ type, adapter }) =>
      type === OrderStepType.load && adapter === null ? LOAD_MS : 8,
    running,
  });
}

function reported(
  count: number,
  models: Readonly<Record<string, readonly string[]>>,
  busy = false,
) {
  const loaded = Object.entries(models).map(([name, adapters]) => ({ name, version: 1, adapters }));
  return { bornMs: 1, acceptedOrders: count, busy, models: loaded } satisfies ReportedState;
}

const load = (model: string, adapter: string | null = null): OrderStep => ({
  type: OrderStepType.load,
  model,
  adapter,
});
const unload = (model: string, adapter: string | null = null): OrderStep => ({
  type: OrderStepType.unload,
  model,
  adapter,
});

function nextOrder(orders: EngineOrders, nowMs: number): Order {
  const order = orders.next(nowMs);
  if (order === null) throw new Error(`no order at ${nowMs}`);
  return order;
}

describe('an engine that carries out an order of another steward', () => {
  // After a takeover during a load, the engine was taken for empty until the end of that load.
  test('has what it reports, and gets no order until its end', () => {
    const orders = createOrders();
    orders.observe(reported(4, { a: ['x'], b: [] }, true));
    expect([...orders.loadedModels.keys()]).toEqual(['a', 'b']);
    expect(orders.needsReport).toBe(true);
    orders.observe(reported(4, { a: [], b: [], c: [] }));
    expect([...orders.loadedModels.keys()]).toEqual(['a', 'b', 'c']);
    expect(orders.needsReport).toBe(false);
  });

  test('is not taken for what it held before its restart', () => {
    const orders = createOrders();
    orders.observe(reported(4, { a: [] }));
    orders.observe({ ...reported(0, {}, true), bornMs: 2 });
    expect(orders.loadedModels.size).toBe(0);
  });
});

describe('EngineOrders', () => {
  test('waits for a report and names the accepted order count', () => {
    const orders = createOrders();
    expect(orders.needsReport).toBe(true);
    orders.add([load('b')]);
    expect(orders.next(0)).toBeNull();
    // Steps that were planned before the first report are dropped.
    orders.observe(reported(7, {}));
    expect(orders.next(1)).toBeNull();
    orders.add([load('a')]);
    expect(nextOrder(orders, 1)).toMatchObject({ model: 'a', expected: 7 });
  });

  test('sends one order at a time', () => {
    const orders = createOrders();
    orders.observe(reported(0, { a: [] }));
    orders.add([unload('a'), load('b')]);
    nextOrder(orders, 0);
    expect(orders.next(1)).toBeNull();
    orders.answered(2, OrderOutcome.accepted);
    // The engine unloads the model first, which takes 8 ms.
    expect(orders.next(9)).toBeNull();
    expect(nextOrder(orders, 10)).toMatchObject({ type: OrderStepType.load, expected: 1 });
  });

  test('resends an order without a response unchanged and keeps its memory reserved', () => {
    const orders = createOrders();
    orders.observe(reported(0, {}));
    orders.add([load('a')]);
    const first = nextOrder(orders, 0);
    orders.answered(250, OrderOutcome.unknown);
    expect(orders.reservedMb).toBe(MODEL_MB);
    expect(orders.next(251)).toBeNull();
    expect(nextOrder(orders, 400)).toEqual(first);
  });

  test('does not resend an unresolved order that a report shows as executed', () => {
    const orders = createOrders();
    orders.observe(reported(0, {}));
    orders.add([load('a')]);
    nextOrder(orders, 0);
    orders.answered(250, OrderOutcome.unknown);
    orders.observe(reported(1, { a: [] }));
    expect(orders.busy).toBe(false);
    expect([...orders.loadedModels.keys()]).toEqual(['a']);
  });

  test('resends an unresolved order with the new count if another one was executed', () => {
    const orders = createOrders();
    orders.observe(reported(0, {}));
    orders.add([load('a')]);
    nextOrder(orders, 0);
    orders.answered(250, OrderOutcome.unknown);
    orders.observe(reported(1, { b: [] }));
    expect(nextOrder(orders, 400)).toMatchObject({ model: 'a', expected: 1 });
  });

  test('counts an unload that completes at once, but not a load of something loaded', () => {
    const orders = createOrders();
    orders.observe(reported(3, { a: ['x'] }));
    orders.add([unload('a', 'x'), load('a', 'y')]);
    nextOrder(orders, 0);
    orders.answered(1, OrderOutcome.done);
    expect(nextOrder(orders, 2).expected).toBe(4);
    orders.answered(3, OrderOutcome.done);
    orders.add([load('a', 'z')]);
    expect(nextOrder(orders, 4).expected).toBe(4);
  });

  test('presumes a model loaded after its load time, but not for long without a report', () => {
    const orders = createOrders();
    orders.observe(reported(0, {}));
    orders.add([load('b')]);
    nextOrder(orders, 0);
    orders.answered(0, OrderOutcome.accepted);
    const presumedAt = (nowMs: number) => orders.presumedLoaded(nowMs);
    expect(presumedAt(LOAD_MS)).toEqual([]);
    expect(presumedAt(LOAD_MS + 100)).toEqual(['b']);
    // Concurrent loads from the weight store can take more than twice the expected time.
    expect(presumedAt(LOAD_MS + 1_000)).toEqual([]);
    expect(orders.loading).toEqual(['b']);
  });

  test('ends a load when a report shows the model, and ignores older reports', () => {
    const orders = createOrders();
    orders.observe(reported(0, { a: [] }));
    orders.add([load('b')]);
    nextOrder(orders, 0);
    orders.answered(5, OrderOutcome.accepted);
    orders.observe(reported(0, { a: [] }));
    expect(orders.loading).toEqual(['b']);
    orders.observe(reported(1, { a: [] }, true));
    expect(orders.loading).toEqual(['b']);
    orders.observe(reported(1, { a: [], b: [] }));
    expect(orders.loading).toEqual([]);
    expect([...orders.loadedModels.keys()]).toEqual(['a', 'b']);
  });

  test('ignores a lower order count after a load was accepted, even after many conflicts', () => {
    const orders = createOrders();
    orders.observe(reported(4, {}));
    orders.add([load('a')]);
    Array.from({ length: 10 }, (_, at) => 1_000 * at).forEach((nowMs) => {
      nextOrder(orders, nowMs);
      orders.answered(nowMs + 1, OrderOutcome.conflict);
    });
    nextOrder(orders, 11_000);
    orders.answered(11_001, OrderOutcome.accepted);
    orders.observe(reported(4, {}));
    expect(orders.loading).toEqual(['a']);
  });

  test('never orders a load that does not fit beside what is loaded', () => {
    const orders = createOrders();
    orders.observe(reported(0, { a: ['x', 'y'], b: [], c: [] }));
    // The second unload of the same adapter frees no slot.
    orders.add([unload('a', 'x'), load('a', 'v')]);
    orders.add([unload('a', 'x'), load('a', 'w')]);
    const sent: Order[] = [];
    Array.from({ length: 10 }, (_, at) => at * 100).forEach((nowMs) => {
      const order = orders.next(nowMs);
      if (order === null) return;
      sent.push(order);
      orders.answered(nowMs + 1, OrderOutcome.done);
    });
    expect(sent.filter(({ type }) => type === OrderStepType.load)).toHaveLength(1);
    expect(orders.needsReport).toBe(true);
    orders.observe(reported(9, { a: [], b: [], c: [] }));
    orders.add([load('d')]);
    expect(orders.next(2_000)).toBeNull();
  });

  test('waits for the final state while the engine executes an order of another steward', () => {
    const orders = createOrders();
    orders.observe(reported(8, { a: [] }, true));
    orders.add([load('b')]);
    expect(orders.next(0)).toBeNull();
    orders.observe(reported(8, { a: [], c: [] }));
    expect(nextOrder(orders, 1).expected).toBe(8);
  });

  // Guards against a new steward that applies the engine's order count after a conflict (409) but
  // keeps its outdated list of loaded models.
  test('drops its steps and replaces its state after an order of another steward', () => {
    const orders = createOrders();
    orders.observe(reported(100, { a: ['x', 'y'] }));
    orders.add([unload('a', 'x'), load('a', 'z')]);
    nextOrder(orders, 0);
    orders.answered(1, OrderOutcome.conflict);
    orders.observe(reported(102, { a: ['y', 'w'] }));
    expect(orders.busy).toBe(false);
    expect([...(orders.loadedModels.get('a') ?? [])]).toEqual(['y', 'w']);
  });

  test('attributes a new order count to its own order while the response is pending', () => {
    const orders = createOrders();
    orders.observe(reported(0, {}));
    orders.add([load('a')]);
    nextOrder(orders, 0);
    orders.observe(reported(1, {}, true));
    orders.answered(5, OrderOutcome.accepted);
    expect(orders.loading).toEqual(['a']);
  });

  test('resets when the engine restarts, and ignores reports from before the restart', () => {
    const orders = createOrders();
    orders.observe(reported(8, { a: [] }));
    orders.add([load('b')]);
    nextOrder(orders, 0);
    orders.observe({ ...reported(0, {}), bornMs: 2 });
    expect(orders.busy).toBe(false);
    expect(orders.loadedModels.size).toBe(0);
    orders.observe(reported(9, { a: [], b: [] }));
    expect(orders.loadedModels.size).toBe(0);
  });

  test('lists an adapter as ready after its load time', () => {
    const orders = createOrders();
    orders.observe(reported(0, { a: [] }));
    orders.add([load('a', 'x')]);
    nextOrder(orders, 0);
    orders.answered(1, OrderOutcome.accepted);
    expect(orders.readyAdapters(2, 'a')).toEqual([]);
    expect(orders.readyAdapters(10, 'a')).toEqual(['x']);
  });
});

/** An engine that unloads a model once its running requests have ended, and is busy until then. */
class UnloadingEngine {
  rejectedOrders = 0;

  loadedAtMs: number | null = null;

  private count = 1;

  private unloadAtMs = Infinity;

  constructor(private readonly runsEndAtMs: number) {}

  isBusy(nowMs: number): boolean {
    return nowMs >= this.unloadAtMs && nowMs < Math.max(this.unloadAtMs + 6, this.runsEndAtMs);
  }

  take(nowMs: number, order: Order): OrderOutcome {
    if (this.isBusy(nowMs) || order.expected !== this.count) {
      this.rejectedOrders += 1;
      return OrderOutcome.conflict;
    }
    this.count += 1;
    if (order.type === OrderStepType.unload) this.unloadAtMs = nowMs;
    else this.loadedAtMs = nowMs;
    return OrderOutcome.accepted;
  }

  /** Its reported state, which lags by 100 ms. */
  reportedState(nowMs: number): ReportedState {
    const wasAccepted = nowMs - 100 >= this.unloadAtMs;
    const models = { ...(wasAccepted ? {} : { a: [] }), b: [], c: [] };
    return reported(wasAccepted ? 2 : 1, models, this.isBusy(nowMs - 100));
  }
}

describe('an order after an unload', () => {
  /** Swaps a model whose requests end at `runsEndAtMs`; reports show their end `lagMs` later. */
  function swap(runsEndAtMs: number, lagMs: number): UnloadingEngine {
    let nowMs = 0;
    const engine = new UnloadingEngine(runsEndAtMs);
    const orders = createOrders(() => (nowMs < runsEndAtMs + lagMs ? 1 : 0));
    orders.observe(reported(1, { a: [], b: [], c: [] }));
    orders.add([unload('a'), load('d')]);
    for (; nowMs < 6_000 && engine.loadedAtMs === null; nowMs += 10) {
      const order = orders.next(nowMs);
      if (order !== null) orders.answered(nowMs, engine.take(nowMs, order));
      if (orders.needsReport && nowMs % 60 === 0) orders.observe(engine.reportedState(nowMs));
    }
    return engine;
  }

  test.each([0, 300, 2_300])('is not sent before requests of %i ms have ended', (runsEndAtMs) => {
    const engine = swap(runsEndAtMs, 60);
    expect(engine.rejectedOrders).toBe(0);
    expect(engine.loadedAtMs).not.toBeNull();
    expect((engine.loadedAtMs ?? Infinity) - runsEndAtMs).toBeLessThan(200);
  });

  test('is sent once a report shows the unload, although requests of a lost VM count as running', () => {
    const engine = swap(500, Infinity);
    expect(engine.rejectedOrders).toBe(0);
    expect((engine.loadedAtMs ?? Infinity) - 500).toBeLessThan(300);
  });
});

describe('a load whose response is lost', () => {
  // Its end was foretold seconds too early, and it was taken for loaded 0.1 s after it had begun.
  test('counts from when it was sent, not from the unload before it', () => {
    let running = 3;
    const orders = createOrders(() => running);
    orders.observe(reported(0, { a: [] }));
    orders.add([unload('a'), load('b')]);
    nextOrder(orders, 0);
    orders.answered(0, OrderOutcome.accepted);
    expect(orders.next(20)).toBe(null);
    orders.observe(reported(1, { a: [] }, true));
    running = 0;
    orders.observe(reported(1, {}));
    nextOrder(orders, 5_000);
    orders.answered(5_250, OrderOutcome.unknown);
    orders.observe(reported(2, {}, true));
    expect(orders.loading).toEqual(['b']);
    expect(orders.loadAcceptedAtMs).toBe(5_000);
    expect(orders.presumedLoaded(5_390)).toEqual([]);
  });

  test('is not taken for begun while the unload before it waits for runs', () => {
    const orders = createOrders(() => 3);
    orders.observe(reported(0, { a: [] }));
    orders.add([unload('a'), load('b')]);
    nextOrder(orders, 0);
    orders.answered(250, OrderOutcome.unknown);
    orders.observe(reported(1, { a: [] }, true));
    expect(orders.loading).toEqual(['b']);
    expect(orders.loadAcceptedAtMs).toBe(null);
  });
});
