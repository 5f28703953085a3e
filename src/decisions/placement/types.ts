/** What the steward weighs when it decides which replicas an engine loads. */
import type { ReplicaState } from '../ledger/index.js';

/** Where an engine finds the checkpoint of a model. */
export const CheckpointTier = { memory: 'memory', disk: 'disk', remote: 'remote' } as const;
export type CheckpointTier = (typeof CheckpointTier)[keyof typeof CheckpointTier];

/** A target as placement needs it. */
export interface PlacementTarget {
  readonly name: string;
  readonly service: string;
  readonly model: string;
  readonly adapter: string | null;
  /** Accelerator memory of what this target adds: the model, or the adapter alone. */
  readonly bytesMb: number;
  readonly keepWarmMs: number;
}

export interface ReplicaView {
  readonly orderId: string;
  readonly target: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly bytesMb: number;
  /** Null while the inventory does not show it. */
  readonly state: ReplicaState | null;
  /** False once it was decided to unload it. */
  readonly wanted: boolean;
  readonly loadedAtMs: number;
}

export interface EngineView {
  readonly engineId: string;
  readonly service: string;
  readonly memoryMb: number;
  readonly freeMb: number;
  /** Whether a decision may be made now. */
  readonly ready: boolean;
  /** Whether it answered lately; what a silent engine holds is not counted on. */
  readonly reachable: boolean;
  readonly leaving: boolean;
  readonly replicas: readonly ReplicaView[];
  /** Tier of each model's checkpoint; a model that is not named is remote. */
  readonly checkpoints: ReadonlyMap<string, CheckpointTier>;
  /** Requests that the engine runs or holds. */
  readonly load: number;
  readonly slots: number;
}

/** Waiting requests for one target, over all entry VMs that told of them. */
export interface WakeDemand {
  readonly target: string;
  readonly waiting: number;
  readonly earliestDeadlineAtMs: number;
  /** Waiting since, ms. */
  readonly oldestAtMs: number;
  readonly customers: readonly string[];
}

export interface PlacementView {
  readonly nowMs: number;
  readonly targets: ReadonlyMap<string, PlacementTarget>;
  readonly engines: readonly EngineView[];
  readonly demands: readonly WakeDemand[];
  /** When a target was last asked for, ms; -Infinity for never. */
  lastUsedAtMs(target: string): number;
}

export const PlacementActionType = { load: 'load', unload: 'unload' } as const;

export type PlacementAction =
  | {
      readonly type: typeof PlacementActionType.load;
      readonly engineId: string;
      readonly target: PlacementTarget;
      readonly reason: string;
    }
  | {
      readonly type: typeof PlacementActionType.unload;
      readonly engineId: string;
      readonly orderId: string;
      readonly target: string;
      readonly reason: string;
    };

/** Decides which replicas to load and to unload. */
export interface PlacementPolicy {
  plan(view: PlacementView): readonly PlacementAction[];
}
