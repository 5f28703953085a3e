/** Services and settings that all requests of an entry VM share. */
import type * as http from 'node:http';
import type { Clock } from '../../core/clock/index.js';
import type * as errors from '../../core/errors/index.js';
import type { LogFields } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { BackendServer, Customer } from '../../decisions/fleet-plan/index.js';
import type { RetryWindow } from '../../decisions/retries/index.js';
import type { LateRequest } from '../../decisions/stopping/index.js';
import type { Admission } from './admission.js';
import type { ConnectionPool } from './connections.js';
import type { Dispatcher } from './dispatch.js';
import type { FirstTokens } from './first-tokens.js';
import type { FleetView } from './fleet-view.js';
import type { Incidents } from './incidents.js';
import type { PeerConnector } from './peer-connector.js';
import type { ServerReachability } from './reachability.js';
import type { ResponseMemory } from './response-memory.js';
import type { StreamVersionsTask } from './stream-versions.js';
import type { FleetLimits } from './request-limits.js';
import type { PlatformWire } from './types.js';
import type { WorkTurns } from './work-turns.js';

export interface RelayContext {
  readonly wire: PlatformWire;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly view: FleetView;
  /** Learns from responses how fast servers answer. */
  readonly firstTokens: Pick<FirstTokens, 'noteFirstToken' | 'noteRun'>;
  readonly reachability: ServerReachability;
  readonly connections: ConnectionPool;
  /** Finds the ways to backend servers, also over peers. */
  readonly peers: Pick<PeerConnector, 'waysTo'>;
  readonly retries: RetryWindow;
  readonly incidents: Incidents;
  readonly streams: Pick<StreamVersionsTask, 'noteBegun' | 'serviceOf' | 'versionFor'>;
  readonly throttling: Pick<FleetLimits, 'noteResponse' | 'noteSent'>;
  /** Counts the bytes of the responses of all requests. */
  readonly memory: Pick<ResponseMemory, 'open'>;
  /** Bounds the time for which one turn of the event loop reads and relays responses. */
  readonly turns: Pick<
    WorkTurns,
    'isOpen' | 'run' | 'noteRead' | 'whenNext' | 'cleanUpLater' | 'shorten' | 'hold'
  >;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Retry-After when the time until capacity is available is unknown, ms. */
  readonly defaultRetryAfterMs: number;
  /** Whether the caller's connection is closed after this response. */
  closesConnection(res: http.ServerResponse): boolean;
  /** Whether new requests are accepted; during shutdown this depends on the request. */
  acceptsRequest(request: LateRequest): boolean;
  /** Whether the cached plan is recent enough to trust that the customer's key is not revoked. */
  hasFreshKeys(customer: Customer | null): boolean;
  /** Records that a server stated in a response that it is draining. */
  noteLeaving(server: BackendServer): void;
  /** Counts an admitted request for a model as demand. */
  recordModelUse(model: string): void;
  log(event: string, id: string, fields: LogFields): void;
  /** Logs an exception in a handler of a request, which has ended the request or its attempt. */
  reportException(id: string, err: unknown): void;
  /** Sends a failure that this entry VM generates; `id` is null if the request id is unknown. */
  sendLocalResponse(
    res: http.ServerResponse,
    id: string | null,
    failure: errors.Failure,
    retryAfterMs: number | null,
  ): void;
}
