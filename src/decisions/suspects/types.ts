/** Types of incidents: evidence that a request crashes the servers that run it. */
import { z } from 'zod';

/** How far a run had come when it was interrupted: what it tells against its prompt's segments. */
export const RunProgress = {
  /** The server had begun the response, but had sent no event or body. */
  begun: 'begun',
  /** The server had not begun the response as far as is known, or had sent its first event just before. */
  unclear: 'unclear',
  /** This side closed the connection. The run counts only if the server is known to have crashed. */
  abandoned: 'abandoned',
} as const;
export type RunProgress = (typeof RunProgress)[keyof typeof RunProgress];

/** The run that caused an incident of a prompt segment, as sent to other entry VMs and stored. */
export const segmentRunSchema = z.object({
  /** Fingerprint of the request. */
  request: z.string(),
  /** Fingerprints of the segments of its prompt that other requests may share. */
  segments: z.array(z.string()),
  progress: z.enum(RunProgress),
});
export type SegmentRun = Readonly<z.infer<typeof segmentRunSchema>>;

/** A run of a request at a backend server that did not complete. */
export interface Incident {
  /** Fingerprint of the request, the same for all of its attempts, or of a segment of its prompt. */
  readonly fingerprint: string;
  readonly serverId: string;
  /** Start time of the server's process, Unix ms; a restarted server keeps its id. */
  readonly bornMs: number;
  /** Only if the fingerprint is that of a segment. */
  readonly run?: SegmentRun | undefined;
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
