/** The operator's configuration, whatever its source: routes, services, customers and limits. */

/** Retry safety: how often a request may be executed. */
export const RetrySafety = {
  /** Any number of times. */
  idempotent: 'idempotent',
  /** At most once. */
  once: 'once',
  /** An event stream; at most once unless it is resumable. */
  stream: 'stream',
} as const;
export type RetrySafety = (typeof RetrySafety)[keyof typeof RetrySafety];

/** A service that a route may pick, with its weight in the choice. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly retrySafety: RetrySafety;
  /** Maximum time that a request is queued, ms. */
  readonly timeoutMs: number;
  /** Latency objective for the first byte, ms. */
  readonly objectiveMs: number;
  /** Time without a byte after which callers disconnect, ms. */
  readonly callerTimeoutMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of backend servers that one request is sent to. */
  readonly attempts: number;
  readonly isPublic: boolean;
  readonly resumable: boolean;
  /** Regions whose servers its requests may reach; null or undefined for all. */
  readonly homes?: readonly string[] | null;
  readonly targets: readonly RouteTarget[];
}

export interface ModelSpec {
  readonly name: string;
  readonly sizeMb: number;
  /** Load time from the weight store, ms. */
  readonly remoteLoadMs: number;
  /** Load time from the engine's own disk, ms. */
  readonly diskLoadMs: number;
  /** Load time from the engine's host memory, ms. */
  readonly memoryLoadMs: number;
  /** Number of its adapters. */
  readonly adapterCount: number;
  readonly adapterMb: number;
}

/** Properties that all engines of a service share. */
export interface EngineSpec {
  /** Maximum number of concurrent requests of one engine. */
  readonly slots: number;
  /** Capacity of the KV cache, tokens. */
  readonly kvTokens: number;
  readonly memoryMb: number;
  readonly adapterSlots: number;
  /** Loads from the weight store per second, over all engines. */
  readonly loadsPerS: number;
  readonly models: ReadonlyMap<string, ModelSpec>;
}

/** Limits of cold servers of a service. */
export interface ColdTerms {
  /** Time for which a server is cold after its start, ms. */
  readonly startMs: number;
  /** Requests per second that a cold server accepts from all entry VMs together. */
  readonly perS: number;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts from all clients together. */
  readonly maxConnections: number;
  /** Limits of servers that are cold, as after their start; null or undefined for none. */
  readonly cold?: ColdTerms | null;
  /** Null for a plain service, which has no models. */
  readonly engine: EngineSpec | null;
}

export interface Customer {
  readonly name: string;
  /** Overrides the priority of the route; null to use the route's. */
  readonly priority: number | null;
  /** Units per second; 0 means no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  /** Whether units are tokens; otherwise they are requests. */
  readonly countsTokens: boolean;
  /** Units of a request that gives no token count. */
  readonly defaultUnits: number;
  /** Regions whose servers its requests may reach; null or undefined for all. */
  readonly homes?: readonly string[] | null;
}

export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface FleetPlan {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  readonly customers: ReadonlyMap<string, Customer>;
  /** Customer names by the SHA-256 of their keys, in hexadecimal. */
  readonly customerByKeyHash: ReadonlyMap<string, string>;
  /** Whether requests need a key unless their route is public. */
  readonly needsKeys: boolean;
}

/** A model that is loaded on a backend server, with its adapters. */
export interface LoadedModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** Models whose weights a backend server has in host memory or on disk. */
export interface WeightCopies {
  readonly inMemory: readonly string[];
  readonly onDisk: readonly string[];
}

/** A backend server as the platform lists it. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Version of its software; empty if it names none. */
  readonly version: string;
  readonly leaving: boolean;
  readonly slots: number;
  /** Number of engine orders that the server has accepted since its start. */
  readonly orderCount: number;
  /** Start time of its process, Unix ms; distinguishes restarts under the same id. */
  readonly bornMs: number;
  /** Time for which its entry states that it stays cold, ms; Infinity if that is unreadable. */
  readonly coldMs?: number;
  readonly models: readonly LoadedModel[];
  readonly copies: WeightCopies;
}
