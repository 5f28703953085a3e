/** Decides how long a brittle server gets nothing after it has turned a request away. */

/** Part by which the pause exceeds the time in which the server may turn one request away. */
const MARGIN_FACTOR = 1.2;
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 5_000;
const MS_PER_S = 1000;

/** @param rejectionsPerS Requests that the server may turn away in a second. */
export function pauseAfterRejectionMs(rejectionsPerS: number): number {
  const pauseMs = (MARGIN_FACTOR * MS_PER_S) / rejectionsPerS;
  return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, pauseMs));
}
