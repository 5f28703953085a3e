/**
 * Runs a non-idempotent request at most once.
 *
 * A claim is written to the platform before the request is forwarded, and only the attempt named in
 * it may forward. A write whose answer was lost is read back before anything follows. The outcome
 * is recorded in the claim, from where a repeat gets it.
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

/** A claim older than this whose outcome is not recorded lost its entry VM. */
const IN_PROGRESS_MS = 60_000;
const RETRY_IN_PROGRESS_MS = 1_000;
const RETRY_PLATFORM_MS = 2_000;
const RETRY_UNKNOWN_MS = 60_000;
const MOST_READS = 4;

const STEP = 'claim order';
const PEER = 'platform';

/** Digest that tells a repeat from another request under the same Idempotency-Key. */
export function digestOf(method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
}

/** Name of the claim's object. The caller's Idempotency-Key may hold any characters. */
export function claimKeyOf(customer: string, idempotencyKey: string): string {
  return `orders/${customer}/${createHash('sha256').update(idempotencyKey).digest('hex')}`;
}

/** The way of one order. Feed it events in order and carry out the effects it returns. */
export class OrderClaim {
  private version = 0;

  private reads = 0;

  private forwarded = false;

  private readonly own: Claim;

  /** @param wallMs Wall-clock time, which repeats on other entry VMs compare. */
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
        return this.decide(event.claim, event.version);
      case ClaimEventType.answered:
        return [
          this.record({ ...this.own, state: ClaimState.done, response: event.response }),
          { type: ClaimEffectType.reply, response: event.response, replayed: false },
        ];
      case ClaimEventType.provenNotRun:
        return [
          this.record({ ...this.own, state: ClaimState.released }),
          this.refuse(event.failure, errors.Ran.no, RETRY_IN_PROGRESS_MS),
        ];
      case ClaimEventType.answerLost:
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
    if (this.reads <= MOST_READS) return [{ type: ClaimEffectType.read }];
    const failure = errors.createFailure(
      errors.data.PlatformDown,
      STEP,
      PEER,
      'the claim could not be confirmed',
    );
    return [this.refuse(failure, errors.Ran.no, RETRY_PLATFORM_MS)];
  }

  private decide(claim: Claim | null, version: number): readonly ClaimEffect[] {
    if (claim === null) return this.reads <= MOST_READS ? [this.writeAt(0)] : this.readAgain();
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
        return this.decideClaimed(claim, version);
    }
  }

  private decideClaimed(claim: Claim, version: number): readonly ClaimEffect[] {
    if (claim.attempt === this.own.attempt) return this.forwardOnce(version);
    const fresh = this.wallMs - claim.claimedAtMs < IN_PROGRESS_MS;
    return fresh
      ? [this.refuseAs(errors.data.ClaimInProgress, errors.Ran.unknown, RETRY_IN_PROGRESS_MS)]
      : [this.refuseAs(errors.data.OutcomeUnknown, errors.Ran.unknown, RETRY_UNKNOWN_MS)];
  }

  /** What is refused is the order under its Idempotency-Key: an earlier attempt counts as run. */
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
