/** Names the parts of a prompt that other requests may share. */
import { createHash } from 'node:crypto';

/** A segment of a prompt as its caller declares it. */
export interface DeclaredSegment {
  readonly id: string;
  /** Null if the caller does not tell it. */
  readonly tokens: number | null;
}

/** The beginning of a prompt up to the end of one segment. */
export interface SharedPrefix {
  /** Equal for all prompts that begin in the same way, for the same model and adapter. */
  readonly key: string;
  /** Tokens of its last segment. */
  readonly tokens: number;
}

export interface Prompt {
  /** Tokens of the whole prompt. */
  readonly tokens: number;
  /** The beginnings that other requests may share, shortest first. */
  readonly prefixes: readonly SharedPrefix[];
  /** Tokens of the longest of them. */
  readonly sharedTokens: number;
  /** Key by which all entry VMs prefer the same server; null if nothing is shared. */
  readonly preferenceKey: string | null;
}

/** Largest number of shared segments that are told apart. */
const MAX_SEGMENTS = 16;
/**
 * Part of the shared tokens that the preference key covers at least. A conversation that grows by a
 * segment with each turn then keeps its server until it has doubled.
 */
const PREFERENCE_PART = 0.5;

function keyOf(before: string, id: string): string {
  return createHash('sha1').update(before).update('\0').update(id).digest('base64url');
}

/** Length of each beginning of a prompt, in tokens. */
function lengthsOf(prefixes: readonly SharedPrefix[]): readonly number[] {
  return prefixes.map((_, i) => prefixes.slice(0, i + 1).reduce((sum, p) => sum + p.tokens, 0));
}

/**
 * Describes a prompt.
 * @param target Service, model and adapter: servers keep nothing for others.
 * @param segments In order; the last one belongs to the request alone.
 * @param promptTokens Declared tokens of the whole prompt; null if they are unknown.
 */
export function describePrompt(
  target: readonly (string | null)[],
  segments: readonly DeclaredSegment[],
  promptTokens: number | null,
): Prompt {
  const declaredTokens = segments.reduce((sum, { tokens }) => sum + (tokens ?? 0), 0);
  const tokens = promptTokens ?? declaredTokens;
  const shared = segments.slice(0, -1).slice(0, MAX_SEGMENTS);
  // The length of what follows a segment of unknown length is known, but not what it adds up to.
  const unknownAt = shared.findIndex((segment) => segment.tokens === null);
  const known = unknownAt < 0 ? shared : shared.slice(0, unknownAt);
  const prefixes = known.reduce<readonly SharedPrefix[]>(
    (before, segment) => [
      ...before,
      {
        key: keyOf(before.at(-1)?.key ?? JSON.stringify(target), segment.id),
        tokens: segment.tokens ?? 0,
      },
    ],
    [],
  );
  const lengths = lengthsOf(prefixes);
  const sharedTokens = Math.min(tokens, lengths.at(-1) ?? 0);
  const preferred = prefixes.find((_, i) => (lengths[i] ?? 0) >= sharedTokens * PREFERENCE_PART);
  const preferenceKey = sharedTokens > 0 ? (preferred?.key ?? null) : null;
  return { tokens, prefixes, sharedTokens, preferenceKey };
}

/** Weight of a server for a key: the servers with the highest weights are the same at all entry VMs. */
export function preferenceWeight(key: string, serverId: string): number {
  return createHash('sha1').update(key).update('\0').update(serverId).digest().readUIntBE(0, 6);
}
