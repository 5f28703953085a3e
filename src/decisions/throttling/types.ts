/** Types of the request limits that backend servers name. */

/** One process of a backend server. */
export interface ServerProcess {
  readonly id: string;
  /** Start time of the process, Unix ms. */
  readonly bornMs: number;
}

/** The limit that a server last named, as it is sent between entry VMs. */
export interface Throttle {
  readonly serverId: string;
  readonly bornMs: number;
  /** Requests per second that the server accepts from all entry VMs; null if it withdrew it. */
  readonly requestsPerS: number | null;
  /** Time since the response that named or withdrew it, ms. */
  readonly ageMs: number;
}
