/** Serves plain services: routes, forwards, and keeps orders from running twice. */
import { pipeline } from 'node:stream/promises';
import type { Readable } from 'node:stream';
import * as errors from '../../core/errors/index.js';
import type { Backend, Customer, PlainService } from '../../decisions/catalog/index.js';
import * as retries from '../../decisions/retries/index.js';
import type { CallFailure, ServiceResponse } from '../backends/index.js';
import { authenticate } from './authenticate.js';
import { OrderRunner } from './order-runner.js';
import { readBody } from './read-body.js';
import { notRun, sendRefusal } from './reply.js';
import { towardsBackend, towardsCaller } from './service-headers.js';
import { type GatewayDeps, type Refusal, type RequestContext, RequestPhase } from './types.js';

/** Methods whose repetition changes nothing. */
const IDEMPOTENT = new Set(['GET', 'HEAD', 'OPTIONS']);
/** A call of a plain service is charged as this many tokens. */
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
  private readonly orders: OrderRunner;

  constructor(private readonly deps: GatewayDeps) {
    this.orders = new OrderRunner(deps);
  }

  /** Outcomes of orders that are still to be recorded. */
  recording(): Promise<void> {
    return this.orders.recording();
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
      this.refuse(ctx, notRun(errors.data.UnknownRoute, 'find service', 'settings', name));
      return;
    }
    const method = ctx.req.method ?? 'GET';
    const path = `${rest}${ctx.url.search}`;
    const job: ServiceJob = { ctx, service, customer: customer.value, path, method };
    const refusal = (await this.reserve(job)) ?? (await this.run(job));
    if (refusal !== null) this.refuse(ctx, refusal);
  }

  private refuse(ctx: RequestContext, given: Refusal): void {
    const refusal = ctx.withdrawn ?? given;
    const { name, message } = refusal.failure;
    this.deps.trails.note(ctx.id, 'refused', { name, message, ran: refusal.ran });
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
    return notRun(data.RateExceeded, 'reserve tokens', peer, '1', admission.retryAfterMs);
  }

  private async run(job: ServiceJob): Promise<Refusal | null> {
    const { ctx, method } = job;
    const key = ctx.req.headers['idempotency-key'];
    const isIdempotent = IDEMPOTENT.has(method);
    if (!isIdempotent && typeof key === 'string' && key !== '') return this.runOrder(job, key);
    const hasBody =
      ctx.req.headers['content-length'] !== undefined ||
      ctx.req.headers['transfer-encoding'] !== undefined;
    return this.forwardAttempt(job, isIdempotent && !hasBody, hasBody ? ctx.req : null, []);
  }

  private async runOrder(job: ServiceJob, key: string): Promise<Refusal | null> {
    const { ctx, customer, method, path } = job;
    const body = await readBody(ctx.req, this.deps.limits.bodyBytes);
    if (body.isErr) return body.error;
    return this.orders.run({
      ctx,
      customer: customer.name,
      idempotencyKey: `${job.service.name} ${key}`,
      method,
      path,
      body: body.value,
      // An order that has begun runs to its end, so that its outcome is there for a repeat.
      forward: () => this.forward(job, body.value, [], new AbortController().signal),
    });
  }

  private async forwardAttempt(
    job: ServiceJob,
    mayRepeat: boolean,
    body: Readable | null,
    avoid: readonly string[],
  ): Promise<Refusal | null> {
    const outcome = await this.forward(job, body, avoid, job.ctx.abort.signal);
    if (outcome.type === 'response') return this.relay(job, outcome.response);
    if (outcome.type === 'refused') return outcome.refusal;
    const { failed, backend } = outcome;
    const refused = failed.provenNotRun && body === null ? 1 : 0;
    const attempts = {
      ran: avoid.length + 1 - refused,
      notRun: refused,
      idempotent: mayRepeat,
      answerBegun: false,
    };
    const repeats =
      !job.ctx.abort.signal.aborted &&
      retries.mayRetry(attempts) &&
      this.deps.retries.spend(this.deps.clock.nowMs());
    if (repeats) return this.forwardAttempt(job, mayRepeat, body, [...avoid, backend.id]);
    const ran = failed.provenNotRun && avoid.length === 0 ? errors.Ran.no : errors.Ran.unknown;
    return { failure: failed.failure, ran, retryAfterMs: RETRY_AFTER_FAILURE_MS };
  }

  /** Sends the request to one backend server, once. */
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
      const refusal = notRun(data.NoCapacity, 'choose server', service.name, detail, 1_000);
      return { type: 'refused', refusal };
    }
    ctx.phase = RequestPhase.running;
    this.deps.trails.note(ctx.id, 'service', { backend: backend.id });
    const response = await this.deps.backends.forward({
      address: backend.address,
      method,
      path,
      headers: towardsBackend(ctx.req, ctx.id),
      body,
      timeoutMs: service.deadlineMs,
      signal,
    });
    return response.isOk
      ? { type: 'response', response: response.value }
      : { type: 'failed', failed: response.error, backend };
  }

  /** A server of this data centre where there is one, and not one that failed just now. */
  private choose({ service }: ServiceJob, avoid: readonly string[]): Backend | null {
    const able = [...this.currentBackends()].filter(
      ({ kind, service: of, leaving }) => kind === 'plain' && of === service.name && !leaving,
    );
    const preferred = able.filter(({ id }) => !avoid.includes(id));
    const usable = preferred.length > 0 ? preferred : able;
    const near = usable.filter(({ dataCentre }) => dataCentre === this.deps.dataCentre);
    return this.deps.random.pick(near.length > 0 ? near : usable) ?? null;
  }

  private currentBackends(): Iterable<Backend> {
    return this.deps.currentCatalog()?.backends.values() ?? [];
  }

  private async relay({ ctx }: ServiceJob, response: ServiceResponse): Promise<Refusal | null> {
    const { status, headers, body } = response;
    ctx.res.writeHead(status, towardsCaller(headers, ctx.id));
    // A body that breaks off destroys the caller's connection, so that no half passes for a whole.
    await pipeline(body, ctx.res).catch(() => ctx.res.destroy());
    this.deps.trails.note(ctx.id, 'answered', { status });
    return null;
  }
}

/** What became of one attempt at a backend server. */
export type ForwardOutcome =
  | { readonly type: 'response'; readonly response: ServiceResponse }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  | { readonly type: 'failed'; readonly failed: CallFailure; readonly backend: Backend };
