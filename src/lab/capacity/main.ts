/** `npm run capacity`: measures slopes, and works out each role at the size to design for. */
import * as fs from 'node:fs';
import { FAR_HEARTBEAT_MS, NEAR_HEARTBEAT_MS } from '../../decisions/membership/index.js';
import { WHOLE_EVERY_MS } from '../../entry/inventory/index.js';
import { at, fit, type Line, type Point, probe, type Work } from './probe.js';
import * as works from './works.js';

/** The size to design for, by the brief's letter. */
const DESIGN = {
  daemons: 340,
  dataCentres: 7,
  engines: 600,
  targets: 6_240,
  requestsPerS: 8_500,
  changesPerDay: 240,
  wakesPerHour: 0.061 * 6_240,
} as const;
const BUDGET = { corePercent: 1.2, memoryMb: 128, kbPerS: 13 } as const;
/** Customers, which the letter does not number. */
const CUSTOMERS = 100;
const SECONDS_PER_DAY = 86_400;
const NEAR_EVERY_S = NEAR_HEARTBEAT_MS / 1_000;
const FAR_EVERY_S = FAR_HEARTBEAT_MS / 1_000;
const WHOLE_EVERY_S = WHOLE_EVERY_MS / 1_000;

const near = Math.ceil(DESIGN.daemons / DESIGN.dataCentres);
const enginesHere = Math.ceil(DESIGN.engines / DESIGN.dataCentres);
const requestsHere = DESIGN.requestsPerS / DESIGN.daemons;

interface Slope {
  readonly name: string;
  readonly points: readonly Point[];
  readonly cpu: Line;
  readonly bytes: Line;
  readonly heap: Line;
}

function slopeOf(name: string, sizes: readonly number[], create: (size: number) => Work): Slope {
  const points = sizes.map((size) => probe(size, create));
  const line = (value: (point: Point) => number) =>
    fit(points.map((point) => [point.size, value(point)] as const));
  return {
    name,
    points,
    cpu: line(({ cpuUs }) => cpuUs),
    bytes: line(({ bytes }) => bytes),
    heap: line(({ heapBytes }) => heapBytes),
  };
}

const slopes = {
  heartbeat: slopeOf('heartbeat, to and from a peer', [50, 150, 340], works.heartbeat),
  routesWhole: slopeOf('routes of a data centre', [20, 50, 90], works.routesWhole),
  loads: slopeOf('loads of engines', [10, 40, 90], works.loads),
  routesDelta: slopeOf('one changed route', [100, 300, 600], works.routesDelta),
  route: slopeOf('routing decision', [100, 300, 600], works.routeDecision),
  loan: slopeOf('loan: ask, grant, settle', [20, 60, 100], works.loan),
  demand: slopeOf('demand of an entry VM', [5, 20, 60], works.demand),
  settings: slopeOf('change of settings', [1_000, 3_000, 6_240], works.settingsChange),
  reading: slopeOf('reading of an engine', [20, 50, 90], works.reading),
  plan: slopeOf('plan of the steward', [20, 50, 90], works.plan),
  lease: slopeOf('lease renewal', [1, 2, 3], () => works.leaseRenewal()),
};

interface Cost {
  readonly mechanism: string;
  readonly perS: number;
  readonly cpuUs: number;
  /** Bytes sent and received by this daemon for one unit. */
  readonly bytes: number;
}

const far = DESIGN.daemons - near;
const farEngines = DESIGN.engines - enginesHere;
const loansPerS = requestsHere;

/** What every daemon does. */
const entry: readonly Cost[] = [
  {
    mechanism: 'heartbeats within the data centre (peers task, membership)',
    perS: (near - 1) / NEAR_EVERY_S,
    cpuUs: at(slopes.heartbeat.cpu, DESIGN.daemons),
    bytes: 2 * at(slopes.heartbeat.bytes, DESIGN.daemons),
  },
  {
    mechanism: 'heartbeats to other data centres',
    perS: far / FAR_EVERY_S,
    cpuUs: at(slopes.heartbeat.cpu, DESIGN.daemons),
    bytes: 2 * at(slopes.heartbeat.bytes, DESIGN.daemons),
  },
  {
    mechanism: 'routes received, whole, from 7 readers (inventory task)',
    perS: DESIGN.dataCentres / WHOLE_EVERY_S,
    cpuUs: at(slopes.routesWhole.cpu, enginesHere) / 2,
    bytes: at(slopes.routesWhole.bytes, enginesHere),
  },
  {
    mechanism: 'loads received from the reader here, half of them moved each second',
    perS: 1,
    cpuUs: at(slopes.loads.cpu, enginesHere / 2) / 2,
    bytes: at(slopes.loads.bytes, enginesHere / 2),
  },
  {
    mechanism: 'routes received as targets wake or fall idle anywhere',
    perS: DESIGN.wakesPerHour / 3_600,
    cpuUs: at(slopes.routesDelta.cpu, DESIGN.engines) / 2,
    bytes: at(slopes.routesDelta.bytes, DESIGN.engines),
  },
  {
    mechanism: 'loans for its own requests (quota task, borrower)',
    perS: loansPerS,
    cpuUs: at(slopes.loan.cpu, CUSTOMERS) / 2,
    bytes: at(slopes.loan.bytes, CUSTOMERS),
  },
  {
    mechanism: 'used targets told to the steward (dispatch task)',
    perS: 1,
    cpuUs: at(slopes.demand.cpu, requestsHere) / 2,
    bytes: at(slopes.demand.bytes, requestsHere),
  },
  {
    mechanism: 'changes of settings (settings task)',
    perS: DESIGN.changesPerDay / SECONDS_PER_DAY,
    cpuUs: at(slopes.settings.cpu, DESIGN.targets),
    bytes: at(slopes.settings.bytes, DESIGN.targets),
  },
];

/** What the reader and steward of a data centre does besides. */
const steward: readonly Cost[] = [
  {
    mechanism: 'readings of the engines, one a second each (inventory task, ledger)',
    perS: enginesHere,
    cpuUs: at(slopes.reading.cpu, enginesHere),
    bytes: at(slopes.reading.bytes, enginesHere),
  },
  {
    mechanism: 'loads sent to the daemons here, encoded once a second',
    perS: 1,
    cpuUs: at(slopes.loads.cpu, enginesHere / 2) / 2,
    bytes: (near - 1) * at(slopes.loads.bytes, enginesHere / 2),
  },
  {
    mechanism: 'all routes sent to every daemon, encoded once',
    perS: 1 / WHOLE_EVERY_S,
    cpuUs: at(slopes.routesWhole.cpu, enginesHere) / 2,
    bytes: (DESIGN.daemons - 1) * at(slopes.routesWhole.bytes, enginesHere),
  },
  {
    mechanism: 'plans while something waits, ten a second (placement)',
    perS: 10,
    cpuUs: at(slopes.plan.cpu, enginesHere),
    bytes: 0,
  },
  {
    mechanism: 'demand received from the entry VMs',
    perS: near,
    cpuUs: at(slopes.demand.cpu, requestsHere) / 2,
    bytes: at(slopes.demand.bytes, requestsHere),
  },
  {
    mechanism: 'lease renewal',
    perS: 1,
    cpuUs: at(slopes.lease.cpu, 1),
    bytes: at(slopes.lease.bytes, 1),
  },
];

/** What the lender of a data centre does besides. */
const lender: readonly Cost[] = [
  {
    mechanism: 'loans given to the entry VMs of its data centre (quota task, giver)',
    perS: near * loansPerS,
    cpuUs: at(slopes.loan.cpu, CUSTOMERS) / 2,
    bytes: at(slopes.loan.bytes, CUSTOMERS),
  },
];

function table(lines: readonly Cost[]): string {
  const rows = lines.map(({ mechanism, perS, cpuUs, bytes }) => {
    const core = (perS * cpuUs) / 10_000;
    const kb = (perS * bytes) / 1_000;
    return `| ${mechanism} | ${perS.toFixed(perS < 1 ? 4 : 1)} | ${cpuUs.toFixed(1)} | ${core.toFixed(3)} | ${kb.toFixed(2)} |`;
  });
  const core = lines.reduce((sum, { perS, cpuUs }) => sum + (perS * cpuUs) / 10_000, 0);
  const kb = lines.reduce((sum, { perS, bytes }) => sum + (perS * bytes) / 1_000, 0);
  return [
    '| mechanism | a second | µs each | % of a core | kB/s |',
    '| --- | ---: | ---: | ---: | ---: |',
    ...rows,
    `| **sum** | | | **${core.toFixed(2)}** | **${kb.toFixed(1)}** |`,
  ].join('\n');
}

function slopeTable(): string {
  const rows = Object.values(slopes).map(({ name, points, cpu, bytes, heap }) => {
    const sizes = points.map(({ size }) => size).join(', ');
    const measured = points.map(({ cpuUs }) => cpuUs.toFixed(1)).join(', ');
    return `| ${name} | ${sizes} | ${measured} | ${cpu.slope.toFixed(4)} | ${bytes.base.toFixed(0)} + ${bytes.slope.toFixed(2)}·n | ${heap.slope.toFixed(0)} |`;
  });
  return [
    '| work | sizes n | µs at each | µs per n | bytes | heap bytes per n |',
    '| --- | --- | --- | ---: | ---: | ---: |',
    ...rows,
  ].join('\n');
}

const heapMb =
  (at(slopes.heartbeat.heap, DESIGN.daemons) +
    at(slopes.routesDelta.heap, DESIGN.engines) +
    at(slopes.settings.heap, DESIGN.targets) +
    at(slopes.loan.heap, CUSTOMERS)) /
  1_048_576;
const stewardHeapMb =
  (at(slopes.reading.heap, enginesHere) + at(slopes.plan.heap, enginesHere)) / 1_048_576;

const text = [
  `Measured with Node.js ${process.version} by \`npm run capacity\`.`,
  '',
  '### Slopes',
  '',
  slopeTable(),
  '',
  `### Every daemon (budget: ${BUDGET.corePercent} % of a core, ${BUDGET.memoryMb} MB, ${BUDGET.kbPerS} kB/s)`,
  '',
  table(entry),
  '',
  '### The steward and reader of a data centre, besides',
  '',
  table(steward),
  '',
  '### The lender of a data centre, besides',
  '',
  table(lender),
  '',
  '### State',
  '',
  `Members, routes, settings and accounts of a daemon hold ${heapMb.toFixed(1)} MB of heap; the`,
  `steward's ledgers and history another ${stewardHeapMb.toFixed(1)} MB. ${farEngines} of the routes are those of other data centres.`,
  '',
].join('\n');
console.log(text);
fs.mkdirSync('reports', { recursive: true });
fs.writeFileSync('reports/capacity.md', text);
