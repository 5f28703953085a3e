/** Decides which replicas of a throttled engine still count as serving their models. */

/** Fraction of the limit that is planned for, since request rates vary. */
const PLANNED_FRACTION = 0.8;

interface LoadedReplica {
  readonly model: string;
  readonly adapters: ReadonlySet<string>;
}

/**
 * The replicas whose requests together keep the limit, the least requested models first. The demand
 * for the others must be served by other engines.
 * @param ratePerS Requests per second for a model that each of its replicas gets.
 */
export function servableReplicas<T extends LoadedReplica>(
  replicas: readonly T[],
  requestsPerS: number,
  ratePerS: (model: string) => number,
): readonly T[] {
  // Adapters take orders as well, about one for each request.
  const costOf = ({ model, adapters }: T) => ratePerS(model) * (adapters.size > 0 ? 2 : 1);
  let left = requestsPerS * PLANNED_FRACTION;
  const servable = [...replicas]
    .sort((a, b) => costOf(a) - costOf(b))
    .filter((replica) => {
      left -= costOf(replica);
      return left >= 0;
    });
  return replicas.filter((replica) => servable.includes(replica));
}
