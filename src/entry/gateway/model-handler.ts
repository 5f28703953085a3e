/**
 * Serves completion requests: reserves tokens, waits for an engine, runs the request, retries or
 * resumes it after failures, and refunds unused tokens.
 */
import { Result } from 'true-myth';
import * as clocks from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import type { Customer, Target } from '../../decisions/catalog/index.js';
import * as retries from '../../decisions/retries/index.js';
import type { EngineRoute } from '../../decisions/routing/index.js';
import { fingerprintOf } from '../../decisions/suspects/index.js';
import { CallError, type CallFailure } from '../backends/index.js';
import { DispatchOutcome, type DispatchRequest, EngineOutcome } from '../dispatch/index.js';
import { authenticate } from './authenticate.js';
import { type CompletionResponse, createCompletionResponse } from './completion-response.js';
import { type ModelRequest, parseModelRequest } from './model-request.js';
import { readBody } from './read-body.js';
import { createRefusal, endStreamWithError, sendRefusal } from './reply.js';
import { type GatewayDeps, type Refusal, type RequestContext, RequestPhase } from './types.js';

/** Priority of requests at an engine by service class; higher values run first. */
const PRIORITY = { interactive: 2, standard: 1, patient: 0 } as const;
/** Timeout for the first token of an engine; applies even if the deadline is later. */
const MAX_FIRST_TOKEN_MS = 120_000;
const RETRY_AFTER_FAILURE_MS = 1_000;
/** Number of checks whether an engine crashed after a caller disconnected, and their interval. */
const CRASH_CHECKS = 5;
const CRASH_CHECK_INTERVAL_MS = 200;

/** A validated and authenticated request. */
interface Job {
  readonly ctx: RequestContext;
  readonly request: ModelRequest;
  readonly target: Target;
  readonly customer: Customer;
  readonly deadlineAtMs: number;
  readonly maxTokens: number;
  readonly fingerprint: string;
  readonly response: CompletionResponse;
}

export class ModelHandler {
  constructor(private readonly deps: GatewayDeps) {}

  async handle(ctx: RequestContext, isChat: boolean): Promise<void> {
    const job = await this.check(ctx, isChat);
    if (job.isErr) {
      this.refuse(ctx, job.error);
      return;
    }
    const refusal = await this.serve(job.value);
    if (refusal === null) return;
    if (job.value.response.started) endStreamWithError(ctx.res, refusal);
    else this.refuse(ctx, refusal);
  }

  private refuse(ctx: RequestContext, given: Refusal): void {
    const refusal = ctx.cancellation ?? given;
    const { name, message, step, peer } = refusal.failure;
    this.deps.traces.note(ctx.id, 'refused', { name, message, step, peer, ran: refusal.ran });
    sendRefusal(ctx.res, refusal);
  }

  private async check(ctx: RequestContext, isChat: boolean): Promise<Result<Job, Refusal>> {
    const raw = await readBody(ctx.req, this.deps.limits.bodyBytes);
    if (raw.isErr) return Result.err(raw.error);
    const request = parseModelRequest(raw.value, isChat);
    if (request.isErr) return Result.err(request.error);
    const { body, promptTokens } = request.value;
    const target = ctx.catalog.targets.get(body.model);
    const customer = authenticate(ctx.catalog, ctx.keyDigest, target?.open ?? false);
    if (customer.isErr) return Result.err(customer.error);
    if (target === undefined) {
      return Result.err(
        createRefusal(errors.data.UnknownModel, 'find model', 'settings', body.model.slice(0, 64)),
      );
    }
    const maxTokens = body.max_tokens ?? target.maxTokens;
    const info = { id: ctx.id, model: target.name, isChat, promptTokens };
    return Result.ok({
      ctx,
      request: request.value,
      target,
      customer: customer.value,
      deadlineAtMs: ctx.arrivedAtMs + this.deadlineMs(ctx, target),
      maxTokens,
      fingerprint: fingerprintOf(target.name, request.value.prompt),
      response: createCompletionResponse(ctx.res, body.stream, info),
    });
  }

  /** Time allowed for a request, ms. A caller can only shorten the deadline of the target. */
  private deadlineMs(ctx: RequestContext, target: Target): number {
    const requestedMs = Number(ctx.req.headers['x-bilberrystand-deadline-ms'] ?? Infinity);
    return requestedMs > 0 ? Math.min(requestedMs, target.deadlineMs) : target.deadlineMs;
  }

  /** @returns The reason why the response is incomplete or missing; null if it is complete. */
  private async serve(job: Job): Promise<Refusal | null> {
    const { ctx, customer, target } = job;
    const tokens = job.request.promptTokens + job.maxTokens;
    const refusal = await this.reserve(job, tokens);
    if (refusal !== null) return refusal;
    try {
      return await this.runWithRetries(job, tokens);
    } finally {
      const used = job.response.tokens > 0 ? job.request.promptTokens + job.response.tokens : 0;
      this.deps.quota.refund(customer.name, tokens - used);
      const labels = { customer: customer.name, class: target.class };
      this.deps.metrics.time('request', this.deps.clock.nowMs() - ctx.arrivedAtMs, labels);
      this.deps.metrics.count('tokens', labels, used);
    }
  }

  private async reserve(job: Job, tokens: number): Promise<Refusal | null> {
    const { ctx, customer, deadlineAtMs } = job;
    const detail = String(tokens);
    const refuse = (retryAfterMs: number) =>
      createRefusal(
        errors.data.RateExceeded,
        'reserve tokens',
        customer.name,
        detail,
        retryAfterMs,
      );
    if (tokens > customer.burst) return refuse(0);
    const admission = await this.deps.quota.reserve(
      { requestId: ctx.id, customer: customer.name, tokens, deadlineAtMs },
      ctx.abort.signal,
    );
    this.deps.traces.note(ctx.id, 'quota', { tokens, ...admission });
    return admission.admitted ? null : refuse(admission.retryAfterMs);
  }

  private async runWithRetries(job: Job, tokens: number): Promise<Refusal | null> {
    const { ctx, fingerprint } = job;
    const failures: { readonly engineId: string; readonly failed: CallFailure }[] = [];
    for (;;) {
      const executed = failures.filter(({ failed }) => !failed.provenNotExecuted).length;
      const ranStatus = executed === 0 ? errors.Ran.no : errors.Ran.unknown;
      const blockedMs = this.deps.dispatcher.blockedForMs(fingerprint);
      if (blockedMs !== null) return this.suspectRefusal(job, ranStatus, blockedMs);
      const promptBlockedMs = this.deps.dispatcher.promptBlockedForMs(job.request.segments);
      if (promptBlockedMs !== null) {
        return this.suspectRefusal(job, ranStatus, promptBlockedMs, errors.data.PromptBlocked);
      }
      ctx.phase = RequestPhase.waiting;
      const avoid = failures.map(({ engineId }) => engineId);
      const dispatch = this.dispatchRequest(job, tokens, avoid);
      const dispatched = await this.deps.dispatcher.acquire(dispatch, ctx.abort.signal);
      if (dispatched.type === DispatchOutcome.refused) {
        const { failure, retryAfterMs } = dispatched;
        return { failure, ran: ranStatus, retryAfterMs };
      }
      ctx.phase = RequestPhase.running;
      const failed = await this.runOnEngine(job, dispatch, dispatched.engine);
      if (failed === null) return null;
      failures.push({ engineId: dispatched.engine.engineId, failed });
      if (!this.mayRetry(job, failures)) return this.failure(failures);
    }
  }

  private dispatchRequest(job: Job, tokens: number, avoid: readonly string[]): DispatchRequest {
    const { ctx, target, customer, deadlineAtMs, fingerprint } = job;
    const { prefixKey } = job.request;
    const { name, weight } = customer;
    const id = `${ctx.id}.${avoid.length}`;
    return {
      id,
      target,
      customer: name,
      weight,
      tokens,
      deadlineAtMs,
      prefixKey,
      fingerprint,
      avoid,
    };
  }

  private async runOnEngine(
    job: Job,
    dispatch: DispatchRequest,
    engine: EngineRoute,
  ): Promise<CallFailure | null> {
    const { ctx, fingerprint } = job;
    const { engineId } = engine;
    const startedAtMs = this.deps.clock.nowMs();
    this.deps.traces.note(ctx.id, 'engine', { engineId, from: job.response.tokens });
    try {
      await this.stream(job, dispatch.id, engine);
      this.deps.dispatcher.release(dispatch, engine, EngineOutcome.healthy);
      this.deps.dispatcher.noteCompleted(fingerprint, job.request.segments);
      job.response.finish();
      this.deps.traces.note(ctx.id, 'whole', { tokens: job.response.tokens });
      this.deps.retries.earn(job.target.retryRatio);
      return null;
    } catch (err) {
      const isAborted = ctx.abort.signal.aborted;
      const failed = this.toCallFailure(err, engineId);
      if (isAborted && !failed.provenNotExecuted) void this.checkForCrash(job, engine, startedAtMs);
      else if (failed.connectionLost) await this.reportIfCrashed(job, engine, startedAtMs);
      const outcome = failed.provenNotExecuted ? EngineOutcome.absent : EngineOutcome.failed;
      this.deps.dispatcher.release(dispatch, engine, isAborted ? EngineOutcome.healthy : outcome);
      this.deps.traces.note(ctx.id, 'broke-off', { engineId, reason: failed.failure.message });
      return failed;
    }
  }

  private async stream(job: Job, requestId: string, { address }: EngineRoute): Promise<void> {
    const { ctx, request, target, response, maxTokens } = job;
    const leftMs = job.deadlineAtMs - this.deps.clock.nowMs();
    const call = {
      address,
      path: ctx.url.pathname,
      requestId,
      body: {
        ...request.body,
        model: target.name,
        max_tokens: maxTokens,
        stream: true,
        resume_from: response.tokens,
      },
      priority: PRIORITY[target.class],
      firstTokenMs: Math.min(MAX_FIRST_TOKEN_MS, Math.max(leftMs, RETRY_AFTER_FAILURE_MS)),
      signal: ctx.abort.signal,
    };
    for await (const chunk of this.deps.backends.complete(call)) {
      if (response.tokens === 0) this.noteFirstToken(job);
      if (chunk.index !== response.tokens) throw new Error('a token is missing from the stream');
      await response.push(chunk);
    }
    if (response.tokens === 0) throw new Error('the response has no tokens');
  }

  private noteFirstToken({ ctx, customer, target }: Job): void {
    const ms = this.deps.clock.nowMs() - ctx.arrivedAtMs;
    const labels = { customer: customer.name, class: target.class };
    this.deps.metrics.time('first_token', ms, labels);
  }

  private toCallFailure(err: unknown, peer: string): CallFailure {
    if (err instanceof CallError) return err.detail;
    const detail = errors.describe(err);
    const failure = errors.createFailure(errors.data.BackendFailed, 'run request', peer, detail);
    return { failure, provenNotExecuted: false, connectionLost: false };
  }

  /** Checks for a crash of an engine that may still run the request of a disconnected caller. */
  private async checkForCrash(job: Job, engine: EngineRoute, startedAtMs: number): Promise<void> {
    for (let checks = 0; checks < CRASH_CHECKS; checks += 1) {
      await clocks.sleep(CRASH_CHECK_INTERVAL_MS);
      if (await this.reportIfCrashed(job, engine, startedAtMs)) return;
    }
  }

  /**
   * Reports a crash if the engine no longer holds a replica of the target. An engine that has only
   * cut off the stream still holds it.
   */
  private async reportIfCrashed(
    { fingerprint, target, request, response }: Job,
    { address, engineId }: EngineRoute,
    startedAtMs: number,
  ): Promise<boolean> {
    const report = await this.deps.backends.report(address);
    const holdsReplica =
      report.isOk && report.value.replicas.some((replica) => replica.target === target.name);
    if (holdsReplica) return false;
    const ranMs = this.deps.clock.nowMs() - startedAtMs;
    const segments = response.tokens === 0 ? request.segments : [];
    this.deps.dispatcher.reportCrash({ fingerprint, engineId, ranMs, agoMs: 0, segments });
    return true;
  }

  private mayRetry(job: Job, failures: readonly { readonly failed: CallFailure }[]): boolean {
    if (job.ctx.abort.signal.aborted) return false;
    const refused = failures.filter(({ failed }) => failed.provenNotExecuted).length;
    const ran = failures.length - refused;
    // Generation is idempotent, and a partial response is resumed after its last token.
    const attempts = { ran, notRun: refused, idempotent: true, answerBegun: false };
    return retries.mayRetry(attempts) && this.deps.retries.spend(this.deps.clock.nowMs());
  }

  private failure(failures: readonly { readonly failed: CallFailure }[]): Refusal {
    const ran = failures.every(({ failed }) => failed.provenNotExecuted)
      ? errors.Ran.no
      : errors.Ran.unknown;
    const failure =
      failures.at(-1)?.failed.failure ??
      errors.createFailure(errors.data.BackendFailed, 'run request', 'engine');
    return { failure, ran, retryAfterMs: RETRY_AFTER_FAILURE_MS };
  }

  private suspectRefusal(
    { target }: Job,
    ran: errors.Ran,
    retryAfterMs: number,
    reason: errors.ErrorDefinition = errors.data.RequestSuspected,
  ): Refusal {
    const failure = errors.createFailure(reason, 'check request', target.name);
    return { failure, ran, retryAfterMs };
  }
}
