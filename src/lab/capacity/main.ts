/**
 * `npm run capacity`: measures how the cost of each workload grows with its size, and extrapolates
 * the cost of each role of a daemon at the design size.
 */
import * as fs from 'node:fs';
import { REMOTE_HEARTBEAT_MS, LOCAL_HEARTBEAT_MS } from '../../decisions/membership/index.js';
import { FULL_ROUTES_INTERVAL_MS } from '../../entry/inventory/index.js';
import { valueAt, fitLine, type Line, type Point, measurePoint, type Workload } from './probe.js';
import * as workloads from './workloads.js';

/** Deployment size that the requirements state. */
const DESIGN = {
  daemons: 340,
  dataCentres: 7,
  engines: 600,
  targets: 6_240,
  requestsPerS: 8_500,
  changesPerDay: 240,
  coldStartsPerHour: 0.061 * 6_240,
} as const;
/** Budget of one daemon. */
const BUDGET = { corePercent: 1.2, memoryMb: 128, kbPerS: 13 } as const;
/** Assumed number of customers: the requirements state none. */
const CUSTOMERS = 100;
const SECONDS_PER_DAY = 86_400;
const LOCAL_HEARTBEAT_S = LOCAL_HEARTBEAT_MS / 1_000;
const REMOTE_HEARTBEAT_S = REMOTE_HEARTBEAT_MS / 1_000;
const FULL_ROUTES_INTERVAL_S = FULL_ROUTES_INTERVAL_MS / 1_000;

const localDaemons = Math.ceil(DESIGN.daemons / DESIGN.dataCentres);
const localEngines = Math.ceil(DESIGN.engines / DESIGN.dataCentres);
const requestsPerDaemon = DESIGN.requestsPerS / DESIGN.daemons;

/** Measurements of a workload at several sizes and the lines fitted to them. */
interface Slope {
  readonly name: string;
  readonly points: readonly Point[];
  readonly cpu: Line;
  readonly bytes: Line;
  readonly heap: Line;
}

function measureSlope(
  name: string,
  sizes: readonly number[],
  create: (size: number) => Workload,
): Slope {
  const points = sizes.map((size) => measurePoint(size, create));
  const line = (value: (point: Point) => number) =>
    fitLine(points.map((point) => [point.size, value(point)] as const));
  return {
    name,
    points,
    cpu: line(({ cpuUs }) => cpuUs),
    bytes: line(({ bytes }) => bytes),
    heap: line(({ heapBytes }) => heapBytes),
  };
}

const slopes = {
  heartbeat: measureSlope(
    'heartbeat sent to and received from a peer',
    [50, 150, 340],
    workloads.heartbeat,
  ),
  fullRoutes: measureSlope('routes of a data centre', [20, 50, 90], workloads.fullRoutes),
  loads: measureSlope('load values of engines', [10, 40, 90], workloads.loads),
  routesDelta: measureSlope('one changed route', [100, 300, 600], workloads.routesDelta),
  route: measureSlope('routing decision', [100, 300, 600], workloads.routeDecision),
  loan: measureSlope('loan: ask, grant, settle', [20, 60, 100], workloads.loanCycle),
  demand: measureSlope('demand of an entry VM', [5, 20, 60], workloads.demand),
  settings: measureSlope('settings change', [1_000, 3_000, 6_240], workloads.settingsChange),
  inventoryReading: measureSlope(
    'inventory reading of an engine',
    [20, 50, 90],
    workloads.inventoryReading,
  ),
  plan: measureSlope('planning pass of the steward', [20, 50, 90], workloads.plan),
  lease: measureSlope('lease renewal', [1, 2, 3], () => workloads.leaseRenewal()),
};

/** Cost of one mechanism to a daemon. */
interface Cost {
  readonly mechanism: string;
  /** Units per second. */
  readonly perS: number;
  /** CPU time of one unit, µs; half of a measured exchange if the daemon only sends or receives. */
  readonly cpuUs: number;
  /** Bytes that the daemon sends and receives for one unit. */
  readonly bytes: number;
}

const remoteDaemons = DESIGN.daemons - localDaemons;
const remoteEngines = DESIGN.engines - localEngines;
const loansPerS = requestsPerDaemon;

/** Costs of every daemon. */
const daemonCosts: readonly Cost[] = [
  {
    mechanism: 'heartbeats within the data centre (peers task, membership)',
    perS: (localDaemons - 1) / LOCAL_HEARTBEAT_S,
    cpuUs: valueAt(slopes.heartbeat.cpu, DESIGN.daemons),
    bytes: 2 * valueAt(slopes.heartbeat.bytes, DESIGN.daemons),
  },
  {
    mechanism: 'heartbeats to other data centres',
    perS: remoteDaemons / REMOTE_HEARTBEAT_S,
    cpuUs: valueAt(slopes.heartbeat.cpu, DESIGN.daemons),
    bytes: 2 * valueAt(slopes.heartbeat.bytes, DESIGN.daemons),
  },
  {
    mechanism: 'full routes received from 7 inventory pollers (inventory task)',
    perS: DESIGN.dataCentres / FULL_ROUTES_INTERVAL_S,
    cpuUs: valueAt(slopes.fullRoutes.cpu, localEngines) / 2,
    bytes: valueAt(slopes.fullRoutes.bytes, localEngines),
  },
  {
    mechanism:
      'load values received from the local inventory poller, half of them changed each second',
    perS: 1,
    cpuUs: valueAt(slopes.loads.cpu, localEngines / 2) / 2,
    bytes: valueAt(slopes.loads.bytes, localEngines / 2),
  },
  {
    mechanism: 'routes received when a target is loaded or becomes idle in any data centre',
    perS: DESIGN.coldStartsPerHour / 3_600,
    cpuUs: valueAt(slopes.routesDelta.cpu, DESIGN.engines) / 2,
    bytes: valueAt(slopes.routesDelta.bytes, DESIGN.engines),
  },
  {
    mechanism: 'loans for its own requests (quota task, borrower)',
    perS: loansPerS,
    cpuUs: valueAt(slopes.loan.cpu, CUSTOMERS) / 2,
    bytes: valueAt(slopes.loan.bytes, CUSTOMERS),
  },
  {
    mechanism: 'used targets reported to the steward (dispatch task)',
    perS: 1,
    cpuUs: valueAt(slopes.demand.cpu, requestsPerDaemon) / 2,
    bytes: valueAt(slopes.demand.bytes, requestsPerDaemon),
  },
  {
    mechanism: 'settings changes (settings task)',
    perS: DESIGN.changesPerDay / SECONDS_PER_DAY,
    cpuUs: valueAt(slopes.settings.cpu, DESIGN.targets),
    bytes: valueAt(slopes.settings.bytes, DESIGN.targets),
  },
];

/** Additional costs of the steward of a data centre, which is also its inventory poller. */
const stewardCosts: readonly Cost[] = [
  {
    mechanism: 'inventory readings, one per second and engine (inventory task, ledger)',
    perS: localEngines,
    cpuUs: valueAt(slopes.inventoryReading.cpu, localEngines),
    bytes: valueAt(slopes.inventoryReading.bytes, localEngines),
  },
  {
    mechanism: 'load values sent to the local daemons, encoded once per second',
    perS: 1,
    cpuUs: valueAt(slopes.loads.cpu, localEngines / 2) / 2,
    bytes: (localDaemons - 1) * valueAt(slopes.loads.bytes, localEngines / 2),
  },
  {
    mechanism: 'full routes sent to every daemon, encoded once',
    perS: 1 / FULL_ROUTES_INTERVAL_S,
    cpuUs: valueAt(slopes.fullRoutes.cpu, localEngines) / 2,
    bytes: (DESIGN.daemons - 1) * valueAt(slopes.fullRoutes.bytes, localEngines),
  },
  {
    mechanism: 'planning passes while demand is pending, ten per second (placement)',
    perS: 10,
    cpuUs: valueAt(slopes.plan.cpu, localEngines),
    bytes: 0,
  },
  {
    mechanism: 'demand received from the entry VMs',
    perS: localDaemons,
    cpuUs: valueAt(slopes.demand.cpu, requestsPerDaemon) / 2,
    bytes: valueAt(slopes.demand.bytes, requestsPerDaemon),
  },
  {
    mechanism: 'lease renewal',
    perS: 1,
    cpuUs: valueAt(slopes.lease.cpu, 1),
    bytes: valueAt(slopes.lease.bytes, 1),
  },
];

/** Additional costs of the lender of a data centre. */
const lenderCosts: readonly Cost[] = [
  {
    mechanism: 'loans granted to the entry VMs of its data centre (quota task, grantor)',
    perS: localDaemons * loansPerS,
    cpuUs: valueAt(slopes.loan.cpu, CUSTOMERS) / 2,
    bytes: valueAt(slopes.loan.bytes, CUSTOMERS),
  },
];

/** Markdown table of costs with their sum. */
function renderCosts(costs: readonly Cost[]): string {
  const rows = costs.map(({ mechanism, perS, cpuUs, bytes }) => {
    const core = (perS * cpuUs) / 10_000;
    const kb = (perS * bytes) / 1_000;
    return `| ${mechanism} | ${perS.toFixed(perS < 1 ? 4 : 1)} | ${cpuUs.toFixed(1)} | ${core.toFixed(3)} | ${kb.toFixed(2)} |`;
  });
  const core = costs.reduce((sum, { perS, cpuUs }) => sum + (perS * cpuUs) / 10_000, 0);
  const kb = costs.reduce((sum, { perS, bytes }) => sum + (perS * bytes) / 1_000, 0);
  return [
    '| mechanism | per second | µs each | % of a core | kB/s |',
    '| --- | ---: | ---: | ---: | ---: |',
    ...rows,
    `| **sum** | | | **${core.toFixed(2)}** | **${kb.toFixed(1)}** |`,
  ].join('\n');
}

/** Markdown table of the measured slopes. */
function renderSlopes(): string {
  const rows = Object.values(slopes).map(({ name, points, cpu, bytes, heap }) => {
    const sizes = points.map(({ size }) => size).join(', ');
    const measured = points.map(({ cpuUs }) => cpuUs.toFixed(1)).join(', ');
    return `| ${name} | ${sizes} | ${measured} | ${cpu.slope.toFixed(4)} | ${bytes.base.toFixed(0)} + ${bytes.slope.toFixed(2)}·n | ${heap.slope.toFixed(0)} |`;
  });
  return [
    '| workload | sizes n | µs at each | µs per n | bytes | heap bytes per n |',
    '| --- | --- | --- | ---: | ---: | ---: |',
    ...rows,
  ].join('\n');
}

const heapMb =
  (valueAt(slopes.heartbeat.heap, DESIGN.daemons) +
    valueAt(slopes.routesDelta.heap, DESIGN.engines) +
    valueAt(slopes.settings.heap, DESIGN.targets) +
    valueAt(slopes.loan.heap, CUSTOMERS)) /
  1_048_576;
const stewardHeapMb =
  (valueAt(slopes.inventoryReading.heap, localEngines) + valueAt(slopes.plan.heap, localEngines)) /
  1_048_576;

const reportText = [
  `Measured with Node.js ${process.version} by \`npm run capacity\`.`,
  '',
  '### Slopes',
  '',
  renderSlopes(),
  '',
  `### Every daemon (budget: ${BUDGET.corePercent} % of a core, ${BUDGET.memoryMb} MB, ${BUDGET.kbPerS} kB/s)`,
  '',
  renderCosts(daemonCosts),
  '',
  '### The steward and inventory poller of a data centre, in addition',
  '',
  renderCosts(stewardCosts),
  '',
  '### The lender of a data centre, in addition',
  '',
  renderCosts(lenderCosts),
  '',
  '### State',
  '',
  `Members, routes, settings and accounts of a daemon occupy ${heapMb.toFixed(1)} MB of heap; the`,
  `steward's ledgers and history another ${stewardHeapMb.toFixed(1)} MB. ${remoteEngines} of the routes belong to engines in other data centres.`,
  '',
].join('\n');
console.log(reportText);
fs.mkdirSync('reports', { recursive: true });
fs.writeFileSync('reports/capacity.md', reportText);
