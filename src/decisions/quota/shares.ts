/**
 * Splits a customer's limit over the fleet.
 *
 * Each data centre has an equal share. A part of it is split into floors, one for each entry VM;
 * the lender has the rest.
 */
import type { CustomerLimit } from './types.js';

/** Part of a data centre's share that is split into floors. */
export const FLOOR_SHARE = 0.1;

/** Counts that the split depends on. */
export interface FleetShape {
  readonly dataCentres: number;
  /** Floors of a data centre. */
  readonly floors: number;
}

function scale(limits: readonly CustomerLimit[], share: number): readonly CustomerLimit[] {
  return limits.map(({ customer, ratePerS, burst }) => ({
    customer,
    ratePerS: ratePerS * share,
    burst: burst * share,
  }));
}

/** What one floor owns. */
export function floorLimits(
  limits: readonly CustomerLimit[],
  { dataCentres, floors }: FleetShape,
): readonly CustomerLimit[] {
  return scale(limits, FLOOR_SHARE / Math.max(1, floors) / Math.max(1, dataCentres));
}

/** What the lender of a data centre owns. */
export function lenderLimits(
  limits: readonly CustomerLimit[],
  { dataCentres }: FleetShape,
): readonly CustomerLimit[] {
  return scale(limits, (1 - FLOOR_SHARE) / Math.max(1, dataCentres));
}
