/**
 * Beginnings of prompts that servers are believed to keep, learnt from the responses that passed through
 * this entry VM.
 *
 * A server evicts what was used the longest ago once its memory is full. Other entry VMs send about as
 * many requests as this one, so each request here stands for one of each of them.
 */
import type { Prompt } from './prompt.js';

export * from './prompt.js';

/** Largest number of prompt beginnings that are remembered of one server. */
const MAX_PREFIXES = 256;

/** A server process; a restart under the same id drops what it kept. */
export interface CachingServer {
  readonly id: string;
  readonly bornMs: number;
}

interface KeptPrefix {
  readonly tokens: number;
  readonly model: string;
}

interface ServerMemory {
  readonly bornMs: number;
  /** By key, the least recently used first. */
  readonly kept: Map<string, KeptPrefix>;
  tokens: number;
}

export class PromptCache {
  private readonly memories = new Map<string, ServerMemory>();

  private requests = 0;

  /** Tokens at the beginning of a prompt that a server is believed to keep. */
  keptTokens({ id, bornMs }: CachingServer, { prefixes, tokens }: Prompt): number {
    const memory = this.memories.get(id);
    if (memory === undefined || memory.bornMs !== bornMs) return 0;
    const missingAt = prefixes.findIndex(({ key }) => !memory.kept.has(key));
    const kept = missingAt < 0 ? prefixes : prefixes.slice(0, missingAt);
    return Math.min(
      tokens,
      kept.reduce((sum, prefix) => sum + prefix.tokens, 0),
    );
  }

  /**
   * Records that a server has processed a prompt.
   * @param ownTokens Tokens that the request alone may use: the rest of its prompt and its output.
   * @param capacityTokens Memory of the server.
   * @param members Number of entry VMs that send requests to it.
   */
  note(
    { id, bornMs }: CachingServer,
    model: string,
    { prefixes }: Prompt,
    {
      ownTokens,
      capacityTokens,
      members,
    }: Record<'ownTokens' | 'capacityTokens' | 'members', number>,
  ): void {
    if (prefixes.length === 0 && !this.memories.has(id)) return;
    const before = this.memories.get(id);
    const memory =
      before === undefined || before.bornMs !== bornMs
        ? { bornMs, kept: new Map<string, KeptPrefix>(), tokens: 0 }
        : before;
    this.memories.set(id, memory);
    this.requests += 1;
    // Entries of single requests can't match a prefix, whose key is a digest.
    PromptCache.add(memory, `request ${this.requests}`, { model, tokens: ownTokens * members });
    // A longer beginning is of no use without the shorter ones, so it is evicted first.
    [...prefixes]
      .reverse()
      .forEach(({ key, tokens }) => PromptCache.add(memory, key, { model, tokens }));
    PromptCache.evict(memory, capacityTokens);
  }

  /** Drops what a server kept for models that it no longer has loaded, or before a restart. */
  retainModels({ id, bornMs }: CachingServer, models: ReadonlySet<string>): void {
    const memory = this.memories.get(id);
    if (memory === undefined) return;
    if (memory.bornMs !== bornMs) {
      this.memories.delete(id);
      return;
    }
    [...memory.kept]
      .filter(([, { model }]) => !models.has(model))
      .forEach(([key]) => PromptCache.remove(memory, key));
  }

  /** Drops what is known of servers that no longer exist. */
  retain(servers: Pick<ReadonlyMap<string, unknown>, 'has'>): void {
    [...this.memories.keys()]
      .filter((id) => !servers.has(id))
      .forEach((id) => this.memories.delete(id));
  }

  private static add(memory: ServerMemory, key: string, prefix: KeptPrefix): void {
    PromptCache.remove(memory, key);
    memory.kept.set(key, prefix);
    Object.assign(memory, { tokens: memory.tokens + prefix.tokens });
  }

  private static remove(memory: ServerMemory, key: string): void {
    const prefix = memory.kept.get(key);
    if (prefix === undefined) return;
    memory.kept.delete(key);
    Object.assign(memory, { tokens: memory.tokens - prefix.tokens });
  }

  private static evict(memory: ServerMemory, capacityTokens: number): void {
    [...memory.kept.keys()].every((key) => {
      const isFull = memory.tokens > capacityTokens || memory.kept.size > MAX_PREFIXES;
      if (isFull) PromptCache.remove(memory, key);
      return isFull;
    });
  }
}
