/** Serves completions: reserve tokens, wait for an engine, run, retry or resume, refund. */
import { Result } from 'true-myth';
import * as clocks from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import type { Customer, Target } from '../../decisions/catalog/index.js';
import * as retries from '../../decisions/retries/index.js';
import type { EngineRoute } from '../../decisions/routing/index.js';
import { fingerprintOf } from '../../decisions/suspects/index.js';
import { CallError, type CallFailure } from '../backends/index.js';
import { DispatchOutcome, type DispatchRequest, EngineVerdict } from '../dispatch/index.js';
import { authenticate } from './authenticate.js';
import { type CallerAnswer, createAnswer } from './caller-stream.js';
import { type ModelRequest, parseModelRequest } from './model-request.js';
import { readBody } from './read-body.js';
import { endStreamWithError, notRun, sendRefusal } from './reply.js';
import { type GatewayDeps, type Refusal, type RequestContext, RequestPhase } from './types.js';

/** Requests a class sends to engines with this priority; higher goes first. */
const PRIORITY = { interactive: 2, standard: 1, patient: 0 } as const;
/** An engine that gives no first token within this time is given up, however patient the caller. */
const LONGEST_FIRST_TOKEN_MS = 120_000;
const RETRY_AFTER_FAILURE_MS = 1_000;
/** An engine that a caller has left is looked at so often, with this pause, ms. */
const LEFT_ENGINE_LOOKS = 5;
const LEFT_ENGINE_LOOK_MS = 200;

/** A request that passed all checks. */
interface Job {
  readonly ctx: RequestContext;
  readonly request: ModelRequest;
  readonly target: Target;
  readonly customer: Customer;
  readonly deadlineAtMs: number;
  readonly maxTokens: number;
  readonly fingerprint: string;
  readonly answer: CallerAnswer;
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
    if (job.value.answer.begun) endStreamWithError(ctx.res, refusal);
    else this.refuse(ctx, refusal);
  }

  private refuse(ctx: RequestContext, given: Refusal): void {
    const refusal = ctx.withdrawn ?? given;
    const { name, message, step, peer } = refusal.failure;
    this.deps.trails.note(ctx.id, 'refused', { name, message, step, peer, ran: refusal.ran });
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
        notRun(errors.data.UnknownModel, 'find model', 'settings', body.model.slice(0, 64)),
      );
    }
    const maxTokens = body.max_tokens ?? target.maxTokens;
    const shape = { id: ctx.id, model: target.name, isChat, promptTokens };
    return Result.ok({
      ctx,
      request: request.value,
      target,
      customer: customer.value,
      deadlineAtMs: ctx.arrivedAtMs + this.deadlineMs(ctx, target),
      maxTokens,
      fingerprint: fingerprintOf(target.name, request.value.prompt),
      answer: createAnswer(ctx.res, body.stream, shape),
    });
  }

  /** The caller may ask for less time than its class gives, not for more. */
  private deadlineMs(ctx: RequestContext, target: Target): number {
    const asked = Number(ctx.req.headers['x-bilberrystand-deadline-ms'] ?? Infinity);
    return asked > 0 ? Math.min(asked, target.deadlineMs) : target.deadlineMs;
  }

  /** @returns Why the request could not be answered whole; null where it was. */
  private async serve(job: Job): Promise<Refusal | null> {
    const { ctx, customer, target } = job;
    const tokens = job.request.promptTokens + job.maxTokens;
    const refusal = await this.reserve(job, tokens);
    if (refusal !== null) return refusal;
    try {
      return await this.runUntilWhole(job, tokens);
    } finally {
      const used = job.answer.tokens > 0 ? job.request.promptTokens + job.answer.tokens : 0;
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
      notRun(errors.data.RateExceeded, 'reserve tokens', customer.name, detail, retryAfterMs);
    if (tokens > customer.burst) return refuse(0);
    const admission = await this.deps.quota.reserve(
      { requestId: ctx.id, customer: customer.name, tokens, deadlineAtMs },
      ctx.abort.signal,
    );
    this.deps.trails.note(ctx.id, 'quota', { tokens, ...admission });
    return admission.admitted ? null : refuse(admission.retryAfterMs);
  }

  private async runUntilWhole(job: Job, tokens: number): Promise<Refusal | null> {
    const { ctx, fingerprint } = job;
    const failures: { readonly engineId: string; readonly failed: CallFailure }[] = [];
    for (;;) {
      const ran = failures.filter(({ failed }) => !failed.provenNotRun).length;
      const verdict = ran === 0 ? errors.Ran.no : errors.Ran.unknown;
      const blockedMs = this.deps.dispatcher.blockedForMs(fingerprint);
      if (blockedMs !== null) return this.suspected(job, verdict, blockedMs);
      ctx.phase = RequestPhase.waiting;
      const avoid = failures.map(({ engineId }) => engineId);
      const dispatch = this.dispatchRequest(job, tokens, avoid);
      const dispatched = await this.deps.dispatcher.acquire(dispatch, ctx.abort.signal);
      if (dispatched.type === DispatchOutcome.refused) {
        const { failure, retryAfterMs } = dispatched;
        return { failure, ran: verdict, retryAfterMs };
      }
      ctx.phase = RequestPhase.running;
      const failed = await this.runOn(job, dispatch, dispatched.engine);
      if (failed === null) return null;
      failures.push({ engineId: dispatched.engine.engineId, failed });
      if (!this.mayGoOn(job, failures)) return this.failure(failures);
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

  private async runOn(
    job: Job,
    dispatch: DispatchRequest,
    engine: EngineRoute,
  ): Promise<CallFailure | null> {
    const { ctx, fingerprint } = job;
    const { engineId } = engine;
    const startedAtMs = this.deps.clock.nowMs();
    this.deps.trails.note(ctx.id, 'engine', { engineId, from: job.answer.tokens });
    try {
      await this.stream(job, dispatch.id, engine);
      this.deps.dispatcher.release(dispatch, engine, EngineVerdict.healthy);
      this.deps.dispatcher.noteWhole(fingerprint);
      job.answer.finish();
      this.deps.trails.note(ctx.id, 'whole', { tokens: job.answer.tokens });
      this.deps.retries.earn(job.target.retryRatio);
      return null;
    } catch (err) {
      const gone = ctx.abort.signal.aborted;
      const failed = this.asCallFailure(err, engineId);
      if (gone && !failed.provenNotRun) void this.watchLeftEngine(job, engine, startedAtMs);
      else if (failed.connectionLost) await this.noteIfDead(job, engine, startedAtMs);
      const verdict = failed.provenNotRun ? EngineVerdict.absent : EngineVerdict.failed;
      this.deps.dispatcher.release(dispatch, engine, gone ? EngineVerdict.healthy : verdict);
      this.deps.trails.note(ctx.id, 'broke-off', { engineId, reason: failed.failure.message });
      return failed;
    }
  }

  private async stream(job: Job, requestId: string, { address }: EngineRoute): Promise<void> {
    const { ctx, request, target, answer, maxTokens } = job;
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
        resume_from: answer.tokens,
      },
      priority: PRIORITY[target.class],
      firstTokenMs: Math.min(LONGEST_FIRST_TOKEN_MS, Math.max(leftMs, RETRY_AFTER_FAILURE_MS)),
      signal: ctx.abort.signal,
    };
    for await (const chunk of this.deps.backends.complete(call)) {
      if (answer.tokens === 0) this.noteFirstToken(job);
      if (chunk.index !== answer.tokens) throw new Error('a token is missing');
      await answer.push(chunk);
    }
    if (answer.tokens === 0) throw new Error('the answer is empty');
  }

  private noteFirstToken({ ctx, customer, target }: Job): void {
    const ms = this.deps.clock.nowMs() - ctx.arrivedAtMs;
    const labels = { customer: customer.name, class: target.class };
    this.deps.metrics.time('first_token', ms, labels);
  }

  private asCallFailure(err: unknown, peer: string): CallFailure {
    if (err instanceof CallError) return err.detail;
    const detail = errors.describe(err);
    const failure = errors.createFailure(errors.data.BackendFailed, 'run request', peer, detail);
    return { failure, provenNotRun: false, connectionLost: false };
  }

  /** The caller is gone, but the engine may still crash under what it has begun. */
  private async watchLeftEngine(job: Job, engine: EngineRoute, startedAtMs: number): Promise<void> {
    for (let looks = 0; looks < LEFT_ENGINE_LOOKS; looks += 1) {
      await clocks.sleep(LEFT_ENGINE_LOOK_MS);
      if (await this.noteIfDead(job, engine, startedAtMs)) return;
    }
  }

  /** Tells an engine that died from one that only cut a stream: the dead one holds no replica. */
  private async noteIfDead(
    { fingerprint, target }: Job,
    { address, engineId }: EngineRoute,
    startedAtMs: number,
  ): Promise<boolean> {
    const report = await this.deps.backends.report(address);
    const lives =
      report.isOk && report.value.replicas.some((replica) => replica.target === target.name);
    if (lives) return false;
    const ranMs = this.deps.clock.nowMs() - startedAtMs;
    this.deps.dispatcher.noteDeath({ fingerprint, engineId, ranMs, agoMs: 0 });
    return true;
  }

  private mayGoOn(job: Job, failures: readonly { readonly failed: CallFailure }[]): boolean {
    if (job.ctx.abort.signal.aborted) return false;
    const refused = failures.filter(({ failed }) => failed.provenNotRun).length;
    const ran = failures.length - refused;
    // Generating is idempotent, and an answer that has begun is resumed from its last token.
    const attempts = { ran, notRun: refused, idempotent: true, answerBegun: false };
    return retries.mayRetry(attempts) && this.deps.retries.spend(this.deps.clock.nowMs());
  }

  private failure(failures: readonly { readonly failed: CallFailure }[]): Refusal {
    const ran = failures.every(({ failed }) => failed.provenNotRun)
      ? errors.Ran.no
      : errors.Ran.unknown;
    const failure =
      failures.at(-1)?.failed.failure ??
      errors.createFailure(errors.data.BackendFailed, 'run request', 'engine');
    return { failure, ran, retryAfterMs: RETRY_AFTER_FAILURE_MS };
  }

  private suspected({ target }: Job, ran: errors.Ran, retryAfterMs: number): Refusal {
    const failure = errors.createFailure(
      errors.data.RequestSuspected,
      'check request',
      target.name,
    );
    return { failure, ran, retryAfterMs };
  }
}
