/** No customer exceeds rate and burst, whatever failures the network and the fleet have. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { runExact, maxOvershoot } from '../../../src/lab/quota/exact.js';
import { replayLoans } from '../../../src/lab/quota/replay.js';
import type { Arrival, FleetFault, QuotaScenario } from '../../../src/lab/quota/types.js';

const END_MS = 20_000;
const limit = { customer: 'a', ratePerS: 1_000, burst: 3_000 };
const shape: QuotaScenario = { dataCentres: 3, vmsPerDataCentre: 2, limits: [limit] };
/** Tolerance for rounding errors of many additions. */
const EPSILON = 1e-6;

const arrivalsOf = (maxLength: number) =>
  fc
    .array(
      fc.record({
        atMs: fc.nat(END_MS - 6_000),
        vm: fc.nat(5),
        customer: fc.constant('a'),
        tokens: fc.integer({ min: 1, max: 900 }),
        maxWaitMs: fc.constantFrom(0, 100, 1_000, 5_000),
      }),
      { minLength: 50, maxLength },
    )
    .map((list) => [...list].sort((a, b) => a.atMs - b.atMs));

const disturbances = fc.array(
  fc.record({
    atMs: fc.nat(END_MS),
    type: fc.constantFrom('kill-vm', 'replace-lender', 'cut-data-centre', 'heal'),
    index: fc.nat(5),
  }),
  { maxLength: 6 },
) as fc.Arbitrary<FleetFault[]>;

/** A steady stream of requests; `vmAt` returns the entry VM for each. */
function steady(vmAt: (index: number) => number, everyMs: number, tokens: number): Arrival[] {
  return Array.from({ length: Math.floor(60_000 / everyMs) }, (_, index) => ({
    atMs: index * everyMs,
    vm: vmAt(index),
    customer: 'a',
    tokens,
    maxWaitMs: 2_000,
  }));
}

describe('rate and burst over all entry VMs', () => {
  test('hold despite lost, duplicate or late messages, crashes, partitions, new lenders', () => {
    fc.assert(
      fc.property(
        arrivalsOf(300),
        disturbances,
        fc.nat(1_000_000),
        fc.constantFrom(0, 0.05, 0.3),
        (arrivals, events, seed, loss) => {
          const network = { delayMs: [1, 60] as const, loss, duplicates: 0.1 };
          const outcomes = replayLoans(shape, network, seed, arrivals, events, END_MS);
          expect(outcomes.length).toBeGreaterThan(0);
          const over = maxOvershoot(outcomes, limit.ratePerS, limit.burst);
          expect(over).toBeLessThanOrEqual(EPSILON);
        },
      ),
      { seed: 20261204, numRuns: 300 },
    );
  });

  test.each([
    ['all on one entry VM', () => 0],
    ['spread over all', (index: number) => index % 6],
    ['moving every 200 requests', (index: number) => Math.floor(index / 200) % 6],
  ])('reject no request within the rate: %s', (_name, vmAt) => {
    // 950 tokens/s of the customer's 1000.
    const arrivals = steady(vmAt, 20, 19);
    const network = { delayMs: [0.5, 1.5] as const, loss: 0, duplicates: 0 };
    const outcomes = replayLoans(shape, network, 7, arrivals, [], 70_000);
    const exact = runExact(shape, arrivals);
    expect(exact.filter(({ admitted }) => !admitted)).toHaveLength(0);
    expect(outcomes.filter(({ admitted }) => !admitted)).toHaveLength(0);
    expect(outcomes).toHaveLength(arrivals.length);
  });

  test('admit a burst beyond the share of one data centre with loans from the others', () => {
    const arrivals: Arrival[] = [
      { atMs: 100, vm: 0, customer: 'a', tokens: 2_900, maxWaitMs: 500 },
    ];
    const network = { delayMs: [0.5, 1.5] as const, loss: 0, duplicates: 0 };
    const outcomes = replayLoans(shape, network, 7, arrivals, [], 5_000);
    expect(outcomes.map(({ admitted }) => admitted)).toEqual([true]);
  });

  test('admit exactly the rate of a customer that sends five times as much', () => {
    const arrivals = steady((index) => index % 6, 4, 20);
    const network = { delayMs: [0.5, 1.5] as const, loss: 0, duplicates: 0 };
    const outcomes = replayLoans(shape, network, 7, arrivals, [], 70_000);
    const tokens = outcomes
      .filter(({ admitted }) => admitted)
      .reduce((sum, { arrival }) => sum + arrival.tokens, 0);
    const allowed = limit.burst + limit.ratePerS * 60;
    expect(maxOvershoot(outcomes, limit.ratePerS, limit.burst)).toBeLessThanOrEqual(EPSILON);
    expect(tokens).toBeGreaterThanOrEqual(allowed * 0.95);
  });
});
