/** Chooses a backend server for a request among those that can run it. */
import type { Random } from '../../core/random/index.js';
import { DEFAULT_PACE, firstTokenMs, type Pace } from '../first-token/index.js';

export { penaltyOf } from '../first-token/index.js';

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
  /** Learnt duration as a multiple of the peers' median; undefined if unknown. */
  readonly speedRatio?: number;
}

export interface ChoiceContext {
  readonly dataCentre: string;
  /** Servers that the request has been sent to already. */
  readonly tried: ReadonlySet<string>;
  readonly random: Random;
  /** Learnt pace of the service's servers; null or undefined while it is unknown. */
  readonly pace?: Pace | null;
}

/** Utilisation above which a server gets no more requests; they queue at the entry VM instead. */
const MAX_UTILISATION = 0.9;
/** Largest random addition to an estimate, in units of utilisation; spreads load over equal servers. */
const MAX_TIE_BREAK = 0.02;

/** Whether a server may get one more request. */
export function hasSlot({ running, slots }: Pick<Candidate, 'running' | 'slots'>): boolean {
  return running < Math.max(1, slots * MAX_UTILISATION);
}

/**
 * Returns the server with the earliest expected first token. Null if no server has room; the request
 * is then queued.
 */
export function chooseServer<T extends Candidate>(
  candidates: readonly T[],
  { dataCentre, tried, random, pace = null }: ChoiceContext,
): T | null {
  const usedPace = pace ?? DEFAULT_PACE;
  const timed = candidates
    .filter((candidate) => !tried.has(candidate.id) && hasSlot(candidate))
    .map((candidate) => {
      const { speedRatio = 1 } = candidate;
      const estimateMs = firstTokenMs(
        { ...candidate, speedRatio, newTokens: 0 },
        usedPace,
        dataCentre,
      );
      const tieBreakMs = random.real() * MAX_TIE_BREAK * usedPace.loadMs;
      return { candidate, orderMs: estimateMs + tieBreakMs };
    });
  return (
    timed.reduce<(typeof timed)[number] | null>(
      (best, next) => (best === null || next.orderMs < best.orderMs ? next : best),
      null,
    )?.candidate ?? null
  );
}
