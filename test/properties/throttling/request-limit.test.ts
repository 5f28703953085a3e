/** No server exceeds its limit when messages are late or lost, VMs restart or stewards change. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { Fleet } from './fleet.js';

/** Span in which the requests of the server are counted, and its bound: 1.5 times the limit + 5. */
const SPAN_MS = 4_000;
const LIMIT_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;

function bound(requestsPerS: number): number {
  return (LIMIT_FACTOR * requestsPerS * SPAN_MS) / 1000 + EXTRA_REQUESTS;
}

const limits = fc.oneof(
  fc.double({ min: 0.1, max: 1, noNaN: true }),
  fc.double({ min: 1, max: 40, noNaN: true }),
);

const events = fc.array(
  fc.tuple(
    fc.constantFrom('steward', 'lost', 'restart', 'messages', 'wait'),
    fc.integer({ min: 20, max: 3_000 }),
    fc.integer({ min: 0, max: 60 }),
  ),
  { minLength: 3, maxLength: 12 },
);

describe('a server that names a limit', () => {
  test('gets at most 1.5 times the limit and 5 requests more in any 4 s', () => {
    fc.assert(
      fc.property(limits, events, (requestsPerS, steps) => {
        const fleet = new Fleet(requestsPerS);
        steps.forEach(([event, ms, delayMs], at) => {
          if (event === 'steward') fleet.changeSteward();
          if (event === 'lost') fleet.loseSteward();
          if (event === 'restart') fleet.restart(at);
          if (event === 'messages') fleet.loseMessages();
          fleet.run(ms, delayMs);
        });
        fleet.run(SPAN_MS, 1);
        expect(fleet.maxInSpan(SPAN_MS)).toBeLessThanOrEqual(bound(requestsPerS));
      }),
      { seed: 23, numRuns: 300 },
    );
  });

  test('gets few requests soon after its limit has fallen', () => {
    fc.assert(
      fc.property(limits, limits, (first, second) => {
        const [low = 0, high = 0] = [first, second].sort((a, b) => a - b);
        const fleet = new Fleet(high);
        fleet.run(6_000, 1);
        fleet.changeLimit(low);
        const before = fleet.arrivals.length;
        fleet.run(SPAN_MS, 1);
        expect(fleet.arrivals.length - before).toBeLessThanOrEqual(bound(low));
      }),
      { seed: 24, numRuns: 100 },
    );
  });

  test('gets most of the requests that its limit allows while a steward is connected', () => {
    fc.assert(
      fc.property(limits, (requestsPerS) => {
        const fleet = new Fleet(requestsPerS);
        fleet.run(20_000, 1);
        expect(fleet.arrivals.length).toBeGreaterThanOrEqual(Math.floor(20 * requestsPerS * 0.9));
      }),
      { seed: 25, numRuns: 50 },
    );
  });
});
