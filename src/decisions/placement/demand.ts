/** Merges the demand that several entry VMs report into one entry per target. */
import type { ReplicaDemand } from './types.js';

function join(a: ReplicaDemand, b: ReplicaDemand): ReplicaDemand {
  return {
    target: a.target,
    waiting: a.waiting + b.waiting,
    earliestDeadlineAtMs: Math.min(a.earliestDeadlineAtMs, b.earliestDeadlineAtMs),
    oldestAtMs: Math.min(a.oldestAtMs, b.oldestAtMs),
    customers: [...new Set([...a.customers, ...b.customers])],
  };
}

/** Returns one demand per target, in the order in which targets first appear. */
export function joinDemands(demands: readonly ReplicaDemand[]): readonly ReplicaDemand[] {
  const joined = new Map<string, ReplicaDemand>();
  demands.forEach((demand) => {
    const known = joined.get(demand.target);
    joined.set(demand.target, known === undefined ? demand : join(known, demand));
  });
  return [...joined.values()];
}
