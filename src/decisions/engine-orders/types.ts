/** Orders to one engine. */
import type { HeldModel } from '../fleet-plan/index.js';

export const OrderStepType = { load: 'load', unload: 'unload' } as const;
export type OrderStepType = (typeof OrderStepType)[keyof typeof OrderStepType];

export interface OrderStep {
  readonly type: OrderStepType;
  readonly model: string;
  readonly adapter: string | null;
}

export interface Order extends OrderStep {
  /** Orders that the engine has accepted so far; it refuses the order otherwise. */
  readonly expected: number;
}

export const OrderOutcome = {
  accepted: 'accepted',
  /** Holds already, or was done at once. */
  done: 'done',
  /** Another order is under way, or the count of orders differs. */
  conflict: 'conflict',
  /** A higher fencing number was seen. */
  fenced: 'fenced',
  /** Another engine has the address, or the order makes no sense to this one. */
  refused: 'refused',
  /** No answer: it may be carried out, also later. */
  unknown: 'unknown',
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** What an engine says of itself. */
export interface Sighting {
  /** Start of its process, Unix ms; 0 where it does not say. */
  readonly bornMs: number;
  /** Orders that it has accepted since. */
  readonly count: number;
  readonly busy: boolean;
  readonly models: readonly HeldModel[];
}

export interface OrderSizes {
  /** Room for weights and adapters together, MB. */
  readonly memoryMb: number;
  readonly adapterSlots: number;
  modelMb(model: string): number;
  adapterMb(model: string): number;
  /** Time that a step takes once it is accepted, ms; an unload waits for its runs besides. */
  expectedMs(step: OrderStep): number;
  /** Requests that run with a model on the engine, as far as known. */
  running(model: string): number;
}
