/** What the settings tree says, arranged for the request path. */
import type { RequestClass } from '../settings-tree/index.js';

/** A model, or an adapter on a model, that callers name in `model`. */
export interface Target {
  /** Name that callers use; unique over models and adapters. */
  readonly name: string;
  readonly service: string;
  /** Model to load; the adapter's base where the target is an adapter. */
  readonly model: string;
  readonly adapter: string | null;
  /** Accelerator memory of the model, MB. */
  readonly modelMb: number;
  /** Accelerator memory of the adapter, MB; 0 without one. */
  readonly adapterMb: number;
  readonly class: RequestClass;
  readonly deadlineMs: number;
  readonly maxTokens: number;
  readonly keepWarmMs: number;
  readonly retryRatio: number;
  readonly open: boolean;
}

export interface Customer {
  readonly name: string;
  /** Tokens a second over the fleet. */
  readonly ratePerS: number;
  /** Tokens at once over the fleet. */
  readonly burst: number;
  readonly weight: number;
}

export interface Backend {
  readonly id: string;
  readonly kind: 'model' | 'plain';
  readonly dataCentre: string;
  readonly address: string;
  readonly service: string;
  readonly memoryMb: number;
  readonly fencing: boolean;
  readonly slots: number;
  readonly leaving: boolean;
}

export interface PlainService {
  readonly name: string;
  readonly open: boolean;
  readonly deadlineMs: number;
}

/** One revision, ready for look-ups. */
export interface Catalog {
  readonly revision: number;
  readonly targets: ReadonlyMap<string, Target>;
  readonly customers: ReadonlyMap<string, Customer>;
  /** Customer names by the SHA-256 of a key. */
  readonly customerByKey: ReadonlyMap<string, string>;
  readonly backends: ReadonlyMap<string, Backend>;
  readonly services: ReadonlyMap<string, PlainService>;
  readonly dataCentres: readonly string[];
  /** Entry VMs of each data centre. */
  readonly entryVms: number;
}
