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
  RelayedEnd,
  headOf,
  isSuccess,
  send,
} from './attempt.js';
import { AttemptRace, type FinishedAttempt, RunningAttempt, Superseded } from './attempt-race.js';
import type { RelayContext } from './context.js';
import { EventSplitter } from './event-stream.js';
import { sizeOf, usualFirstByteMs } from './first-tokens.js';
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
/**
 * Time for which a stream sends events until its prompt counts as sound, ms. A server may crash
 * shortly after the first event.
 */
const SOUND_STREAM_MS = 250;
/** Weight of an error response in the server's health; a broken attempt has a weight of 1. */
const ERROR_RESPONSE_WEIGHT = 0.25;

/** The queue entry of a request: what it needs, its priority and its deadlines. */
function createQueuedRequest(request: RoutedRequest, deadlineAtMs: number): QueuedRequest {
  const { metadata, route, service, customer, dataCentres, arrivedAtMs } = request;
  return {
    id: `${metadata.id} ${arrivedAtMs}`,
    service,
    model: metadata.model,
    adapter: metadata.adapter,
    version: null,
    ...(dataCentres == null ? {} : { dataCentres }),
    isInterrupted: false,
    priority: customer?.priority ?? route.priority,
    arrivedAtMs,
    objectiveAtMs: arrivedAtMs + route.objectiveMs,
    deadlineAtMs: Math.min(deadlineAtMs, arrivedAtMs + route.callerTimeoutMs),
    ...sizeOf(request),
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

type Broken = Extract<AttemptResult, { type: typeof AttemptEnd.broken }>;
type NotRun = Extract<AttemptResult, { type: typeof AttemptEnd.notRun }>;

export class Exchange {
  private readonly attempts: AttemptRace;

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

  /** When the last event of a stream was passed on; null before the first. */
  private lastEventAtMs: number | null = null;

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
    this.attempts = new AttemptRace({
      send: (attempt) => this.send(attempt),
      isUsable: (result) => this.isUsable(result),
      onUnused: (finished) => this.recordUnused(finished),
    });
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

  /** Receives the event stream of an attempt. */
  private sinkOf(attempt: RunningAttempt): StreamSink {
    return {
      begin: (res) => {
        this.begin(attempt, res);
        return true;
      },
      write: (bytes) => this.write(attempt, bytes),
      isComplete: () => this.splitter.partialBytes === 0,
      heldBytes: () => this.splitter.heldBytes + this.request.res.writableLength,
      isBlocked: () => !this.ended && this.request.res.writableNeedDrain,
      onWritable: (handler) => {
        this.request.res.once(
          'drain',
          contain(handler, (err) => this.abort(err)),
        );
      },
    };
  }

  private begin(attempt: RunningAttempt, res: http.IncomingMessage): void {
    if (this.attempts.noteResponse(attempt)) this.logResumption(attempt.run);
    this.recordFirstByte(attempt);
    if (this.ended) return;
    if (this.streaming) {
      this.splitter.discardPartialEvent();
      return;
    }
    this.streaming = true;
    this.writeHead({ ...headOf(res), contentLength: null });
    this.request.res.flushHeaders();
  }

  private write(attempt: RunningAttempt, bytes: Buffer): WriteResult {
    const split = this.splitter.push(bytes);
    // The stream goes on after the last event in order, also if a wrong one came with it.
    if (split.bytes.length > 0) this.writeEvents(attempt, split.bytes);
    if (!split.isInOrder) return WriteResult.refused;
    return split.bytes.length > 0 ? WriteResult.event : WriteResult.part;
  }

  private writeEvents(attempt: RunningAttempt, bytes: Buffer): void {
    const nowMs = this.ctx.clock.steadyMs();
    this.attempts.noteResponse(attempt);
    this.noteEvent(nowMs, attempt);
    this.ctx.view.health.noteDataReceived(nowMs, attempt.run.server.id);
    if (!this.ended) this.request.res.write(bytes);
  }

  private noteEvent(nowMs: number, attempt: RunningAttempt): void {
    const { progress } = attempt;
    const wasSound = progress.isSound;
    if (progress.firstEventAtMs === null) this.noteBegun(attempt);
    this.lastEventAtMs = nowMs;
    attempt.noteEvent(nowMs, SOUND_STREAM_MS);
    if (progress.isSound && !wasSound) this.ctx.incidents.noteSound(this.identity);
  }

  /** Binds the stream to the version of the server that has sent an event of it. */
  private noteBegun(attempt: RunningAttempt): void {
    const { metadata } = this.request;
    const { server } = attempt.run;
    const isResumed = this.lastEventAtMs !== null || this.isTakeUp;
    if (!isResumed) this.ctx.firstTokens.noteFirstToken(attempt);
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
      priority: this.queuedRequest.priority,
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
      if (!this.handleResult(await this.attempt(placement.run))) return;
    }
    if (!this.mayHaveRun) this.refund();
  }

  /** A stream that broke off waits for a server as long as its caller waits for the next event. */
  private renewWait(): void {
    const { lastEventAtMs, deadlineAtMs } = this;
    if (lastEventAtMs === null) return;
    const times = timesAfterEvent(lastEventAtMs, this.request.route, deadlineAtMs);
    Object.assign(this.queuedRequest, { ...times, isInterrupted: true });
  }

  /** Logs a wait that may have caused the request to miss its latency objective. */
  private logWait(run: Run): void {
    const { arrivedAtMs, metadata, route } = this.request;
    const waitedMs = this.ctx.clock.steadyMs() - arrivedAtMs;
    if (waitedMs < route.objectiveMs * LOGGED_WAIT_FRACTION) return;
    const { model, adapter } = metadata;
    this.ctx.log('waited', metadata.id, { server: run.server.id, model, adapter, waitedMs });
  }

  private attempt(run: Run): Promise<FinishedAttempt> {
    this.isProbe = false;
    this.logResumption(run);
    return this.attempts.run(new RunningAttempt(run, this.ctx.clock.steadyMs()));
  }

  /** Sends the request of an idle attempt to another server as well, if that is worthwhile. */
  private replaceIdle(attempt: RunningAttempt, idleMs: number): void {
    if (this.ended || !this.attempts.mayReplace(attempt)) return;
    if (!this.ctx.hasFreshKeys(this.request.customer)) return;
    const run = this.retryPolicy.replaceIdle(attempt.run, idleMs);
    if (run === null) return;
    const { id } = this.request.metadata;
    const idle = attempt.run.server.id;
    this.ctx.log('sent-elsewhere', id, { server: run.server.id, idle, idleMs: Math.round(idleMs) });
    this.attempts.replaceBy(new RunningAttempt(run, this.ctx.clock.steadyMs()));
  }

  private async send(attempt: RunningAttempt): Promise<AttemptResult> {
    const { run } = attempt;
    let result: AttemptResult;
    this.ctx.throttling.noteSent(run.server);
    try {
      result = await this.sendTo(attempt);
    } finally {
      this.ctx.view.ended(run);
      this.ctx.dispatcher.schedulePlacement();
    }
    if (this.isUsable(result)) this.ctx.firstTokens.noteRun(attempt);
    await this.learnCause(attempt, result);
    return result;
  }

  private noteNotReached({ server }: Run, startedAtMs: number): void {
    const { view, reachability, clock } = this.ctx;
    view.health.noteConnectFailure(clock.steadyMs(), server.id, startedAtMs);
    reachability.noteConnectFailure(server, startedAtMs);
  }

  /** Learns from the end of an attempt whether this VM, or its peer, reaches the servers. */
  private async learnCause(attempt: RunningAttempt, result: AttemptResult): Promise<void> {
    const { run, sentAtMs, superseded } = attempt;
    const isUnreached = result.type === AttemptEnd.notRun && !result.reached;
    // An attempt that was ended by this side or by its caller is no evidence against the server.
    if (isUnreached && superseded === null && !this.ended) this.noteNotReached(run, sentAtMs);
    if (result.type !== AttemptEnd.broken || superseded === Superseded.spare) return;
    // The request may end meanwhile, by its deadline for example.
    this.mayHaveRun = true;
    const { relayedEnd } = result;
    const isReached =
      relayedEnd === undefined
        ? await this.ctx.reachability.isReached(this.request.service)
        : relayedEnd === RelayedEnd.server;
    attempt.noteReached(isReached);
  }

  private sendTo(attempt: RunningAttempt): Promise<AttemptResult> {
    const { run, sentAtMs: nowMs } = attempt;
    const resumeAfter =
      this.streaming && this.splitter.lastId !== null ? String(this.splitter.lastId) : null;
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
        ways: this.ctx.peers.waysTo(run.server, this.request.dataCentres),
        run,
        signal: attempt.signal,
        idlePolicy: this.retryPolicy.idlePolicy(run, (idleMs) => this.replaceIdle(attempt, idleMs)),
        wasRefused: this.retryPolicy.refusedBy.has(run.server.id),
        memory: this.ctx.memory,
        turns: this.ctx.turns,
        onException: (err) => this.ctx.reportException(metadata.id, err),
        onHead: (head, status) => {
          attempt.noteHead(this.ctx.clock.steadyMs());
          this.ctx.throttling.noteResponse(run.server, head, status, nowMs);
          if (head.leaving) this.ctx.noteLeaving(run.server);
          if (status === 503 && head.retryAfterMs !== null) {
            this.ctx.view.notePause(run.server, head.retryAfterMs);
          }
        },
      },
      route.retrySafety === RetrySafety.stream ? this.sinkOf(attempt) : null,
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

  /** Whether a result serves the caller although another attempt is in progress. */
  private isUsable(result: AttemptResult): boolean {
    if (result.type !== AttemptEnd.answered) return result.type === AttemptEnd.streamed;
    return !this.streaming && result.response.status < 500;
  }

  /** Handles the result of an attempt; true if the request is to be placed again. */
  private handleResult({ attempt, result }: FinishedAttempt): boolean {
    const nowMs = this.ctx.clock.steadyMs();
    switch (result.type) {
      case AttemptEnd.streamed:
        this.mayHaveRun = true;
        this.ctx.incidents.noteCompleted(this.identity);
        this.finishStream();
        return false;
      case AttemptEnd.answered:
        return this.handleResponse(nowMs, attempt.run, result);
      case AttemptEnd.notRun:
        return this.handleNotExecuted(nowMs, attempt.run, result);
      default:
        return this.handleBroken(nowMs, attempt, result);
    }
  }

  /** Records the result of an attempt that does not decide on the request. */
  private recordUnused({ attempt, result }: FinishedAttempt): void {
    const nowMs = this.ctx.clock.steadyMs();
    const { run } = attempt;
    switch (result.type) {
      case AttemptEnd.streamed:
        break;
      case AttemptEnd.answered:
        this.recordResponse(nowMs, run, result.response);
        result.held.release();
        break;
      case AttemptEnd.notRun:
        // An attempt that was aborted while it connected tells nothing of its server.
        if (attempt.superseded !== null && !result.reached) return;
        this.recordNotExecuted(run, result);
        this.retryPolicy.noteNotExecuted(run, result.reached, this.isExcludedAfter(run, result));
        return;
      default:
        this.recordBroken(nowMs, attempt, result);
    }
    this.retryPolicy.noteRun(run, attempt.isReached);
  }

  /** Delivers a response, or retries; true if the request is to be placed again. */
  private handleResponse(nowMs: number, run: Run, { response, held }: Answered): boolean {
    const isRetried = this.retryOrCut(nowMs, run, response);
    if (isRetried || this.ended) held.release();
    else this.deliver(response, held);
    return isRetried;
  }

  private recordResponse(nowMs: number, run: Run, { status }: BackendResponse): void {
    this.mayHaveRun = true;
    if (isSuccess(status)) this.ctx.incidents.noteCompleted(this.identity);
    if (status < 500) this.ctx.view.health.noteAnswer(nowMs, run.server.id, null);
    else if (!this.ended && !this.streaming) {
      this.ctx.view.health.noteFailure(nowMs, run.server.id, ERROR_RESPONSE_WEIGHT);
    }
  }

  /** Records what a response tells; true if the request is retried. Cuts a stream that can't go on. */
  private retryOrCut(nowMs: number, run: Run, response: BackendResponse): boolean {
    this.recordResponse(nowMs, run, response);
    if (this.ended) return false;
    const isRetriable = response.status >= 500 && !this.streaming;
    if (isRetriable && this.retryPolicy.allowRetryAfterRun(nowMs, run)) return true;
    if (this.streaming) this.cut('backend server responded to the resume request with an error');
    return false;
  }

  private recordNotExecuted(run: Run, { reached, reason }: NotRun): void {
    this.ctx.log('not-run', this.request.metadata.id, { server: run.server.id, reason });
    if (reached) this.ctx.view.noteNotLoaded(run);
  }

  /**
   * A server may be tried again if it responds with 421 or its service has models, because it may load
   * the model soon. Any other server is full or unreachable, and is not tried again.
   */
  private isExcludedAfter(run: Run, { status }: NotRun): boolean {
    return status !== 421 && run.model === null;
  }

  private handleNotExecuted(nowMs: number, run: Run, result: NotRun): boolean {
    this.recordNotExecuted(run, result);
    if (this.ended) return false;
    const isRetried = this.retryPolicy.allowRetryAfterNotExecuted(
      nowMs,
      run,
      result.reached,
      this.isExcludedAfter(run, result),
    );
    if (!isRetried) this.reject(null);
    return isRetried;
  }

  private recordBroken(nowMs: number, attempt: RunningAttempt, result: Broken): void {
    this.mayHaveRun = true;
    const { run, progress, superseded } = attempt;
    const { headAtMs, firstEventAtMs } = progress;
    const ageOf = (atMs: number | null) => (atMs === null ? null : Math.round(nowMs - atMs));
    this.ctx.log('broken', this.request.metadata.id, {
      server: run.server.id,
      reason: result.reason,
      fingerprint: shortFingerprint(this.identity.broad),
      callerWaits: !this.ended,
      superseded,
      segments: this.request.metadata.promptSegments.slice(0, -1),
      headAgeMs: ageOf(headAtMs),
      firstEventAgeMs: ageOf(firstEventAtMs),
      isReached: attempt.isReached,
    });
    if (superseded === Superseded.spare) return;
    // Also recorded after the caller has disconnected: the request may still crash the server that
    // began to run it.
    const reached = this.runProgress(nowMs, attempt, result.connectionLost);
    if (attempt.isReached) this.ctx.incidents.noteCutOff(this.identity, run, reached);
    else void this.noteCutOffLater(run, reached);
    const isFailure = superseded === Superseded.silent || !(this.ended || this.isWithdrawn);
    if (isFailure && attempt.isReached) this.ctx.view.health.noteFailure(nowMs, run.server.id);
  }

  private handleBroken(nowMs: number, attempt: RunningAttempt, result: Broken): boolean {
    this.recordBroken(nowMs, attempt, result);
    if (this.ended) return false;
    if (this.retryPolicy.allowRetryAfterRun(nowMs, attempt.run, attempt.isReached)) return true;
    if (this.streaming) this.cut(result.reason);
    else this.fail(errors.data.BackendFailed, result.reason);
    return false;
  }

  /** Records a run that was cut off during a partition if its server has ended meanwhile. */
  private async noteCutOffLater(run: Run, progress: RunProgress | null): Promise<void> {
    const isAlive = await this.ctx.reachability.outlives(run.server);
    if (!isAlive) this.ctx.incidents.noteCutOff(this.identity, run, progress);
  }

  /** How far an interrupted run had come; null if its response shows that the prompt is sound. */
  private runProgress(
    nowMs: number,
    { progress }: RunningAttempt,
    connectionLost: boolean,
  ): RunProgress | null {
    const { headAtMs, firstEventAtMs, isSound } = progress;
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
    const { name: route } = this.request.route;
    this.ctx.log('cut', this.request.metadata.id, { reason, route, model, adapter, version });
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
      begunBy: this.request.metadata.begunBy ?? undefined,
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
    else if (this.mayHaveRun || this.attempts.current !== null) this.fail(failure, reason);
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

  private recordFirstByte({ run, sentAtMs }: RunningAttempt): void {
    const nowMs = this.ctx.clock.steadyMs();
    const ratio = (nowMs - sentAtMs) / usualFirstByteMs(this.request.metadata);
    this.ctx.view.health.noteAnswer(nowMs, run.server.id, ratio);
    this.ctx.metrics.time('relay_first_byte', nowMs - this.request.arrivedAtMs, {
      customer: this.request.customer?.name ?? '',
    });
  }

  /** Called when a segment of the prompt is refused: the request is not run, or no longer. */
  private handleRefused(): void {
    if (this.ended || this.attempts.current?.progress.isSound === true) return;
    this.ctx.dispatcher.cancel(this.queuedRequest.id);
    // A request that may run only once is not aborted, so that its outcome is known.
    if (this.request.route.retrySafety === RetrySafety.once) return;
    this.isWithdrawn = true;
    this.attempts.abort();
  }

  /** Ends the request after an exception in one of its handlers; its caller gets an answer if it can. */
  private abort(err: unknown): void {
    this.ctx.reportException(this.request.metadata.id, err);
    const { res } = this.request;
    // An answer that is handed over is written out.
    if (!res.writableEnded)
      contain(
        () => this.answerAborted(),
        (again) => this.destroy(again),
      )();
    this.attempts.abort();
    this.ctx.dispatcher.cancel(this.queuedRequest.id);
  }

  private answerAborted(): void {
    const { BackendFailed, NoCapacity } = errors.data;
    if (!this.ended) {
      this.endUnserved('exception in a handler', NoCapacity, BackendFailed);
      return;
    }
    const failure = errors.createFailure(BackendFailed, 'relay', this.request.route.name);
    this.ctx.sendLocalResponse(this.request.res, this.request.metadata.id, failure, null);
  }

  private destroy(err: unknown): void {
    this.ctx.reportException(this.request.metadata.id, err);
    this.ended = true;
    this.request.res.destroy();
  }

  /** Called when the caller has disconnected or its response has been sent. */
  private handleClose(): void {
    if (this.ended) return;
    this.ended = true;
    this.ctx.dispatcher.cancel(this.queuedRequest.id);
    // A request that may run only once is not aborted, so that its outcome is known.
    if (this.request.route.retrySafety !== RetrySafety.once) this.attempts.abort();
  }

  /** Aborts the attempt in a later turn: the deadlines of many requests may pass at once. */
  private abortLater(): void {
    const abort = contain(
      () => this.attempts.abort(),
      (err) => this.abort(err),
    );
    this.ctx.turns.cleanUpLater(abort);
  }

  private handleTimeout(): void {
    if (this.request.route.retrySafety === RetrySafety.once) {
      this.timer = setTimeout(() => this.attempts.abort(), OUTCOME_WAIT_MS);
    }
    if (this.ended) return;
    this.ctx.dispatcher.cancel(this.queuedRequest.id);
    this.endUnserved('deadline exceeded', errors.data.NoCapacity, errors.data.TimedOut);
    if (this.request.route.retrySafety !== RetrySafety.once) this.abortLater();
  }
}
