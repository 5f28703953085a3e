/** What was decided for one engine, kept in the platform's object API. */
import { z } from 'zod';

/** Whether a replica is wanted. */
export const Wanted = { present: 'present', absent: 'absent' } as const;

const entrySchema = z.object({
  /** Name of the target: a model, or an adapter. */
  target: z.string(),
  /** Model that must be loaded; the adapter's base where the target is an adapter. */
  model: z.string(),
  adapter: z.string().nullable(),
  bytesMb: z.number(),
  wanted: z.enum(['present', 'absent']),
  /** Names the load order; repeating it loads nothing twice. */
  orderId: z.string(),
  /** Fencing number under which it was decided. */
  epoch: z.int(),
});

export const ledgerSchema = z.object({
  engineId: z.string(),
  epoch: z.int(),
  entries: z.array(entrySchema),
});

export type LedgerEntry = z.infer<typeof entrySchema>;
/** All decided replicas of an engine; their memory stays charged until each is seen gone. */
export type Ledger = z.infer<typeof ledgerSchema>;

/** State of a replica as the engine's own inventory shows it. */
export const ReplicaState = { loading: 'loading', loaded: 'loaded', failed: 'failed' } as const;
export type ReplicaState = (typeof ReplicaState)[keyof typeof ReplicaState];

/** A replica in an engine's inventory. */
export interface InventoryReplica {
  readonly target: string;
  readonly orderId: string;
  readonly bytesMb: number;
  readonly state: ReplicaState;
}

/** An engine's answer to a question for its inventory. */
export interface Inventory {
  /** When the question was sent; orders given after it may not show. */
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

/** What a load order asks for. */
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

/** How an engine answered an order. */
export const OrderOutcome = {
  accepted: 'accepted',
  /** The engine answered that it will not, for want of memory or of the base model. */
  refused: 'refused',
  /** The fencing number is old. */
  fenced: 'fenced',
  /** No answer; the order may arrive late. */
  unknown: 'unknown',
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

export const OrderAction = { load: 'load', unload: 'unload', fence: 'fence' } as const;
export type OrderAction = (typeof OrderAction)[keyof typeof OrderAction];

/** An order to an engine. */
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
  /** A newer steward decides for this engine. */
  | { readonly type: typeof LedgerEffectType.superseded; readonly epoch: number };

export interface LedgerSettings {
  readonly engineId: string;
  readonly memoryMb: number;
  /** Whether the engine refuses old fencing numbers. */
  readonly fencing: boolean;
  /** Fencing number of this steward. */
  readonly epoch: number;
}
