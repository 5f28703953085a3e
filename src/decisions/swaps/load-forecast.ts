/**
 * When models will be there that must come from the weight store.
 *
 * Answers the load of many rare models that are asked for at once: the store brings a few at a time,
 * and each takes seconds. Who waits for one that comes too late is better told so at once, with the
 * time at which it will be there.
 */

/** A model that waits for its turn at the weight store. */
export interface QueuedLoad {
  readonly model: string;
  /** Time that its load takes, ms. */
  readonly loadMs: number;
}

export interface ForecastLoad {
  readonly model: string;
  readonly readyAtMs: number;
}

/**
 * Gives each queued load the turn that is free first.
 * @param runningEndsAtMs Ends of the loads that run.
 * @param atOnce Loads that may run at once.
 */
export function forecastLoads(
  nowMs: number,
  runningEndsAtMs: readonly number[],
  atOnce: number,
  queue: readonly QueuedLoad[],
): readonly ForecastLoad[] {
  const most = Math.max(1, atOnce);
  const spare = Math.max(0, most - runningEndsAtMs.length);
  // Where more run than may, the first ends free no turn.
  const turns = [...runningEndsAtMs, ...Array.from({ length: spare }, () => nowMs)]
    .map((atMs) => Math.max(nowMs, atMs))
    .sort((a, b) => a - b)
    .slice(-most);
  return queue.map(({ model, loadMs }) => {
    const readyAtMs = (turns.shift() ?? nowMs) + loadMs;
    turns.push(readyAtMs);
    turns.sort((a, b) => a - b);
    return { model, readyAtMs };
  });
}
