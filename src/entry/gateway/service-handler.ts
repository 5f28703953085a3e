/** Serves plain services: forwards requests, those with an Idempotency-Key at most once. */
import { pipeline } from 'node:stream/promises';
import type { Readable } from 'node:stream';
import * as errors from '../../core/errors/index.js';
import type { Backend, Customer, PlainService } from '../../decisions/catalog/index.js';
import * as retries from '../../decisions/retries/index.js';
import type { CallFailure, ServiceResponse } from '../backends/index.js';
import { authenticate } from './authenticate.js';
import { ClaimRunner } from './claim-runner.js';
import { readBody } from './read-body.js';
import { createRefusal, sendRefusal } from './reply.js';
import { toBackendHeaders, toCallerHeaders } from './service-headers.js';
import { type GatewayDeps, type Refusal, type RequestContext, RequestPhase } from './types.js';

/** Idempotent methods, whose requests may be retried. */
const IDEMPOTENT = new Set(['GET', 'HEAD', 'OPTIONS']);
/** Tokens that a request to a plain service is charged. */
const CALL_TOKENS = 1;
const RETRY_AFTER_FAILURE_MS = 1_000;
const SERVICE_PATH = /^\/services\/([^/]+)(\/.*)?$/;

interface ServiceJob {
  readonly ctx: RequestContext;
  readonly service: PlainService;
  readonly customer: Customer;
  /** Path and query at the backend server. */
  readonly path: string;
  readonly method: string;
}

export class ServiceHandler {
  private readonly claimRunner: ClaimRunner;

  constructor(private readonly deps: GatewayDeps) {
    this.claimRunner = new ClaimRunner(deps);
  }

  /** Resolves when all pending outcomes of claims are recorded. */
  waitForRecords(): Promise<void> {
    return this.claimRunner.waitForRecords();
  }

  async handle(ctx: RequestContext): Promise<void> {
    const [, name = '', rest = '/'] = SERVICE_PATH.exec(ctx.url.pathname) ?? [];
    const service = ctx.catalog.services.get(name);
    const customer = authenticate(ctx.catalog, ctx.keyDigest, service?.open ?? false);
    if (customer.isErr) {
      this.refuse(ctx, customer.error);
      return;
    }
    if (service === undefined) {
      this.refuse(ctx, createRefusal(errors.data.UnknownRoute, 'find service', 'settings', name));
      return;
    }
    const method = ctx.req.method ?? 'GET';
    const path = `${rest}${ctx.url.search}`;
    const job: ServiceJob = { ctx, service, customer: customer.value, path, method };
    const refusal = (await this.reserve(job)) ?? (await this.run(job));
    if (refusal !== null) this.refuse(ctx, refusal);
  }

  private refuse(ctx: RequestContext, given: Refusal): void {
    const refusal = ctx.cancellation ?? given;
    const { name, message } = refusal.failure;
    this.deps.traces.note(ctx.id, 'refused', { name, message, ran: refusal.ran });
    sendRefusal(ctx.res, refusal);
  }

  private async reserve({ ctx, service, customer }: ServiceJob): Promise<Refusal | null> {
    const admission = await this.deps.quota.reserve(
      {
        requestId: ctx.id,
        customer: customer.name,
        tokens: CALL_TOKENS,
        deadlineAtMs: ctx.arrivedAtMs + service.deadlineMs,
      },
      ctx.abort.signal,
    );
    if (admission.admitted) return null;
    const { data } = errors;
    const { name: peer } = customer;
    return createRefusal(data.RateExceeded, 'reserve tokens', peer, '1', admission.retryAfterMs);
  }

  private async run(job: ServiceJob): Promise<Refusal | null> {
    const { ctx, method } = job;
    const key = ctx.req.headers['idempotency-key'];
    const isIdempotent = IDEMPOTENT.has(method);
    if (!isIdempotent && typeof key === 'string' && key !== '') return this.runClaimed(job, key);
    const hasBody =
      ctx.req.headers['content-length'] !== undefined ||
      ctx.req.headers['transfer-encoding'] !== undefined;
    return this.forwardAttempt(job, isIdempotent && !hasBody, hasBody ? ctx.req : null, []);
  }

  private async runClaimed(job: ServiceJob, key: string): Promise<Refusal | null> {
    const { ctx, customer, method, path } = job;
    const body = await readBody(ctx.req, this.deps.limits.bodyBytes);
    if (body.isErr) return body.error;
    return this.claimRunner.run({
      ctx,
      customer: customer.name,
      idempotencyKey: `${job.service.name} ${key}`,
      method,
      path,
      body: body.value,
      // Not aborted when the caller disconnects, so that the outcome is available to a retry.
      forward: () => this.forward(job, body.value, [], new AbortController().signal),
    });
  }

  private async forwardAttempt(
    job: ServiceJob,
    isRetryable: boolean,
    body: Readable | null,
    avoid: readonly string[],
  ): Promise<Refusal | null> {
    const outcome = await this.forward(job, body, avoid, job.ctx.abort.signal);
    if (outcome.type === 'response') return this.relay(job, outcome.response);
    if (outcome.type === 'refused') return outcome.refusal;
    const { failed, backend } = outcome;
    const refused = failed.provenNotExecuted && body === null ? 1 : 0;
    const attempts = {
      ran: avoid.length + 1 - refused,
      notRun: refused,
      idempotent: isRetryable,
      answerBegun: false,
    };
    const shouldRetry =
      !job.ctx.abort.signal.aborted &&
      retries.mayRetry(attempts) &&
      this.deps.retries.spend(this.deps.clock.nowMs());
    if (shouldRetry) return this.forwardAttempt(job, isRetryable, body, [...avoid, backend.id]);
    const ran = failed.provenNotExecuted && avoid.length === 0 ? errors.Ran.no : errors.Ran.unknown;
    return { failure: failed.failure, ran, retryAfterMs: RETRY_AFTER_FAILURE_MS };
  }

  /** Makes one attempt at one backend server. */
  private async forward(
    job: ServiceJob,
    body: Readable | Uint8Array | null,
    avoid: readonly string[],
    signal: AbortSignal,
  ): Promise<ForwardOutcome> {
    const { ctx, service, method, path } = job;
    const backend = this.choose(job, avoid);
    if (backend === null) {
      const { data } = errors;
      const detail = 'no backend server is active';
      const refusal = createRefusal(data.NoCapacity, 'choose server', service.name, detail, 1_000);
      return { type: 'refused', refusal };
    }
    ctx.phase = RequestPhase.running;
    this.deps.traces.note(ctx.id, 'service', { backend: backend.id });
    const response = await this.deps.backends.forward({
      address: backend.address,
      method,
      path,
      headers: toBackendHeaders(ctx.req, ctx.id),
      body,
      timeoutMs: service.deadlineMs,
      signal,
    });
    return response.isOk
      ? { type: 'response', response: response.value }
      : { type: 'failed', failed: response.error, backend };
  }

  /**
   * Chooses a server at random: if possible one that has not failed this request, and among those
   * one of this data centre.
   */
  private choose({ service }: ServiceJob, avoid: readonly string[]): Backend | null {
    const candidates = [...this.currentBackends()].filter(
      ({ kind, service: of, leaving }) => kind === 'plain' && of === service.name && !leaving,
    );
    const preferred = candidates.filter(({ id }) => !avoid.includes(id));
    const usable = preferred.length > 0 ? preferred : candidates;
    const local = usable.filter(({ dataCentre }) => dataCentre === this.deps.dataCentre);
    return this.deps.random.pick(local.length > 0 ? local : usable) ?? null;
  }

  private currentBackends(): Iterable<Backend> {
    return this.deps.currentCatalog()?.backends.values() ?? [];
  }

  private async relay({ ctx }: ServiceJob, response: ServiceResponse): Promise<Refusal | null> {
    const { status, headers, body } = response;
    ctx.res.writeHead(status, toCallerHeaders(headers, ctx.id));
    // The caller must not take a truncated body for a complete one, so its connection is destroyed.
    await pipeline(body, ctx.res).catch(() => ctx.res.destroy());
    this.deps.traces.note(ctx.id, 'answered', { status });
    return null;
  }
}

/** Outcome of one attempt at a backend server. */
export type ForwardOutcome =
  | { readonly type: 'response'; readonly response: ServiceResponse }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  | { readonly type: 'failed'; readonly failed: CallFailure; readonly backend: Backend };
