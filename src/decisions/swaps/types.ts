/** What the steward knows when it decides which models and adapters are loaded where. */
import type { EngineSpec, WeightCopies } from '../fleet-plan/index.js';
import type { OrderStep } from '../engine-orders/index.js';

/** A model on an engine. */
export interface Place {
  readonly model: string;
  readonly adapters: ReadonlySet<string>;
  /** Requests that run with it there, over all entry VMs. */
  readonly running: number;
  /** Requests that run with each adapter. */
  readonly runningAdapters: ReadonlyMap<string, number>;
  readonly loadedAtMs: number;
  /** When it was last used there. */
  readonly usedAtMs: number;
  /** When each adapter was last used there. */
  readonly adapterUsedAtMs: ReadonlyMap<string, number>;
}

export interface EngineState {
  readonly id: string;
  readonly service: string;
  readonly spec: EngineSpec;
  readonly dataCentre: string;
  /** Whether it takes orders now: known, staying, and with none under way. */
  readonly open: boolean;
  /** Whether it takes orders for adapters now: nothing but adapters is under way. */
  readonly openForAdapters: boolean;
  /** Whether it stays and answers, so that what it holds counts. */
  readonly sound: boolean;
  readonly places: readonly Place[];
  /** Models on their way to it. */
  readonly loading: readonly string[];
  /** Adapters on their way to it, as MODEL/NAME. */
  readonly loadingAdapters: readonly string[];
  readonly chargedMb: number;
  readonly chargedAdapters: number;
  readonly copies: WeightCopies;
}

/** Requests for one model or adapter that wait on all entry VMs. */
export interface Want {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly waiting: number;
  /** When the objective of the most pressing one is missed. */
  readonly dueAtMs: number;
}

/** How often a model is asked for, requests a second. */
export type ModelRates = ReadonlyMap<string, number>;

export interface SwapView {
  readonly nowMs: number;
  readonly engines: readonly EngineState[];
  readonly wants: readonly Want[];
  readonly rates: ModelRates;
  /** Loads from the weight store that may begin now, by service. */
  readonly storeLoadsLeft: number;
}

/** Steps for one engine, in order. */
export interface SwapAction {
  readonly engineId: string;
  readonly steps: readonly OrderStep[];
  readonly fromStore: boolean;
  readonly reason: string;
}
