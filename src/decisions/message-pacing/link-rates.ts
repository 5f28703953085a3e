/** Classifies link rates by the control traffic of a fleet. */

const BYTES_PER_S_PER_MBPS = 125_000;
/** Part of its link rate that a steward's control traffic may take, in each direction. */
const CONTROL_FRACTION = 0.5;
/**
 * Link rate from which a VM can be steward of a large fleet, Mbit/s. At the bound of 400 messages
 * per second, reports and replies of a fleet of any size take about 0.6 MB/s in each direction.
 */
const MIN_STEWARD_MBPS = 10;
/** Longer wait of a VM with a slow link before it acquires a free lease, as a fraction of the lease. */
const WAIT_FRACTION = 1 / 4;

/** Bytes per second that a steward's link can carry for control messages; null if it is unknown. */
export function controlBytesPerS(linkMbps: number | null): number | null {
  return linkMbps === null ? null : linkMbps * BYTES_PER_S_PER_MBPS * CONTROL_FRACTION;
}

/** Whether a link is too slow for the control traffic of a large fleet. */
export function isSlowLink(linkMbps: number | null): boolean {
  return linkMbps !== null && linkMbps < MIN_STEWARD_MBPS;
}

/** Whether a steward that announces these bytes per second has a slow link. */
export function isSlowBudget(bytesPerS: number | null): boolean {
  return bytesPerS !== null && bytesPerS < (controlBytesPerS(MIN_STEWARD_MBPS) ?? 0);
}

/** The best of the links of a fleet; an unknown one counts as fast, and is null. */
export function bestLinkMbps(links: readonly (number | null)[]): number | null {
  const known = links.filter((mbps) => mbps !== null);
  return known.length < links.length || known.length === 0 ? null : Math.max(...known);
}

/**
 * Time for which a VM leaves a free lease to VMs with faster links, ms.
 * @param bestMbps Best link rate of the fleet: undefined if no steward has stated it yet, and null if
 * a VM does not know its own.
 */
export function acquireWaitMs(
  ownMbps: number | null,
  bestMbps: number | null | undefined,
  leaseMs: number,
): number {
  const hasNoBetter = bestMbps !== undefined && isSlowLink(bestMbps);
  return isSlowLink(ownMbps) && !hasNoBetter ? leaseMs * WAIT_FRACTION : 0;
}
