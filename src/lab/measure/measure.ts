/** Computes the measures of a replay. */
import type { ReplayResult, RequestRecord } from './replay.js';
import type { CustomerMeasure, Measure, PolicyChoice, Trace } from './types.js';

const MS_PER_HOUR = 3_600_000;

/** The value at `fraction` (0 to 1) of the sorted values; 0 without values. */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

function firstTokenMs({ request, firstTokenAtMs }: RequestRecord): number {
  // A request without a first token counts with its full time budget.
  return Math.min(firstTokenAtMs, request.atMs + request.deadlineMs) - request.atMs;
}

function isServedInTime(record: RequestRecord): boolean {
  return Number.isFinite(record.firstTokenAtMs) && !record.missedDeadline;
}

/**
 * Whether each request of the trace is within its customer's rate. A token bucket is charged for
 * every request, refused or not; a request is within the rate when the bucket does not go negative.
 */
export function markWithinRate({ header, requests }: Trace): readonly boolean[] {
  const limits = new Map(header.customers.map((customer) => [customer.name, customer]));
  const buckets = new Map(
    header.customers.map(({ name, burst }) => [name, { level: burst, atMs: 0 }]),
  );
  return requests.map(({ customer, atMs, promptTokens, maxTokens }) => {
    const limit = limits.get(customer);
    const bucket = buckets.get(customer);
    if (limit === undefined || bucket === undefined) return false;
    const earned = ((atMs - bucket.atMs) * limit.ratePerS) / 1000;
    const level = Math.min(limit.burst, bucket.level + earned) - promptTokens - maxTokens;
    buckets.set(customer, { level, atMs });
    return level >= 0;
  });
}

function measureCustomer(customer: string, records: readonly RequestRecord[]): CustomerMeasure {
  return {
    customer,
    requests: records.length,
    servedInTime: records.filter(isServedInTime).length,
    p95Ms: quantile(records.map(firstTokenMs), 0.95),
  };
}

/** Jain's fairness index: 1 when all values are equal, 1/n when one value is positive. */
function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

/** Measures of the replay of `trace` under the policy `choice`. */
export function measure(
  trace: Trace,
  choice: PolicyChoice,
  seed: number,
  { records, engines, messages }: ReplayResult,
): Measure {
  const withinRate = markWithinRate(trace);
  const inRate = records.filter((_, index) => withinRate[index] === true);
  const cold = records.filter((record) => record.cold);
  const wrongfulRefusals = inRate.filter(({ refusedByQuota }) => refusedByQuota).length;
  const customers = trace.header.customers.map(({ name }) =>
    measureCustomer(
      name,
      inRate.filter(({ request }) => request.customer === name),
    ),
  );
  const servedFractions = customers
    .filter(({ requests }) => requests > 0)
    .map(({ servedInTime: served, requests }) => served / requests);
  const idleMbMs = engines.reduce((sum, engine) => sum + engine.idleMbMs / engine.memoryMb, 0);
  const coldMs = cold.map(firstTokenMs);
  return {
    trace: trace.header.name,
    policy: choice.name,
    seed,
    requests: records.length,
    coldStarts: cold.length,
    coldP50Ms: quantile(coldMs, 0.5),
    coldP95Ms: quantile(coldMs, 0.95),
    coldP99Ms: quantile(coldMs, 0.99),
    idleEngineHours: idleMbMs / MS_PER_HOUR,
    worstServed: Math.min(...servedFractions),
    bestServed: Math.max(...servedFractions),
    jain: jainIndex(servedFractions),
    worstP95Ms: Math.max(...customers.map(({ p95Ms }) => p95Ms)),
    insideP99Ms: quantile(inRate.map(firstTokenMs), 0.99),
    wrongfulRefusals,
    wrongfulShare: wrongfulRefusals / Math.max(1, inRate.length),
    deadlineMisses: records.filter(({ missedDeadline }) => missedDeadline).length,
    messagesPerS: (messages * 1000) / trace.header.endMs,
    loads: engines.reduce((sum, engine) => sum + engine.loads, 0),
  };
}
