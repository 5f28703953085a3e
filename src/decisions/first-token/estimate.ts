/** Expected time to the first token of a request at a server. */
import type { Pace, ServerState } from './types.js';

/**
 * Pace of a service of which nothing is learnt. All servers then have the same base time, so it is left
 * out; the order of servers by estimate is that of their utilisation.
 */
export const DEFAULT_PACE: Pace = { baseMs: 0, loadMs: 100, tokensPerMs: 20 };

/** Cost of the path to another data centre, as a part of `loadMs`. */
const REMOTE_PENALTY = 0.15;

/**
 * The part of a server's estimate that does not depend on its running requests, in units of
 * utilisation.
 */
export function penaltyOf(
  server: Pick<ServerState, 'dataCentre' | 'slowness'>,
  dataCentre: string,
): number {
  const remote = server.dataCentre === dataCentre ? 0 : REMOTE_PENALTY;
  return remote + server.slowness - 1;
}

/**
 * Expected time from sending a request to its first token, ms.
 * @param dataCentre Data centre of the entry VM that sends the request.
 */
export function firstTokenMs(server: ServerState, pace: Pace, dataCentre: string): number {
  const { baseMs, loadMs, tokensPerMs } = pace;
  const utilisation = (server.running + 1) / server.slots;
  const atServerMs = baseMs + loadMs * utilisation + server.newTokens / tokensPerMs;
  const durationRatio = Math.max(server.slowness, server.speedRatio);
  // A server in trouble is avoided beyond its measured times, which cover few of its requests.
  return atServerMs * durationRatio + loadMs * penaltyOf(server, dataCentre);
}
