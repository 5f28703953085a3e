/** Types for the steward's placement of replicas on engines. */
import type { ReplicaState } from '../ledger/index.js';

/** Storage tier from which an engine loads the checkpoint of a model. */
export const CheckpointTier = { memory: 'memory', disk: 'disk', remote: 'remote' } as const;
export type CheckpointTier = (typeof CheckpointTier)[keyof typeof CheckpointTier];

/** A model or adapter to place. */
export interface PlacementTarget {
  readonly name: string;
  readonly service: string;
  readonly model: string;
  readonly adapter: string | null;
  /** Accelerator memory of the model, or of the adapter without its model, MB. */
  readonly bytesMb: number;
  readonly keepWarmMs: number;
}

export interface ReplicaView {
  readonly orderId: string;
  readonly target: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly bytesMb: number;
  /** Null while the inventory does not contain the replica. */
  readonly state: ReplicaState | null;
  /** False once its unload has been decided. */
  readonly wanted: boolean;
  readonly loadedAtMs: number;
}

export interface EngineView {
  readonly engineId: string;
  readonly service: string;
  readonly memoryMb: number;
  readonly freeMb: number;
  /** Whether loads and unloads on the engine may be decided now. */
  readonly ready: boolean;
  /** Whether the engine has responded recently. Replicas of an unreachable engine do not count. */
  readonly reachable: boolean;
  readonly leaving: boolean;
  readonly replicas: readonly ReplicaView[];
  /** Tier of each model's checkpoint; models that are missing here are remote. */
  readonly checkpoints: ReadonlyMap<string, CheckpointTier>;
  /** Requests that are running or queued on the engine. */
  readonly load: number;
  readonly slots: number;
}

/** Queued requests for one target, over all entry VMs that reported any. */
export interface ReplicaDemand {
  readonly target: string;
  readonly waiting: number;
  readonly earliestDeadlineAtMs: number;
  /** Arrival time of the oldest request. */
  readonly oldestAtMs: number;
  readonly customers: readonly string[];
}

/** State of the fleet that a placement is based on. */
export interface PlacementView {
  readonly nowMs: number;
  readonly targets: ReadonlyMap<string, PlacementTarget>;
  readonly engines: readonly EngineView[];
  readonly demands: readonly ReplicaDemand[];
  /** Time of the last request for a target; -Infinity if there was none. */
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

/** Decides which replicas to load and unload. */
export interface PlacementPolicy {
  plan(view: PlacementView): readonly PlacementAction[];
}
