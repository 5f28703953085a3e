/** Checks the results of the demo and prints them as a table. */
import { callControlEndpoint, type Fleet } from '../fleet/index.js';
import type { RequestResult, TraceLine } from './trace-sender.js';

/** Counters of the stand-ins and violated guarantees. */
export interface DemoSummary {
  /** Number of different orders that were executed. */
  readonly orders: number;
  /** Model loads that the engines started. */
  readonly loads: number;
  /** Descriptions of the violations; empty when all checks passed. */
  readonly faults: readonly string[];
}

/** Counters of a service stand-in. */
interface ServiceCounters {
  /** Executions by order. */
  readonly runs: Readonly<Record<string, number>>;
  /** API keys that arrived in requests; the entry VMs must remove them. */
  readonly keysSeen: readonly string[];
}

/** Counters of an engine stand-in. */
interface EngineCounters {
  readonly engineId: string;
  readonly loadsStarted: number;
  /** Loads that exceeded the memory of the engine. */
  readonly overcommits: number;
  /** API keys that arrived in requests; the entry VMs must remove them. */
  readonly keysSeen: readonly string[];
}

function describeLine({ kind, model, order, item, atMs }: TraceLine): string {
  return `${kind} ${model ?? order ?? item ?? ''} at ${atMs} ms`;
}

/** Requests that neither completed nor failed with a known execution status. */
function requestFaults(results: readonly RequestResult[]): readonly string[] {
  return results
    .filter(({ whole, status, ran }) => !whole && (status < 400 || ran === null))
    .map(
      ({ line, status, ran }) =>
        `${describeLine(line)}: status ${status}, execution status ${ran ?? 'missing'}`,
    );
}

/** Orders that were executed twice, lost, or executed despite being reported as not executed. */
function orderFaults(
  results: readonly RequestResult[],
  runs: Readonly<Record<string, number>>,
): readonly string[] {
  const orders = results.filter(({ line }) => line.kind === 'order');
  const repeated = Object.entries(runs)
    .filter(([, count]) => count > 1)
    .map(([order, count]) => `order ${order} was executed ${count} times`);
  const lost = orders
    .filter(({ line, whole }) => whole && runs[line.order ?? ''] !== 1)
    .map(({ line }) => `order ${line.order} was confirmed but its execution count is not 1`);
  const misreported = orders
    .filter(({ line, whole, ran }) => !whole && ran === 'no' && line.order !== undefined)
    .filter(({ line }) => (runs[line.order ?? ''] ?? 0) > 0)
    .map(({ line }) => `order ${line.order} was reported as not executed, but was executed`);
  return [...repeated, ...lost, ...misreported];
}

/** Compares the responses that callers received with the counters of the stand-ins. */
export async function summarize(
  fleet: Fleet,
  results: readonly RequestResult[],
): Promise<DemoSummary> {
  const services = await Promise.all(
    fleet.services.map(({ started }) =>
      callControlEndpoint<ServiceCounters>(started.address ?? '', '/_counters'),
    ),
  );
  const engines = await Promise.all(
    [...fleet.engines.values()].map(({ started }) =>
      callControlEndpoint<EngineCounters>(started.address ?? '', '/_counters'),
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
      ...keys.map((key) => `a backend server received the API key ${key}`),
      ...overcommitted.map(({ engineId }) => `${engineId} received loads that exceed its memory`),
    ],
  };
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

export function printReport(results: readonly RequestResult[], summary: DemoSummary): void {
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
        'with retries': rows.filter(({ attempts }) => attempts > 1).length,
        'p50 ms': Math.round(quantile(times, 0.5)),
        'p99 ms': Math.round(quantile(times, 0.99)),
      };
    }),
  );
  console.log(`${summary.orders} different orders executed; ${summary.loads} model loads started`);
  summary.faults.forEach((fault) => console.log(`FAULT ${fault}`));
  console.log(summary.faults.length === 0 ? 'all checks passed' : 'checks failed');
}
