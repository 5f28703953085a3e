/** The way of one caller's request: admitted, placed, sent, sent again where it may be, answered. */
import type * as http from 'node:http';
import * as errors from '../../core/errors/index.js';
import type { LogFields } from '../../core/logger/index.js';
import { RepeatRule } from '../../decisions/fleet-plan/index.js';
import { RequestIdentity, shortFingerprint } from '../../decisions/suspects/index.js';
import type { Waiter } from '../../decisions/wait-list/index.js';
import { Admission, AdmissionType } from './admission.js';
import {
  type Answer,
  AttemptEnd,
  type AttemptResult,
  isSuccess,
  send,
  type StreamSink,
  StreamStep,
} from './attempt.js';
import type { RelayContext } from './context.js';
import { EventCutter } from './event-stream.js';
import type { Run } from './fleet-view.js';
import type { ReadRequest } from './read-request.js';
import { SecondTries } from './second-tries.js';

/** Part of the objective that a request may wait for its customer's rate. */
const RATE_WAIT_PART = 0.4;
/** Part of the objective from which on a wait is logged. */
const LOGGED_WAIT_PART = 0.25;
/** Time after its route's timeout in which a request that may run only once may still end, ms. */
const OUTCOME_WAIT_MS = 2_000;
/** Urgencies that a server knows, 0 to 9. */
const LEAST_URGENT = 9;
/** Time to the first byte that is expected of a request beyond its prompt's, ms. */
const BASE_FIRST_BYTE_MS = 20;

/** What a request waits for, and until when. */
function createWaiter(request: ReadRequest, deadlineAtMs: number): Waiter {
  const { facts, route, service, customer, arrivedAtMs } = request;
  return {
    id: `${facts.id} ${arrivedAtMs}`,
    service,
    model: facts.model,
    adapter: facts.adapter,
    priority: customer?.priority ?? route.priority,
    arrivedAtMs,
    objectiveAtMs: arrivedAtMs + route.objectiveMs,
    deadlineAtMs: Math.min(deadlineAtMs, arrivedAtMs + route.callerPatienceMs),
  };
}

export class Exchange implements StreamSink {
  private readonly aborter = new AbortController();

  private readonly cutter: EventCutter;

  private readonly identity: RequestIdentity;

  private readonly deadlineAtMs: number;

  private readonly waiter: Waiter;

  private readonly tries: SecondTries;

  private ranOnce = false;

  private streaming = false;

  private ended = false;

  private units = 0;

  private current: { readonly run: Run; readonly sentAtMs: number } | null = null;

  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly ctx: RelayContext,
    private readonly request: ReadRequest,
  ) {
    const { facts, route, arrivedAtMs, req, body, customer } = request;
    this.cutter = new EventCutter(facts.lastEventId);
    this.deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, facts.deadlineMs ?? Infinity);
    this.identity = new RequestIdentity(
      `${customer?.name ?? ''} ${req.url}`,
      body.toString('latin1'),
      () => ctx.wire.describeRequest(req.rawHeaders),
    );
    this.waiter = createWaiter(request, this.deadlineAtMs);
    this.tries = new SecondTries(ctx, request, this.waiter, this.deadlineAtMs, this.identity);
  }

  /** Serves the request to its end; never rejects for what callers or servers do. */
  async serve(): Promise<void> {
    const { res } = this.request;
    res.on('close', () => this.noteClosed());
    const leftMs = this.deadlineAtMs - this.ctx.clock.steadyMs();
    this.timer = setTimeout(() => this.noteTimeout(), Math.max(0, leftMs));
    try {
      if (this.refuseSuspect()) return;
      if (!(await this.admit())) return;
      await this.run();
    } finally {
      if (this.timer !== null) clearTimeout(this.timer);
    }
  }

  begin(res: http.IncomingMessage): boolean {
    this.noteFirstByte();
    if (this.ended) return true;
    if (this.streaming) {
      this.cutter.restart();
      return true;
    }
    this.streaming = true;
    this.writeHead(res.statusCode ?? 200, res.statusMessage ?? '', res.rawHeaders);
    this.request.res.flushHeaders();
    return true;
  }

  write(bytes: Buffer): StreamStep {
    const step = this.cutter.push(bytes);
    if (!step.inOrder) return StreamStep.refused;
    if (step.bytes.length === 0) return StreamStep.part;
    if (this.current !== null) {
      this.ctx.view.health.noteHeard(this.ctx.clock.steadyMs(), this.current.run.server.id);
    }
    if (!this.ended) this.request.res.write(step.bytes);
    return StreamStep.event;
  }

  isWhole(): boolean {
    return !this.cutter.hasRest;
  }

  /** Refuses a request that servers seem to die under; true if it is refused. */
  private refuseSuspect(): boolean {
    const { incidents } = this.ctx;
    const isRefused = incidents.isRefused(this.identity);
    if (isRefused) {
      this.refuse(errors.data.RequestBlocked, incidents.retryAfterMs(this.identity));
    }
    return isRefused;
  }

  private async admit(): Promise<boolean> {
    const { customer, facts, route } = this.request;
    if (customer === null) return true;
    const units = Admission.unitsOf(customer, facts);
    const result = await this.ctx.admission.admit(customer, units, {
      rateMs: route.objectiveMs * RATE_WAIT_PART,
      lifeMs: this.waiter.deadlineAtMs - this.waiter.arrivedAtMs,
    });
    if (result.type === AdmissionType.admitted) this.units = units;
    if (this.ended) {
      this.refund();
      return false;
    }
    if (result.type === AdmissionType.admitted) return true;
    const isUnknown = result.type === AdmissionType.rateUnknown;
    const reason = isUnknown ? errors.data.RateUnknown : errors.data.RateExceeded;
    this.refuse(reason, result.retryAfterMs, { units });
    return false;
  }

  private async run(): Promise<void> {
    const { facts, service } = this.request;
    this.ctx.retries.noteRequest(this.ctx.clock.steadyMs(), service);
    if (facts.model !== null) this.ctx.noteUse(facts.model);
    while (!this.ended) {
      const placement = await this.ctx.dispatcher.place(this.waiter, this.tries.tried);
      if (this.ended) {
        if (placement.run !== null) this.ctx.view.ended(placement.run);
        break;
      }
      if (placement.run === null) {
        this.giveUp(placement.retryAfterMs);
        return;
      }
      // Copies of the request may have ended servers while it waited.
      if (this.ctx.incidents.isRefused(this.identity)) {
        this.ctx.view.ended(placement.run);
        this.giveUp(this.ctx.incidents.retryAfterMs(this.identity), errors.data.RequestBlocked);
        return;
      }
      if (!this.ctx.mayRun(this.request.customer)) {
        this.ctx.view.ended(placement.run);
        this.giveUp(null, errors.data.KeysUnconfirmed);
        return;
      }
      this.logWait(placement.run);
      const result = await this.attempt(placement.run);
      if (!this.takeResult(placement.run, result)) return;
    }
    if (!this.ranOnce) this.refund();
  }

  /** A wait that may have cost the objective is worth a line. */
  private logWait(run: Run): void {
    const { arrivedAtMs, facts, route } = this.request;
    const waitedMs = this.ctx.clock.steadyMs() - arrivedAtMs;
    if (waitedMs < route.objectiveMs * LOGGED_WAIT_PART) return;
    const { model, adapter } = facts;
    this.ctx.log('waited', facts.id, { server: run.server.id, model, adapter, waitedMs });
  }

  private async attempt(run: Run): Promise<AttemptResult> {
    const { req, facts, customer, route, body } = this.request;
    const nowMs = this.ctx.clock.steadyMs();
    this.current = { run, sentAtMs: nowMs };
    const resumeAfter =
      this.streaming && this.cutter.lastId !== null ? String(this.cutter.lastId) : null;
    const result = await send(
      this.ctx.wire,
      {
        id: facts.id,
        method: req.method ?? 'GET',
        url: req.url ?? '/',
        headers: this.ctx.wire.encodeRequest(req.rawHeaders, {
          backendId: run.server.id,
          customer: customer?.name ?? null,
          deadlineMs: facts.deadlineMs === null ? null : Math.max(1, this.deadlineAtMs - nowMs),
          urgency: Math.min(LEAST_URGENT, this.waiter.priority),
          resumeAfter,
          bodyBytes: body.length,
          hasBody: body.length > 0 || req.method === 'POST' || req.method === 'PUT',
        }),
        body,
        agent: this.ctx.connections.agentFor(run.server, route.repeat !== RepeatRule.once),
        run,
        signal: this.aborter.signal,
        silence: this.tries.silenceRule(run),
      },
      route.repeat === RepeatRule.stream ? this : null,
    );
    this.current = null;
    this.ctx.view.ended(run);
    this.ctx.dispatcher.pump();
    return result;
  }

  /** Acts on what came of a sending; true if the request is placed again. */
  private takeResult(run: Run, result: AttemptResult): boolean {
    const nowMs = this.ctx.clock.steadyMs();
    switch (result.type) {
      case AttemptEnd.streamed:
        this.ranOnce = true;
        this.ctx.incidents.noteWhole(this.identity);
        this.finishStream();
        return false;
      case AttemptEnd.answered:
        this.ranOnce = true;
        return this.takeAnswer(nowMs, run, result.answer);
      case AttemptEnd.notRun:
        return this.takeNotRun(nowMs, run, result.reached, result.status, result.reason);
      default:
        this.ranOnce = true;
        return this.takeBroken(nowMs, run, result.reason);
    }
  }

  private takeAnswer(nowMs: number, run: Run, answer: Answer): boolean {
    const failed = answer.status >= 500;
    if (isSuccess(answer.status)) this.ctx.incidents.noteWhole(this.identity);
    if (!failed) this.ctx.view.health.noteAnswer(nowMs, run.server.id, 1);
    if (this.ended) return false;
    if (failed && !this.streaming) {
      this.ctx.view.health.noteFailure(nowMs, run.server.id, 0.25);
      if (this.tries.takeRun(nowMs, run)) return true;
    }
    if (this.streaming) {
      this.cut('resuming was answered with a failure');
      return false;
    }
    this.deliver(answer);
    return false;
  }

  private takeNotRun(
    nowMs: number,
    run: Run,
    reached: boolean,
    status: number | null,
    reason: string,
  ): boolean {
    this.ctx.log('not-run', this.request.facts.id, { server: run.server.id, reason });
    if (reached) this.ctx.view.noteMissing(run);
    // A caller that left while the connection was made says nothing of the server.
    if (this.ended) return false;
    if (!reached) this.ctx.view.health.noteUnreached(nowMs, run.server.id);
    // A model may be about to come where it is missing; a plain server that is full stays full.
    const again = this.tries.takeNotRun(nowMs, run, reached, status !== 421 && run.model === null);
    if (!again) this.giveUp(null);
    return again;
  }

  private takeBroken(nowMs: number, run: Run, reason: string): boolean {
    this.ctx.log('broken', this.request.facts.id, {
      server: run.server.id,
      reason,
      fingerprint: shortFingerprint(this.identity.broad),
      callerWaits: !this.ended,
    });
    // Also of a caller that left: the server may still end under what it began.
    this.ctx.incidents.noteBreak(this.identity, run);
    if (this.ended) return false;
    this.ctx.view.health.noteFailure(nowMs, run.server.id);
    if (this.tries.takeRun(nowMs, run)) return true;
    if (this.streaming) this.cut(reason);
    else this.fail(errors.data.BackendFailed, reason);
    return false;
  }

  private deliver(answer: Answer): void {
    this.ended = true;
    this.writeHead(answer.status, answer.statusText, answer.rawHeaders, answer.body.length);
    this.request.res.end(answer.body);
    this.finish(answer.status);
  }

  private finishStream(): void {
    if (this.ended) return;
    this.ended = true;
    this.request.res.end();
    this.finish(200);
  }

  /** Ends a stream that can't go on, so that it does not look complete. */
  private cut(reason: string): void {
    if (this.ended) return;
    this.ended = true;
    this.ctx.log('cut', this.request.facts.id, { reason });
    this.request.res.destroy();
  }

  /** No server was there in time. */
  private giveUp(
    retryAfterMs: number | null,
    reason: errors.ErrorDefinition = errors.data.NoCapacity,
  ): void {
    if (this.streaming) {
      this.cut('no server to go on at');
    } else if (this.ranOnce) {
      this.fail(errors.data.BackendFailed, 'no server to try again at');
    } else {
      this.refuse(reason, retryAfterMs ?? this.ctx.usualReturnMs);
    }
  }

  /** Refuses a request that has not run and never will. */
  private refuse(
    def: errors.ErrorDefinition,
    retryAfterMs: number | null,
    fields: LogFields = {},
  ): void {
    if (this.ended) return;
    this.ended = true;
    const failure = errors.createFailure(def, 'relay', this.request.route.name);
    this.ctx.log('refused', this.request.facts.id, {
      reason: def.name,
      fingerprint: shortFingerprint(this.identity.broad),
      retryAfterMs,
      customer: this.request.customer?.name,
      ...fields,
      model: this.request.facts.model,
      adapter: this.request.facts.adapter,
      waitedMs: this.ctx.clock.steadyMs() - this.request.arrivedAtMs,
    });
    this.refund();
    this.ctx.replyOwn(this.request.res, this.request.facts.id, failure, retryAfterMs);
    this.finish(failure.status);
  }

  private fail(def: errors.ErrorDefinition, reason: string): void {
    if (this.ended) return;
    this.ended = true;
    const failure = errors.createFailure(def, 'relay', this.request.route.name, reason);
    this.ctx.log('failed', this.request.facts.id, { reason });
    this.ctx.replyOwn(this.request.res, this.request.facts.id, failure, null);
    this.finish(failure.status);
  }

  private refund(): void {
    const { customer } = this.request;
    if (customer !== null && this.units > 0) this.ctx.admission.refund(customer.name, this.units);
    this.units = 0;
  }

  private finish(status: number): void {
    const { route, customer, arrivedAtMs } = this.request;
    const labels = { route: route.repeat, customer: customer?.name ?? '', status: String(status) };
    this.ctx.metrics.count('relay_requests_total', labels);
    this.ctx.metrics.time('relay_whole', this.ctx.clock.steadyMs() - arrivedAtMs, {
      customer: customer?.name ?? '',
    });
  }

  private writeHead(
    status: number,
    text: string,
    rawHeaders: readonly string[],
    length?: number,
  ): void {
    const headers = [...this.ctx.wire.encodeAnswer(rawHeaders)];
    if (length !== undefined) headers.push('Content-Length', String(length));
    if (this.ctx.isStopping()) headers.push('Connection', 'close');
    this.request.res.writeHead(status, text, headers);
  }

  private noteFirstByte(): void {
    if (this.current === null) return;
    const { facts } = this.request;
    const nowMs = this.ctx.clock.steadyMs();
    const tookMs = nowMs - this.current.sentAtMs;
    const expectedMs = BASE_FIRST_BYTE_MS + (facts.tokens?.prompt ?? 0) / 20;
    this.ctx.view.health.noteAnswer(nowMs, this.current.run.server.id, tookMs / expectedMs);
    this.ctx.metrics.time('relay_first_byte', nowMs - this.request.arrivedAtMs, {
      customer: this.request.customer?.name ?? '',
    });
  }

  /** The caller has left, or its answer is out. */
  private noteClosed(): void {
    if (this.ended) return;
    this.ended = true;
    this.ctx.dispatcher.cancel(this.waiter.id);
    // What may not be repeated goes on to its outcome.
    if (this.request.route.repeat !== RepeatRule.once) this.aborter.abort();
  }

  private noteTimeout(): void {
    if (this.request.route.repeat === RepeatRule.once) {
      this.timer = setTimeout(() => this.aborter.abort(), OUTCOME_WAIT_MS);
    }
    if (this.ended) return;
    this.ctx.dispatcher.cancel(this.waiter.id);
    const sent = this.ranOnce || this.current !== null;
    if (this.streaming) this.cut('the time is over');
    else if (sent) this.fail(errors.data.TimedOut, 'the time is over');
    else this.refuse(errors.data.NoCapacity, null);
    if (this.request.route.repeat !== RepeatRule.once) this.aborter.abort();
  }
}
