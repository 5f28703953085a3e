/**
 * What an entry VM that stops still takes.
 *
 * The balancer needs some seconds to notice; until then requests are served as ever. After that only
 * those are taken that end before the process does: a stream that is cut midway is worse for its
 * caller than one that is begun elsewhere.
 */

/** The balancer asks once a second and gives up after two misses, ms. */
export const NOTICE_MS = 2_500;
/** Time that a request which is no stream may need, ms. */
const SHORT_REQUEST_MS = 1_500;

/** Whether a request that comes `sinceMs` after the stop began is still served. */
export function takesRequest(sinceMs: number, graceMs: number, isStream: boolean): boolean {
  if (sinceMs < NOTICE_MS) return true;
  return !isStream && graceMs - sinceMs > SHORT_REQUEST_MS;
}
