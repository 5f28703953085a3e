/**
 * Predicts when queued loads from the weight store will end.
 *
 * If many rarely used models are requested at once, most loads are queued: the store serves a few
 * at a time, and each takes seconds. With the forecast, a request whose model will be loaded too
 * late is rejected at once, with the time at which to retry.
 */

/** A model that is queued for a load from the weight store. */
export interface QueuedLoad {
  readonly service: string;
  readonly model: string;
  /** Software version of the engines that may load it; null for any. */
  readonly version: string | null;
  /** Duration of its load, ms. */
  readonly loadMs: number;
}

export interface ForecastLoad extends Pick<QueuedLoad, 'service' | 'model' | 'version'> {
  readonly readyAtMs: number;
}

/**
 * Assigns each queued load, in order, to the load slot that is free first.
 * @param runningEndsAtMs Expected ends of the running loads.
 * @param maxConcurrent Maximum number of concurrent loads.
 */
export function forecastLoads(
  nowMs: number,
  runningEndsAtMs: readonly number[],
  maxConcurrent: number,
  queue: readonly QueuedLoad[],
): readonly ForecastLoad[] {
  const slotCount = Math.max(1, maxConcurrent);
  const freeSlots = Math.max(0, slotCount - runningEndsAtMs.length);
  // If more loads are running than the limit allows, the loads that end first free no slot.
  const slotFreeAtMs = [...runningEndsAtMs, ...Array.from({ length: freeSlots }, () => nowMs)]
    .map((atMs) => Math.max(nowMs, atMs))
    .sort((a, b) => a - b)
    .slice(-slotCount);
  return queue.map(({ service, model, version, loadMs }) => {
    const readyAtMs = (slotFreeAtMs.shift() ?? nowMs) + loadMs;
    slotFreeAtMs.push(readyAtMs);
    slotFreeAtMs.sort((a, b) => a - b);
    return { service, model, version, readyAtMs };
  });
}
