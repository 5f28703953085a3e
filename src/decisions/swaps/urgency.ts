/** The order in which demands are served. */
import type { PendingDemand, SwapView } from './types.js';

/** Time before the latency objective of a demand at which its urgency starts to grow, ms. */
const URGENCY_LEAD_MS = 2_000;
/** Time in which the urgency grows by 1, as much as one more queued request adds, ms. */
const URGENCY_STEP_MS = 700;

/**
 * Returns the urgency of a demand: one for each queued request, plus an amount that grows from
 * `URGENCY_LEAD_MS` before the latency objective. Long queues go first, but a single request does
 * not starve.
 */
function urgencyOf(nowMs: number, { waiting, dueAtMs }: PendingDemand): number {
  return waiting + Math.max(0, nowMs - dueAtMs + URGENCY_LEAD_MS) / URGENCY_STEP_MS;
}

export function inOrderOfUrgency({ nowMs, pendingDemand }: SwapView): readonly PendingDemand[] {
  return [...pendingDemand].sort((a, b) => urgencyOf(nowMs, b) - urgencyOf(nowMs, a));
}
