/**
 * Decides which requests an entry VM accepts during its shutdown.
 *
 * All requests are accepted until the load balancer has detected the shutdown, which takes some
 * seconds. After that, only non-streaming requests that finish before the process exits are
 * accepted. A truncated stream is worse for the caller than a stream that another entry VM serves
 * from its start.
 */

/** Detection time: the load balancer checks once per second and drops a VM after two failures. */
export const SHUTDOWN_DETECTION_MS = 2_500;
/** Upper bound on the duration of a non-streaming request. */
const SHORT_REQUEST_MS = 1_500;

/**
 * Whether to accept a request that arrives during the shutdown.
 * @param sinceMs Time since the shutdown began.
 * @param graceMs Time from the start of the shutdown to the exit of the process.
 */
export function acceptsRequest(sinceMs: number, graceMs: number, isStream: boolean): boolean {
  if (sinceMs < SHUTDOWN_DETECTION_MS) return true;
  return !isStream && graceMs - sinceMs > SHORT_REQUEST_MS;
}
