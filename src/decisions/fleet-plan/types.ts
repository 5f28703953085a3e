/** What the operator serves: routes, services, customers and limits, decoded from any source. */

/** How often a request may run. */
export const RepeatRule = {
  /** May run any number of times. */
  idempotent: 'idempotent',
  /** Runs at most once. */
  once: 'once',
  /** An event stream; runs at most once unless it can be resumed. */
  stream: 'stream',
} as const;
export type RepeatRule = (typeof RepeatRule)[keyof typeof RepeatRule];

/** A service that a route may choose, with its part of the traffic. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeat: RepeatRule;
  /** Longest time that a request is kept waiting, ms. */
  readonly timeoutMs: number;
  /** Time to the first byte that counts as prompt, ms. */
  readonly objectiveMs: number;
  /** Time without a byte after which callers leave, ms. */
  readonly callerPatienceMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most backend servers that one request may be sent to. */
  readonly attempts: number;
  readonly isPublic: boolean;
  readonly resumable: boolean;
  readonly targets: readonly RouteTarget[];
}

export interface ModelSpec {
  readonly name: string;
  readonly sizeMb: number;
  /** Load times by where the weights lie, ms. */
  readonly remoteLoadMs: number;
  readonly diskLoadMs: number;
  readonly memoryLoadMs: number;
  readonly adapterMb: number;
}

/** What the engines of a service have in common. */
export interface EngineSpec {
  readonly slots: number;
  /** Tokens that fit into an engine's memory. */
  readonly kvTokens: number;
  readonly memoryMb: number;
  readonly adapterSlots: number;
  /** Loads from the weight store a second, over all engines. */
  readonly loadsPerS: number;
  readonly models: ReadonlyMap<string, ModelSpec>;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts from all callers. */
  readonly maxConnections: number;
  /** Null for a plain service. */
  readonly engine: EngineSpec | null;
}

export interface Customer {
  readonly name: string;
  /** Goes before the route's priority; null where there is none. */
  readonly priority: number | null;
  /** Units a second; 0 means no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  /** Whether units are tokens; requests otherwise. */
  readonly countsTokens: boolean;
  /** Units of a request that names no tokens. */
  readonly plainUnits: number;
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
  /** Customer by SHA-256 of a key, in hexadecimal. */
  readonly customerByKeyHash: ReadonlyMap<string, string>;
  /** Whether requests need a key unless their route is open to all. */
  readonly needsKeys: boolean;
}

/** A model that a backend server holds, with its adapters. */
export interface HeldModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** Where weights lie beside the accelerator. */
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
  readonly leaving: boolean;
  readonly slots: number;
  /** Orders accepted since its start. */
  readonly orderCount: number;
  /** Start of its process, Unix ms; tells two starts under one id apart. */
  readonly bornMs: number;
  readonly models: readonly HeldModel[];
  readonly copies: WeightCopies;
}
