/** What the handlers of callers' requests share. */
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
import type { QuotaDesk } from '../quota/index.js';
import type { Trails } from './trails.js';

export interface GatewayDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly limits: Settings['limits'];
  readonly quota: QuotaDesk;
  readonly dispatcher: Dispatcher;
  readonly backends: Backends;
  readonly platform: PlatformClient;
  readonly retries: RetryBudget;
  readonly trails: Trails;
  currentCatalog(): Catalog | null;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Whether a request still waits or was given to a backend server. */
export const RequestPhase = { waiting: 'waiting', running: 'running' } as const;
export type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

/** One caller's request on its way. */
export interface RequestContext {
  readonly id: string;
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly url: URL;
  readonly catalog: Catalog;
  readonly arrivedAtMs: number;
  /** SHA-256 of the caller's key; null without one. */
  readonly keyDigest: string | null;
  phase: RequestPhase;
  /** Aborted when the caller is gone or the request must end. */
  readonly abort: AbortController;
  /** Why the request was taken back before it ran; it replaces every other refusal. */
  withdrawn: Refusal | null;
}

/** A final answer that is not the backend server's. */
export interface Refusal {
  readonly failure: Failure;
  readonly ran: Ran;
  /** When the caller may come back, ms; 0 where coming back does not help. */
  readonly retryAfterMs: number;
}
