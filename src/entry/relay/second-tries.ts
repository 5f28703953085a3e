/** Whether a request that failed at one backend server may go to another. */
import { RepeatRule } from '../../decisions/fleet-plan/index.js';
import { leavesSilentServer, MOST_NOT_RUN } from '../../decisions/retries/index.js';
import type { RequestIdentity } from '../../decisions/suspects/index.js';
import type { Waiter } from '../../decisions/wait-list/index.js';
import type { SilenceRule } from './attempt.js';
import type { RelayContext } from './context.js';
import type { Run } from './fleet-view.js';
import type { ReadRequest } from './read-request.js';

/** Silence of a server after which a repeatable request may be tried elsewhere, at least, ms. */
const LEAST_SILENCE_MS = 700;
/** The same in objectives: by then the objective is missed. */
const SILENCE_OBJECTIVES = 2;

export class SecondTries {
  /** Servers that are not asked again. */
  readonly tried = new Set<string>();

  private notRuns = 0;

  /** A retry was taken from the bound when the silent server was left. */
  private isPaid = false;

  constructor(
    private readonly ctx: RelayContext,
    private readonly request: ReadRequest,
    private readonly waiter: Waiter,
    private readonly deadlineAtMs: number,
    private readonly identity: RequestIdentity,
  ) {}

  /** Whether the request is placed again after a server did not run it. */
  takeNotRun(nowMs: number, run: Run, reached: boolean, staysFull: boolean): boolean {
    this.notRuns += 1;
    if (staysFull) this.tried.add(run.server.id);
    if (this.notRuns >= MOST_NOT_RUN) return false;
    return !reached || this.spend(nowMs);
  }

  /** Whether the request is sent to another server although it may have run at this one. */
  takeRun(nowMs: number, run: Run): boolean {
    const goesElsewhere = this.mayGoElsewhere(run);
    this.tried.add(run.server.id);
    return (
      goesElsewhere &&
      nowMs < this.deadlineAtMs &&
      !this.ctx.incidents.isRefused(this.identity) &&
      this.pay(nowMs)
    );
  }

  /** What to do when the server is silent; null where the request may not go elsewhere. */
  silenceRule(run: Run): SilenceRule | null {
    if (!this.mayGoElsewhere(run)) return null;
    const { objectiveMs } = this.request.route;
    return {
      afterMs: Math.max(LEAST_SILENCE_MS, objectiveMs * SILENCE_OBJECTIVES),
      leaves: (silentMs) => this.leavesSilent(run, silentMs),
    };
  }

  /** Whether the route lets the request run at one more server after this one. */
  private mayGoElsewhere(run: Run): boolean {
    const { route } = this.request;
    const repeatable =
      route.repeat === RepeatRule.idempotent ||
      (route.repeat === RepeatRule.stream && route.resumable);
    const used = new Set([...this.tried, run.server.id]).size;
    return repeatable && used < route.attempts;
  }

  /** Whether to leave a silent server; takes the retry that this costs. */
  private leavesSilent(run: Run, silentMs: number): boolean {
    const { ctx, waiter } = this;
    const nowMs = ctx.clock.steadyMs();
    const others = ctx.view
      .candidates(waiter)
      .filter(({ id }) => id !== run.server.id && !this.tried.has(id));
    const leaves = leavesSilentServer({
      requestMs: silentMs,
      serverMs: nowMs - ctx.view.health.heardAtMs(run.server.id),
      patienceMs: waiter.deadlineAtMs - waiter.arrivedAtMs,
      fillElsewhere: Math.min(1, ...others.map(({ running, slots }) => running / slots)),
    });
    if (!leaves || !this.spend(nowMs)) return false;
    this.isPaid = true;
    return true;
  }

  private pay(nowMs: number): boolean {
    const { isPaid } = this;
    this.isPaid = false;
    return isPaid || this.spend(nowMs);
  }

  /** Takes one retry from the bound, if it leaves any. */
  private spend(nowMs: number): boolean {
    const { service } = this.request;
    const isAllowed = this.ctx.retries.spend(nowMs, service);
    const outcome = isAllowed ? 'allowed' : 'beyond-bound';
    this.ctx.metrics.count('relay_retries_total', { service, outcome });
    return isAllowed;
  }
}
