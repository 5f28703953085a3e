/** A cold server is not overrun when messages are late or lost, VMs are cut off or stewards change. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { COLD_WITHHELD_MS, ColdServers } from '../../../src/decisions/cold-servers/index.js';
import { Fleet } from './fleet.js';

const SPAN_MS = 1_000;
const BOUNDS = { overage: 1.5, slack: 5 };

function permitsPerS(perS: number): number {
  const cold = new ColdServers(BOUNDS);
  const server = { id: 's1', bornMs: 0, service: 'desk', coldMs: 9_000 };
  cold.noteServers(0, 60_000, [server], () => ({ startMs: 0, perS }));
  return cold.requestsPerS(1, server) ?? Infinity;
}

const rates = fc.oneof(
  fc.double({ min: 0.2, max: 5, noNaN: true }),
  fc.double({ min: 5, max: 40, noNaN: true }),
);

const events = fc.array(
  fc.tuple(
    fc.constantFrom('steward', 'lost', 'cut', 'restart', 'messages', 'wait'),
    fc.integer({ min: 20, max: 3_000 }),
    fc.integer({ min: 0, max: 250 }),
  ),
  { minLength: 3, maxLength: 12 },
);

function play(fleet: Fleet, steps: readonly (readonly [string, number, number])[]): void {
  steps.forEach(([event, ms, delayMs], at) => {
    if (event === 'steward') fleet.changeSteward();
    if (event === 'lost') fleet.loseSteward();
    if (event === 'cut') fleet.cutOffFrom(at % 2 === 0 ? 0 : at);
    if (event === 'restart') fleet.restart(at);
    if (event === 'messages') fleet.loseMessages();
    fleet.run(ms, delayMs);
  });
}

describe('a cold server', () => {
  test('gets at most 1.5 times its rate and 5 requests more in any second', () => {
    fc.assert(
      fc.property(rates, events, (perS, steps) => {
        const fleet = new Fleet(permitsPerS(perS));
        play(fleet, steps);
        expect(fleet.maxInSpan(SPAN_MS)).toBeLessThanOrEqual(BOUNDS.overage * perS + BOUNDS.slack);
      }),
      { seed: 31, numRuns: 300 },
    );
  });

  test('gets no more in the second in which a burst ended as it became known', () => {
    fc.assert(
      fc.property(rates, fc.integer({ min: 0, max: 250 }), (perS, delayMs) => {
        const fleet = new Fleet(permitsPerS(perS), {
          namedSinceMs: 0,
          minWithheldMs: COLD_WITHHELD_MS,
        });
        const bound = BOUNDS.overage * perS + BOUNDS.slack;
        const burst = Math.floor(bound);
        fleet.arrivals.push(...Array.from({ length: burst }, () => 0));
        fleet.run(2_000, delayMs);
        expect(fleet.maxInSpan(SPAN_MS)).toBeLessThanOrEqual(bound);
      }),
      { seed: 32, numRuns: 100 },
    );
  });

  test('gets half of its rate and more while a steward is connected', () => {
    fc.assert(
      fc.property(rates, (perS) => {
        const fleet = new Fleet(permitsPerS(perS));
        fleet.run(20_000, 1);
        expect(fleet.arrivals.length).toBeGreaterThanOrEqual(Math.floor(20 * perS * 0.5));
      }),
      { seed: 33, numRuns: 50 },
    );
  });
});
