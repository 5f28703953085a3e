/** The order in which demands are served. */
import { URGENCY_LEAD_MS, urgencyWeight } from './patience.js';
import type { PendingDemand, SwapView } from './types.js';
import { copiedModels } from './view-index.js';

/** Time in which the urgency grows by 1, as much as one more queued request adds, ms. */
const URGENCY_STEP_MS = 700;

/**
 * Returns the urgency of a demand: one for each queued request, less while it has time left, plus an
 * amount that grows from `URGENCY_LEAD_MS` before the latency objective. Long queues go first, but a
 * single request does not starve.
 * @param loadMs Time of a load if it has to come from the weight store; 0 otherwise.
 */
function urgencyOf(nowMs: number, { waiting, dueAtMs }: PendingDemand, loadMs: number): number {
  const weighted = waiting * urgencyWeight(dueAtMs - nowMs - loadMs);
  return weighted + Math.max(0, nowMs - dueAtMs + URGENCY_LEAD_MS) / URGENCY_STEP_MS;
}

export function inOrderOfUrgency({
  nowMs,
  engines,
  pendingDemand,
}: SwapView): readonly PendingDemand[] {
  const healthy = engines.filter((engine) => engine.healthy);
  const copied = new Set(
    healthy.flatMap((engine) => [
      ...copiedModels(engine),
      ...engine.replicas.map(({ model }) => model),
    ]),
  );
  const loadMs = ({ service, model }: PendingDemand) => {
    const engine = healthy.find((candidate) => candidate.service === service);
    return copied.has(model) ? 0 : (engine?.spec.models.get(model)?.remoteLoadMs ?? 0);
  };
  return pendingDemand
    .map((demand) => ({ demand, urgency: urgencyOf(nowMs, demand, loadMs(demand)) }))
    .sort((a, b) => b.urgency - a.urgency)
    .map(({ demand }) => demand);
}
