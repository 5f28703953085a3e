/**
 * Decides when to send the request of an idle attempt, one whose backend server has sent no byte for
 * some time, to another server as well.
 *
 * From a single request, a burst looks the same as a faulty server. In a burst, responses are late
 * but arrive: a second attempt wastes the work of one of them, occupies another server and often
 * fails as well. In contrast, an unresponsive server responds to no request, and a slow server has idle
 * peers. Two signs distinguish these cases: whether the server has sent data for any request in the
 * meantime, and the utilisation of the other servers.
 */

/** An idle attempt and the servers that could run the request instead. */
export interface IdleAttempt {
  /** Time since the request was sent, or since the last byte of its response, ms. */
  readonly requestIdleMs: number;
  /** Time since the server sent any byte to this entry VM, ms. */
  readonly serverIdleMs: number;
  /** Caller timeout: longest time without a byte before the caller aborts, ms. */
  readonly callerTimeoutMs: number;
  /**
   * Lowest slot utilisation (0 to 1) of the other servers that can run the request; 1 if there is
   * none.
   */
  readonly utilisationElsewhere: number;
}

/**
 * Fraction of the caller timeout after which a response counts as lost, even if the server sends
 * data for other requests.
 */
const LOST_RESPONSE_FRACTION = 0.6;

/** Slot utilisation below which a server runs an additional request at full speed. */
const IDLE_UTILISATION = 0.5;

/** Whether to try another server, provided that the route and the retry budget allow it. */
export function shouldReplaceAttempt(attempt: IdleAttempt): boolean {
  const { requestIdleMs, serverIdleMs, callerTimeoutMs, utilisationElsewhere } = attempt;
  if (utilisationElsewhere >= 1) return false;
  const isUnresponsive = serverIdleMs >= requestIdleMs;
  const isResponseLost = requestIdleMs > callerTimeoutMs * LOST_RESPONSE_FRACTION;
  return isUnresponsive || isResponseLost || utilisationElsewhere < IDLE_UTILISATION;
}
