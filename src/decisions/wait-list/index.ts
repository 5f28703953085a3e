/**
 * Orders the requests that are queued on one entry VM for a model, an adapter or a free slot, and
 * decides when to reject them.
 *
 * The lowest priority number goes first, then the earliest latency objective. A request waits for a
 * load that ends in time. If no load is in progress or queued, the request is rejected after a
 * fraction of its time budget. If the load will end too late, the request is rejected at once,
 * unless a server already has the model or adapter loaded. The rejection gives the end of the load
 * as the time to retry. The same holds for a request whose permit for a throttled server comes after
 * its latency objective: permits that go to late requests make later ones late as well. A stream that
 * broke off is never rejected at once, since a cut does not tell its caller when to retry.
 */

import type { Prompt } from '../prompt-cache/index.js';

export { type QueueState, slotWaitMs } from './forecast.js';

/** A request that is queued on an entry VM. */
export interface QueuedRequest {
  readonly id: string;
  readonly service: string;
  readonly model: string | null;
  readonly adapter: string | null;
  /** Software version of the servers that may run it; null for any. Set when a stream begins. */
  version: string | null;
  /** Data centres of the servers that may run it; null or undefined for any. */
  readonly dataCentres?: readonly string[] | null;
  /** Whether it is a stream that broke off, of which its caller has a part. */
  isInterrupted: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly objectiveAtMs: number;
  /** Time at which the caller or the route times out unless a first byte has been sent. */
  readonly deadlineAtMs: number;
  /** Undefined if the request does not declare its prompt. */
  readonly prompt?: Prompt;
  /** Tokens that it may need at a server: prompt and largest output; undefined if unknown. */
  readonly tokens?: number;
}

/** Fraction of the time budget after which a queued request is rejected. */
const MAX_WAIT_FRACTION = 0.45;
/** Fraction of the time budget within which a load must end for a request to wait for it. */
const MAX_LOAD_FRACTION = 0.7;
/** Time that is left for the first token after a slot is free: a fraction of the budget, and at most, ms. */
const RESERVED_FRACTION = 0.1;
const MAX_RESERVED_MS = 300;
/** Minimum retry delay, ms. */
const MIN_RETRY_MS = 250;
/** Retry delay if no load of the model or adapter is in progress or queued, ms. */
const DEFAULT_RETRY_MS = 1_000;

/** Compares queued requests by the order in which they are served. */
export function byUrgency(a: QueuedRequest, b: QueuedRequest): number {
  return a.priority - b.priority || a.objectiveAtMs - b.objectiveAtMs;
}

/** Availability of the model or adapter that a queued request needs. */
export interface TargetAvailability {
  /** Expected end of the first load; null if none is in progress or queued. */
  readonly readyAtMs: number | null;
  /** Whether a server has the model or adapter loaded and may have a free slot soon. */
  readonly isLoaded: boolean;
  /**
   * Expected time of a permit if all servers are throttled; null if none is needed, or if the time
   * is unknown.
   */
  readonly permitAtMs: number | null;
  /** Expected time of a free slot at a server that has it loaded; null or undefined if unknown. */
  readonly slotAtMs?: number | null;
}

/** Returns the time at which a request that is still queued is rejected. */
export function rejectAtMs(
  req: QueuedRequest,
  { readyAtMs, isLoaded, permitAtMs, slotAtMs = null }: TargetAvailability,
): number {
  const budgetMs = req.deadlineAtMs - req.arrivedAtMs;
  const waitUntilMs = req.arrivedAtMs + budgetMs * MAX_WAIT_FRACTION;
  const waitForLoadUntilMs = req.arrivedAtMs + budgetMs * MAX_LOAD_FRACTION;
  if (req.isInterrupted) return waitForLoadUntilMs;
  if (permitAtMs !== null && permitAtMs > req.objectiveAtMs) return req.arrivedAtMs;
  if (slotAtMs !== null && isLoaded) {
    // Late is better than not at all: the request waits while it can still be served in time.
    const lastMs = req.deadlineAtMs - Math.min(MAX_RESERVED_MS, budgetMs * RESERVED_FRACTION);
    // A load that ends in time brings more slots than the forecast knows of.
    const firstMs = Math.min(slotAtMs, readyAtMs ?? Infinity);
    return firstMs <= lastMs ? lastMs : req.arrivedAtMs;
  }
  if (readyAtMs === null) return waitUntilMs;
  if (readyAtMs <= waitForLoadUntilMs) return waitForLoadUntilMs;
  return isLoaded ? waitUntilMs : req.arrivedAtMs;
}

/** Returns the time after which a rejected caller should retry, ms. */
export function retryAfterMs(nowMs: number, readyAtMs: number | null): number {
  if (readyAtMs === null) return DEFAULT_RETRY_MS;
  return Math.max(MIN_RETRY_MS, readyAtMs - nowMs);
}

/** A rejected request whose caller was given a time to retry. */
export interface ExpectedRetry extends Pick<
  QueuedRequest,
  'service' | 'model' | 'adapter' | 'version' | 'dataCentres'
> {
  readonly atMs: number;
}

/** Time after the given retry time at which a retry is no longer expected, ms. */
const RETRY_GRACE_MS = 1_000;
/** Maximum number of expected retries; the oldest entries are dropped. */
const MAX_EXPECTED_RETRIES = 256;

/**
 * Records requests that were rejected because their load ends too late. They still count as demand,
 * so that the load is carried out before the retries arrive.
 */
export class ExpectedRetries {
  private expected: readonly ExpectedRetry[] = [];

  note(expected: ExpectedRetry): void {
    this.expected = [...this.expected, expected].slice(-MAX_EXPECTED_RETRIES);
  }

  /** Returns the retries that are still expected. */
  all(nowMs: number): readonly ExpectedRetry[] {
    this.expected = this.expected.filter(({ atMs }) => nowMs < atMs + RETRY_GRACE_MS);
    return this.expected;
  }
}
