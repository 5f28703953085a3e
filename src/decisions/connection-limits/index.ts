/**
 * Shares the connections that a backend server accepts between the entry VMs.
 *
 * A server resets the connections beyond its limit, and idle ones count. Each entry VM keeps few
 * enough idle connections that all of them together leave room for the running requests.
 */

/** Maximum number of idle connections of one pool to one server. */
const MAX_IDLE_CONNECTIONS = 32;
/** Pools of one entry VM with connections to the same server. */
const POOLS_PER_VM = 2;

export interface ConnectionDemand {
  /** Connections that the server accepts from all entry VMs together. */
  readonly maxConnections: number;
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** Number of entry VMs. */
  readonly members: number;
}

/** Number of idle connections that one pool of an entry VM may keep to a server. */
export function maxIdleConnections({ maxConnections, slots, members }: ConnectionDemand): number {
  const forIdle = Math.max(0, maxConnections - slots);
  return Math.min(MAX_IDLE_CONNECTIONS, Math.floor(forIdle / (members * POOLS_PER_VM)));
}
