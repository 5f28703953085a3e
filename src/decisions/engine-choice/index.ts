/** Chooses a backend server for a request among those that can run it. */
import type { Random } from '../../core/random/index.js';
import { DEFAULT_PACE, firstTokenMs, type Pace } from '../first-token/index.js';
import { preferenceWeight, type Prompt } from '../prompt-cache/index.js';

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
  /** Tokens at the beginning of the prompt that the server is believed to keep. */
  readonly keptTokens?: number;
}

export interface ChoiceContext {
  readonly dataCentre: string;
  /** Servers that the request has been sent to already. */
  readonly tried: ReadonlySet<string>;
  readonly random: Random;
  /** Learnt pace of the service's servers; null or undefined while it is unknown. */
  readonly pace?: Pace | null;
  /** Undefined if the request does not declare its prompt. */
  readonly prompt?: Prompt;
}

/** Why a prompt may be kept at the chosen server. */
export const PromptReason = {
  /** Responses have shown that the server has processed its beginning. */
  kept: 'kept',
  /** All entry VMs prefer the server for prompts with this beginning. */
  preferred: 'preferred',
  none: 'none',
} as const;
export type PromptReason = (typeof PromptReason)[keyof typeof PromptReason];

export interface Choice<T extends Candidate> {
  readonly server: T;
  readonly promptReason: PromptReason;
}

/** Utilisation above which a server gets no more requests; they queue at the entry VM instead. */
const MAX_UTILISATION = 0.9;
/** Largest random addition to an estimate, in units of utilisation; spreads load over equal servers. */
const MAX_TIE_BREAK = 0.02;
/** Smallest saving for which servers are preferred, ms. */
const MIN_SAVED_MS = 1;

/** Number of requests that a server may run at once. */
export function usableSlots({ slots }: Pick<Candidate, 'slots'>): number {
  return Math.max(1, Math.ceil(slots * MAX_UTILISATION));
}

/** Whether a server may get one more request. */
export function hasSlot(server: Pick<Candidate, 'running' | 'slots'>): boolean {
  return server.running < usableSlots(server);
}

/** A server and its expected time to the first token, ms, with a random addition. */
interface TimedServer<T extends Candidate> {
  readonly server: T;
  readonly atMs: number;
  /** The same if it keeps nothing of the prompt. */
  readonly uncachedAtMs: number;
}

/**
 * The server that all entry VMs prefer for a prompt, among those that are equal otherwise, that is within
 * the time that a kept prompt saves; null if that time is too short.
 */
function preferredServer<T extends Candidate>(
  timed: readonly TimedServer<T>[],
  prompt: Prompt | undefined,
  savedMs: number,
): TimedServer<T> | null {
  const key = prompt?.preferenceKey ?? null;
  if (key === null || savedMs < MIN_SAVED_MS || timed.length < 2) return null;
  const earliestMs = Math.min(...timed.map(({ uncachedAtMs }) => uncachedAtMs));
  return timed
    .filter(({ uncachedAtMs }) => uncachedAtMs <= earliestMs + savedMs)
    .map((one) => ({ one, weight: preferenceWeight(key, one.server.id) }))
    .reduce((best, next) => (next.weight > best.weight ? next : best)).one;
}

/**
 * Returns the server with the earliest expected first token. Null if no server has room; the request
 * is then queued.
 */
export function chooseServer<T extends Candidate>(
  candidates: readonly T[],
  { dataCentre, tried, random, pace = null, prompt }: ChoiceContext,
): Choice<T> | null {
  const usedPace = pace ?? DEFAULT_PACE;
  // Without a pace, it is not known what a kept prompt saves: servers are chosen by load alone.
  const usedPrompt = pace === null ? undefined : prompt;
  const promptTokens = usedPrompt?.tokens ?? 0;
  const timed = candidates
    .filter((candidate) => !tried.has(candidate.id) && hasSlot(candidate))
    .map((server): TimedServer<T> => {
      const { speedRatio = 1, keptTokens = 0 } = server;
      const tieBreakMs = random.real() * MAX_TIE_BREAK * usedPace.loadMs;
      const at = (newTokens: number) =>
        tieBreakMs + firstTokenMs({ ...server, speedRatio, newTokens }, usedPace, dataCentre);
      const newTokens = Math.max(0, promptTokens - keptTokens);
      return { server, atMs: at(newTokens), uncachedAtMs: at(promptTokens) };
    });
  const savedMs = (usedPrompt?.sharedTokens ?? 0) / usedPace.tokensPerMs;
  const preferred = preferredServer(timed, usedPrompt, savedMs);
  // The preferred server has processed such prompts for other entry VMs.
  const expectedAtMs = (one: TimedServer<T>) =>
    one === preferred ? Math.min(one.atMs, one.uncachedAtMs - savedMs) : one.atMs;
  const best = timed.reduce<TimedServer<T> | null>(
    (first, next) => (first === null || expectedAtMs(next) < expectedAtMs(first) ? next : first),
    null,
  );
  if (best === null) return null;
  const { server } = best;
  if (usedPrompt === undefined) return { server, promptReason: PromptReason.none };
  if ((server.keptTokens ?? 0) > 0) return { server, promptReason: PromptReason.kept };
  const promptReason = best === preferred ? PromptReason.preferred : PromptReason.none;
  return { server, promptReason };
}
