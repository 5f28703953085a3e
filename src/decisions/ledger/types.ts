/** Types of an engine's ledger: its decided replicas, stored in the platform's object API. */
import { z } from 'zod';

/** Desired state of a replica. */
export const Wanted = { present: 'present', absent: 'absent' } as const;

const entrySchema = z.object({
  /** Name of the model or adapter. */
  target: z.string(),
  /** The model itself, or the base model of an adapter. */
  model: z.string(),
  adapter: z.string().nullable(),
  bytesMb: z.number(),
  wanted: z.enum(['present', 'absent']),
  /** Identifies the load order. Sending the order again with the same id is idempotent. */
  orderId: z.string(),
  /** Fencing token of the steward that decided to load the replica. */
  epoch: z.int(),
});

export const ledgerSchema = z.object({
  engineId: z.string(),
  epoch: z.int(),
  entries: z.array(entrySchema),
});

export type LedgerEntry = z.infer<typeof entrySchema>;
/**
 * All replicas that the steward has decided on for an engine. The memory of a replica stays
 * reserved until its unload is confirmed.
 */
export type Ledger = z.infer<typeof ledgerSchema>;

/** State of a replica in the engine's inventory. */
export const ReplicaState = { loading: 'loading', loaded: 'loaded', failed: 'failed' } as const;
export type ReplicaState = (typeof ReplicaState)[keyof typeof ReplicaState];

/** A replica in an engine's inventory. */
export interface InventoryReplica {
  readonly target: string;
  readonly orderId: string;
  readonly bytesMb: number;
  readonly state: ReplicaState;
}

/** An engine's response to an inventory request. */
export interface Inventory {
  /** When the request was sent; orders sent later may not be reflected. */
  readonly askedAtMs: number;
  readonly replicas: readonly InventoryReplica[];
}

export const LedgerEventType = {
  tick: 'tick',
  read: 'read',
  readFailed: 'read-failed',
  written: 'written',
  conflict: 'conflict',
  writeUnknown: 'write-unknown',
  inventory: 'inventory',
  orderAnswered: 'order-answered',
  load: 'load',
  unload: 'unload',
} as const;

/** A replica to load. */
export interface LoadRequest {
  readonly target: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly bytesMb: number;
  readonly orderId: string;
}

export type LedgerEvent =
  | { readonly type: typeof LedgerEventType.tick }
  | {
      readonly type: typeof LedgerEventType.read;
      readonly ledger: Ledger | null;
      readonly version: number;
    }
  | { readonly type: typeof LedgerEventType.readFailed }
  | { readonly type: typeof LedgerEventType.written; readonly version: number }
  | { readonly type: typeof LedgerEventType.conflict }
  | { readonly type: typeof LedgerEventType.writeUnknown }
  | { readonly type: typeof LedgerEventType.inventory; readonly inventory: Inventory }
  | {
      readonly type: typeof LedgerEventType.orderAnswered;
      readonly action: OrderAction;
      readonly orderId: string;
      readonly outcome: OrderOutcome;
    }
  | { readonly type: typeof LedgerEventType.load; readonly request: LoadRequest }
  | { readonly type: typeof LedgerEventType.unload; readonly orderId: string };

/** Outcome of an engine order. */
export const OrderOutcome = {
  accepted: 'accepted',
  /** The engine refused the order because memory or the base model is missing. */
  refused: 'refused',
  /** The engine rejected an outdated fencing token. */
  fenced: 'fenced',
  /** No response; the order may still reach the engine. */
  unknown: 'unknown',
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

export const OrderAction = { load: 'load', unload: 'unload', fence: 'fence' } as const;
export type OrderAction = (typeof OrderAction)[keyof typeof OrderAction];

/** A load, unload or fencing command to an engine. */
export interface EngineOrder {
  readonly action: OrderAction;
  readonly orderId: string;
  readonly fence: number;
  readonly target: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly bytesMb: number;
}

export const LedgerEffectType = {
  read: 'read',
  write: 'write',
  order: 'order',
  superseded: 'superseded',
} as const;

export type LedgerEffect =
  | { readonly type: typeof LedgerEffectType.read }
  | {
      readonly type: typeof LedgerEffectType.write;
      readonly ledger: Ledger;
      readonly version: number;
    }
  | { readonly type: typeof LedgerEffectType.order; readonly order: EngineOrder }
  /** A newer steward controls this engine. */
  | { readonly type: typeof LedgerEffectType.superseded; readonly epoch: number };

export interface LedgerSettings {
  readonly engineId: string;
  readonly memoryMb: number;
  /** Whether the engine rejects outdated fencing tokens. */
  readonly fencing: boolean;
  /** Fencing token of this steward. */
  readonly epoch: number;
}
