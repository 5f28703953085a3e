/** Merges the demand that several entry VMs report into one entry per target. */
import type { WakeDemand } from './types.js';

function join(a: WakeDemand, b: WakeDemand): WakeDemand {
  return {
    target: a.target,
    waiting: a.waiting + b.waiting,
    earliestDeadlineAtMs: Math.min(a.earliestDeadlineAtMs, b.earliestDeadlineAtMs),
    oldestAtMs: Math.min(a.oldestAtMs, b.oldestAtMs),
    customers: [...new Set([...a.customers, ...b.customers])],
  };
}

/** Returns one demand per target, in the order in which targets first appear. */
export function joinDemands(demands: readonly WakeDemand[]): readonly WakeDemand[] {
  const joined = new Map<string, WakeDemand>();
  demands.forEach((demand) => {
    const known = joined.get(demand.target);
    joined.set(demand.target, known === undefined ? demand : join(known, demand));
  });
  return [...joined.values()];
}
