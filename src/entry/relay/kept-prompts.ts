/**
 * Tells the choice of servers which of them keep the beginning of a prompt. Kept in the memory of this
 * entry VM only.
 */
import type { Metrics } from '../../core/metrics/index.js';
import { type Candidate, PromptReason } from '../../decisions/engine-choice/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { type Prompt, PromptCache } from '../../decisions/prompt-cache/index.js';
import type { Run } from './fleet-view.js';
import type { EngineView } from './messages.js';

export interface KeptPromptsOptions {
  readonly metrics: Metrics;
  servers(): ReadonlyMap<string, BackendServer>;
  /** Memory of each server of a service, in tokens; 0 if it is unknown. */
  memoryTokens(service: string): number;
  /** Number of entry VMs. */
  members(): number;
}

export class KeptPrompts {
  private readonly cache = new PromptCache();

  constructor(private readonly opts: KeptPromptsOptions) {}

  /** Adds to candidates how much of a prompt they are believed to keep. */
  describe<T extends Candidate>(
    candidates: readonly T[],
    prompt: Prompt | undefined,
  ): readonly T[] {
    if (prompt === undefined || prompt.sharedTokens === 0) return candidates;
    const servers = this.opts.servers();
    return candidates.map((one) => {
      const server = servers.get(one.id);
      return server === undefined
        ? one
        : { ...one, keptTokens: this.cache.keptTokens(server, prompt) };
    });
  }

  /** Counts a choice by why the prompt may be kept at the server. */
  noteChoice(service: string, prompt: Prompt | undefined, reason: PromptReason): void {
    if (prompt === undefined || prompt.sharedTokens === 0) return;
    this.opts.metrics.count('relay_prompt_choices_total', { service, reason });
  }

  /** Records that the server of a run has processed its prompt. */
  noteProcessed({ server, service, model, prompt, tokens = 0 }: Run): void {
    if (model === null || prompt === undefined) return;
    this.cache.note(server, model, prompt, {
      ownTokens: Math.max(tokens, prompt.tokens) - prompt.sharedTokens,
      capacityTokens: this.opts.memoryTokens(service),
      members: this.opts.members(),
    });
  }

  /** Drops what engines kept for models that they have unloaded. */
  noteEngines(engines: readonly EngineView[]): void {
    engines.forEach((engine) =>
      this.cache.retainModels(engine, new Set(engine.models.map(({ name }) => name))),
    );
  }

  retain(servers: Pick<ReadonlyMap<string, unknown>, 'has'>): void {
    this.cache.retain(servers);
  }
}
