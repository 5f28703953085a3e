/** Types shared by the request handlers. */
import type * as http from 'node:http';
import type { Clock } from '../../core/clock/index.js';
import type { Failure, Ran } from '../../core/errors/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Random } from '../../core/random/index.js';
import type { Settings } from '../../core/settings/index.js';
import type { Catalog } from '../../decisions/catalog/index.js';
import type { RetryBudget } from '../../decisions/retries/index.js';
import type { Backends } from '../backends/index.js';
import type { Dispatcher } from '../dispatch/index.js';
import type { PlatformClient } from '../platform/index.js';
import type { QuotaAdmission } from '../quota/index.js';
import type { RequestTraces } from './request-traces.js';

export interface GatewayDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly limits: Settings['limits'];
  readonly quota: QuotaAdmission;
  readonly dispatcher: Dispatcher;
  readonly backends: Backends;
  readonly platform: PlatformClient;
  readonly retries: RetryBudget;
  readonly traces: RequestTraces;
  currentCatalog(): Catalog | null;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Whether a request is queued or has been assigned to a backend server. */
export const RequestPhase = { waiting: 'waiting', running: 'running' } as const;
export type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

/** A caller's request in progress. */
export interface RequestContext {
  readonly id: string;
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly url: URL;
  readonly catalog: Catalog;
  readonly arrivedAtMs: number;
  /** SHA-256 digest of the caller's key; null without a key. */
  readonly keyDigest: string | null;
  phase: RequestPhase;
  /** Aborted when the caller disconnects or the request is cancelled. */
  readonly abort: AbortController;
  /** Reason why the request was cancelled before it ran; replaces any other refusal. */
  cancellation: Refusal | null;
}

/** Refusal of a request, sent as the response of the entry VM. */
export interface Refusal {
  readonly failure: Failure;
  readonly ran: Ran;
  /** Time after which the caller may retry, ms; 0 if a retry does not help. */
  readonly retryAfterMs: number;
}
