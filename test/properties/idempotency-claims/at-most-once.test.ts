/** Checks that a claimed request runs at most once under crashes and lost platform responses. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as errors from '../../../src/core/errors/index.js';
import * as claims from '../../../src/decisions/idempotency-claims/index.js';

interface Attempt {
  readonly claim: claims.IdempotencyClaim;
  readonly effects: claims.ClaimEffect[];
  readonly forwards: claims.ClaimEffect[];
  crashed: boolean;
}

const failure = errors.createFailure(errors.data.BackendFailed, 'test', 'service');
const response = { status: 201, contentType: 'application/json', body: '' };

/** Simulates the stored claim, the service and all attempts under one Idempotency-Key. */
class World {
  claim: claims.Claim | null = null;

  version = 0;

  runs = 0;

  replies = 0;

  /** Refusals that say "not executed" although the request ran. */
  falseRefusals = 0;

  /** Writes whose response was lost and that take effect later. */
  readonly late: { readonly claim: claims.Claim; readonly version: number }[] = [];

  readonly attempts: Attempt[] = [];

  addAttempt(): void {
    const name = `attempt-${this.attempts.length}`;
    const claim = new claims.IdempotencyClaim(name, 'digest', 1_000);
    const effects = [...claim.handle({ type: claims.ClaimEventType.started })];
    this.attempts.push({ claim, effects, forwards: [], crashed: false });
  }

  write(claim: claims.Claim, version: number): boolean {
    if (version !== this.version) return false;
    this.claim = claim;
    this.version += 1;
    return true;
  }

  /**
   * Executes the next effect of an attempt.
   * @param draw 0: the effect fails; 1: its response is lost; 2: its response is lost and a write
   * takes effect later; larger values: it succeeds.
   */
  step(index: number, draw: number): void {
    const attempt = this.attempts[index % this.attempts.length];
    if (attempt === undefined || attempt.crashed) return;
    const effect = attempt.effects.shift();
    if (effect === undefined) return;
    const event = this.execute(attempt, effect, draw);
    if (event !== null) attempt.effects.push(...attempt.claim.handle(event));
  }

  private execute(
    attempt: Attempt,
    effect: claims.ClaimEffect,
    draw: number,
  ): claims.ClaimEvent | null {
    const { ClaimEffectType, ClaimEventType } = claims;
    const lost = draw < 3;
    switch (effect.type) {
      case ClaimEffectType.write:
      case ClaimEffectType.record: {
        if (draw === 2) {
          this.late.push(effect);
          return { type: ClaimEventType.writeUnknown };
        }
        const ok = draw === 0 ? false : this.write(effect.claim, effect.version);
        if (effect.type === ClaimEffectType.record) return null;
        if (lost) return { type: ClaimEventType.writeUnknown };
        return ok
          ? { type: ClaimEventType.written, version: this.version }
          : { type: ClaimEventType.writeConflict };
      }
      case ClaimEffectType.read:
        return lost
          ? { type: ClaimEventType.readFailed }
          : { type: ClaimEventType.read, claim: this.claim, version: this.version };
      case ClaimEffectType.forward:
        if (draw === 0) return { type: ClaimEventType.provenNotExecuted, failure };
        this.runs += 1;
        attempt.forwards.push(effect);
        return lost
          ? { type: ClaimEventType.responseLost, failure }
          : { type: ClaimEventType.answered, response };
      case ClaimEffectType.reply:
        this.replies += 1;
        return null;
      default:
        if (effect.type === ClaimEffectType.refuse && effect.ran === errors.Ran.no) {
          // Without the platform, other attempts are unknown: the refusal covers only this one.
          const isPlatformDown = effect.failure.name === 'PlatformDown';
          const ran = isPlatformDown ? attempt.forwards.length > 0 : this.runs > 0;
          this.falseRefusals += ran ? 1 : 0;
        }
        return null;
    }
  }
}

const moves = fc.array(
  fc.record({
    what: fc.constantFrom('step', 'step', 'step', 'step', 'start', 'kill', 'land'),
    index: fc.nat(7),
    draw: fc.nat(9),
  }),
  { maxLength: 80 },
);

describe('a request with an Idempotency-Key', () => {
  test('runs at most once and is never refused as not executed after it ran', () => {
    fc.assert(
      fc.property(moves, (steps) => {
        const world = new World();
        world.addAttempt();
        steps.forEach(({ what, index, draw }) => {
          if (what === 'start') world.addAttempt();
          else if (what === 'step') world.step(index, draw);
          else if (what === 'land') {
            const [late] = world.late.splice(index % Math.max(1, world.late.length), 1);
            if (late !== undefined) world.write(late.claim, late.version);
          } else {
            const attempt = world.attempts[index % world.attempts.length];
            if (attempt !== undefined) attempt.crashed = true;
          }
        });
        expect(world.runs).toBeLessThanOrEqual(1);
        expect(world.falseRefusals).toBe(0);
      }),
      { seed: 20261204, numRuns: 5_000 },
    );
  });

  test('returns the recorded response to a repeat', () => {
    const world = new World();
    world.addAttempt();
    Array.from({ length: 8 }).forEach(() => world.step(0, 9));
    world.addAttempt();
    Array.from({ length: 8 }).forEach(() => world.step(1, 9));
    expect(world).toMatchObject({ runs: 1, replies: 2 });
  });
});
