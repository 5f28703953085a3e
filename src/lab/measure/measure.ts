/** Turns a replay into the brief's measures. */
import type { ReplayResult, RequestRecord } from './replay.js';
import type { CustomerMeasure, Measure, PolicyChoice, Trace } from './types.js';

const MS_PER_HOUR = 3_600_000;

/** The value below which this part of `values` lies. */
export function quantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

function firstTokenMs({ request, firstTokenAtMs }: RequestRecord): number {
  // A request that was never served counts with its whole patience.
  return Math.min(firstTokenAtMs, request.atMs + request.deadlineMs) - request.atMs;
}

function servedInTime(record: RequestRecord): boolean {
  return Number.isFinite(record.firstTokenAtMs) && !record.missed;
}

/**
 * Requests inside their customer's rate, by their place in the trace: up to each of them, whatever
 * the customer sent in any window, refused or not, is within rate and burst.
 */
export function insideRate({ head, requests }: Trace): readonly boolean[] {
  const limits = new Map(head.customers.map((customer) => [customer.name, customer]));
  const levels = new Map(
    head.customers.map(({ name, burst }) => [name, { level: burst, atMs: 0 }]),
  );
  return requests.map(({ customer, atMs, promptTokens, maxTokens }) => {
    const limit = limits.get(customer);
    const bucket = levels.get(customer);
    if (limit === undefined || bucket === undefined) return false;
    const earned = ((atMs - bucket.atMs) * limit.ratePerS) / 1000;
    const level = Math.min(limit.burst, bucket.level + earned) - promptTokens - maxTokens;
    levels.set(customer, { level, atMs });
    return level >= 0;
  });
}

function measureCustomer(customer: string, records: readonly RequestRecord[]): CustomerMeasure {
  return {
    customer,
    requests: records.length,
    servedInTime: records.filter(servedInTime).length,
    p95Ms: quantile(records.map(firstTokenMs), 0.95),
  };
}

function jainIndex(shares: readonly number[]): number {
  const sum = shares.reduce((total, share) => total + share, 0);
  const squares = shares.reduce((total, share) => total + share * share, 0);
  return squares === 0 ? 1 : (sum * sum) / (shares.length * squares);
}

export function measure(
  trace: Trace,
  choice: PolicyChoice,
  seed: number,
  { records, engines, messages }: ReplayResult,
): Measure {
  const inside = insideRate(trace);
  const fair = records.filter((_, index) => inside[index] === true);
  const cold = records.filter((record) => record.cold);
  const wrongful = fair.filter(({ refusedForRate }) => refusedForRate).length;
  const customers = trace.head.customers.map(({ name }) =>
    measureCustomer(
      name,
      fair.filter(({ request }) => request.customer === name),
    ),
  );
  const shares = customers
    .filter(({ requests }) => requests > 0)
    .map(({ servedInTime: served, requests }) => served / requests);
  const idleMbMs = engines.reduce((sum, engine) => sum + engine.idleMbMs / engine.memoryMb, 0);
  const coldMs = cold.map(firstTokenMs);
  return {
    trace: trace.head.name,
    policy: choice.name,
    seed,
    requests: records.length,
    coldStarts: cold.length,
    coldP50Ms: quantile(coldMs, 0.5),
    coldP95Ms: quantile(coldMs, 0.95),
    coldP99Ms: quantile(coldMs, 0.99),
    idleEngineHours: idleMbMs / MS_PER_HOUR,
    worstServed: Math.min(...shares),
    bestServed: Math.max(...shares),
    jain: jainIndex(shares),
    worstP95Ms: Math.max(...customers.map(({ p95Ms }) => p95Ms)),
    insideP99Ms: quantile(fair.map(firstTokenMs), 0.99),
    wrongfulRefusals: wrongful,
    wrongfulShare: wrongful / Math.max(1, fair.length),
    deadlineMisses: records.filter(({ missed }) => missed).length,
    messagesPerS: (messages * 1000) / trace.head.endMs,
    loads: engines.reduce((sum, engine) => sum + engine.loads, 0),
  };
}
