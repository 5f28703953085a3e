/** Replays token requests through quota loans on a simulated fleet. */
import { createRandom } from '../../core/random/index.js';
import { VirtualClock } from '../virtual/index.js';
import { LoanFleet } from './loans.js';
import type { Arrival, FleetFault, Network, Outcome, QuotaScenario } from './types.js';

/** Admission decisions up to `endMs`; the same seed gives the same result. */
export function replayLoans(
  scenario: QuotaScenario,
  network: Network,
  seed: number,
  arrivals: readonly Arrival[],
  faults: readonly FleetFault[],
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
