/** Executes requests with an Idempotency-Key at most once, using claims in the platform store. */
import { randomUUID } from 'node:crypto';
import * as clock from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import * as claims from '../../decisions/idempotency-claims/index.js';
import { PlatformOutcome } from '../platform/index.js';
import type { ForwardOutcome } from './service-handler.js';
import type { GatewayDeps, Refusal, RequestContext } from './types.js';

/** Initial backoff before another attempt to record an outcome, ms; doubles with each attempt. */
const RECORD_BACKOFF_MS = 100;
const MAX_RECORD_BACKOFF_MS = 5_000;
const MAX_RECORD_ATTEMPTS = 60;
/** A longer body (in Base64) is not stored for replay; the outcome is recorded without it. */
const MAX_STORED_BASE64_BYTES = 262_144;

export interface ClaimJob {
  readonly ctx: RequestContext;
  readonly customer: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  forward(): Promise<ForwardOutcome>;
}

export class ClaimRunner {
  private readonly pending = new Set<Promise<void>>();

  constructor(private readonly deps: GatewayDeps) {}

  /** Resolves when all pending outcomes are recorded. */
  async waitForRecords(): Promise<void> {
    await Promise.all(this.pending);
  }

  /** @returns The reason for refusing the request; null if its outcome was sent to the caller. */
  async run(job: ClaimJob): Promise<Refusal | null> {
    const { method, path, body, customer, idempotencyKey } = job;
    const digest = claims.digestOf(method, path, body);
    const claim = new claims.IdempotencyClaim(
      `${this.deps.vm}-${randomUUID()}`,
      digest,
      Date.now(),
    );
    const key = claims.claimKeyOf(customer, idempotencyKey);
    return this.advance(job, key, claim, { type: claims.ClaimEventType.started });
  }

  private async advance(
    job: ClaimJob,
    key: string,
    claim: claims.IdempotencyClaim,
    event: claims.ClaimEvent,
  ): Promise<Refusal | null> {
    const effects = claim.handle(event);
    const results = await Promise.all(effects.map((effect) => this.runEffect(job, key, effect)));
    const next = results.find((result) => result.event !== undefined)?.event;
    if (next !== undefined) return this.advance(job, key, claim, next);
    return results.find((result) => result.refusal !== undefined)?.refusal ?? null;
  }

  private async runEffect(
    job: ClaimJob,
    key: string,
    effect: claims.ClaimEffect,
  ): Promise<EffectResult> {
    switch (effect.type) {
      case claims.ClaimEffectType.write:
        return { event: await this.write(key, effect.claim, effect.version) };
      case claims.ClaimEffectType.read:
        return { event: await this.read(key) };
      case claims.ClaimEffectType.forward:
        return { event: await this.forward(job) };
      case claims.ClaimEffectType.record:
        this.startRecording(key, effect.claim, effect.version);
        return {};
      case claims.ClaimEffectType.reply:
        this.reply(job.ctx, effect.response, effect.replayed);
        return {};
      case claims.ClaimEffectType.refuse: {
        const { failure, ran, retryAfterMs } = effect;
        return { refusal: { failure, ran, retryAfterMs } };
      }
      default:
        return {};
    }
  }

  private async write(
    key: string,
    claim: claims.Claim,
    version: number,
  ): Promise<claims.ClaimEvent> {
    const outcome = await this.deps.platform.write(key, claim, version);
    const { ClaimEventType } = claims;
    if (outcome.type === PlatformOutcome.ok) {
      return { type: ClaimEventType.written, version: outcome.version };
    }
    return outcome.type === PlatformOutcome.conflict
      ? { type: ClaimEventType.writeConflict }
      : { type: ClaimEventType.writeUnknown };
  }

  private async read(key: string): Promise<claims.ClaimEvent> {
    const outcome = await this.deps.platform.read(key);
    if (outcome.type !== PlatformOutcome.ok) return { type: claims.ClaimEventType.readFailed };
    const parsed = claims.claimSchema.nullable().safeParse(outcome.value?.value ?? null);
    if (!parsed.success) return { type: claims.ClaimEventType.readFailed };
    const version = outcome.value?.version ?? 0;
    return { type: claims.ClaimEventType.read, claim: parsed.data, version };
  }

  private async forward(job: ClaimJob): Promise<claims.ClaimEvent> {
    const { ClaimEventType } = claims;
    const outcome = await job.forward();
    if (outcome.type === 'refused') {
      return { type: ClaimEventType.provenNotExecuted, failure: outcome.refusal.failure };
    }
    if (outcome.type === 'failed') {
      const { failure, provenNotExecuted } = outcome.failed;
      return {
        type: provenNotExecuted ? ClaimEventType.provenNotExecuted : ClaimEventType.responseLost,
        failure,
      };
    }
    try {
      const { status, headers, body } = outcome.response;
      const chunks = (await body.toArray()) as Buffer[];
      const contentType = String(headers['content-type'] ?? 'application/octet-stream');
      const base64 = Buffer.concat(chunks).toString('base64');
      return { type: ClaimEventType.answered, response: { status, contentType, body: base64 } };
    } catch (err) {
      const { BackendFailed } = errors.data;
      const detail = errors.describe(err);
      const failure = errors.createFailure(BackendFailed, 'read answer', 'service', detail);
      return { type: ClaimEventType.responseLost, failure };
    }
  }

  private reply(ctx: RequestContext, response: claims.RecordedResponse, replayed: boolean): void {
    const { status, contentType, body } = response;
    this.deps.traces.note(ctx.id, 'order', { status, replayed });
    if (ctx.res.destroyed) return;
    ctx.res.writeHead(status, {
      'content-type': contentType,
      'x-request-id': ctx.id,
      'x-bilberrystand-replayed': String(replayed),
    });
    ctx.res.end(Buffer.from(body, 'base64'));
  }

  private startRecording(key: string, claim: claims.Claim, version: number): void {
    const { response } = claim;
    const tooLarge = response !== null && response.body.length > MAX_STORED_BASE64_BYTES;
    const stored = tooLarge ? { ...claim, response: { ...response, body: '' } } : claim;
    const done = this.record(key, stored, version).finally(() => this.pending.delete(done));
    this.pending.add(done);
  }

  /**
   * Records an outcome, with retries. A conflict is not retried: it means that an earlier write,
   * whose response was lost, has stored the outcome.
   */
  private async record(key: string, claim: claims.Claim, version: number): Promise<void> {
    let backoffMs = RECORD_BACKOFF_MS;
    for (let attempt = 0; attempt < MAX_RECORD_ATTEMPTS; attempt += 1) {
      const outcome = await this.deps.platform.write(key, claim, version);
      if (outcome.type !== PlatformOutcome.unknown) return;
      await clock.sleep(backoffMs * (0.5 + this.deps.random.real()));
      backoffMs = Math.min(MAX_RECORD_BACKOFF_MS, backoffMs * 2);
    }
    this.deps.logger.error('outcome-not-recorded', { key, state: claim.state });
  }
}

/** Result of an effect: the next event, a refusal, or neither. */
interface EffectResult {
  readonly event?: claims.ClaimEvent;
  readonly refusal?: Refusal;
}
