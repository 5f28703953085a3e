/** The work of each role, as a daemon does it: decision modules and codecs. */
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
import type { Work } from './probe.js';

const MODELS_PER_ENGINE = 3;
const NO_BYTES = 0;

function frameOf(message: messages.PeerMessage): messages.Frame {
  return { v: messages.FRAME_VERSION, from: 'costa-1-vm-17', message };
}

/** Encodes a message, and decodes it as each receiver does; returns its bytes. */
function exchange(message: messages.PeerMessage, receivers: number): number {
  const bytes = messages.encodeFrame(frameOf(message));
  if (receivers > 0) messages.decodeFrame(bytes.subarray(messages.LENGTH_BYTES), 'peer');
  return bytes.length;
}

function memberOf(index: number): membership.MemberState {
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

function routeOf(index: number): routing.EngineRoute {
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

/** One short heartbeat sent to a peer and one heard from it; size: members known. */
export function heartbeat(members: number): Work {
  const table = new membership.Membership('costa-1-vm-0', 'costa-1');
  Array.from({ length: members }).forEach((_, index) => table.heard(0, memberOf(index + 1)));
  let nowMs = 0;
  return {
    state: table,
    run() {
      nowMs += 1;
      const { vm, incarnation, revision } = memberOf((nowMs % members) + 1);
      const bytes = exchange({ type: 'beat', incarnation, revision }, 1);
      table.beat(nowMs, vm, incarnation, revision);
      return bytes;
    },
  };
}

/** One routes message with a changed engine, sent and received; size: engines known. */
export function routesDelta(engines: number): Work {
  const router = new routing.LeastLoadedRouter('costa-1', createRandom(1));
  Array.from({ length: engines }).forEach((_, index) => router.update(routeOf(index)));
  let turn = 0;
  return {
    state: router,
    run() {
      turn += 1;
      const route = routeOf(turn % engines);
      router.update(route);
      const dataCentre = 'costa-1';
      return exchange({ type: 'routes', dataCentre, whole: false, engines: [route] }, 1);
    },
  };
}

/** All routes of a data centre in one message; size: its engines. */
export function routesWhole(engines: number): Work {
  const routes = Array.from({ length: engines }, (_, index) => routeOf(index));
  return {
    state: routes,
    run: () => exchange({ type: 'routes', dataCentre: 'costa-1', whole: true, engines: routes }, 1),
  };
}

/** Loads of engines in one message; size: the engines whose load moved. */
export function loads(engines: number): Work {
  const values = Object.fromEntries(
    Array.from({ length: engines }, (_, index) => [routeOf(index).engineId, index % 32]),
  );
  return { state: values, run: () => exchange({ type: 'loads', loads: values }, 1) };
}

/** One routing decision; size: engines known. */
export function routeDecision(engines: number): Work {
  const router = new routing.LeastLoadedRouter('costa-1', createRandom(1));
  Array.from({ length: engines }).forEach((_, index) => router.update(routeOf(index)));
  const query = { target: 'model-7', prefixKey: null, exclude: [], avoid: [] };
  return {
    state: router,
    run() {
      router.route(0, query);
      return NO_BYTES;
    },
  };
}

/** A loan: ask, grant and settlement, on the borrower and on the lender; size: customers. */
export function loan(customers: number): Work {
  const limits = Array.from({ length: customers }, (_, index) => ({
    customer: `customer-${index}`,
    ratePerS: 10_000,
    burst: 1e12,
  }));
  const giver = new quota.QuotaGiver(0, null);
  giver.configure(0, limits);
  let turn = 0;
  return {
    state: giver,
    run() {
      turn += 1;
      const customer = `customer-${turn % customers}`;
      const asked = exchange(
        { type: 'quota-ask', role: 'lender', askId: turn, customer, tokens: 500 },
        1,
      );
      const grant = giver.lend(turn, turn, customer, 500);
      const granted = exchange({ type: 'quota-grant', ...grant }, 1);
      const { loanId } = grant;
      giver.settle(turn, customer, loanId, 500, 0);
      const settled = exchange(
        { type: 'quota-settle', role: 'lender', customer, loanId, spent: 500, returned: 0 },
        1,
      );
      return asked + granted + settled;
    },
  };
}

function treeOf(targets: number): settingsTree.Tree {
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

/** One change of the settings put in force: chunk, tree, look-up tables; size: targets. */
export function settingsChange(targets: number): Work {
  const tree = treeOf(targets);
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

function ledgerOf(index: number): ledger.EngineLedger {
  const engineId = `engine-${index}`;
  const cfg = { engineId, memoryMb: 640_000, fencing: false, epoch: 1 };
  const book = new ledger.EngineLedger(cfg);
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
  book.handle(1_000, { type: LedgerEventType.tick });
  const stored: ledger.Ledger = { engineId, epoch: 1, entries };
  book.handle(1_000, { type: LedgerEventType.read, ledger: stored, version: 1 });
  return book;
}

/** One reading of an engine: the inventory checked against the ledger; size: engines. */
export function reading(engines: number): Work {
  const books = Array.from({ length: engines }, (_, index) => ledgerOf(index));
  let turn = 0;
  return {
    state: books,
    run() {
      turn += 1;
      const index = turn % engines;
      const replicas = Array.from({ length: MODELS_PER_ENGINE }, (_, k) => ({
        target: `model-${k}`,
        orderId: `order-${index}-${k}`,
        bytesMb: 16_000,
        state: ledger.ReplicaState.loaded,
      }));
      const text = JSON.stringify({ engineId: index, replicas });
      JSON.parse(text);
      const inventory = { askedAtMs: turn, replicas };
      const type = ledger.LedgerEventType.inventory;
      books[index]?.handle(turn, { type, inventory });
      return Buffer.byteLength(text) + 300;
    },
  };
}

/** One plan of the steward with 10 waiting targets; size: engines of the data centre. */
export function plan(engines: number): Work {
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

/** A renewal of the lease, apart from the call itself. */
export function leaseRenewal(): Work {
  const keeper = new leases.LeaseKeeper({ self: 'vm', durationMs: 3_000, marginMs: 500 });
  let nowMs = 0;
  let version = 0;
  const { LeaseEventType } = leases;
  keeper.handle(0, { type: LeaseEventType.tick });
  keeper.handle(0, { type: LeaseEventType.read, lease: null, version: 0 });
  return {
    state: keeper,
    run() {
      nowMs += 1_000;
      version += 1;
      keeper.handle(nowMs, { type: LeaseEventType.written, version });
      keeper.handle(nowMs + 1, { type: LeaseEventType.tick });
      return 400;
    },
  };
}

/** A demand message of one entry VM, sent and received; size: targets that wait or were used. */
export function demand(targets: number): Work {
  const waiting = Array.from({ length: Math.ceil(targets / 4) }, (_, index) => ({
    target: `model-${index}`,
    waiting: 3,
    deadlineInMs: 9_000,
    waitedMs: 120,
    customers: ['customer-1'],
  }));
  const used = Array.from({ length: targets }, (_, index) => `model-${index}`);
  return { state: waiting, run: () => exchange({ type: 'demand', waiting, used }, 1) };
}
