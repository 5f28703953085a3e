/** Types of the load and unload orders to one engine. */
import type { LoadedModel } from '../fleet-plan/index.js';

export const OrderStepType = { load: 'load', unload: 'unload' } as const;
export type OrderStepType = (typeof OrderStepType)[keyof typeof OrderStepType];

export interface OrderStep {
  readonly type: OrderStepType;
  readonly model: string;
  readonly adapter: string | null;
}

export interface Order extends OrderStep {
  /** Expected accepted order count; the engine rejects the order if its count differs. */
  readonly expected: number;
}

export const OrderOutcome = {
  accepted: 'accepted',
  /** The order was already in effect, or it completed at once. */
  done: 'done',
  /** Another order is in progress, or the accepted order count differs. */
  conflict: 'conflict',
  /** The engine has seen a higher fencing token. */
  fenced: 'fenced',
  /** The address belongs to another engine, or the order is invalid for this one. */
  refused: 'refused',
  /** No response; the order may be executed now or later. */
  unknown: 'unknown',
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** State that an engine reports. */
export interface ReportedState {
  /** Start time of the engine process, Unix ms; 0 if not reported. */
  readonly bornMs: number;
  /** Accepted order count: number of orders that the process has accepted since its start. */
  readonly acceptedOrders: number;
  /** Whether an order is in progress. */
  readonly busy: boolean;
  readonly models: readonly LoadedModel[];
}

/** Capacity of an engine, and sizes and durations of the steps on it. */
export interface EngineProfile {
  /** Memory for model weights and adapters together, MB. */
  readonly memoryMb: number;
  readonly adapterSlots: number;
  modelMb(model: string): number;
  adapterMb(model: string): number;
  /**
   * Expected time from acceptance to completion, ms. Excludes the time for which an unload waits
   * for running requests.
   */
  expectedMs(step: OrderStep): number;
  /** Requests that use a model on the engine, according to the latest reports of the entry VMs. */
  running(model: string): number;
}
