/** How soon the steward knows that an engine has ended. */
import { describe, expect, test, vi } from 'vitest';
import { createLogger } from '../../../src/core/logger/index.js';
import { OrderOutcome } from '../../../src/decisions/engine-orders/index.js';
import type { BackendServer, FleetPlan } from '../../../src/decisions/fleet-plan/index.js';
import { Reachability } from '../../../src/decisions/reachability/index.js';
import { StoreConcurrencyLimiter } from '../../../src/decisions/swaps/index.js';
import { PermitIssuer } from '../../../src/decisions/throttling/index.js';
import {
  EngineController,
  type EngineControllerOptions,
} from '../../../src/entry/relay/engine-controller.js';
import { type RelayMessageOf, RelayMessageType } from '../../../src/entry/relay/messages.js';
import type { EngineReport } from '../../../src/entry/relay/types.js';
import { createBackendServer } from './backend-server.js';

const TICK_MS = 20;
/** Longer than the timeout of a call for a report. */
const STANDSTILL_MS = 1_000;
/**
 * A queued stream waits for 0.9 s where no load is in progress, and a load from an engine's disk takes
 * 0.6 s: a load that begins this late still ends in time.
 */
const MAX_DETECTION_MS = 300;

const MODELS = [{ name: 'm1', version: 1, adapters: [] }];
const SERVER = createBackendServer('e1', { models: MODELS });
const REPORT: EngineReport = {
  bornMs: SERVER.bornMs,
  busy: false,
  orderCount: 0,
  models: MODELS,
  pendingAdapters: [],
  copies: null,
  queued: 0,
  running: 0,
};

function memberReport(
  unreachable: RelayMessageOf<'report'>['unreachable'],
  waits: RelayMessageOf<'report'>['waits'] = [],
  { reached = [], partitioned = [] }: Partial<RelayMessageOf<'report'>> = {},
): RelayMessageOf<'report'> {
  return {
    type: RelayMessageType.report,
    vm: 'vm-1',
    address: '127.0.0.1:1',
    dataCentre: 'a',
    sentAtMs: 0,
    clockMs: 0,
    planRevision: 1,
    appliedSeq: 0,
    shares: [],
    running: [],
    waits,
    usage: [],
    returned: {},
    unreachable,
    reached,
    partitioned,
    connected: [],
    leaving: false,
    usesSlots: true,
    knownTypes: null,
  };
}

/** Requests for a model that only the weight store has. */
const COLD_DEMAND = memberReport(
  [],
  [
    {
      service: SERVER.service,
      model: 'm2',
      adapter: null,
      version: null,
      waiting: 3,
      dueInMs: 500,
    },
  ],
);

function setUp({ fence = 0, busyEngines = [] as readonly string[] } = {}) {
  const engine = {
    isUp: true,
    calls: 0,
    delay: () => undefined as void,
    report: {} as Partial<EngineReport>,
  };
  const times = { nowMs: 1_000 };
  const partition = { isCut: false };
  const links = new Reachability();
  links.setServers([SERVER, createBackendServer('e2', {})]);
  const reachability = {
    isPartitioned: () => partition.isCut,
    isUndecided: (service: string) => links.isUndecided(times.nowMs, service),
    noteSuspicion: (service: string, isUrgent?: boolean) => {
      links.noteSuspicion(service, isUrgent);
      // The other engine accepts connections at once.
      let probed = links.nextProbes(times.nowMs);
      while (probed.length > 0) {
        probed.forEach((id) => {
          if (id !== SERVER.id || engine.isUp) links.noteConnected(times.nowMs, id);
          else links.noteConnectFailure(times.nowMs, id, times.nowMs);
        });
        probed = links.nextProbes(times.nowMs);
      }
    },
  };
  const cold = { name: 'm2', sizeMb: 10, adapterMb: 1, remoteLoadMs: 6_000, localLoadMs: 600 };
  const models = new Map([[cold.name, cold]]);
  const spec = { models, memoryMb: 100, adapterSlots: 1, loadsPerS: 1, slots: 8 };
  const others = busyEngines.map((id) => createBackendServer(id, { models: MODELS }));
  const backends = new Map([SERVER, ...others].map((server) => [server.id, server]));
  const plan = { services: new Map([[SERVER.service, { engine: spec }]]) } as unknown as FleetPlan;
  const controller = new EngineController({
    vm: 'vm-0',
    wire: {
      report: async ({ id }: BackendServer) => {
        if (id !== SERVER.id) return { ...REPORT, busy: true, orderCount: 3 };
        engine.calls += 1;
        engine.delay();
        return engine.isUp ? { ...REPORT, ...engine.report } : null;
      },
      order: async () => {
        engine.report = { busy: true, orderCount: 1 };
        return OrderOutcome.accepted;
      },
    },
    storeWatcher: { plan, backends },
    lease: { fence: () => fence },
    reachability,
    clock: { nowMs: () => times.nowMs, steadyMs: () => times.nowMs, onJump: () => undefined },
    logger: createLogger('test', 'silent'),
    issuer: new PermitIssuer(),
  } as unknown as EngineControllerOptions);
  const runFor = async (durationMs: number, reports: RelayMessageOf<'report'>[] = []) => {
    const untilMs = times.nowMs + durationMs;
    while (times.nowMs < untilMs) {
      times.nowMs += TICK_MS;
      controller.tick(times.nowMs, reports);
      // Lets the report arrive.
      await new Promise(setImmediate);
    }
  };
  return { controller, engine, times, backends, partition, runFor };
}

describe('an engine that has ended', () => {
  test('is known to the steward soon after an entry VM could not connect to it', async () => {
    const { controller, engine, times, runFor } = setUp();
    await runFor(100);
    expect(controller.availableModels(SERVER).map(({ name }) => name)).toEqual(['m1']);
    engine.isUp = false;
    controller.addReport(times.nowMs, memberReport([{ server: SERVER.id, ageMs: 0 }]));
    await runFor(MAX_DETECTION_MS);
    expect(controller.availableModels(SERVER)).toEqual([]);
  });
});

describe('an engine whose answer was not read in time, as the steward stood still', () => {
  // Two such calls once made a sound engine useless to all entry VMs.
  test('stays in use', async () => {
    const { controller, engine, times, runFor } = setUp();
    await runFor(100);
    engine.isUp = false;
    engine.delay = () => {
      times.nowMs += STANDSTILL_MS;
    };
    await runFor(3 * STANDSTILL_MS);
    expect(engine.calls).toBeGreaterThan(2);
    expect(controller.availableModels(SERVER)).toHaveLength(1);
  });
});

describe('an engine that one entry VM can not reach', () => {
  test('is asked once more, and stays in use if it answers the steward', async () => {
    const { controller, engine, times, runFor } = setUp();
    await runFor(100);
    const before = engine.calls;
    const failedAtMs = times.nowMs;
    // The VM names the same failure until it connects anew.
    for (let at = 0; at < 5; at += 1) {
      const ageMs = times.nowMs - failedAtMs;
      controller.addReport(times.nowMs, memberReport([{ server: SERVER.id, ageMs }]));
      await runFor(40);
    }
    expect(engine.calls).toBe(before + 1);
    expect(controller.availableModels(SERVER)).toHaveLength(1);
  });
});

describe('an engine that does not answer the steward', () => {
  const DETECTION_MS = 1_000;
  const UNREACHED = [{ server: SERVER.id, ageMs: 0 }];

  test('stays in use if the steward is partitioned from its service', async () => {
    const { controller, engine, times, partition, runFor } = setUp();
    await runFor(100);
    engine.isUp = false;
    partition.isCut = true;
    await runFor(DETECTION_MS);
    const cutToo = memberReport(UNREACHED, [], { partitioned: [SERVER.service] });
    controller.addReport(times.nowMs, cutToo);
    await runFor(DETECTION_MS);
    expect(controller.availableModels(SERVER)).toHaveLength(1);
  });

  test('is not used if an entry VM without a partition can not connect to it either', async () => {
    const { controller, engine, times, partition, runFor } = setUp();
    await runFor(100);
    engine.isUp = false;
    partition.isCut = true;
    await runFor(DETECTION_MS);
    controller.addReport(times.nowMs, memberReport(UNREACHED));
    await runFor(DETECTION_MS);
    expect(controller.availableModels(SERVER)).toEqual([]);
  });

  test('stays in use if it alone can not be reached, and sends an entry VM data', async () => {
    const { controller, engine, times, runFor } = setUp();
    await runFor(100);
    engine.isUp = false;
    await runFor(DETECTION_MS);
    expect(controller.availableModels(SERVER)).toEqual([]);
    const reached = [{ server: SERVER.id, ageMs: 0 }];
    controller.addReport(times.nowMs, memberReport([], [], { reached }));
    expect(controller.availableModels(SERVER)).toHaveLength(1);
  });

  test('is not used if the last data that an entry VM received from it is older', async () => {
    const { controller, engine, times, runFor } = setUp();
    await runFor(100);
    engine.isUp = false;
    await runFor(DETECTION_MS);
    const reached = [{ server: SERVER.id, ageMs: DETECTION_MS }];
    controller.addReport(times.nowMs, memberReport([], [], { reached }));
    expect(controller.availableModels(SERVER)).toEqual([]);
  });
});

describe('a load of an engine that then leaves', () => {
  // Requests would wait for it and then find no server.
  test('is no longer announced to the entry VMs', async () => {
    const { controller, times, backends, runFor } = setUp();
    const { service } = SERVER;
    const need = { service, model: 'm2', adapter: null, version: null };
    const report = memberReport([], [{ ...need, waiting: 3, dueInMs: 500 }]);
    // Until the weight store may begin a load.
    await runFor(2_000, [report]);
    expect(controller.loads(times.nowMs)).toMatchObject([{ service, model: 'm2' }]);
    backends.set(SERVER.id, { ...SERVER, leaving: true });
    await runFor(TICK_MS, [report]);
    expect(controller.loads(times.nowMs)).toEqual([]);
  });
});

describe('a load that its engine has not accepted yet', () => {
  // Callers were told a time that had passed before the load began: it waited for the runs of the
  // model that was unloaded for it.
  test('is announced to take its whole time from now on', async () => {
    const { controller, times, runFor } = setUp();
    await runFor(3_000, [COLD_DEMAND]);
    expect(controller.loads(times.nowMs)[0]?.readyInMs).toBe(6_000);
  });
});

describe('orders of the last steward', () => {
  test('count as loads from the weight store until such a load has ended, not for ever', async () => {
    const busyEngines = ['f1', 'f2', 'f3', 'f4'];
    const { controller, times, runFor } = setUp({ fence: 1, busyEngines });
    await runFor(5_000, [COLD_DEMAND]);
    expect(controller.loads(times.nowMs)[0]?.readyInMs).toBeGreaterThan(6_000);
    await runFor(3_000, [COLD_DEMAND]);
    expect(controller.loads(times.nowMs)[0]?.readyInMs).toBeLessThan(6_000);
  });
});

describe('a load that ends with its engine', () => {
  test('does not count as slowness of the weight store', async () => {
    const recorded = vi.spyOn(StoreConcurrencyLimiter.prototype, 'recordLoad');
    const { engine, backends, runFor } = setUp({ fence: 1 });
    await runFor(2_000, [COLD_DEMAND]);
    engine.isUp = false;
    await runFor(8_000);
    const bornMs = SERVER.bornMs + 10_000;
    backends.set(SERVER.id, { ...SERVER, bornMs });
    Object.assign(engine, { isUp: true, report: { bornMs } });
    await runFor(1_000);
    expect(recorded).not.toHaveBeenCalled();
    recorded.mockRestore();
  });
});

describe('a load that lasts longer than expected', () => {
  // Callers were told again and again that it was about to end.
  test('is announced to last as long again as it is overdue', async () => {
    const { controller, times, runFor } = setUp({ fence: 1 });
    await runFor(2_000, [COLD_DEMAND]);
    const expectedMs = controller.loads(times.nowMs)[0]?.readyInMs ?? 0;
    const overdueMs = 3_000;
    times.nowMs += expectedMs + overdueMs;
    expect(controller.loads(times.nowMs)[0]?.readyInMs).toBe(overdueMs);
  });
});
