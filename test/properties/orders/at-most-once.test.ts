/** Any interleaving of attempts, crashes and lost platform answers runs an order at most once. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as errors from '../../../src/core/errors/index.js';
import * as orders from '../../../src/decisions/orders/index.js';

interface Attempt {
  readonly claim: orders.OrderClaim;
  readonly effects: orders.ClaimEffect[];
  readonly forwards: orders.ClaimEffect[];
  dead: boolean;
}

const failure = errors.createFailure(errors.data.BackendFailed, 'test', 'service');
const response = { status: 201, contentType: 'application/json', body: '' };

/** The platform's object, the service's counter and every entry VM that tries the same order. */
class World {
  claim: orders.Claim | null = null;

  version = 0;

  runs = 0;

  replies = 0;

  untrue = 0;

  /** Writes whose answer was lost and that take effect later. */
  readonly late: { readonly claim: orders.Claim; readonly version: number }[] = [];

  readonly attempts: Attempt[] = [];

  addAttempt(): void {
    const name = `attempt-${this.attempts.length}`;
    const claim = new orders.OrderClaim(name, 'digest', 1_000);
    const effects = [...claim.handle({ type: orders.ClaimEventType.started })];
    this.attempts.push({ claim, effects, forwards: [], dead: false });
  }

  write(claim: orders.Claim, version: number): boolean {
    if (version !== this.version) return false;
    this.claim = claim;
    this.version += 1;
    return true;
  }

  step(index: number, luck: number): void {
    const attempt = this.attempts[index % this.attempts.length];
    if (attempt === undefined || attempt.dead) return;
    const effect = attempt.effects.shift();
    if (effect === undefined) return;
    const event = this.carryOut(attempt, effect, luck);
    if (event !== null) attempt.effects.push(...attempt.claim.handle(event));
  }

  private carryOut(
    attempt: Attempt,
    effect: orders.ClaimEffect,
    luck: number,
  ): orders.ClaimEvent | null {
    const { ClaimEffectType, ClaimEventType } = orders;
    const lost = luck < 3;
    switch (effect.type) {
      case ClaimEffectType.write:
      case ClaimEffectType.record: {
        if (luck === 2) {
          this.late.push(effect);
          return { type: ClaimEventType.writeUnknown };
        }
        const ok = luck === 0 ? false : this.write(effect.claim, effect.version);
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
        if (luck === 0) return { type: ClaimEventType.provenNotRun, failure };
        this.runs += 1;
        attempt.forwards.push(effect);
        return lost
          ? { type: ClaimEventType.answerLost, failure }
          : { type: ClaimEventType.answered, response };
      case ClaimEffectType.reply:
        this.replies += 1;
        return null;
      default:
        if (effect.type === ClaimEffectType.refuse && effect.ran === errors.Ran.no) {
          // Without the platform nothing is known of other attempts; of this one it must be true.
          const blind = effect.failure.name === 'PlatformDown';
          const ran = blind ? attempt.forwards.length > 0 : this.runs > 0;
          this.untrue += ran ? 1 : 0;
        }
        return null;
    }
  }
}

const moves = fc.array(
  fc.record({
    what: fc.constantFrom('step', 'step', 'step', 'step', 'start', 'kill', 'land'),
    index: fc.nat(7),
    luck: fc.nat(9),
  }),
  { maxLength: 80 },
);

describe('an order under one Idempotency-Key', () => {
  test('runs at most once, and is never refused as not run after it ran', () => {
    fc.assert(
      fc.property(moves, (steps) => {
        const world = new World();
        world.addAttempt();
        steps.forEach(({ what, index, luck }) => {
          if (what === 'start') world.addAttempt();
          else if (what === 'step') world.step(index, luck);
          else if (what === 'land') {
            const [late] = world.late.splice(index % Math.max(1, world.late.length), 1);
            if (late !== undefined) world.write(late.claim, late.version);
          } else {
            const victim = world.attempts[index % world.attempts.length];
            if (victim !== undefined) victim.dead = true;
          }
        });
        expect(world.runs).toBeLessThanOrEqual(1);
        expect(world.untrue).toBe(0);
      }),
      { seed: 20261204, numRuns: 5_000 },
    );
  });

  test('a repeat after the outcome was recorded gets the same answer', () => {
    const world = new World();
    world.addAttempt();
    Array.from({ length: 8 }).forEach(() => world.step(0, 9));
    world.addAttempt();
    Array.from({ length: 8 }).forEach(() => world.step(1, 9));
    expect(world).toMatchObject({ runs: 1, replies: 2 });
  });
});
