/** Replays token requests through quota loans on a simulated fleet. */
import { createRandom } from '../../core/random/index.js';
import { VirtualClock } from '../virtual/index.js';
import { LoanFleet } from './loans.js';
import type { Arrival, Disturbance, Network, Outcome, QuotaShape } from './types.js';

/** Admission decisions up to `endMs`; the same seed gives the same result. */
export function replayLoans(
  scenario: QuotaShape,
  network: Network,
  seed: number,
  arrivals: readonly Arrival[],
  faults: readonly Disturbance[],
  endMs: number,
): readonly Outcome[] {
  const clock = new VirtualClock();
  const outcomes: Outcome[] = [];
  const fleet = new LoanFleet(clock, scenario, network, createRandom(seed), (outcome) => {
    outcomes.push(outcome);
  });
  arrivals.forEach((arrival) => clock.at(arrival.atMs, () => fleet.handleArrival(arrival)));
  faults.forEach((fault) => clock.at(fault.atMs, () => fleet.injectFault(fault)));
  clock.runUntil(endMs);
  return outcomes;
}
