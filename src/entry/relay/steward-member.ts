/** What a steward knows of an entry VM that is connected to it, and what it has sent to that VM. */
import { QueuePublisher } from './fleet-queues.js';
import { IncidentPublisher } from './incident-publisher.js';
import type { MessageLink } from './message-link.js';
import { type RelayMessageOf, RelayMessageType } from './messages.js';
import { ServerListPublisher } from './server-list-publisher.js';

/** Full lists that a member needs once, in the order in which they are sent. */
export const FullList = {
  servers: 'servers',
  view: 'view',
  streams: 'streams',
  incidents: 'incidents',
} as const;
export type FullList = (typeof FullList)[keyof typeof FullList];

/** An entry VM that is connected to this steward. The steward's own VM is also a member. */
export interface Member {
  readonly link: MessageLink;
  readonly connectedAtMs: number;
  /** Null until the member's first report. */
  vm: string | null;
  report: RelayMessageOf<'report'> | null;
  /** When the last report arrived, on the clock that also runs during suspension. */
  reportedAtMs: number;
  /** When the last message of any type arrived from the member. */
  receivedAtMs: number;
  /** When the last `view` message was sent to the member. */
  sentAtMs: number;
  /** Full lists that were not sent to the member yet. */
  readonly pendingLists: Set<FullList>;
  /** State last sent for each engine, as JSON, by engine id. */
  readonly sentEngines: Map<string, string>;
  /** Number of running requests last sent for each engine. */
  readonly sentRunning: Map<string, number>;
  /** Their tokens last sent. */
  readonly sentTokens: Map<string, number>;
  /** Finds the queues that changed since the last message to it. */
  readonly queues: QueuePublisher;
  sentRunningAtMs: number;
  /** Models and adapters of the loads last sent, joined. */
  sentLoads: string;
  /** Version of the lease last sent. */
  sentLeaseVersion: number;
  /** When it was sent, on the clock that also runs during suspension. */
  sentLeaseAtMs: number;
  /** Builds the server list updates for the member. */
  readonly beliefs: ServerListPublisher;
  /** Builds the messages with shared incidents for the member. */
  readonly incidents: IncidentPublisher;
  /** The request limits last sent, by server. */
  readonly sentThrottles: Map<string, string>;
  /** The statements of brittle servers last sent, by server. */
  readonly sentBrittle: Map<string, string>;
  /** Number of services with a known answer last sent. */
  sentAnswered: number;
  /** Whether it may send requests to throttled servers without a steward. */
  mayUseReserve: boolean;
  /** The list of peers last sent, as JSON. */
  sentPeers: string;
  /** When the list of peers was last sent. */
  sentPeersAtMs: number;
}

/** Creates a member that has sent nothing yet. */
export function createMember(nowMs: number, link: MessageLink): Member {
  return {
    link,
    connectedAtMs: nowMs,
    vm: null,
    report: null,
    reportedAtMs: -Infinity,
    receivedAtMs: nowMs,
    sentAtMs: -Infinity,
    pendingLists: new Set(Object.values(FullList)),
    sentEngines: new Map(),
    sentRunning: new Map(),
    sentTokens: new Map(),
    queues: new QueuePublisher(),
    sentRunningAtMs: -Infinity,
    sentLoads: '',
    sentLeaseVersion: 0,
    sentLeaseAtMs: -Infinity,
    beliefs: new ServerListPublisher(),
    incidents: new IncidentPublisher(),
    sentThrottles: new Map(),
    sentBrittle: new Map(),
    sentAnswered: 0,
    mayUseReserve: false,
    sentPeers: '',
    sentPeersAtMs: -Infinity,
  };
}

/** All entry VMs that relay connections, as their last reports describe them. */
export function peersOf(members: ReadonlySet<Member>): RelayMessageOf<'view'>['peers'] & object {
  return [...members].flatMap(({ report, link }) => {
    if (report === null || !link.understands(RelayMessageType.relayOpen)) return [];
    const { vm, address, dataCentre, partitioned, leaving } = report;
    const unreachable = report.unreachable.map(({ server }) => server).sort();
    return [{ vm, address, dataCentre, unreachable, partitioned, leaving }];
  });
}
