/** Message and planning intervals that bound the steward's load in fleets of any size. */

/** Minimum interval between messages, ms. Changes would not take effect sooner with less. */
const MIN_MESSAGE_INTERVAL_MS = 60;
/** Maximum messages per second, in each direction, between a steward and all its members. */
const MAX_MESSAGES_PER_S = 400;
const MS_PER_S = 1000;
/** Bounds of the interval between planning passes, ms, and its length per engine, ms. */
const MIN_PLANNING_INTERVAL_MS = 20;
const MAX_PLANNING_INTERVAL_MS = 150;
const PLANNING_INTERVAL_MS_PER_ENGINE = 0.5;

/** Interval between two regular messages of one member, ms. */
export function messageIntervalMs(members: number): number {
  return Math.max(MIN_MESSAGE_INTERVAL_MS, (members * MS_PER_S) / MAX_MESSAGES_PER_S);
}

/** Minimum interval at which an entry VM repeats a request for permits, ms. */
const MIN_PERMIT_REPEAT_MS = 250;

/** Interval at which one member repeats its requests for permits of throttled servers, ms. */
export function permitRepeatMs(members: number, servers: number): number {
  return Math.max(MIN_PERMIT_REPEAT_MS, (members * servers * MS_PER_S) / MAX_MESSAGES_PER_S);
}

/** Minimum interval between two messages of one member about slots of brittle servers, ms. */
export function slotIntervalMs(members: number): number {
  return (members * MS_PER_S) / MAX_MESSAGES_PER_S;
}

/** Minimum interval between two writes of a VM's own streams, ms. */
const MIN_OWN_WRITE_INTERVAL_MS = 100;
/** Maximum writes per second of all VMs for their own streams: a quarter of the store's rate. */
const MAX_OWN_WRITES_PER_S = 100;

/** Interval at which a VM without a connected steward stores its own streams, ms. */
export function ownWriteIntervalMs(members: number): number {
  return Math.max(MIN_OWN_WRITE_INTERVAL_MS, (members * MS_PER_S) / MAX_OWN_WRITES_PER_S);
}

/** Interval between the steward's planning passes over all engines and pending demand, ms. */
export function planningIntervalMs(engines: number): number {
  return Math.min(
    MAX_PLANNING_INTERVAL_MS,
    Math.max(MIN_PLANNING_INTERVAL_MS, engines * PLANNING_INTERVAL_MS_PER_ENGINE),
  );
}
