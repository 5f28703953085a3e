/** Drives a claim through the platform, and forwards the order at most once. */
import { randomUUID } from 'node:crypto';
import * as clock from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import * as orders from '../../decisions/orders/index.js';
import { PlatformOutcome } from '../platform/index.js';
import type { ForwardOutcome } from './service-handler.js';
import type { GatewayDeps, Refusal, RequestContext } from './types.js';

/** Pause before an outcome is recorded again, ms; it grows with each try. */
const RECORD_PAUSE_MS = 100;
const LONGEST_RECORD_PAUSE_MS = 5_000;
const MOST_RECORD_TRIES = 60;
/** Answers larger than this are not kept for repeats; the outcome is recorded all the same. */
const MAX_KEPT_BYTES = 262_144;

export interface OrderJob {
  readonly ctx: RequestContext;
  readonly customer: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  forward(): Promise<ForwardOutcome>;
}

export class OrderRunner {
  private readonly pending = new Set<Promise<void>>();

  constructor(private readonly deps: GatewayDeps) {}

  /** Resolves when every known outcome is recorded. */
  async recording(): Promise<void> {
    await Promise.all(this.pending);
  }

  /** @returns Why the order was refused; null where the caller got its outcome. */
  async run(job: OrderJob): Promise<Refusal | null> {
    const { method, path, body, customer, idempotencyKey } = job;
    const digest = orders.digestOf(method, path, body);
    const claim = new orders.OrderClaim(`${this.deps.vm}-${randomUUID()}`, digest, Date.now());
    const key = orders.claimKeyOf(customer, idempotencyKey);
    return this.advance(job, key, claim, { type: orders.ClaimEventType.started });
  }

  private async advance(
    job: OrderJob,
    key: string,
    claim: orders.OrderClaim,
    event: orders.ClaimEvent,
  ): Promise<Refusal | null> {
    const effects = claim.handle(event);
    const steps = await Promise.all(effects.map((effect) => this.carryOut(job, key, effect)));
    const next = steps.find((step) => step.event !== undefined)?.event;
    if (next !== undefined) return this.advance(job, key, claim, next);
    return steps.find((step) => step.refusal !== undefined)?.refusal ?? null;
  }

  private async carryOut(job: OrderJob, key: string, effect: orders.ClaimEffect): Promise<Step> {
    switch (effect.type) {
      case orders.ClaimEffectType.write:
        return { event: await this.write(key, effect.claim, effect.version) };
      case orders.ClaimEffectType.read:
        return { event: await this.read(key) };
      case orders.ClaimEffectType.forward:
        return { event: await this.forward(job) };
      case orders.ClaimEffectType.record:
        this.recordLater(key, effect.claim, effect.version);
        return {};
      case orders.ClaimEffectType.reply:
        this.reply(job.ctx, effect.response, effect.replayed);
        return {};
      case orders.ClaimEffectType.refuse: {
        const { failure, ran, retryAfterMs } = effect;
        return { refusal: { failure, ran, retryAfterMs } };
      }
      default:
        return {};
    }
  }

  private async write(
    key: string,
    claim: orders.Claim,
    version: number,
  ): Promise<orders.ClaimEvent> {
    const outcome = await this.deps.platform.write(key, claim, version);
    const { ClaimEventType } = orders;
    if (outcome.type === PlatformOutcome.ok) {
      return { type: ClaimEventType.written, version: outcome.version };
    }
    return outcome.type === PlatformOutcome.conflict
      ? { type: ClaimEventType.writeConflict }
      : { type: ClaimEventType.writeUnknown };
  }

  private async read(key: string): Promise<orders.ClaimEvent> {
    const outcome = await this.deps.platform.read(key);
    if (outcome.type !== PlatformOutcome.ok) return { type: orders.ClaimEventType.readFailed };
    const parsed = orders.claimSchema.nullable().safeParse(outcome.value?.value ?? null);
    if (!parsed.success) return { type: orders.ClaimEventType.readFailed };
    const version = outcome.value?.version ?? 0;
    return { type: orders.ClaimEventType.read, claim: parsed.data, version };
  }

  private async forward(job: OrderJob): Promise<orders.ClaimEvent> {
    const { ClaimEventType } = orders;
    const outcome = await job.forward();
    if (outcome.type === 'refused') {
      return { type: ClaimEventType.provenNotRun, failure: outcome.refusal.failure };
    }
    if (outcome.type === 'failed') {
      const { failure, provenNotRun } = outcome.failed;
      return {
        type: provenNotRun ? ClaimEventType.provenNotRun : ClaimEventType.answerLost,
        failure,
      };
    }
    try {
      const { status, headers, body } = outcome.response;
      const chunks = (await body.toArray()) as Buffer[];
      const contentType = String(headers['content-type'] ?? 'application/octet-stream');
      const whole = Buffer.concat(chunks).toString('base64');
      return { type: ClaimEventType.answered, response: { status, contentType, body: whole } };
    } catch (err) {
      const { BackendFailed } = errors.data;
      const detail = errors.describe(err);
      const failure = errors.createFailure(BackendFailed, 'read answer', 'service', detail);
      return { type: ClaimEventType.answerLost, failure };
    }
  }

  private reply(ctx: RequestContext, response: orders.RecordedResponse, replayed: boolean): void {
    const { status, contentType, body } = response;
    this.deps.trails.note(ctx.id, 'order', { status, replayed });
    if (ctx.res.destroyed) return;
    ctx.res.writeHead(status, {
      'content-type': contentType,
      'x-request-id': ctx.id,
      'x-bilberrystand-replayed': String(replayed),
    });
    ctx.res.end(Buffer.from(body, 'base64'));
  }

  private recordLater(key: string, claim: orders.Claim, version: number): void {
    const { response } = claim;
    const tooLarge = response !== null && response.body.length > MAX_KEPT_BYTES;
    const kept = tooLarge ? { ...claim, response: { ...response, body: '' } } : claim;
    const done = this.record(key, kept, version).finally(() => this.pending.delete(done));
    this.pending.add(done);
  }

  /** A conflict after a lost answer means that the outcome is there already. */
  private async record(key: string, claim: orders.Claim, version: number): Promise<void> {
    let pauseMs = RECORD_PAUSE_MS;
    for (let tries = 0; tries < MOST_RECORD_TRIES; tries += 1) {
      const outcome = await this.deps.platform.write(key, claim, version);
      if (outcome.type !== PlatformOutcome.unknown) return;
      await clock.sleep(pauseMs * (0.5 + this.deps.random.real()));
      pauseMs = Math.min(LONGEST_RECORD_PAUSE_MS, pauseMs * 2);
    }
    this.deps.logger.error('outcome-not-recorded', { key, state: claim.state });
  }
}

/** What follows from an effect. */
interface Step {
  readonly event?: orders.ClaimEvent;
  readonly refusal?: Refusal;
}
