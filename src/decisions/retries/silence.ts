/**
 * When a request leaves a backend server that has sent nothing for a while.
 *
 * Answers two load patterns that look alike from one request. In a burst answers come late but come:
 * whoever leaves then wastes the work, takes the next server's time as well and often fails in the
 * end. A server that has gone dark answers nobody, and a slow one has idle peers. What tells them
 * apart is whether the server has sent anything to anyone since, and how busy the others are.
 */

export interface Silence {
  /** Time since the request was sent, or since the last byte of its answer, ms. */
  readonly requestMs: number;
  /** Time since the server sent anything to this entry VM, ms. */
  readonly serverMs: number;
  /** Longest time without a byte that the caller bears, ms. */
  readonly patienceMs: number;
  /** Part of its slots in use at the least busy other server that can run the request; 1 for none. */
  readonly fillElsewhere: number;
}

/** Part of the caller's patience after which an answer is taken for lost although its server lives. */
const LOST_PART = 0.6;

/** A server whose slots are in use to less than this part runs one more request at full speed. */
const IDLE_FILL = 0.5;

/** Whether the request should go to another server, given that its route and the bound allow it. */
export function leavesSilentServer(silence: Silence): boolean {
  const { requestMs, serverMs, patienceMs, fillElsewhere } = silence;
  if (fillElsewhere >= 1) return false;
  const isDark = serverMs >= requestMs;
  const isLost = requestMs > patienceMs * LOST_PART;
  return isDark || isLost || fillElsewhere < IDLE_FILL;
}
