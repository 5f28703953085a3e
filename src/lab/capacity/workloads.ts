/** Workloads of the roles of a daemon, run on its decision modules and codecs. */
import * as messages from '../../core/messages/index.js';
import { createRandom } from '../../core/random/index.js';
import * as catalog from '../../decisions/catalog/index.js';
import * as leases from '../../decisions/leases/index.js';
import * as ledger from '../../decisions/ledger/index.js';
import * as membership from '../../decisions/membership/index.js';
import * as placement from '../../decisions/placement/index.js';
import * as quota from '../../decisions/quota/index.js';
import * as routing from '../../decisions/routing/index.js';
import * as settingsTree from '../../decisions/settings-tree/index.js';
import type { Workload } from './probe.js';

const MODELS_PER_ENGINE = 3;
const NO_BYTES = 0;

function createFrame(message: messages.PeerMessage): messages.Frame {
  return { v: messages.FRAME_VERSION, from: 'costa-1-vm-17', message };
}

/** Encodes a message, decodes it if it has receivers, and returns its size in bytes. */
function encodeAndDecode(message: messages.PeerMessage, receivers: number): number {
  const bytes = messages.encodeFrame(createFrame(message));
  if (receivers > 0) messages.decodeFrame(bytes.subarray(messages.LENGTH_BYTES), 'peer');
  return bytes.length;
}

function createMember(index: number): membership.MemberState {
  return {
    vm: `costa-1-vm-${index}`,
    dataCentre: 'costa-1',
    address: `10.1.${index % 250}.7:7001`,
    incarnation: 1_790_000_000_000 + index,
    revision: 4_711,
    leaving: false,
    stewardEpoch: 0,
    lender: false,
  };
}

function createRoute(index: number): routing.EngineRoute {
  return {
    engineId: `costa-1-engine-${index}`,
    dataCentre: 'costa-1',
    address: `10.1.${index % 250}.9:8000`,
    slots: 32,
    targets: Array.from({ length: MODELS_PER_ENGINE }, (_, k) => `model-${(index * 3 + k) % 440}`),
    load: index % 32,
    leaving: false,
  };
}

/** One short heartbeat sent to a peer and one received from it; size: members in the table. */
export function heartbeat(members: number): Workload {
  const table = new membership.Membership('costa-1-vm-0', 'costa-1');
  Array.from({ length: members }).forEach((_, index) =>
    table.recordHeartbeat(0, createMember(index + 1)),
  );
  let nowMs = 0;
  return {
    state: table,
    run() {
      nowMs += 1;
      const { vm, incarnation, revision } = createMember((nowMs % members) + 1);
      const bytes = encodeAndDecode({ type: 'beat', incarnation, revision }, 1);
      table.beat(nowMs, vm, incarnation, revision);
      return bytes;
    },
  };
}

/** One routes message with one changed engine, sent and received; size: engines of the router. */
export function routesDelta(engines: number): Workload {
  const router = new routing.LeastLoadedRouter('costa-1', createRandom(1));
  Array.from({ length: engines }).forEach((_, index) => router.update(createRoute(index)));
  let iteration = 0;
  return {
    state: router,
    run() {
      iteration += 1;
      const route = createRoute(iteration % engines);
      router.update(route);
      const dataCentre = 'costa-1';
      return encodeAndDecode({ type: 'routes', dataCentre, whole: false, engines: [route] }, 1);
    },
  };
}

/** One message with all routes of a data centre; size: its engines. */
export function fullRoutes(engines: number): Workload {
  const routes = Array.from({ length: engines }, (_, index) => createRoute(index));
  return {
    state: routes,
    run: () =>
      encodeAndDecode({ type: 'routes', dataCentre: 'costa-1', whole: true, engines: routes }, 1),
  };
}

/** One message with the load values of engines; size: engines whose load has changed. */
export function loads(engines: number): Workload {
  const values = Object.fromEntries(
    Array.from({ length: engines }, (_, index) => [createRoute(index).engineId, index % 32]),
  );
  return { state: values, run: () => encodeAndDecode({ type: 'loads', loads: values }, 1) };
}

/** One routing decision; size: engines of the router. */
export function routeDecision(engines: number): Workload {
  const router = new routing.LeastLoadedRouter('costa-1', createRandom(1));
  Array.from({ length: engines }).forEach((_, index) => router.update(createRoute(index)));
  const query = { target: 'model-7', prefixKey: null, exclude: [], avoid: [] };
  return {
    state: router,
    run() {
      router.route(0, query);
      return NO_BYTES;
    },
  };
}

/** Ask, grant and settlement of a loan, with all messages; size: customers. */
export function loanCycle(customers: number): Workload {
  const limits = Array.from({ length: customers }, (_, index) => ({
    customer: `customer-${index}`,
    ratePerS: 10_000,
    burst: 1e12,
  }));
  const grantor = new quota.LoanGrantor(0, null);
  grantor.configure(0, limits);
  let iteration = 0;
  return {
    state: grantor,
    run() {
      iteration += 1;
      const customer = `customer-${iteration % customers}`;
      const asked = encodeAndDecode(
        { type: 'quota-ask', role: 'lender', askId: iteration, customer, tokens: 500 },
        1,
      );
      const grant = grantor.lend(iteration, iteration, customer, 500);
      const granted = encodeAndDecode({ type: 'quota-grant', ...grant }, 1);
      const { loanId } = grant;
      grantor.settle(iteration, customer, loanId, 500, 0);
      const settled = encodeAndDecode(
        { type: 'quota-settle', role: 'lender', customer, loanId, spent: 500, returned: 0 },
        1,
      );
      return asked + granted + settled;
    },
  };
}

function createTree(targets: number): settingsTree.Tree {
  const models = Math.ceil(targets / 14);
  const nodes = new Map<string, settingsTree.NodeValues>([
    ['/', { dataCentres: ['a', 'b', 'c', 'd', 'e', 'f', 'g'], entryVms: 49 }],
    ['/services/drafting', { kind: 'model' }],
  ]);
  Array.from({ length: targets }).forEach((_, index) => {
    const model = `/services/drafting/models/model-${index % models}`;
    const path = index < models ? model : `${model}/adapters/adapter-${index}`;
    nodes.set(path, { bytesMb: index < models ? 16_000 : 200 });
  });
  return { revision: 1, nodes };
}

/** One settings change: parses its chunk, rebuilds tree and lookup tables; size: targets. */
export function settingsChange(targets: number): Workload {
  const tree = createTree(targets);
  const chunks = settingsTree.toChunks(tree.nodes);
  const [first] = chunks;
  const compiled = catalog.compile(tree);
  const parsed = chunks.flatMap(({ text }) => {
    const nodes = settingsTree.parseChunk(text);
    return nodes.isOk ? [nodes.value] : [];
  });
  return {
    state: { tree, chunks, compiled, parsed },
    run() {
      settingsTree.sha256(first?.text ?? '');
      const changed = settingsTree.parseChunk(first?.text ?? '[]');
      const next = changed.isOk ? [changed.value, ...parsed.slice(1)] : parsed;
      catalog.compile(settingsTree.fromChunks(2, next));
      return Buffer.byteLength(first?.text ?? '') + chunks.length * 100;
    },
  };
}

function createLedger(index: number): ledger.EngineLedger {
  const engineId = `engine-${index}`;
  const cfg = { engineId, memoryMb: 640_000, fencing: false, epoch: 1 };
  const engineLedger = new ledger.EngineLedger(cfg);
  const entries = Array.from({ length: MODELS_PER_ENGINE }, (_, k) => ({
    target: `model-${k}`,
    model: `model-${k}`,
    adapter: null,
    bytesMb: 16_000,
    wanted: 'present' as const,
    orderId: `order-${index}-${k}`,
    epoch: 1,
  }));
  const { LedgerEventType } = ledger;
  engineLedger.handle(1_000, { type: LedgerEventType.tick });
  const stored: ledger.Ledger = { engineId, epoch: 1, entries };
  engineLedger.handle(1_000, { type: LedgerEventType.read, ledger: stored, version: 1 });
  return engineLedger;
}

/** One inventory reading: parses an inventory and compares it with the ledger; size: engines. */
export function inventoryReading(engines: number): Workload {
  const ledgers = Array.from({ length: engines }, (_, index) => createLedger(index));
  let iteration = 0;
  return {
    state: ledgers,
    run() {
      iteration += 1;
      const index = iteration % engines;
      const replicas = Array.from({ length: MODELS_PER_ENGINE }, (_, k) => ({
        target: `model-${k}`,
        orderId: `order-${index}-${k}`,
        bytesMb: 16_000,
        state: ledger.ReplicaState.loaded,
      }));
      const text = JSON.stringify({ engineId: index, replicas });
      JSON.parse(text);
      const inventory = { askedAtMs: iteration, replicas };
      const type = ledger.LedgerEventType.inventory;
      ledgers[index]?.handle(iteration, { type, inventory });
      return Buffer.byteLength(text) + 300;
    },
  };
}

/** One planning pass of the steward with demand for 10 targets; size: local engines. */
export function plan(engines: number): Workload {
  const usage = new placement.UsageHistory();
  const policy = new placement.DemandPlacement(usage);
  const names = Array.from({ length: 6_240 }, (_, index) => `model-${index}`);
  const targets = new Map(
    names.map((name) => [
      name,
      {
        name,
        service: 'drafting',
        model: name,
        adapter: null,
        bytesMb: 16_000,
        keepWarmMs: 180_000,
      },
    ]),
  );
  const views: placement.EngineView[] = Array.from({ length: engines }, (_, index) => ({
    engineId: `engine-${index}`,
    service: 'drafting',
    memoryMb: 640_000,
    freeMb: 100_000,
    ready: true,
    reachable: true,
    leaving: false,
    replicas: Array.from({ length: 8 }, (__, k) => ({
      orderId: `order-${index}-${k}`,
      target: `model-${index * 8 + k}`,
      model: `model-${index * 8 + k}`,
      adapter: null,
      bytesMb: 16_000,
      state: ledger.ReplicaState.loaded,
      wanted: true,
      loadedAtMs: 0,
    })),
    checkpoints: new Map(),
    load: 4,
    slots: 32,
  }));
  names.forEach((name) => usage.note(0, name));
  const demands = Array.from({ length: 10 }, (_, index) => ({
    target: `model-${6_000 + index}`,
    waiting: 4,
    earliestDeadlineAtMs: 10_000,
    oldestAtMs: 0,
    customers: [`customer-${index}`],
  }));
  const lastUsedAtMs = (target: string) => usage.lastUsedAtMs(target);
  return {
    state: { views, targets, usage },
    run() {
      policy.plan({ nowMs: 100, targets, engines: views, demands, lastUsedAtMs });
      return NO_BYTES;
    },
  };
}

/** One lease renewal without the call to the platform store. */
export function leaseRenewal(): Workload {
  const manager = new leases.LeaseManager({ self: 'vm', durationMs: 3_000, marginMs: 500 });
  let nowMs = 0;
  let version = 0;
  const { LeaseEventType } = leases;
  manager.handle(0, { type: LeaseEventType.tick });
  manager.handle(0, { type: LeaseEventType.read, lease: null, version: 0 });
  return {
    state: manager,
    run() {
      nowMs += 1_000;
      version += 1;
      manager.handle(nowMs, { type: LeaseEventType.written, version });
      manager.handle(nowMs + 1, { type: LeaseEventType.tick });
      return 400;
    },
  };
}

/** One demand message, sent and received; size: used targets, a quarter of them with demand. */
export function demand(targets: number): Workload {
  const waiting = Array.from({ length: Math.ceil(targets / 4) }, (_, index) => ({
    target: `model-${index}`,
    waiting: 3,
    deadlineInMs: 9_000,
    waitedMs: 120,
    customers: ['customer-1'],
  }));
  const used = Array.from({ length: targets }, (_, index) => `model-${index}`);
  return { state: waiting, run: () => encodeAndDecode({ type: 'demand', waiting, used }, 1) };
}
