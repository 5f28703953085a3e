/**
 * Keeps the requests at a server within its memory. A model engine crashes when the requests that it holds
 * need more tokens than it has memory for.
 */

/** Smallest part of a server's memory that stays free for requests that are not reported yet. */
const MIN_RESERVE = 0.1;
/** Largest part: requests are placed also when many are sent at once. */
const MAX_RESERVE = 0.5;
/** Reserve, as the standard deviations of the number of requests that are not reported yet. */
const RESERVE_DEVIATIONS = 2;

/** Memory of a server, in tokens. */
export interface ServerMemoryState {
  /** 0 if it is unknown, which bounds nothing. */
  readonly capacityTokens: number;
  /** What running requests may need; without a steward, those of this entry VM alone. */
  readonly usedTokens: number;
  /** Number of entry VMs that share what is left; 1 if `usedTokens` covers all of them. */
  readonly sharers: number;
}

/** The requests of other entry VMs that are sent before this one learns of them. */
export interface UnseenRequests {
  /** Expected number over all servers. */
  readonly count: number;
  /** Tokens of each. */
  readonly tokens: number;
}

/**
 * Whether a request fits into a server beside those that run there. One request may fill a server that
 * is empty.
 * @param reserveTokens Tokens that stay free for requests of other entry VMs.
 */
export function fits(
  { capacityTokens, usedTokens, sharers }: ServerMemoryState,
  needTokens: number,
  reserveTokens = 0,
): boolean {
  if (capacityTokens === 0) return true;
  if (usedTokens === 0) return needTokens <= capacityTokens;
  const reserve = Math.min(
    capacityTokens * MAX_RESERVE,
    Math.max(capacityTokens * MIN_RESERVE, reserveTokens),
  );
  return usedTokens + needTokens <= (capacityTokens - reserve) / sharers;
}

/**
 * The servers into which a request fits. The fewer have room, the more of the unseen requests go to each
 * of them.
 */
export function serversWithRoom<T>(
  servers: readonly T[],
  needTokens: number,
  unseen: UnseenRequests,
  stateOf: (server: T) => ServerMemoryState,
): readonly T[] {
  const withRoom = servers.filter((server) => fits(stateOf(server), needTokens));
  const expected = unseen.count / Math.max(1, withRoom.length);
  const count = expected + RESERVE_DEVIATIONS * Math.sqrt(expected);
  const reserveTokens = count * unseen.tokens;
  return withRoom.filter((server) => fits(stateOf(server), needTokens, reserveTokens));
}
