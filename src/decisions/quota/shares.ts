/**
 * Splits customers' limits over the fleet.
 *
 * Each data centre gets an equal share. A fraction of it is split equally into local reserves, one
 * for each entry VM; the data centre's lender gets the rest.
 */
import type { CustomerLimit } from './types.js';

/** Fraction of a data centre's share that is split into local reserves. */
export const LOCAL_RESERVE_FRACTION = 0.1;

/** Size of the fleet. */
export interface FleetShape {
  readonly dataCentres: number;
  /** Local reserves per data centre. */
  readonly floors: number;
}

function scale(limits: readonly CustomerLimit[], share: number): readonly CustomerLimit[] {
  return limits.map(({ customer, ratePerS, burst }) => ({
    customer,
    ratePerS: ratePerS * share,
    burst: burst * share,
  }));
}

/** Returns the limits of one local reserve. */
export function floorLimits(
  limits: readonly CustomerLimit[],
  { dataCentres, floors }: FleetShape,
): readonly CustomerLimit[] {
  return scale(limits, LOCAL_RESERVE_FRACTION / Math.max(1, floors) / Math.max(1, dataCentres));
}

/** Returns the limits of the lender of a data centre. */
export function lenderLimits(
  limits: readonly CustomerLimit[],
  { dataCentres }: FleetShape,
): readonly CustomerLimit[] {
  return scale(limits, (1 - LOCAL_RESERVE_FRACTION) / Math.max(1, dataCentres));
}
