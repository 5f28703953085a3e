/** Types of incidents: evidence that a request crashes the servers that run it. */

/** A run of a request at a backend server that did not complete. */
export interface Incident {
  /** Fingerprint of the request, the same for all of its attempts. */
  readonly fingerprint: string;
  readonly serverId: string;
  /** Start time of the server's process, Unix ms; a restarted server keeps its id. */
  readonly bornMs: number;
}

/** An incident with its age, as sent to other entry VMs and stored in the platform store. */
export interface AgedIncident extends Incident {
  readonly ageMs: number;
}

/** A server's entry in the platform's server list. */
export interface ListedServer {
  readonly bornMs: number;
  readonly leaving: boolean;
}

/** The platform's server list, and how recent it is. */
export interface KnownServers {
  readonly servers: ReadonlyMap<string, ListedServer>;
  /** Servers without an entry that are retained during the grace period after an outage. */
  readonly missing: ReadonlySet<string>;
  /** Time at which the last call that confirmed the list was sent, ms. */
  readonly confirmedAtMs: number;
  /** Time since which the list has been confirmed without interruption, ms. */
  readonly confirmedSinceMs: number;
}
