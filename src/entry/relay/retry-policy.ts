/** Decides whether a request that failed at one backend server is retried at another. */
import { RetrySafety } from '../../decisions/fleet-plan/index.js';
import { shouldReplaceAttempt, MAX_UNEXECUTED_ATTEMPTS } from '../../decisions/retries/index.js';
import type { RequestIdentity } from '../../decisions/suspects/index.js';
import type { QueuedRequest } from '../../decisions/wait-list/index.js';
import type { IdlePolicy } from './idle-detector.js';
import type { RelayContext } from './context.js';
import type { Run } from './fleet-view.js';
import type { RoutedRequest } from './routed-request.js';

/** Minimum idle time before the request of an attempt is sent to another server as well, ms. */
const MIN_IDLE_MS = 700;
/** Minimum idle time, as a multiple of the latency objective, which is then already missed. */
const MIN_IDLE_OBJECTIVES = 2;

/** Attempts that a partition may cut off without counting as attempts of the route. */
const MAX_CUT_OFF_ATTEMPTS = 2;

export class RetryPolicy {
  /** Ids of servers to which the request is not sent again. */
  readonly tried = new Set<string>();

  /** Ids of servers that refused an attempt of the request. */
  readonly refusedBy = new Set<string>();

  private notExecutedCount = 0;

  private cutOffCount = 0;

  /** Whether a retry that no server has received is charged to the retry budget. */
  private isCharged = false;

  constructor(
    private readonly ctx: RelayContext,
    private readonly request: RoutedRequest,
    private readonly queuedRequest: QueuedRequest,
    private readonly deadlineAtMs: number,
    private readonly identity: RequestIdentity,
  ) {}

  /**
   * Whether the request is placed again after a server did not execute it. Charges the retry budget
   * if the server was reached.
   * @param isExcluded Whether this server gets no further attempt of the request.
   */
  allowRetryAfterNotExecuted(
    nowMs: number,
    run: Run,
    reached: boolean,
    isExcluded: boolean,
  ): boolean {
    this.noteNotExecuted(run, reached, isExcluded);
    if (this.notExecutedCount >= MAX_UNEXECUTED_ATTEMPTS) return false;
    return !reached || this.charge(nowMs);
  }

  /** Notes an attempt that was not executed; see `allowRetryAfterNotExecuted`. */
  noteNotExecuted(run: Run, reached: boolean, isExcluded: boolean): void {
    this.notExecutedCount += 1;
    if (reached) {
      this.refusedBy.add(run.server.id);
      this.isCharged = false;
    }
    if (isExcluded) this.tried.add(run.server.id);
  }

  /**
   * Notes an attempt that may have run.
   * @param isReached Whether this VM reached the servers at its end; see `noteEnd`.
   */
  noteRun(run: Run, isReached = true): void {
    this.noteEnd(run, isReached);
    this.isCharged = false;
  }

  /**
   * Whether a request that may have run is retried. Charges the retry budget.
   * @param isReached Whether this VM reached the servers at the end of the attempt; see `noteEnd`.
   */
  allowRetryAfterRun(nowMs: number, run: Run, isReached = true): boolean {
    this.noteEnd(run, isReached);
    const isAllowed = this.mayRetry(Math.max(1, this.tried.size));
    return (
      isAllowed &&
      nowMs < this.deadlineAtMs &&
      !this.ctx.incidents.isRefused(this.identity) &&
      this.chargeOnce(nowMs)
    );
  }

  /**
   * When to call `replace` for an idle attempt; null if the request may not be retried elsewhere. The
   * attempt itself goes on, as its server may.
   */
  idlePolicy(run: Run, replace: (idleMs: number) => void): IdlePolicy | null {
    if (!this.mayRetryElsewhere(run)) return null;
    const { objectiveMs } = this.request.route;
    return {
      afterMs: Math.max(MIN_IDLE_MS, objectiveMs * MIN_IDLE_OBJECTIVES),
      shouldAbandon: (idleMs) => {
        replace(idleMs);
        return false;
      },
    };
  }

  /**
   * Notes the server of an attempt that has ended. One that a partition of this VM has cut off says
   * nothing about its server, which may go on with the request over a peer.
   */
  private noteEnd(run: Run, isReached: boolean): void {
    if (!isReached) this.cutOffCount += 1;
    if (isReached || this.cutOffCount > MAX_CUT_OFF_ATTEMPTS) this.tried.add(run.server.id);
  }

  /** Whether the route allows the request to run at one more server after this one. */
  private mayRetryElsewhere(run: Run): boolean {
    return this.mayRetry(new Set([...this.tried, run.server.id]).size);
  }

  /** Whether the route allows the request to run at one more server after so many. */
  private mayRetry(serverCount: number): boolean {
    const { route } = this.request;
    const isRetrySafe =
      route.retrySafety === RetrySafety.idempotent ||
      (route.retrySafety === RetrySafety.stream && route.resumable);
    return isRetrySafe && serverCount < route.attempts;
  }

  /**
   * Places an idle request at another server as well, if that is worthwhile, and charges the retry
   * budget; null if not.
   */
  replaceIdle(run: Run, idleMs: number): Run | null {
    const { ctx, queuedRequest } = this;
    const nowMs = ctx.clock.steadyMs();
    const isOver = this.notExecutedCount >= MAX_UNEXECUTED_ATTEMPTS || nowMs >= this.deadlineAtMs;
    if (isOver || !this.mayRetryElsewhere(run)) return null;
    const tried = new Set([...this.tried, run.server.id]);
    const others = ctx.view.candidates(queuedRequest).filter(({ id }) => !tried.has(id));
    const isWorthwhile = shouldReplaceAttempt({
      requestIdleMs: idleMs,
      serverIdleMs: nowMs - ctx.view.health.lastReceivedAtMs(run.server.id),
      callerTimeoutMs: queuedRequest.deadlineAtMs - queuedRequest.arrivedAtMs,
      utilisationElsewhere: Math.min(1, ...others.map(({ running, slots }) => running / slots)),
    });
    if (!isWorthwhile || ctx.incidents.isRefused(this.identity)) return null;
    this.isCharged ||= this.charge(nowMs);
    return this.isCharged ? ctx.dispatcher.placeNow(queuedRequest, tried, false) : null;
  }

  /** Charges a retry, unless one was charged that no server has received. */
  private chargeOnce(nowMs: number): boolean {
    const { isCharged: wasCharged } = this;
    this.isCharged = false;
    return wasCharged || this.charge(nowMs);
  }

  /** Charges one retry to the service's budget; false if the budget is used up. */
  private charge(nowMs: number): boolean {
    const { service } = this.request;
    const isAllowed = this.ctx.retries.spend(nowMs, service);
    const outcome = isAllowed ? 'allowed' : 'beyond-bound';
    this.ctx.metrics.count('relay_retries_total', { service, outcome });
    return isAllowed;
  }
}
