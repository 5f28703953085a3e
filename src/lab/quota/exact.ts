/**
 * Reference for quota admission: one exact token bucket for the whole fleet. Admission that is
 * divided between entry VMs can at best reach its result.
 */
import type { Arrival, Outcome, QuotaScenario } from './types.js';

interface Bucket {
  /** Remaining tokens at `atMs`. */
  level: number;
  atMs: number;
}

/** Admits each request at the earliest time that one bucket allows, in order of arrival. */
export function runExact(
  scenario: QuotaScenario,
  arrivals: readonly Arrival[],
): readonly Outcome[] {
  const buckets = new Map<string, Bucket>(
    scenario.limits.map(({ customer, burst }) => [customer, { level: burst, atMs: 0 }]),
  );
  return arrivals.map((arrival) => {
    const limit = scenario.limits.find(({ customer }) => customer === arrival.customer);
    const bucket = buckets.get(arrival.customer);
    if (limit === undefined || bucket === undefined) {
      return { arrival, admitted: false, atMs: arrival.atMs };
    }
    const { ratePerS, burst } = limit;
    const startMs = Math.max(arrival.atMs, bucket.atMs);
    const level = Math.min(burst, bucket.level + ((startMs - bucket.atMs) * ratePerS) / 1000);
    const waitMs = (Math.max(0, arrival.tokens - level) / ratePerS) * 1000;
    const atMs = startMs + waitMs;
    const fits = arrival.tokens <= burst && atMs <= arrival.atMs + arrival.maxWaitMs;
    if (!fits) return { arrival, admitted: false, atMs: arrival.atMs };
    bucket.level = Math.min(burst, level + (waitMs * ratePerS) / 1000) - arrival.tokens;
    bucket.atMs = atMs;
    return { arrival, admitted: true, atMs };
  });
}

/** Maximum excess of the admitted tokens over rate and burst in any time window; 0 for none. */
export function maxOvershoot(
  outcomes: readonly Outcome[],
  ratePerS: number,
  burst: number,
): number {
  const admitted = outcomes.filter((outcome) => outcome.admitted).sort((a, b) => a.atMs - b.atMs);
  // A bucket is charged for all admitted requests; its deepest negative level is the excess.
  let level = burst;
  let atMs = 0;
  return admitted.reduce((maxExcess, { atMs: nextMs, arrival }) => {
    level = Math.min(burst, level + ((nextMs - atMs) * ratePerS) / 1000) - arrival.tokens;
    atMs = nextMs;
    return Math.max(maxExcess, -level);
  }, 0);
}
