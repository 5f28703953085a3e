/** Forecasts when a queued request gets a free slot, from what is known of all servers of its model. */

/** Servers that have what a request needs, and the requests that go before it. */
export interface QueueState {
  /** Requests that these servers may run at once. */
  readonly usableSlots: number;
  /** Running requests of all entry VMs at these servers. */
  readonly running: number;
  /** Average duration of a run, ms; null if it is unknown. */
  readonly runMs: number | null;
  /** Queued requests over all entry VMs that are served before this one. */
  readonly ahead: number;
}

/**
 * Expected time until a request gets a slot, ms; null if it is unknown. Runs end at an even rate; queued
 * requests for other models of the same servers are not counted, so it rather is too short than too long.
 */
export function slotWaitMs({ usableSlots, running, runMs, ahead }: QueueState): number | null {
  if (runMs === null || usableSlots === 0) return null;
  const missing = ahead + 1 - Math.max(0, usableSlots - running);
  if (missing <= 0) return 0;
  return running === 0 ? null : (missing * runMs) / running;
}
