/**
 * Idempotency claims: a request with an Idempotency-Key runs at most once.
 *
 * A claim is written to the platform before the request is forwarded, and only the attempt named in
 * the claim may forward it. If the response to a write is lost, the claim is read back before the
 * next step. The outcome is recorded in the claim and returned to repeated requests.
 */
import { createHash } from 'node:crypto';
import * as errors from '../../core/errors/index.js';
import {
  type Claim,
  type ClaimEffect,
  ClaimEffectType,
  type ClaimEvent,
  ClaimEventType,
  ClaimState,
} from './types.js';

export * from './types.js';

/** Age above which a claim without an outcome is taken to belong to a failed entry VM. */
const CLAIM_TIMEOUT_MS = 60_000;
/** Retry-After times of refused requests, by reason. */
const RETRY_IN_PROGRESS_MS = 1_000;
const RETRY_PLATFORM_MS = 2_000;
const RETRY_UNKNOWN_MS = 60_000;
/** Maximum number of reads of a claim. After that, the request is refused: the platform is down. */
const MAX_READS = 4;

const STEP = 'claim order';
const PEER = 'platform';

/** Digest that distinguishes a repeat from a different request with the same Idempotency-Key. */
export function digestOf(method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
}

/** Name of the claim's stored object. The key is hashed because it may contain any characters. */
export function claimKeyOf(customer: string, idempotencyKey: string): string {
  return `orders/${customer}/${createHash('sha256').update(idempotencyKey).digest('hex')}`;
}

/** State machine of one attempt. Pass events in order and execute the returned effects. */
export class IdempotencyClaim {
  private version = 0;

  private reads = 0;

  private forwarded = false;

  private readonly own: Claim;

  /**
   * @param wallMs Current wall-clock time, ms; compared with the claim times of other entry VMs.
   */
  constructor(
    attempt: string,
    digest: string,
    private readonly wallMs: number,
  ) {
    this.own = {
      state: ClaimState.claimed,
      attempt,
      digest,
      claimedAtMs: wallMs,
      response: null,
    };
  }

  handle(event: ClaimEvent): readonly ClaimEffect[] {
    switch (event.type) {
      case ClaimEventType.started:
        return [this.writeAt(0)];
      case ClaimEventType.written:
        return this.forwardOnce(event.version);
      case ClaimEventType.writeConflict:
      case ClaimEventType.writeUnknown:
      case ClaimEventType.readFailed:
        return this.readAgain();
      case ClaimEventType.read:
        return this.onRead(event.claim, event.version);
      case ClaimEventType.answered:
        return [
          this.record({ ...this.own, state: ClaimState.done, response: event.response }),
          { type: ClaimEffectType.reply, response: event.response, replayed: false },
        ];
      case ClaimEventType.provenNotExecuted:
        return [
          this.record({ ...this.own, state: ClaimState.released }),
          this.refuse(event.failure, errors.Ran.no, RETRY_IN_PROGRESS_MS),
        ];
      case ClaimEventType.responseLost:
        return [
          this.record({ ...this.own, state: ClaimState.unknown }),
          this.refuse(event.failure, errors.Ran.unknown, RETRY_UNKNOWN_MS),
        ];
      default:
        return [];
    }
  }

  private writeAt(version: number): ClaimEffect {
    return { type: ClaimEffectType.write, claim: this.own, version };
  }

  private record(claim: Claim): ClaimEffect {
    return { type: ClaimEffectType.record, claim, version: this.version };
  }

  private forwardOnce(version: number): readonly ClaimEffect[] {
    if (this.forwarded) return [];
    this.forwarded = true;
    this.version = version;
    return [{ type: ClaimEffectType.forward }];
  }

  private readAgain(): readonly ClaimEffect[] {
    this.reads += 1;
    if (this.reads <= MAX_READS) return [{ type: ClaimEffectType.read }];
    const failure = errors.createFailure(
      errors.data.PlatformDown,
      STEP,
      PEER,
      'the claim could not be confirmed',
    );
    return [this.refuse(failure, errors.Ran.no, RETRY_PLATFORM_MS)];
  }

  private onRead(claim: Claim | null, version: number): readonly ClaimEffect[] {
    if (claim === null) return this.reads <= MAX_READS ? [this.writeAt(0)] : this.readAgain();
    if (claim.digest !== this.own.digest) {
      return [this.refuseAs(errors.data.ClaimMismatch, errors.Ran.no, 0)];
    }
    switch (claim.state) {
      case ClaimState.done:
        return claim.response === null
          ? [this.refuseAs(errors.data.OutcomeUnknown, errors.Ran.unknown, RETRY_UNKNOWN_MS)]
          : [{ type: ClaimEffectType.reply, response: claim.response, replayed: true }];
      case ClaimState.released:
        return [this.writeAt(version)];
      case ClaimState.unknown:
        return [this.refuseAs(errors.data.OutcomeUnknown, errors.Ran.unknown, RETRY_UNKNOWN_MS)];
      default:
        return this.onClaimed(claim, version);
    }
  }

  private onClaimed(claim: Claim, version: number): readonly ClaimEffect[] {
    if (claim.attempt === this.own.attempt) return this.forwardOnce(version);
    const fresh = this.wallMs - claim.claimedAtMs < CLAIM_TIMEOUT_MS;
    return fresh
      ? [this.refuseAs(errors.data.ClaimInProgress, errors.Ran.unknown, RETRY_IN_PROGRESS_MS)]
      : [this.refuseAs(errors.data.OutcomeUnknown, errors.Ran.unknown, RETRY_UNKNOWN_MS)];
  }

  /**
   * Refuses the request. `ran` covers all attempts with its Idempotency-Key, including earlier
   * ones.
   */
  private refuseAs(
    def: errors.ErrorDefinition,
    ran: errors.Ran,
    retryAfterMs: number,
  ): ClaimEffect {
    return this.refuse(errors.createFailure(def, STEP, PEER), ran, retryAfterMs);
  }

  private refuse(failure: errors.Failure, ran: errors.Ran, retryAfterMs: number): ClaimEffect {
    return { type: ClaimEffectType.refuse, failure, ran, retryAfterMs };
  }
}
