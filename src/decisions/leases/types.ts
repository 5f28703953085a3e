/** The lease of a data centre's steward. */
import { z } from 'zod';

export const leaseSchema = z.object({
  /** Entry VM that holds the lease; null after a planned hand-over. */
  holder: z.string().nullable(),
  /** Where its peers reach the holder. */
  address: z.string().optional(),
  /** Fencing number; rises on each change of holder. */
  epoch: z.int(),
  durationMs: z.number(),
  /** What the holder leaves for its successor. */
  note: z.unknown().optional(),
  /** Tells a renewal apart from the one before, so that a lost answer can be resolved. */
  renewal: z.int(),
});
export type Lease = z.infer<typeof leaseSchema>;

/** Entry VM that a holder leaves its lease to. */
export interface LeaseSuccessor {
  readonly vm: string;
  readonly address: string;
}

export const LeaseEventType = {
  tick: 'tick',
  read: 'read',
  readFailed: 'read-failed',
  written: 'written',
  conflict: 'conflict',
  writeUnknown: 'write-unknown',
  release: 'release',
  holderGone: 'holder-gone',
  renewSoon: 'renew-soon',
  told: 'told',
} as const;

export type LeaseEvent =
  | { readonly type: typeof LeaseEventType.tick }
  | {
      readonly type: typeof LeaseEventType.read;
      readonly lease: Lease | null;
      readonly version: number;
    }
  | { readonly type: typeof LeaseEventType.readFailed }
  | { readonly type: typeof LeaseEventType.written; readonly version: number }
  | { readonly type: typeof LeaseEventType.conflict }
  | { readonly type: typeof LeaseEventType.writeUnknown }
  /** Gives the lease up, for a planned stop; only `successor` may take it at once if one is named. */
  | { readonly type: typeof LeaseEventType.release; readonly successor?: LeaseSuccessor }
  /** The holder's process has ended: its address refuses connections. */
  | { readonly type: typeof LeaseEventType.holderGone; readonly epoch: number }
  /** The note has changed: the holder renews without waiting. */
  | { readonly type: typeof LeaseEventType.renewSoon }
  /** The holder said what it has written and for how long it holds. */
  | {
      readonly type: typeof LeaseEventType.told;
      readonly lease: Lease;
      readonly version: number;
      readonly leftMs: number;
    };

export const LeaseEffectType = {
  read: 'read',
  write: 'write',
  acquired: 'acquired',
  noted: 'noted',
  lost: 'lost',
} as const;

export type LeaseEffect =
  | { readonly type: typeof LeaseEffectType.read }
  | { readonly type: typeof LeaseEffectType.write; readonly lease: Lease; readonly version: number }
  /** The lease is held under a new epoch; `note` is what the holder before left. */
  | {
      readonly type: typeof LeaseEffectType.acquired;
      readonly epoch: number;
      readonly note: unknown;
    }
  /** A write that carried this note has taken effect. */
  | { readonly type: typeof LeaseEffectType.noted; readonly note: unknown }
  | { readonly type: typeof LeaseEffectType.lost };

export interface LeaseSettings {
  readonly self: string;
  /** Where peers reach this entry VM. */
  readonly address?: string;
  readonly durationMs: number;
  /** Wait beyond the duration before a takeover. */
  readonly marginMs: number;
  /** What the next write leaves for a successor, given what the holder before left. */
  note?(before: unknown): unknown;
}
