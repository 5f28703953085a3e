/** What the demo saw, as a table, and whether it was right. */
import { control, type Fleet } from '../fleet/index.js';
import type { PlayResult, TraceLine } from './player.js';

export interface Verdict {
  readonly orders: number;
  readonly loads: number;
  readonly faults: readonly string[];
}

interface ServiceCounters {
  readonly runs: Readonly<Record<string, number>>;
  readonly keysSeen: readonly string[];
}

interface EngineCounters {
  readonly engineId: string;
  readonly loadsStarted: number;
  readonly overcommits: number;
  readonly keysSeen: readonly string[];
}

function nameOf({ kind, model, order, item, atMs }: TraceLine): string {
  return `${kind} ${model ?? order ?? item ?? ''} at ${atMs} ms`;
}

function requestFaults(results: readonly PlayResult[]): readonly string[] {
  return results
    .filter(({ whole, status, ran }) => !whole && (status < 400 || ran === null))
    .map(({ line, status, ran }) => `${nameOf(line)}: status ${status}, ran ${ran ?? 'not said'}`);
}

function orderFaults(
  results: readonly PlayResult[],
  runs: Readonly<Record<string, number>>,
): readonly string[] {
  const orders = results.filter(({ line }) => line.kind === 'order');
  const twice = Object.entries(runs)
    .filter(([, count]) => count > 1)
    .map(([order, count]) => `order ${order} ran ${count} times`);
  const lost = orders
    .filter(({ line, whole }) => whole && runs[line.order ?? ''] !== 1)
    .map(({ line }) => `order ${line.order} was answered but not recorded`);
  const untrue = orders
    .filter(({ line, whole, ran }) => !whole && ran === 'no' && line.order !== undefined)
    .filter(({ line }) => (runs[line.order ?? ''] ?? 0) > 0)
    .map(({ line }) => `order ${line.order} was refused as not run, but ran`);
  return [...twice, ...lost, ...untrue];
}

/** Compares what callers saw with what the stand-ins counted. */
export async function judge(fleet: Fleet, results: readonly PlayResult[]): Promise<Verdict> {
  const services = await Promise.all(
    fleet.services.map(({ started }) =>
      control<ServiceCounters>(started.address ?? '', '/_counters'),
    ),
  );
  const engines = await Promise.all(
    [...fleet.engines.values()].map(({ started }) =>
      control<EngineCounters>(started.address ?? '', '/_counters'),
    ),
  );
  const runs: Record<string, number> = {};
  services
    .flatMap((service) => Object.entries(service.runs))
    .forEach(([order, count]) => {
      runs[order] = (runs[order] ?? 0) + count;
    });
  const keys = [...services, ...engines].flatMap(({ keysSeen }) => keysSeen);
  const overcommitted = engines.filter(({ overcommits }) => overcommits > 0);
  return {
    orders: Object.keys(runs).length,
    loads: engines.reduce((sum, { loadsStarted }) => sum + loadsStarted, 0),
    faults: [
      ...requestFaults(results),
      ...orderFaults(results, runs),
      ...keys.map((key) => `a backend server saw the key ${key}`),
      ...overcommitted.map(({ engineId }) => `${engineId} was given more than its memory`),
    ],
  };
}

function quantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

export function printReport(results: readonly PlayResult[], verdict: Verdict): void {
  const kinds = [...new Set(results.map(({ line }) => line.kind))];
  console.table(
    kinds.map((kind) => {
      const rows = results.filter(({ line }) => line.kind === kind);
      const times = rows.map(({ ms }) => ms);
      return {
        kind,
        requests: rows.length,
        whole: rows.filter(({ whole }) => whole).length,
        refused: rows.filter(({ whole, status }) => !whole && status >= 400).length,
        'sent again': rows.filter(({ attempts }) => attempts > 1).length,
        'p50 ms': Math.round(quantile(times, 0.5)),
        'p99 ms': Math.round(quantile(times, 0.99)),
      };
    }),
  );
  console.log(`${verdict.orders} orders recorded, each once; ${verdict.loads} loads ordered`);
  verdict.faults.forEach((fault) => console.log(`FAULT ${fault}`));
  console.log(verdict.faults.length === 0 ? 'all as it must be' : 'not as it must be');
}
