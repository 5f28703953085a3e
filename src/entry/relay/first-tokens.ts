/**
 * Learns from responses how fast servers answer, and tells it to the choice of servers. Kept in memory
 * only: after a restart, servers are chosen by their load until enough responses have arrived.
 */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import { type Candidate, type Choice, PromptReason } from '../../decisions/engine-choice/index.js';
import { firstTokenMs, type Pace, PaceTable } from '../../decisions/first-token/index.js';
import { describePrompt, type Prompt } from '../../decisions/prompt-cache/index.js';
import type { QueuedRequest } from '../../decisions/wait-list/index.js';
import type { Run } from './fleet-view.js';
import type { KeptPrompts } from './kept-prompts.js';
import type { RoutedRequest } from './routed-request.js';
import { tokensOf } from './server-tokens.js';
import type { RequestMetadata } from './types.js';

/** Expected time to the first byte of a request without a prompt while nothing is learnt, ms. */
const BASE_FIRST_BYTE_MS = 20;
/** Prompt tokens that are expected to add 1 ms to it. */
const PROMPT_TOKENS_PER_MS = 20;
/** Minimum time between two log lines of a service's pace, ms. */
const LOG_INTERVAL_MS = 10_000;

/** Time to the first byte with which the responses of different requests are compared, ms. */
export function usualFirstByteMs({ tokens }: Pick<RequestMetadata, 'tokens'>): number {
  return BASE_FIRST_BYTE_MS + (tokens?.prompt ?? 0) / PROMPT_TOKENS_PER_MS;
}

/** The prompt of a request; undefined if it declares none, or needs no model. */
function promptOf({
  metadata,
  service,
}: Pick<RoutedRequest, 'metadata' | 'service'>): Prompt | undefined {
  const { model, adapter, tokens, promptSegments, segmentTokens = [] } = metadata;
  if (model === null || (tokens === null && segmentTokens.length === 0)) return undefined;
  const segments = promptSegments.map((id, i) => ({ id, tokens: segmentTokens[i] ?? null }));
  return describePrompt([service, model, adapter], segments, tokens?.prompt ?? null);
}

/** Prompt and tokens of a request, as far as it declares them. */
export function sizeOf(request: RoutedRequest): Pick<QueuedRequest, 'prompt' | 'tokens'> {
  return { prompt: promptOf(request), tokens: tokensOf(request.metadata, request.customer) };
}

/** What was known of a run when its server was chosen. */
export interface RunEstimate {
  /** Running requests per slot, this one included. */
  readonly utilisation: number;
  /** Prompt tokens that the server has to process; null if that is uncertain. */
  readonly newTokens: number | null;
  /** Expected time to the first token, ms; null if the pace was unknown. */
  readonly expectedMs: number | null;
}

export interface FirstTokensOptions {
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly prompts: KeptPrompts;
}

/** A run and when its request was sent. */
interface SentRun {
  readonly run: Run;
  readonly sentAtMs: number;
}

export class FirstTokens {
  private readonly paces = new PaceTable();

  private readonly loggedAtMs = new Map<string, number>();

  constructor(private readonly opts: FirstTokensOptions) {}

  /** Pace of a service's servers; null while it is unknown. */
  pace(service: string): Pace | null {
    return this.paces.pace(service);
  }

  /** Average duration of a service's runs, ms; null while it is unknown. */
  runMs(service: string): number | null {
    return this.paces.runMs(service);
  }

  /** Adds to candidates what is learnt of them. */
  describe<T extends Candidate>(
    candidates: readonly T[],
    prompt: Prompt | undefined,
  ): readonly T[] {
    return this.opts.prompts.describe(this.withSpeeds(candidates), prompt);
  }

  private withSpeeds<T extends Candidate>(candidates: readonly T[]): readonly T[] {
    const nowMs = this.opts.clock.steadyMs();
    const ratios = this.paces.speedRatios(
      nowMs,
      candidates.map(({ id }) => id),
    );
    if (ratios.size === 0) return candidates;
    return candidates.map((one) => ({ ...one, speedRatio: ratios.get(one.id) ?? 1 }));
  }

  /** Records the choice of a server for a request that is sent now; returns its estimate. */
  noteChoice(
    service: string,
    { server, promptReason }: Choice<Candidate>,
    prompt: Prompt | undefined,
  ): RunEstimate {
    this.opts.prompts.noteChoice(service, prompt, promptReason);
    const pace = this.paces.pace(service);
    const { speedRatio = 1, keptTokens = 0 } = server;
    const newTokens = (prompt?.tokens ?? 0) - keptTokens;
    const state = { ...server, speedRatio, newTokens };
    // Whether other entry VMs have had such prompts processed there is not known.
    const isCertain = promptReason !== PromptReason.preferred;
    return {
      utilisation: (server.running + 1) / server.slots,
      newTokens: isCertain ? newTokens : null,
      expectedMs: pace === null ? null : firstTokenMs(state, pace, this.opts.dataCentre),
    };
  }

  /** Learns from the first event of a stream that its server has begun. */
  noteFirstToken({ run, sentAtMs }: SentRun): void {
    const { estimate, server, service } = run;
    // The time of a service without models does not depend on a prompt.
    if (estimate === undefined || run.model === null) return;
    this.opts.prompts.noteProcessed(run);
    const nowMs = this.opts.clock.steadyMs();
    const tookMs = nowMs - sentAtMs;
    const { expectedMs, utilisation, newTokens } = estimate;
    if (expectedMs !== null) {
      this.opts.metrics.time('relay_first_token_expected', expectedMs, { service });
      this.opts.metrics.time('relay_first_token_actual', tookMs, { service });
      this.opts.metrics.time('relay_first_token_error', Math.abs(tookMs - expectedMs), { service });
    }
    if (newTokens === null) return;
    this.paces.noteFirstToken(nowMs, service, {
      server: server.id,
      utilisation,
      newTokens,
      tookMs,
    });
    this.logPace(nowMs, service, tookMs, expectedMs);
  }

  /** Learns from a run that has ended as it should. */
  noteRun({ run, sentAtMs }: SentRun): void {
    if (run.model === null) return;
    this.paces.noteRun(run.service, this.opts.clock.steadyMs() - sentAtMs);
  }

  /** Removes what is known of servers that no longer exist. */
  retain(servers: Pick<ReadonlyMap<string, unknown>, 'has'>): void {
    this.paces.retain(servers);
    this.opts.prompts.retain(servers);
  }

  private logPace(nowMs: number, service: string, tookMs: number, expectedMs: number | null): void {
    const pace = this.paces.pace(service);
    if (pace === null || nowMs - (this.loggedAtMs.get(service) ?? -Infinity) < LOG_INTERVAL_MS)
      return;
    this.loggedAtMs.set(service, nowMs);
    const runMs = this.paces.runMs(service);
    this.opts.logger.info('pace-learnt', { service, ...pace, runMs, tookMs, expectedMs });
  }
}
