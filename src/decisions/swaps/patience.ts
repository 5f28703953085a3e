/**
 * Learns how long the callers of each model wait for a first response, from the demands.
 *
 * A model whose callers accept several seconds can be evicted and loaded again from a copy without a
 * late response. A model of which no request was queued so far counts as urgent.
 */
import type { PendingDemand } from './types.js';

/** Time before the latency objective from which on a demand is urgent, ms: a few loads from a copy. */
export const URGENCY_LEAD_MS = 2_000;
/** Time after which a shorter objective is forgotten, ms. */
const OBJECTIVE_TTL_MS = 30_000;

interface Objective {
  readonly ms: number;
  readonly atMs: number;
}

export class PatienceTracker {
  private readonly objectives = new Map<string, Objective>();

  private pending = new Set<string>();

  /** Records the models that have just come into demand: their objective is still ahead in full. */
  note(nowMs: number, demand: readonly PendingDemand[]): void {
    demand
      .filter(({ model }) => !this.pending.has(model))
      .forEach(({ model, dueAtMs }) => {
        const ms = dueAtMs - nowMs;
        const before = this.objectives.get(model);
        const isShorter = before === undefined || ms <= before.ms;
        if (isShorter || nowMs - before.atMs > OBJECTIVE_TTL_MS)
          this.objectives.set(model, { ms, atMs: nowMs });
      });
    this.pending = new Set(demand.map(({ model }) => model));
  }

  /** Latency objective by model, ms. */
  all(): ReadonlyMap<string, number> {
    return new Map([...this.objectives].map(([model, { ms }]) => [model, ms]));
  }
}

/** Weight of requests that have the given time left, 0 to 1: less than 1 while they are not urgent. */
export function urgencyWeight(leftMs: number): number {
  return leftMs <= URGENCY_LEAD_MS ? 1 : URGENCY_LEAD_MS / leftMs;
}
