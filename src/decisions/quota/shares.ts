/**
 * Splits a customer's limit over the fleet.
 *
 * Each data centre has an equal share. A part of it is the floors of the registered entry VM
 * slots; the lender has the rest, with the floors of the slots that nobody holds.
 */
import type { CustomerLimit } from './types.js';

/** Part of a data centre's share that is split among all its slots. */
export const FLOOR_SHARE = 0.2;
/** A new slot earns nothing for this long, in which the lender learns of it and lowers its share. */
export const SLOT_SETTLE_MS = 10_000;

/** Counts that the split depends on. */
export interface FleetShape {
  readonly dataCentres: number;
  /** Entry VM slots of a data centre. */
  readonly slots: number;
}

function scale(limits: readonly CustomerLimit[], share: number): readonly CustomerLimit[] {
  return limits.map(({ customer, ratePerS, burst }) => ({
    customer,
    ratePerS: ratePerS * share,
    burst: burst * share,
  }));
}

/** What one slot owns. */
export function floorLimits(
  limits: readonly CustomerLimit[],
  { dataCentres, slots }: FleetShape,
): readonly CustomerLimit[] {
  return scale(limits, FLOOR_SHARE / slots / Math.max(1, dataCentres));
}

/** What the lender of a data centre owns while `heldSlots` of its slots are held. */
export function lenderLimits(
  limits: readonly CustomerLimit[],
  { dataCentres, slots }: FleetShape,
  heldSlots: number,
): readonly CustomerLimit[] {
  const floors = (FLOOR_SHARE * Math.min(slots, heldSlots)) / slots;
  return scale(limits, (1 - floors) / Math.max(1, dataCentres));
}
