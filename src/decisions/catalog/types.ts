/** Types of the compiled settings, for lookups on the request path. */
import type { RequestClass } from '../settings-tree/index.js';

/** A model or an adapter of a model, named in the `model` field of a request. */
export interface Target {
  /** Unique among all models and adapters. */
  readonly name: string;
  readonly service: string;
  /** Model to load; for an adapter, its base model. */
  readonly model: string;
  readonly adapter: string | null;
  /** Accelerator memory of the model, MB. */
  readonly modelMb: number;
  /** Accelerator memory of the adapter, MB; 0 for a model. */
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
  /** Tokens per second over the fleet. */
  readonly ratePerS: number;
  /** Tokens that can be spent at once over the fleet. */
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

/** One compiled revision of the settings. */
export interface Catalog {
  readonly revision: number;
  readonly targets: ReadonlyMap<string, Target>;
  readonly customers: ReadonlyMap<string, Customer>;
  /** Customer names by the SHA-256 of their keys. */
  readonly customerByKey: ReadonlyMap<string, string>;
  readonly backends: ReadonlyMap<string, Backend>;
  readonly services: ReadonlyMap<string, PlainService>;
  readonly dataCentres: readonly string[];
  /** Number of entry VMs per data centre. */
  readonly entryVms: number;
}
