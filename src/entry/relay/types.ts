/** Interface between the relay and the platform that it runs on. */
import type { Logger } from '../../core/logger/index.js';
import type { Order, OrderOutcome } from '../../decisions/engine-orders/index.js';
import type {
  BackendServer,
  FleetPlan,
  LoadedModel,
  WeightCopies,
} from '../../decisions/fleet-plan/index.js';
import type { PlatformClient } from '../platform/index.js';

/** Metadata decoded from the headers of a caller's request. */
export interface RequestMetadata {
  readonly id: string;
  /** Time that the caller allows for the response, ms; null if the request sets no deadline. */
  readonly deadlineMs: number | null;
  readonly key: string | null;
  readonly model: string | null;
  readonly adapter: string | null;
  /** Prompt tokens and maximum output tokens; null if the request does not declare them. */
  readonly tokens: { readonly prompt: number; readonly output: number } | null;
  /** Ids of the prompt's segments, in order. */
  readonly promptSegments: readonly string[];
  /** Tokens of each of them; null for a segment whose tokens the request does not declare. */
  readonly segmentTokens?: readonly (number | null)[];
  /** Id of the last event that the caller received in an earlier attempt; null for a new stream. */
  readonly lastEventId: string | null;
  /** Id of the attempt that brought the stream's first event; null if the caller names none. */
  readonly begunBy: string | null;
}

/** Values of the headers that the relay sets on a request to a backend server. */
export interface ForwardOptions {
  readonly backendId: string;
  readonly customer: string | null;
  readonly deadlineMs: number | null;
  /** 0 (most urgent) to 9 (least urgent). */
  readonly urgency: number | null;
  /** Id of the event after which to resume a stream; null keeps the caller's header. */
  readonly resumeAfter: string | null;
  readonly bodyBytes: number;
  readonly hasBody: boolean;
}

/** Metadata decoded from the headers of a backend server's response. */
export interface ResponseMetadata {
  /** Id of the request that the response belongs to; null if the header is missing. */
  readonly id: string | null;
  /** Whether the response carries the backend server's signature. */
  readonly signed: boolean;
  /** Whether the backend server states that the request was not executed. */
  readonly notRun: boolean;
  /** Whether the response has a content encoding. */
  readonly encoded: boolean;
  /** Whether the server states that it is draining. */
  readonly leaving: boolean;
  /**
   * Requests per second that the server currently accepts from all entry VMs together; null if it
   * names no limit.
   */
  readonly requestsPerS: number | null;
  /**
   * Requests that the server may turn away in a second without a crash; null if it does not state
   * that it is brittle.
   */
  readonly rejectionsPerS: number | null;
  /** Time for which the server wants no further request from this entry VM, ms; null for none. */
  readonly retryAfterMs: number | null;
}

/** An engine's report of its own state; a few hundred milliseconds out of date. */
export interface EngineReport {
  /** Start time of the engine process, Unix ms; null if not reported. */
  readonly bornMs: number | null;
  /** Whether an engine order is being executed. */
  readonly busy: boolean;
  /** Engine orders accepted since the process started. */
  readonly orderCount: number;
  readonly models: readonly LoadedModel[];
  /** Adapters that are being loaded, as MODEL/NAME. */
  readonly pendingAdapters: readonly string[];
  readonly copies: WeightCopies | null;
  readonly queued: number;
  readonly running: number;
}

/** Issuer of an engine order. Engines reject a fencing token below the highest they have seen. */
export interface OrderAuthority {
  readonly holder: string;
  readonly fence: number;
}

/** An object of a watched kind. */
export interface FeedObject {
  readonly name: string;
  /** Version that also increases when the store returns from a copy; see `store-versions`. */
  readonly revision: number;
  readonly value: unknown;
}

export interface FeedEvent extends FeedObject {
  readonly deleted: boolean;
}

/**
 * `historyGone`: the store no longer keeps the changes since the requested revision, or has returned
 * from a copy since.
 */
export const FeedOutcome = { ok: 'ok', historyGone: 'history-gone', failed: 'failed' } as const;

export type FeedResult<T> =
  | {
      readonly type: typeof FeedOutcome.ok;
      readonly revision: number;
      readonly items: readonly T[];
    }
  | { readonly type: typeof FeedOutcome.historyGone }
  | { readonly type: typeof FeedOutcome.failed; readonly reason: string };

/** Lists the objects of a kind and watches them for changes. */
export interface ObjectFeed {
  list(kind: string): Promise<FeedResult<FeedObject>>;
  /** Long-polls for changes after revision `since`; if there are none, resolves after `waitMs`. */
  changes(kind: string, since: number, waitMs: number): Promise<FeedResult<FeedEvent>>;
}

/** Reads and writes single objects; lists and watches the objects of a kind. */
export interface RelayStore extends ObjectFeed, Pick<PlatformClient, 'read' | 'write' | 'close'> {
  /** Highest era of the store that a call has shown: how often it has returned from a copy. */
  readonly era: number;
}

/** Translates between a platform's protocol and the relay's types. */
export interface PlatformWire {
  readonly planKind: string;
  readonly planName: string;
  readonly backendKind: string;
  readonly evacuationKind: string;
  readonly readinessPath: string;
  decodePlan(value: unknown): FleetPlan | null;
  decodeBackend(id: string, value: unknown): BackendServer | null;
  /** The data centre that an object of this name evacuates; null if the name is none. */
  decodeEvacuation(name: string): string | null;
  decodeRequest(rawHeaders: readonly string[]): RequestMetadata | null;
  /** The headers that identify a request; the result is equal for all attempts of the request. */
  canonicalHeaders(rawHeaders: readonly string[]): string;
  /** Headers to send to a backend server, as a flat list of names and values. */
  encodeRequest(rawHeaders: readonly string[], opts: ForwardOptions): readonly string[];
  decodeResponse(rawHeaders: readonly string[]): ResponseMetadata;
  /** Headers of a backend server's response that are forwarded to the caller, as a flat list. */
  encodeResponse(rawHeaders: readonly string[]): readonly string[];
  /** Headers of a local response (one that the relay itself generates) to the request `id`. */
  localResponseHeaders(id: string | null): readonly string[];
  /** Fetches an engine's report; null without a valid report in time. */
  report(server: BackendServer, timeoutMs: number): Promise<EngineReport | null>;
  /** Sends an engine order; the outcome is `unknown` without a recognised response in time. */
  order(
    server: BackendServer,
    order: Order,
    authority: OrderAuthority,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
  createStore(address: string, timeoutMs: number, logger: Logger): RelayStore;
  close(): Promise<void>;
}
