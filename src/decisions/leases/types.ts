/** Types of the lease that makes an entry VM the steward of its data centre. */
import { z } from 'zod';

const successorSchema = z.object({
  vm: z.string(),
  /** Address of its peer listener. */
  address: z.string(),
  /** Fencing token under which the successor acts after a takeover; assigned to no other VM. */
  epoch: z.int(),
});
/** Designated successor: the entry VM that may take over the rest of a retired holder's lease. */
export type LeaseSuccessor = z.infer<typeof successorSchema>;

export const leaseSchema = z.object({
  /** Entry VM that holds the lease; null after a planned release without a successor. */
  holder: z.string().nullable(),
  /** Address of the holder's peer listener. */
  address: z.string().optional(),
  /** Fencing token; increases on each change of holder. */
  epoch: z.int(),
  durationMs: z.number(),
  heir: successorSchema.optional(),
  /** Handover note: opaque data that the holder stores for the next holder. */
  note: z.unknown().optional(),
  /** The rest of the handover note: data that earlier builds neither read nor keep. */
  noteDetails: z.unknown().optional(),
  /** Era of the store in which the lease was written. */
  era: z.int().optional(),
  /** Renewal counter; identifies a write whose response was lost when the lease is read back. */
  renewal: z.int(),
});
export type Lease = z.infer<typeof leaseSchema>;

/** The active steward: its entry VM, address and fencing token. */
export interface ActiveSteward {
  readonly vm: string;
  readonly address: string;
  readonly fence: number;
}

/** A lease in a message from its holder to other entry VMs. */
export interface SentLease {
  readonly lease: Lease;
  readonly version: number;
  /** Remaining time of the lease, ms. */
  readonly leftMs: number;
}

export const successorTermSchema = z.object({
  /** Time at which the successor sent the report from which the holder measures the term. */
  fromMs: z.number(),
  /** Expiry of the lease. */
  untilMs: z.number(),
});
/** Validity of a lease for its successor, on the successor's own clock. */
export type SuccessorTerm = z.infer<typeof successorTermSchema>;

export const LeaseEventType = {
  tick: 'tick',
  read: 'read',
  readFailed: 'read-failed',
  written: 'written',
  conflict: 'conflict',
  writeUnknown: 'write-unknown',
  release: 'release',
  handOver: 'hand-over',
  epochRetired: 'holder-gone',
  renewImmediately: 'renew-soon',
  sent: 'told',
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
  /** Releases the lease for a planned stop, to its successor or to any entry VM. */
  | { readonly type: typeof LeaseEventType.release }
  /** Releases the lease to its successor; this entry VM may acquire it again later. */
  | {
      readonly type: typeof LeaseEventType.handOver;
      /** Whether this entry VM can't reach the store, so that a call may be in flight. */
      readonly isStoreLost?: boolean;
    }
  /**
   * No process acts under this epoch any more: its holder released the lease, or the holder's VM
   * runs a new process. `newestEpoch` is the highest epoch known to the entry VM that reported
   * this.
   */
  | {
      readonly type: typeof LeaseEventType.epochRetired;
      readonly epoch: number;
      readonly newestEpoch: number;
    }
  /** The handover note has changed: the holder renews the lease without waiting. */
  | { readonly type: typeof LeaseEventType.renewImmediately }
  /** The holder sent its lease and the remaining time. `heirTerm` is set only for the successor. */
  | (SentLease & { readonly type: typeof LeaseEventType.sent; readonly heirTerm?: SuccessorTerm });

export const LeaseEffectType = {
  read: 'read',
  write: 'write',
  acquired: 'acquired',
  notePersisted: 'noted',
  lost: 'lost',
  lateRenewal: 'landed',
} as const;

export type LeaseEffect =
  | { readonly type: typeof LeaseEffectType.read }
  | { readonly type: typeof LeaseEffectType.write; readonly lease: Lease; readonly version: number }
  /**
   * The lease is held under a new epoch; `note` is the previous holder's handover note. The note is
   * undefined if there was no holder, and null if the store may have lost it. There are no details
   * after a takeover, as the previous holder may have stored others.
   */
  | {
      readonly type: typeof LeaseEffectType.acquired;
      readonly epoch: number;
      readonly note: unknown;
      readonly noteDetails?: unknown;
      /** Whether the lease was taken over as designated successor. */
      readonly isTakeover?: boolean;
    }
  /** The handover note is stored, because the write that contains the note took effect. */
  | {
      readonly type: typeof LeaseEffectType.notePersisted;
      readonly note: unknown;
      /** Null after a takeover: the previous holder may have stored others than this VM knows. */
      readonly noteDetails: unknown;
    }
  | { readonly type: typeof LeaseEffectType.lost }
  /** The lease was released, or a late renewal took effect; the successor must be informed. */
  | {
      readonly type: typeof LeaseEffectType.lateRenewal;
      readonly lease: Lease;
      readonly version: number;
      readonly untilMs: number;
    };

export interface LeaseSettings {
  readonly self: string;
  /** Address of this entry VM's peer listener. */
  readonly address?: string;
  readonly durationMs: number;
  /** Time added to the duration before another entry VM acquires the lease. */
  readonly marginMs: number;
  /** Time for which this entry VM leaves a free lease to others, ms; 0 without it. */
  acquireWaitMs?(): number;
  /** Successor to name in the next write; null to name none. */
  heir?(): Omit<LeaseSuccessor, 'epoch'> | null;
  /** Returns the handover note for the next write. `before` is the note of the replaced lease. */
  note?(before: unknown): unknown;
  /**
   * Returns the details of the handover note for the next renewal; `before` are those replaced. An
   * acquisition keeps the details of the previous holder.
   */
  noteDetails?(before: unknown): unknown;
}
