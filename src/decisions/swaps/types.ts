/** Types for deciding which models and adapters are loaded on which engines. */
import type { EngineSpec, WeightCopies } from '../fleet-plan/index.js';
import type { OrderStep } from '../engine-orders/index.js';

/** A model that is loaded on an engine, with its adapters. */
export interface Replica {
  readonly model: string;
  readonly adapters: ReadonlySet<string>;
  /** Running requests from all entry VMs. */
  readonly running: number;
  /** Running requests by adapter. */
  readonly runningAdapters: ReadonlyMap<string, number>;
  readonly loadedAtMs: number;
  /** Time of its last use. */
  readonly usedAtMs: number;
  /** Time of each adapter's last use. */
  readonly adapterUsedAtMs: ReadonlyMap<string, number>;
}

/** State of an engine on which a plan is based. */
export interface EngineState {
  readonly id: string;
  readonly service: string;
  /** Version of its software. */
  readonly version: string;
  readonly spec: EngineSpec;
  readonly dataCentre: string;
  /**
   * Whether the engine accepts orders now: it is healthy, its state is current, and no order is
   * pending.
   */
  readonly open: boolean;
  /**
   * Whether the engine accepts adapter orders now: like `open`, but other adapter orders may be
   * pending.
   */
  readonly openForAdapters: boolean;
  /** Whether the engine responds and is not draining. Other engines' replicas and loads do not count. */
  readonly healthy: boolean;
  readonly replicas: readonly Replica[];
  /** Models that are being loaded or queued to be loaded. */
  readonly loading: readonly string[];
  /** Adapters that are being loaded or queued to be loaded, as MODEL/ADAPTER. */
  readonly loadingAdapters: readonly string[];
  /** Expected end of the model orders in progress or queued, ms; not in the future if there are none. */
  readonly busyUntilMs: number;
  /**
   * Memory of everything that is loaded or queued to be loaded, MB. Pending unloads still count.
   */
  readonly reservedMb: number;
  /** Adapter slots in use once all pending steps have completed. */
  readonly reservedAdapterSlots: number;
  readonly copies: WeightCopies;
}

/**
 * Pending demand: the requests for one model or adapter, and of one version, that are queued on the
 * entry VMs.
 */
export interface PendingDemand {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | null;
  /** Software version of the engines that may serve it; null for any. */
  readonly version: string | null;
  /** Data centres of the engines that may serve it; undefined for any. */
  readonly dataCentres?: readonly string[] | undefined;
  /** Number of queued requests. */
  readonly waiting: number;
  /** Earliest latency objective of the queued requests. */
  readonly dueAtMs: number;
}

/** Requests per second by model. */
export type ModelRates = ReadonlyMap<string, number>;

/** State of the fleet that a plan is based on. */
export interface SwapView {
  readonly nowMs: number;
  readonly engines: readonly EngineState[];
  readonly pendingDemand: readonly PendingDemand[];
  readonly rates: ModelRates;
  /** Requests per second that are expected later, by model; none for a model that is not known. */
  readonly expectedRates: ModelRates;
  /** Number of loads from the weight store that may start now. */
  readonly storeLoadsLeft: number;
  /** The same for crowded models that few servers of a version have: one more may run. */
  readonly placeLoadsLeft: number;
}

/** Steps for one engine, in order. */
export interface SwapAction {
  readonly engineId: string;
  readonly steps: readonly OrderStep[];
  readonly fromStore: boolean;
  readonly reason: string;
}
