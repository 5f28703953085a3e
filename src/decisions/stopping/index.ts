/**
 * Decides which requests an entry VM accepts during its shutdown.
 *
 * All requests are accepted until the load balancer has detected the shutdown, which takes some
 * seconds. After that, only non-streaming requests whose own time limit ends before the process
 * exits are accepted: their servers may be slow. A truncated stream is worse for the caller than a
 * stream that another entry VM serves from its start.
 */

/** Detection time: the load balancer checks once per second and drops a VM after two failures. */
export const SHUTDOWN_DETECTION_MS = 2_500;
/** Minimum time that must be left for a non-streaming request, whatever its limit, ms. */
const SHORT_REQUEST_MS = 1_500;

/** A request that arrives during the shutdown. */
export interface LateRequest {
  readonly isStream: boolean;
  /** Time within which the request ends, whatever its server does, ms. */
  readonly timeLimitMs: number;
}

/**
 * Whether to accept a request that arrives during the shutdown.
 * @param sinceMs Time since the shutdown began.
 * @param graceMs Time from the start of the shutdown to the exit of the process.
 */
export function acceptsRequest(
  sinceMs: number,
  graceMs: number,
  { isStream, timeLimitMs }: LateRequest,
): boolean {
  if (sinceMs < SHUTDOWN_DETECTION_MS) return true;
  return !isStream && graceMs - sinceMs > Math.max(SHORT_REQUEST_MS, timeLimitMs);
}
