/** What the relay needs from the platform that it runs on. */
import type { Order, OrderOutcome } from '../../decisions/engine-orders/index.js';
import type {
  BackendServer,
  FleetPlan,
  HeldModel,
  WeightCopies,
} from '../../decisions/fleet-plan/index.js';
import type { PlatformClient } from '../platform/index.js';

/** What a caller's request says about itself. */
export interface RequestFacts {
  readonly id: string;
  /** How long the caller waits, ms; null where it does not say. */
  readonly deadlineMs: number | null;
  readonly key: string | null;
  readonly model: string | null;
  readonly adapter: string | null;
  /** Prompt and most output tokens; null where it names none. */
  readonly tokens: { readonly prompt: number; readonly output: number } | null;
  /** Ids of the parts of its prompt, in order. */
  readonly promptParts: readonly string[];
  /** Last event that the caller has of an earlier attempt; null for a new stream. */
  readonly lastEventId: string | null;
}

/** What is set on a request that goes on to a backend server. */
export interface Dispatch {
  readonly backendId: string;
  readonly customer: string | null;
  readonly deadlineMs: number | null;
  /** 0 to 9, 0 first. */
  readonly urgency: number | null;
  /** Event after which a stream goes on; null keeps what the caller sent. */
  readonly resumeAfter: string | null;
  readonly bodyBytes: number;
  readonly hasBody: boolean;
}

/** What an answer's headers say. */
export interface AnswerFacts {
  /** Id of the request that it answers; null where it names none. */
  readonly id: string | null;
  readonly sealed: boolean;
  /** Whether the backend server states that it did not run the request. */
  readonly notRun: boolean;
  readonly encoded: boolean;
}

/** State of an engine as it tells it itself, some hundred milliseconds late. */
export interface EngineReport {
  readonly bornMs: number | null;
  readonly busy: boolean;
  readonly orderCount: number;
  readonly models: readonly HeldModel[];
  /** Adapters on their way, as MODEL/NAME. */
  readonly pendingAdapters: readonly string[];
  readonly copies: WeightCopies | null;
  readonly queued: number;
  readonly running: number;
}

/** Who gives an order: the engine refuses a lower fencing number than it has seen. */
export interface OrderAuthority {
  readonly holder: string;
  readonly fence: number;
}

/** An object of a followed kind. */
export interface FeedObject {
  readonly name: string;
  readonly revision: number;
  readonly value: unknown;
}

export interface FeedEvent extends FeedObject {
  readonly deleted: boolean;
}

export const FeedOutcome = { ok: 'ok', historyGone: 'history-gone', failed: 'failed' } as const;

export type FeedAnswer<T> =
  | {
      readonly type: typeof FeedOutcome.ok;
      readonly revision: number;
      readonly items: readonly T[];
    }
  | { readonly type: typeof FeedOutcome.historyGone }
  | { readonly type: typeof FeedOutcome.failed; readonly reason: string };

/** Lists a kind of objects and waits for its changes. */
export interface ObjectFeed {
  /** All objects of a kind. */
  list(kind: string): Promise<FeedAnswer<FeedObject>>;
  /** Changes after `since`; answers at the first one, or empty after `waitMs`. */
  changes(kind: string, since: number, waitMs: number): Promise<FeedAnswer<FeedEvent>>;
}

/** Reads and writes single objects, and follows kinds. */
export interface RelayStore extends ObjectFeed, Pick<PlatformClient, 'read' | 'write' | 'close'> {}

/** Translates between the platform's wire and the product. One implementation a platform. */
export interface PlatformWire {
  readonly planKind: string;
  readonly planName: string;
  readonly backendKind: string;
  readonly readinessPath: string;
  decodePlan(value: unknown): FleetPlan | null;
  decodeBackend(id: string, value: unknown): BackendServer | null;
  decodeRequest(rawHeaders: readonly string[]): RequestFacts | null;
  /** What the headers ask for, the same in each attempt of one request. */
  describeRequest(rawHeaders: readonly string[]): string;
  /** Headers for a backend server, as a flat list of names and values. */
  encodeRequest(rawHeaders: readonly string[], dispatch: Dispatch): readonly string[];
  decodeAnswer(rawHeaders: readonly string[]): AnswerFacts;
  /** Headers of a backend server's answer that go to the caller, as a flat list. */
  encodeAnswer(rawHeaders: readonly string[]): readonly string[];
  /** Headers of an answer of our own to the request `id`. */
  ownAnswer(id: string | null): readonly string[];
  /** Asks an engine for its state; null where it gives none. */
  report(server: BackendServer, timeoutMs: number): Promise<EngineReport | null>;
  order(
    server: BackendServer,
    order: Order,
    authority: OrderAuthority,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
  createStore(address: string, timeoutMs: number): RelayStore;
  close(): Promise<void>;
}
