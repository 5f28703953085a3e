/** Replays requests for tokens through the fleet's loans. */
import { createRandom } from '../../core/random/index.js';
import { VirtualClock } from '../virtual/index.js';
import { LoanFleet } from './loans.js';
import type { Arrival, Disturbance, Network, Outcome, QuotaShape } from './types.js';

export function replayLoans(
  shape: QuotaShape,
  network: Network,
  seed: number,
  arrivals: readonly Arrival[],
  disturbances: readonly Disturbance[],
  endMs: number,
): readonly Outcome[] {
  const clock = new VirtualClock();
  const outcomes: Outcome[] = [];
  const fleet = new LoanFleet(clock, shape, network, createRandom(seed), (outcome) => {
    outcomes.push(outcome);
  });
  arrivals.forEach((arrival) => clock.at(arrival.atMs, () => fleet.arrive(arrival)));
  disturbances.forEach((event) => clock.at(event.atMs, () => fleet.disturb(event)));
  clock.runUntil(endMs);
  return outcomes;
}
