/**
 * Splits customers' limits over the fleet.
 *
 * Each data centre gets an equal share. A fraction of that share is split equally into local
 * reserves, one for each entry VM. The data centre's lender gets the rest.
 */
import type { CustomerLimit } from './types.js';

/** Fraction of a data centre's share that is split into local reserves. */
export const LOCAL_RESERVE_FRACTION = 0.1;

/** Numbers by which the limits are divided. */
export interface FleetSize {
  readonly dataCentres: number;
  /** Local reserves per data centre. */
  readonly localReserves: number;
}

function scale(limits: readonly CustomerLimit[], share: number): readonly CustomerLimit[] {
  return limits.map(({ customer, ratePerS, burst }) => ({
    customer,
    ratePerS: ratePerS * share,
    burst: burst * share,
  }));
}

/** Returns the limits of one local reserve. */
export function localReserveLimits(
  limits: readonly CustomerLimit[],
  { dataCentres, localReserves }: FleetSize,
): readonly CustomerLimit[] {
  return scale(
    limits,
    LOCAL_RESERVE_FRACTION / Math.max(1, localReserves) / Math.max(1, dataCentres),
  );
}

/** Returns the limits of the lender of a data centre. */
export function lenderLimits(
  limits: readonly CustomerLimit[],
  { dataCentres }: FleetSize,
): readonly CustomerLimit[] {
  return scale(limits, (1 - LOCAL_RESERVE_FRACTION) / Math.max(1, dataCentres));
}
