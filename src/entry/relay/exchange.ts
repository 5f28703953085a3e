/** Processes one caller's request: admission, placement, attempts, retries and the response. */
import type * as http from 'node:http';
import { contain } from '../../core/contain/index.js';
import * as errors from '../../core/errors/index.js';
import type { LogFields } from '../../core/logger/index.js';
import { RetrySafety, type Route } from '../../decisions/fleet-plan/index.js';
import { RequestIdentity, RunProgress, shortFingerprint } from '../../decisions/suspects/index.js';
import type { QueuedRequest } from '../../decisions/wait-list/index.js';
import { Admission, AdmissionType } from './admission.js';
import {
  AttemptEnd,
  type AttemptResult,
  type BackendResponse,
  headOf,
  isSuccess,
  send,
} from './attempt.js';
import type { RelayContext } from './context.js';
import { EventSplitter } from './event-stream.js';
import type { Run } from './fleet-view.js';
import { type RoutedRequest, timeLimitMs } from './routed-request.js';
import type { HeldResponse } from './response-memory.js';
import { RetryPolicy } from './retry-policy.js';
import { type StreamSink, WriteResult } from './stream-relay.js';

/** Maximum wait for units of the customer's rate, as a fraction of the latency objective. */
const MAX_RATE_WAIT_FRACTION = 0.4;
/**
 * The same for a stream that its caller takes up, as a fraction of the caller's patience: its objective
 * was met by the first event.
 */
const MAX_RESUME_RATE_WAIT_FRACTION = 0.6;
/** Waits of at least this fraction of the latency objective are logged. */
const LOGGED_WAIT_FRACTION = 0.25;
/** Time for which a request that may run only once continues after its deadline, ms. */
const OUTCOME_WAIT_MS = 2_000;
/** Last event id of a caller that has received no event. */
const NO_EVENT_ID = '0';
/** Backend servers accept urgencies from 0 to 9. */
const LOWEST_URGENCY = 9;
/** Expected time to the first byte of a request without a prompt, ms. */
const BASE_FIRST_BYTE_MS = 20;
/** Prompt tokens that are expected to add 1 ms to the time to the first byte. */
const PROMPT_TOKENS_PER_MS = 20;
/**
 * Time for which a stream sends events until its prompt counts as sound, ms. A server may crash
 * shortly after the first event.
 */
const SOUND_STREAM_MS = 250;
/** Weight of an error response in the server's health; a broken attempt has a weight of 1. */
const ERROR_RESPONSE_WEIGHT = 0.25;

/** The queue entry of a request: what it needs, its priority and its deadlines. */
function createQueuedRequest(request: RoutedRequest, deadlineAtMs: number): QueuedRequest {
  const { metadata, route, service, customer, arrivedAtMs } = request;
  return {
    id: `${metadata.id} ${arrivedAtMs}`,
    service,
    model: metadata.model,
    adapter: metadata.adapter,
    version: null,
    priority: customer?.priority ?? route.priority,
    arrivedAtMs,
    objectiveAtMs: arrivedAtMs + route.objectiveMs,
    deadlineAtMs: Math.min(deadlineAtMs, arrivedAtMs + route.callerTimeoutMs),
  };
}

/**
 * The times of a queued request whose caller last received an event at `eventAtMs`: they count from
 * that event as those of a new request do from its arrival.
 */
function timesAfterEvent(eventAtMs: number, route: Route, deadlineAtMs: number) {
  return {
    arrivedAtMs: eventAtMs,
    objectiveAtMs: eventAtMs + route.objectiveMs,
    deadlineAtMs: Math.min(deadlineAtMs, eventAtMs + route.callerTimeoutMs),
  };
}

type Answered = Extract<AttemptResult, { type: typeof AttemptEnd.answered }>;

/** When the parts of an attempt's response arrived; null for a part that did not. */
interface AttemptProgress {
  headAtMs: number | null;
  firstEventAtMs: number | null;
  /** Whether the response has shown that the prompt is sound. */
  isSound: boolean;
}

function noProgress(): AttemptProgress {
  return { headAtMs: null, firstEventAtMs: null, isSound: false };
}

export class Exchange implements StreamSink {
  private readonly aborter = new AbortController();

  private readonly splitter: EventSplitter;

  private readonly identity: RequestIdentity;

  private readonly deadlineAtMs: number;

  private readonly queuedRequest: QueuedRequest;

  private readonly retryPolicy: RetryPolicy;

  /** Whether a backend server may have run the request; its rate units are then not refunded. */
  private mayHaveRun = false;

  /** Whether the response head of an event stream has been sent to the caller. */
  private streaming = false;

  /** Whether the response has ended or the caller has disconnected. */
  private ended = false;

  /** Units that are charged to the customer's rate. */
  private units = 0;

  /** The attempt in progress. */
  private current: { readonly run: Run; readonly sentAtMs: number } | null = null;

  /** When the last event of a stream was passed on; null before the first. */
  private lastEventAtMs: number | null = null;

  /** How far the last attempt got. */
  private progress = noProgress();

  /** Whether an attempt was aborted because a segment of the prompt is refused. */
  private isWithdrawn = false;

  /** Whether the request runs although segments of its prompt are refused. */
  private isProbe = false;

  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly ctx: RelayContext,
    private readonly request: RoutedRequest,
  ) {
    const { metadata, route, arrivedAtMs, req, body, customer } = request;
    this.splitter = new EventSplitter(metadata.lastEventId);
    this.deadlineAtMs = arrivedAtMs + timeLimitMs(route, metadata);
    this.identity = new RequestIdentity(
      `${customer?.name ?? ''} ${req.url}`,
      body.toString('latin1'),
      () => ctx.wire.canonicalHeaders(req.rawHeaders),
      metadata.promptSegments,
    );
    this.queuedRequest = createQueuedRequest(request, this.deadlineAtMs);
    this.retryPolicy = new RetryPolicy(
      ctx,
      request,
      this.queuedRequest,
      this.deadlineAtMs,
      this.identity,
    );
  }

  /** Processes the request. Failures of the caller or of servers do not reject the promise. */
  async serve(): Promise<void> {
    const { res } = this.request;
    const leftMs = this.deadlineAtMs - this.ctx.clock.steadyMs();
    if (leftMs <= 0) {
      this.refuse(errors.data.NoCapacity, null);
      return;
    }
    const contained = (handler: () => void) => contain(handler, (err) => this.abort(err));
    res.on(
      'close',
      contained(() => this.handleClose()),
    );
    this.timer = setTimeout(
      contained(() => this.handleTimeout()),
      leftMs,
    );
    const unwatch = this.ctx.incidents.watch(
      this.identity,
      contained(() => this.handleRefused()),
    );
    try {
      if (this.refuseIfSuspected()) return;
      if (!(await this.pinVersion())) return;
      if (!(await this.admit())) return;
      await this.run();
    } finally {
      unwatch();
      if (this.timer !== null) clearTimeout(this.timer);
    }
  }

  /** Ends the request before the process exits; a caller gets an answer unless it has a part of one. */
  endForShutdown(): void {
    this.endUnserved('entry VM shuts down', errors.data.Leaving, errors.data.BackendFailed);
    this.ctx.dispatcher.cancel(this.queuedRequest.id);
  }

  begin(res: http.IncomingMessage): boolean {
    this.recordFirstByte();
    if (this.ended) return true;
    if (this.streaming) {
      this.splitter.discardPartialEvent();
      return true;
    }
    this.streaming = true;
    this.writeHead({ ...headOf(res), contentLength: null });
    this.request.res.flushHeaders();
    return true;
  }

  write(bytes: Buffer): WriteResult {
    const split = this.splitter.push(bytes);
    // The stream goes on after the last event in order, also if a wrong one came with it.
    if (split.bytes.length > 0) this.writeEvents(split.bytes);
    if (!split.isInOrder) return WriteResult.refused;
    return split.bytes.length > 0 ? WriteResult.event : WriteResult.part;
  }

  private writeEvents(bytes: Buffer): void {
    const nowMs = this.ctx.clock.steadyMs();
    this.noteEvent(nowMs);
    if (this.current !== null) {
      this.ctx.view.health.noteDataReceived(nowMs, this.current.run.server.id);
    }
    if (!this.ended) this.request.res.write(bytes);
  }

  isComplete(): boolean {
    return this.splitter.partialBytes === 0;
  }

  heldBytes(): number {
    return this.splitter.heldBytes + this.request.res.writableLength;
  }

  isBlocked(): boolean {
    return !this.ended && this.request.res.writableNeedDrain;
  }

  onWritable(handler: () => void): void {
    this.request.res.once(
      'drain',
      contain(handler, (err) => this.abort(err)),
    );
  }

  private noteEvent(nowMs: number): void {
    const { progress, current } = this;
    this.lastEventAtMs = nowMs;
    if (progress.firstEventAtMs === null && current !== null) this.noteBegun(current.run);
    progress.firstEventAtMs ??= nowMs;
    if (progress.isSound || nowMs - progress.firstEventAtMs < SOUND_STREAM_MS) return;
    progress.isSound = true;
    this.ctx.incidents.noteSound(this.identity);
  }

  /** Binds the stream to the version of the server that has sent an event of it. */
  private noteBegun({ server }: Run): void {
    const { metadata } = this.request;
    Object.assign(this.queuedRequest, { version: server.version });
    this.ctx.streams.noteBegun(metadata.begunBy ?? metadata.id, server);
  }

  /** Refuses a request that is suspected of crashing backend servers; true if it was refused. */
  private refuseIfSuspected(): boolean {
    const { incidents } = this.ctx;
    if (!incidents.isRefused(this.identity)) return false;
    this.isProbe = incidents.takeProbe(this.identity);
    if (!this.isProbe) this.rejectSuspected();
    return !this.isProbe;
  }

  private rejectSuspected(): void {
    const { incidents } = this.ctx;
    const reason = incidents.isPromptRefused(this.identity)
      ? errors.data.PromptBlocked
      : errors.data.RequestBlocked;
    this.reject(incidents.retryAfterMs(this.identity), reason);
  }

  /** Whether the caller takes up a stream of which it has events. */
  private get isTakeUp(): boolean {
    const { route, metadata } = this.request;
    const { lastEventId } = metadata;
    const isStream = route.retrySafety === RetrySafety.stream;
    return isStream && lastEventId !== null && lastEventId !== NO_EVENT_ID;
  }

  /** Restricts a stream that its caller takes up to the version that began it; false if refused. */
  private async pinVersion(): Promise<boolean> {
    if (!this.isTakeUp) return true;
    const { metadata, service } = this.request;
    const version = await this.ctx.streams.versionFor(metadata.begunBy, service);
    Object.assign(this.queuedRequest, { version });
    if (version === null) this.refuse(errors.data.StreamVersionUnknown, null);
    else if (this.isVersionGone()) this.refuse(errors.data.StreamVersionGone, null);
    return !this.ended;
  }

  /** Whether no server can continue the stream, as none of its version accepts requests. */
  private isVersionGone(): boolean {
    return this.queuedRequest.version !== null && !this.ctx.view.hasServers(this.queuedRequest);
  }

  private async admit(): Promise<boolean> {
    const { customer, metadata, route } = this.request;
    if (customer === null) return true;
    const units = Admission.unitsFor(customer, metadata);
    const result = await this.ctx.admission.admit(customer, units, {
      isResumed: this.isTakeUp,
      maxRateWaitMs: this.isTakeUp
        ? route.callerTimeoutMs * MAX_RESUME_RATE_WAIT_FRACTION
        : route.objectiveMs * MAX_RATE_WAIT_FRACTION,
      timeBudgetMs: this.queuedRequest.deadlineAtMs - this.queuedRequest.arrivedAtMs,
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
    const { metadata, service } = this.request;
    this.ctx.retries.noteRequest(this.ctx.clock.steadyMs(), service);
    if (metadata.model !== null) this.ctx.recordModelUse(metadata.model);
    while (!this.ended) {
      if (this.isVersionGone()) {
        this.reject(null, errors.data.StreamVersionGone);
        return;
      }
      this.renewWait();
      const placement = await this.ctx.dispatcher.place(this.queuedRequest, this.retryPolicy.tried);
      if (this.ended) {
        if (placement.run !== null) this.ctx.view.ended(placement.run);
        break;
      }
      // While this request was queued, identical or similar requests may have crashed servers.
      if (!this.isProbe && this.ctx.incidents.isRefused(this.identity)) {
        if (placement.run !== null) this.ctx.view.ended(placement.run);
        this.rejectSuspected();
        return;
      }
      if (placement.run === null) {
        this.reject(placement.retryAfterMs);
        return;
      }
      if (!this.ctx.hasFreshKeys(this.request.customer)) {
        this.ctx.view.ended(placement.run);
        this.reject(null, errors.data.KeysUnconfirmed);
        return;
      }
      this.logWait(placement.run);
      const result = await this.attempt(placement.run);
      if (!this.handleResult(placement.run, result)) return;
    }
    if (!this.mayHaveRun) this.refund();
  }

  /** A stream that broke off waits for a server as long as its caller waits for the next event. */
  private renewWait(): void {
    const { lastEventAtMs, deadlineAtMs } = this;
    if (lastEventAtMs === null) return;
    const times = timesAfterEvent(lastEventAtMs, this.request.route, deadlineAtMs);
    Object.assign(this.queuedRequest, times);
  }

  /** Logs a wait that may have caused the request to miss its latency objective. */
  private logWait(run: Run): void {
    const { arrivedAtMs, metadata, route } = this.request;
    const waitedMs = this.ctx.clock.steadyMs() - arrivedAtMs;
    if (waitedMs < route.objectiveMs * LOGGED_WAIT_FRACTION) return;
    const { model, adapter } = metadata;
    this.ctx.log('waited', metadata.id, { server: run.server.id, model, adapter, waitedMs });
  }

  private async attempt(run: Run): Promise<AttemptResult> {
    const nowMs = this.ctx.clock.steadyMs();
    this.current = { run, sentAtMs: nowMs };
    this.progress = noProgress();
    this.isProbe = false;
    const resumeAfter =
      this.streaming && this.splitter.lastId !== null ? String(this.splitter.lastId) : null;
    this.logResumption(run);
    this.ctx.throttling.noteSent(run.server);
    try {
      return await this.sendTo(run, nowMs, resumeAfter);
    } finally {
      this.current = null;
      this.ctx.view.ended(run);
      this.ctx.dispatcher.schedulePlacement();
    }
  }

  private sendTo(run: Run, nowMs: number, resumeAfter: string | null): Promise<AttemptResult> {
    const { req, metadata, customer, route, body } = this.request;
    return send(
      this.ctx.wire,
      {
        id: metadata.id,
        method: req.method ?? 'GET',
        url: req.url ?? '/',
        headers: this.ctx.wire.encodeRequest(req.rawHeaders, {
          backendId: run.server.id,
          customer: customer?.name ?? null,
          deadlineMs: metadata.deadlineMs === null ? null : Math.max(1, this.deadlineAtMs - nowMs),
          urgency: Math.min(LOWEST_URGENCY, this.queuedRequest.priority),
          resumeAfter,
          bodyBytes: body.length,
          hasBody: body.length > 0 || req.method === 'POST' || req.method === 'PUT',
        }),
        body,
        agent: this.ctx.connections.agentFor(
          run.server,
          route.retrySafety !== RetrySafety.once,
          this.maxConnections(),
        ),
        run,
        signal: this.aborter.signal,
        idlePolicy: this.retryPolicy.idlePolicy(run),
        wasRefused: this.retryPolicy.refusedBy.has(run.server.id),
        memory: this.ctx.memory,
        turns: this.ctx.turns,
        onException: (err) => this.ctx.reportException(metadata.id, err),
        onHead: (head, status) => {
          this.progress.headAtMs = this.ctx.clock.steadyMs();
          this.ctx.throttling.noteResponse(run.server, head, status, nowMs);
          if (head.leaving) this.ctx.noteLeaving(run.server);
          if (status === 503 && head.retryAfterMs !== null) {
            this.ctx.view.notePause(run.server, head.retryAfterMs);
          }
        },
      },
      route.retrySafety === RetrySafety.stream ? this : null,
    );
  }

  /** Logs a stream that goes on at another server, or that its caller takes up again. */
  private logResumption(run: Run): void {
    const { metadata } = this.request;
    if (!this.streaming && !this.isTakeUp) return;
    const { id: server, version } = run.server;
    this.ctx.log('resumed', metadata.id, { server, version, begunBy: metadata.begunBy });
  }

  /** Connections that a server of the service accepts. */
  private maxConnections(): number {
    const { plan, service } = this.request;
    return plan.services.get(service)?.maxConnections ?? 0;
  }

  /** Handles the result of an attempt; true if the request is to be placed again. */
  private handleResult(run: Run, result: AttemptResult): boolean {
    const nowMs = this.ctx.clock.steadyMs();
    switch (result.type) {
      case AttemptEnd.streamed:
        this.mayHaveRun = true;
        this.ctx.incidents.noteCompleted(this.identity);
        this.finishStream();
        return false;
      case AttemptEnd.answered:
        this.mayHaveRun = true;
        return this.handleResponse(nowMs, run, result);
      case AttemptEnd.notRun:
        return this.handleNotExecuted(nowMs, run, result.reached, result.status, result.reason);
      default:
        this.mayHaveRun = true;
        return this.handleBroken(nowMs, run, result.reason, result.connectionLost);
    }
  }

  /** Delivers a response, or retries; true if the request is to be placed again. */
  private handleResponse(nowMs: number, run: Run, { response, held }: Answered): boolean {
    const isRetried = this.retryOrCut(nowMs, run, response);
    if (isRetried || this.ended) held.release();
    else this.deliver(response, held);
    return isRetried;
  }

  /** Records what a response tells; true if the request is retried. Cuts a stream that can't go on. */
  private retryOrCut(nowMs: number, run: Run, response: BackendResponse): boolean {
    const isError = response.status >= 500;
    if (isSuccess(response.status)) this.ctx.incidents.noteCompleted(this.identity);
    if (!isError) this.ctx.view.health.noteAnswer(nowMs, run.server.id, null);
    if (this.ended) return false;
    if (isError && !this.streaming) {
      this.ctx.view.health.noteFailure(nowMs, run.server.id, ERROR_RESPONSE_WEIGHT);
      if (this.retryPolicy.allowRetryAfterRun(nowMs, run)) return true;
    }
    if (this.streaming) this.cut('backend server responded to the resume request with an error');
    return false;
  }

  private handleNotExecuted(
    nowMs: number,
    run: Run,
    reached: boolean,
    status: number | null,
    reason: string,
  ): boolean {
    this.ctx.log('not-run', this.request.metadata.id, { server: run.server.id, reason });
    if (reached) this.ctx.view.noteNotLoaded(run);
    // An attempt that ended because the caller disconnected is no evidence against the server.
    if (this.ended) return false;
    if (!reached) this.ctx.view.health.noteConnectFailure(nowMs, run.server.id);
    // A server may be tried again if it responds with 421 or its service has models, because it may
    // load the model soon. Any other server is full or unreachable, and is not tried again.
    const isRetried = this.retryPolicy.allowRetryAfterNotExecuted(
      nowMs,
      run,
      reached,
      status !== 421 && run.model === null,
    );
    if (!isRetried) this.reject(null);
    return isRetried;
  }

  private handleBroken(nowMs: number, run: Run, reason: string, connectionLost: boolean): boolean {
    const progress = this.runProgress(nowMs, connectionLost);
    const { headAtMs, firstEventAtMs } = this.progress;
    const ageOf = (atMs: number | null) => (atMs === null ? null : Math.round(nowMs - atMs));
    this.ctx.log('broken', this.request.metadata.id, {
      server: run.server.id,
      reason,
      fingerprint: shortFingerprint(this.identity.broad),
      callerWaits: !this.ended,
      segments: this.request.metadata.promptSegments.slice(0, -1),
      headAgeMs: ageOf(headAtMs),
      firstEventAgeMs: ageOf(firstEventAtMs),
    });
    // Also recorded after the caller has disconnected: the request may still crash the server that
    // began to run it.
    this.ctx.incidents.noteCutOff(this.identity, run, progress);
    if (this.ended) return false;
    if (!this.isWithdrawn) this.ctx.view.health.noteFailure(nowMs, run.server.id);
    if (this.retryPolicy.allowRetryAfterRun(nowMs, run)) return true;
    if (this.streaming) this.cut(reason);
    else this.fail(errors.data.BackendFailed, reason);
    return false;
  }

  /** How far an interrupted run had come; null if its response shows that the prompt is sound. */
  private runProgress(nowMs: number, connectionLost: boolean): RunProgress | null {
    const { headAtMs, firstEventAtMs, isSound } = this.progress;
    if (isSound || nowMs - (firstEventAtMs ?? nowMs) >= SOUND_STREAM_MS) return null;
    if (!connectionLost) return RunProgress.abandoned;
    return headAtMs !== null && firstEventAtMs === null ? RunProgress.begun : RunProgress.unclear;
  }

  private deliver(response: BackendResponse, held: HeldResponse): void {
    const { res } = this.request;
    this.ended = true;
    held.complete();
    res.once('close', () => held.release());
    this.writeHead(response);
    res.end(response.body);
    this.finish(response.status);
  }

  private finishStream(): void {
    if (this.ended) return;
    this.ended = true;
    this.request.res.end();
    this.finish(200);
  }

  /** Destroys the connection of a stream that can't continue, so that it does not look complete. */
  private cut(reason: string): void {
    if (this.ended) return;
    this.ended = true;
    const { model, adapter } = this.request.metadata;
    const { version } = this.queuedRequest;
    this.ctx.log('cut', this.request.metadata.id, { reason, model, adapter, version });
    this.request.res.destroy();
  }

  /** Ends a request that is not sent to a backend server, or not sent again after an attempt. */
  private reject(
    retryAfterMs: number | null,
    reason: errors.ErrorDefinition = errors.data.NoCapacity,
  ): void {
    if (this.streaming) {
      this.cut('no backend server available to resume the stream');
    } else if (this.mayHaveRun) {
      this.fail(errors.data.BackendFailed, 'no backend server available for a retry');
    } else {
      this.refuse(reason, retryAfterMs ?? this.ctx.defaultRetryAfterMs);
    }
  }

  /** Refuses a request that was not executed and will not be. */
  private refuse(
    def: errors.ErrorDefinition,
    retryAfterMs: number | null,
    fields: LogFields = {},
  ): void {
    if (this.ended) return;
    this.ended = true;
    const failure = errors.createFailure(def, 'relay', this.request.route.name);
    this.ctx.log('refused', this.request.metadata.id, {
      reason: def.name,
      fingerprint: shortFingerprint(this.identity.broad),
      segments: def === errors.data.PromptBlocked ? this.identity.segments : undefined,
      retryAfterMs,
      customer: this.request.customer?.name,
      isTakeUp: this.isTakeUp,
      version: this.queuedRequest.version,
      ...fields,
      model: this.request.metadata.model,
      adapter: this.request.metadata.adapter,
      waitedMs: this.ctx.clock.steadyMs() - this.request.arrivedAtMs,
    });
    this.refund();
    this.ctx.sendLocalResponse(this.request.res, this.request.metadata.id, failure, retryAfterMs);
    this.finish(failure.status);
  }

  /** Sends an error response for a request that may have run. */
  private fail(def: errors.ErrorDefinition, reason: string): void {
    if (this.ended) return;
    this.ended = true;
    const failure = errors.createFailure(def, 'relay', this.request.route.name, reason);
    this.ctx.log('failed', this.request.metadata.id, { reason });
    this.ctx.sendLocalResponse(this.request.res, this.request.metadata.id, failure, null);
    this.finish(failure.status);
  }

  /**
   * Ends a request that is not served in time.
   * @param refusal Reason if the request was not sent to a server.
   * @param failure Reason if the request may have run.
   */
  private endUnserved(
    reason: string,
    refusal: errors.ErrorDefinition,
    failure: errors.ErrorDefinition,
  ): void {
    if (this.streaming) this.cut(reason);
    else if (this.mayHaveRun || this.current !== null) this.fail(failure, reason);
    else this.refuse(refusal, null);
  }

  private refund(): void {
    const { customer } = this.request;
    if (customer !== null && this.units > 0) this.ctx.admission.refund(customer.name, this.units);
    this.units = 0;
  }

  private finish(status: number): void {
    const { route, customer, arrivedAtMs } = this.request;
    const labels = {
      route: route.retrySafety,
      customer: customer?.name ?? '',
      status: String(status),
    };
    this.ctx.metrics.count('relay_requests_total', labels);
    this.ctx.metrics.time('relay_whole', this.ctx.clock.steadyMs() - arrivedAtMs, {
      customer: customer?.name ?? '',
    });
  }

  private writeHead(head: Omit<BackendResponse, 'body'>): void {
    const { status, statusText, rawHeaders, contentLength } = head;
    const headers = [...this.ctx.wire.encodeResponse(rawHeaders)];
    if (contentLength !== null) headers.push('Content-Length', String(contentLength));
    if (this.ctx.closesConnection(this.request.res)) headers.push('Connection', 'close');
    this.request.res.writeHead(status, statusText, headers);
  }

  private recordFirstByte(): void {
    if (this.current === null) return;
    const { metadata } = this.request;
    const nowMs = this.ctx.clock.steadyMs();
    const tookMs = nowMs - this.current.sentAtMs;
    const expectedMs = BASE_FIRST_BYTE_MS + (metadata.tokens?.prompt ?? 0) / PROMPT_TOKENS_PER_MS;
    this.ctx.view.health.noteAnswer(nowMs, this.current.run.server.id, tookMs / expectedMs);
    this.ctx.metrics.time('relay_first_byte', nowMs - this.request.arrivedAtMs, {
      customer: this.request.customer?.name ?? '',
    });
  }

  /** Called when a segment of the prompt is refused: the request is not run, or no longer. */
  private handleRefused(): void {
    if (this.ended || this.progress.isSound) return;
    this.ctx.dispatcher.cancel(this.queuedRequest.id);
    // A request that may run only once is not aborted, so that its outcome is known.
    if (this.request.route.retrySafety === RetrySafety.once) return;
    this.isWithdrawn = true;
    this.aborter.abort();
  }

  /** Ends the request after an exception in one of its handlers. */
  private abort(err: unknown): void {
    this.ctx.reportException(this.request.metadata.id, err);
    this.ended = true;
    this.request.res.destroy();
    this.ctx.dispatcher.cancel(this.queuedRequest.id);
    this.aborter.abort();
  }

  /** Called when the caller has disconnected or its response has been sent. */
  private handleClose(): void {
    if (this.ended) return;
    this.ended = true;
    this.ctx.dispatcher.cancel(this.queuedRequest.id);
    // A request that may run only once is not aborted, so that its outcome is known.
    if (this.request.route.retrySafety !== RetrySafety.once) this.aborter.abort();
  }

  /** Aborts the attempt in a later turn: the deadlines of many requests may pass at once. */
  private abortLater(): void {
    const abort = contain(
      () => this.aborter.abort(),
      (err) => this.abort(err),
    );
    this.ctx.turns.cleanUpLater(abort);
  }

  private handleTimeout(): void {
    if (this.request.route.retrySafety === RetrySafety.once) {
      this.timer = setTimeout(() => this.aborter.abort(), OUTCOME_WAIT_MS);
    }
    if (this.ended) return;
    this.ctx.dispatcher.cancel(this.queuedRequest.id);
    this.endUnserved('deadline exceeded', errors.data.NoCapacity, errors.data.TimedOut);
    if (this.request.route.retrySafety !== RetrySafety.once) this.abortLater();
  }
}
