/** The lease of a data centre's steward. */
import { z } from 'zod';

const heirSchema = z.object({
  vm: z.string(),
  /** Where its peers reach it. */
  address: z.string(),
  /** Fencing number under which it goes on; no other VM ever has it. */
  epoch: z.int(),
});
/** Entry VM that may go on at once with what is left of a lease whose holder has ended. */
export type LeaseHeir = z.infer<typeof heirSchema>;

export const leaseSchema = z.object({
  /** Entry VM that holds the lease; null after a planned hand-over. */
  holder: z.string().nullable(),
  /** Where its peers reach the holder. */
  address: z.string().optional(),
  /** Fencing number; rises on each change of holder. */
  epoch: z.int(),
  durationMs: z.number(),
  heir: heirSchema.optional(),
  /** What the holder leaves for its successor. */
  note: z.unknown().optional(),
  /** Tells a renewal apart from the one before, so that a lost answer can be resolved. */
  renewal: z.int(),
});
export type Lease = z.infer<typeof leaseSchema>;

/** A steward and its fencing number. */
export interface LeasePost {
  readonly vm: string;
  readonly address: string;
  readonly fence: number;
}

/** What a holder tells others of its lease. */
export interface ToldLease {
  readonly lease: Lease;
  readonly version: number;
  readonly leftMs: number;
}

export const heirTermSchema = z.object({
  /** When the heir sent the report that the holder counts from. */
  fromMs: z.number(),
  /** End of the lease. */
  untilMs: z.number(),
});
/** A lease as its heir counts it, on the heir's own clock. */
export type HeirTerm = z.infer<typeof heirTermSchema>;

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
  /** Gives the lease up, for a planned stop: its heir goes on, or anybody may take it. */
  | { readonly type: typeof LeaseEventType.release }
  /**
   * Nobody acts under this epoch any more: its holder gave it up, or its VM runs another process.
   * `newest` is the latest epoch that whoever says so has seen.
   */
  | {
      readonly type: typeof LeaseEventType.holderGone;
      readonly epoch: number;
      readonly newest: number;
    }
  /** The note has changed: the holder renews without waiting. */
  | { readonly type: typeof LeaseEventType.renewSoon }
  /** The holder said what it has written and for how long it holds; the heir is told its term. */
  | (ToldLease & { readonly type: typeof LeaseEventType.told; readonly heirTerm?: HeirTerm });

export const LeaseEffectType = {
  read: 'read',
  write: 'write',
  acquired: 'acquired',
  noted: 'noted',
  lost: 'lost',
  landed: 'landed',
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
  | { readonly type: typeof LeaseEffectType.lost }
  /** A renewal has taken effect after the lease was given up: the heir should know. */
  | {
      readonly type: typeof LeaseEffectType.landed;
      readonly lease: Lease;
      readonly version: number;
      readonly untilMs: number;
    };

export interface LeaseSettings {
  readonly self: string;
  /** Where peers reach this entry VM. */
  readonly address?: string;
  readonly durationMs: number;
  /** Wait beyond the duration before a takeover. */
  readonly marginMs: number;
  /** Who is named heir by the next write; null for nobody. */
  heir?(): Omit<LeaseHeir, 'epoch'> | null;
  /** What the next write leaves for a successor, given what the holder before left. */
  note?(before: unknown): unknown;
}
