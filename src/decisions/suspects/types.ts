/** What is known of requests that servers may have died under. */

/** A run of a request at a backend server that did not come to its end. */
export interface Incident {
  /** The request, however often and wherever it is sent. */
  readonly fingerprint: string;
  readonly serverId: string;
  /** Start of the server's process, Unix ms: a server may start again under its id. */
  readonly bornMs: number;
}

/** An incident with its age, for other entry VMs and for the platform's store. */
export interface AgedIncident extends Incident {
  readonly ageMs: number;
}

/** What the platform lists of a server. */
export interface ListedServer {
  readonly bornMs: number;
  readonly leaving: boolean;
}

/** The platform's list of servers, and how far it can be relied on. */
export interface KnownServers {
  readonly servers: ReadonlyMap<string, ListedServer>;
  /** Servers that keep their place only until they had time to return after an outage. */
  readonly missing: ReadonlySet<string>;
  /** When the call was sent that confirmed the list last, ms. */
  readonly confirmedAtMs: number;
  /** Since when the list has been confirmed without a gap, ms. */
  readonly steadySinceMs: number;
}
