/** Chooses the backend server for a request among those that can run it. */
import type { Random } from '../../core/random/index.js';

/** A backend server that can run the request now. */
export interface Candidate {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Requests that run there, as far as known. */
  readonly running: number;
  /** How much slower than its peers it answers, 1 for as fast. */
  readonly slowness: number;
}

export interface ChoiceContext {
  readonly dataCentre: string;
  /** Servers that this request was sent to already. */
  readonly tried: ReadonlySet<string>;
  readonly random: Random;
}

/** Part of a server's slots that is sent work before a request waits at the entry VM instead. */
const FILL = 0.9;
/** Load that another data centre must be ahead by, as a part of its slots. */
const DISTANCE = 0.15;
/** Load that a request running anywhere adds, so that equal servers take turns. */
const TIE = 0.02;

/** Null where no server has room: the request waits. */
export function choose(
  candidates: readonly Candidate[],
  { dataCentre, tried, random }: ChoiceContext,
): Candidate | null {
  const scored = candidates
    .filter(({ id, running, slots }) => !tried.has(id) && running < Math.max(1, slots * FILL))
    .map((candidate) => ({
      candidate,
      score:
        ((candidate.running + 1) / candidate.slots) * candidate.slowness +
        (candidate.dataCentre === dataCentre ? 0 : DISTANCE) +
        (candidate.slowness - 1) +
        random.real() * TIE,
    }));
  return (
    scored.reduce<(typeof scored)[number] | null>(
      (best, next) => (best === null || next.score < best.score ? next : best),
      null,
    )?.candidate ?? null
  );
}
