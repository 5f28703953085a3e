/** Chooses a backend server for a request among those that can run it. */
import type { Random } from '../../core/random/index.js';

/** A backend server that can run the request now. */
export interface Candidate {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Running requests, according to the latest reports. */
  readonly running: number;
  /**
   * Relative time to the first byte, as a multiple of the peers' median; 1 if the server is not
   * slow.
   */
  readonly slowness: number;
}

export interface ChoiceContext {
  readonly dataCentre: string;
  /** Servers that the request has been sent to already. */
  readonly tried: ReadonlySet<string>;
  readonly random: Random;
}

/** Utilisation above which a server gets no more requests; they queue at the entry VM instead. */
const MAX_UTILISATION = 0.9;
/** Score penalty for a server in another data centre, in units of utilisation. */
const REMOTE_PENALTY = 0.15;
/** Largest random addition to a score, in units of utilisation; spreads load over equal servers. */
const MAX_TIE_BREAK = 0.02;

/** The part of a server's score that does not depend on its running requests. */
export function penaltyOf(candidate: Candidate, dataCentre: string): number {
  const remote = candidate.dataCentre === dataCentre ? 0 : REMOTE_PENALTY;
  return remote + candidate.slowness - 1;
}

/**
 * Returns the server with the lowest score. Null if no server has room; the request is then queued.
 */
export function chooseServer(
  candidates: readonly Candidate[],
  { dataCentre, tried, random }: ChoiceContext,
): Candidate | null {
  const scored = candidates
    .filter(
      ({ id, running, slots }) => !tried.has(id) && running < Math.max(1, slots * MAX_UTILISATION),
    )
    .map((candidate) => ({
      candidate,
      score:
        ((candidate.running + 1) / candidate.slots) * candidate.slowness +
        penaltyOf(candidate, dataCentre) +
        random.real() * MAX_TIE_BREAK,
    }));
  return (
    scored.reduce<(typeof scored)[number] | null>(
      (best, next) => (best === null || next.score < best.score ? next : best),
      null,
    )?.candidate ?? null
  );
}
