/** Types of idempotency claims, which are stored through the platform's object API. */
import { z } from 'zod';
import type { Failure, Ran } from '../../core/errors/index.js';

export const ClaimState = {
  /** Claimed; the request was forwarded or is about to be. */
  claimed: 'claimed',
  /** The outcome is recorded. */
  done: 'done',
  /** Forwarded, but the response was lost. */
  unknown: 'unknown',
  /** Certainly not executed; may be claimed again. */
  released: 'released',
} as const;

const responseSchema = z.object({
  status: z.int(),
  contentType: z.string(),
  /** Body in base64. */
  body: z.string(),
});

export const claimSchema = z.object({
  state: z.enum(['claimed', 'done', 'unknown', 'released']),
  /** The only attempt that may forward the request. */
  attempt: z.string(),
  /** Digest of method, path and body. */
  digest: z.string(),
  claimedAtMs: z.number(),
  response: responseSchema.nullable(),
});

/** The stored claim of one Idempotency-Key. Times are wall-clock milliseconds. */
export type Claim = z.infer<typeof claimSchema>;
/** A backend server's complete response, as returned to repeated requests. */
export type RecordedResponse = z.infer<typeof responseSchema>;

export const ClaimEventType = {
  started: 'started',
  written: 'written',
  writeConflict: 'write-conflict',
  writeUnknown: 'write-unknown',
  read: 'read',
  readFailed: 'read-failed',
  answered: 'answered',
  provenNotExecuted: 'proven-not-run',
  responseLost: 'answer-lost',
} as const;

/** An event of the claim or of the forwarded request. */
export type ClaimEvent =
  | { readonly type: typeof ClaimEventType.started }
  /** The claim was written; `version` is its new version. */
  | { readonly type: typeof ClaimEventType.written; readonly version: number }
  | { readonly type: typeof ClaimEventType.writeConflict }
  /** The platform did not respond: the write may have taken effect. */
  | { readonly type: typeof ClaimEventType.writeUnknown }
  | {
      readonly type: typeof ClaimEventType.read;
      readonly claim: Claim | null;
      readonly version: number;
    }
  | { readonly type: typeof ClaimEventType.readFailed }
  | { readonly type: typeof ClaimEventType.answered; readonly response: RecordedResponse }
  | { readonly type: typeof ClaimEventType.provenNotExecuted; readonly failure: Failure }
  | { readonly type: typeof ClaimEventType.responseLost; readonly failure: Failure };

export const ClaimEffectType = {
  write: 'write',
  read: 'read',
  forward: 'forward',
  record: 'record',
  reply: 'reply',
  refuse: 'refuse',
} as const;

export type ClaimEffect =
  /** Writes the claim if the stored object has `version`; 0 creates the object. */
  | { readonly type: typeof ClaimEffectType.write; readonly claim: Claim; readonly version: number }
  | { readonly type: typeof ClaimEffectType.read }
  | { readonly type: typeof ClaimEffectType.forward }
  /** Records the outcome, with retries until the platform accepts it. */
  | {
      readonly type: typeof ClaimEffectType.record;
      readonly claim: Claim;
      readonly version: number;
    }
  | {
      readonly type: typeof ClaimEffectType.reply;
      readonly response: RecordedResponse;
      readonly replayed: boolean;
    }
  | {
      readonly type: typeof ClaimEffectType.refuse;
      readonly failure: Failure;
      readonly ran: Ran;
      readonly retryAfterMs: number;
    };
