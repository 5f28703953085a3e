/** One exact token bucket for the whole fleet: the best that any split can do, and the judge. */
import type { Arrival, Outcome, QuotaShape } from './types.js';

interface Bucket {
  level: number;
  atMs: number;
}

/** Admits each request as early as one bucket allows, in the order of arrival. */
export function runExact(shape: QuotaShape, arrivals: readonly Arrival[]): readonly Outcome[] {
  const buckets = new Map<string, Bucket>(
    shape.limits.map(({ customer, burst }) => [customer, { level: burst, atMs: 0 }]),
  );
  return arrivals.map((arrival) => {
    const limit = shape.limits.find(({ customer }) => customer === arrival.customer);
    const bucket = buckets.get(arrival.customer);
    if (limit === undefined || bucket === undefined) {
      return { arrival, admitted: false, atMs: arrival.atMs };
    }
    const { ratePerS, burst } = limit;
    const startMs = Math.max(arrival.atMs, bucket.atMs);
    const level = Math.min(burst, bucket.level + ((startMs - bucket.atMs) * ratePerS) / 1000);
    const waitMs = (Math.max(0, arrival.tokens - level) / ratePerS) * 1000;
    const atMs = startMs + waitMs;
    const fits = arrival.tokens <= burst && atMs <= arrival.atMs + arrival.patienceMs;
    if (!fits) return { arrival, admitted: false, atMs: arrival.atMs };
    bucket.level = Math.min(burst, level + (waitMs * ratePerS) / 1000) - arrival.tokens;
    bucket.atMs = atMs;
    return { arrival, admitted: true, atMs };
  });
}

/** How far the admitted tokens exceed rate and burst in the worst window; 0 where they never do. */
export function worstOvershoot(
  outcomes: readonly Outcome[],
  ratePerS: number,
  burst: number,
): number {
  const admitted = outcomes.filter((outcome) => outcome.admitted).sort((a, b) => a.atMs - b.atMs);
  // The fullest state of a bucket that would admit all of them: its deficit below an empty bucket.
  let level = burst;
  let atMs = 0;
  return admitted.reduce((worst, { atMs: nextMs, arrival }) => {
    level = Math.min(burst, level + ((nextMs - atMs) * ratePerS) / 1000) - arrival.tokens;
    atMs = nextMs;
    return Math.max(worst, -level);
  }, 0);
}
