/** What all requests of an entry VM share. */
import type * as http from 'node:http';
import type { Clock } from '../../core/clock/index.js';
import type * as errors from '../../core/errors/index.js';
import type { LogFields } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Customer } from '../../decisions/fleet-plan/index.js';
import type { RetryWindow } from '../../decisions/retries/index.js';
import type { Admission } from './admission.js';
import type { Connections } from './connections.js';
import type { Dispatcher } from './dispatch.js';
import type { FleetView } from './fleet-view.js';
import type { Incidents } from './incidents.js';
import type { PlatformWire } from './types.js';

export interface RelayContext {
  readonly wire: PlatformWire;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly view: FleetView;
  readonly connections: Connections;
  readonly retries: RetryWindow;
  readonly incidents: Incidents;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Return time where nothing is known of when a request can be served, ms. */
  readonly usualReturnMs: number;
  isStopping(): boolean;
  /** Whether a request is still taken, also while stopping. */
  takesRequest(isStream: boolean): boolean;
  /** Whether what is believed of this customer's keys is fresh enough to run its requests. */
  mayRun(customer: Customer | null): boolean;
  /** A request for a model was admitted. */
  noteUse(model: string): void;
  log(event: string, id: string, fields: LogFields): void;
  /** Answers with a failure of our own. */
  replyOwn(
    res: http.ServerResponse,
    id: string | null,
    failure: errors.Failure,
    retryAfterMs: number | null,
  ): void;
}
