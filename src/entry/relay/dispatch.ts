/** Lets requests wait for a backend server, and refuses them when none will be there in time. */
import type { Clock } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import { choose } from '../../decisions/engine-choice/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import {
  byUrgency,
  ExpectedReturns,
  giveUpAtMs,
  retryAfterMs,
  type Waiter,
} from '../../decisions/wait-list/index.js';
import type { FleetView, Run } from './fleet-view.js';
import type { FollowerTask } from './follower.js';
import type { RelayMessageOf } from './messages.js';

export type Placement =
  | { readonly run: Run; readonly retryAfterMs: null }
  | { readonly run: null; readonly retryAfterMs: number };

interface Waiting {
  readonly waiter: Waiter;
  readonly tried: ReadonlySet<string>;
  settle(placement: Placement): void;
}

/** Waiting requests are looked at again this often, ms. */
const TICK_MS = 25;

export interface DispatchOptions {
  readonly dataCentre: string;
  readonly follower: FollowerTask;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly random: Random;
  /** Called when something new waits. */
  onWait(): void;
}

export class Dispatcher {
  private readonly waiting = new Map<string, Waiting>();

  private readonly returns = new ExpectedReturns();

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly opts: DispatchOptions) {}

  start(): void {
    this.timer = setInterval(() => this.pump(), TICK_MS);
  }

  stop(): void {
    if (this.timer !== null) clearInterval(this.timer);
  }

  /** Resolves with a server to send the request to, or with a refusal. */
  place(waiter: Waiter, tried: ReadonlySet<string>): Promise<Placement> {
    const run = this.tryPlace(waiter, tried);
    if (run !== null) return Promise.resolve({ run, retryAfterMs: null });
    return new Promise((resolve) => {
      this.waiting.set(waiter.id, { waiter, tried, settle: resolve });
      this.opts.onWait();
    });
  }

  /** Forgets a request whose caller is gone. */
  cancel(id: string): void {
    const entry = this.waiting.get(id);
    this.waiting.delete(id);
    entry?.settle({ run: null, retryAfterMs: 0 });
  }

  /** Serves whoever can be served now, the most urgent first. */
  pump(): void {
    if (this.waiting.size === 0) return;
    const nowMs = this.opts.clock.steadyMs();
    const inOrder = [...this.waiting.values()].sort((a, b) => byUrgency(a.waiter, b.waiter));
    inOrder.forEach((entry) => this.advance(nowMs, entry));
  }

  /** What waits or is expected back, by what it needs. */
  waits(): RelayMessageOf<'report'>['waits'] {
    const nowMs = this.opts.clock.steadyMs();
    const waiting = [...this.waiting.values()].map(({ waiter }) => ({
      ...waiter,
      dueAtMs: waiter.objectiveAtMs,
    }));
    const expected = this.returns.all(nowMs).map((one) => ({ ...one, dueAtMs: one.atMs }));
    const groups = new Map<string, RelayMessageOf<'report'>['waits'][number]>();
    [...waiting, ...expected].forEach(({ service, model, adapter, dueAtMs }) => {
      if (model === null) return;
      const key = JSON.stringify([service, model, adapter]);
      const before = groups.get(key);
      groups.set(key, {
        service,
        model,
        adapter,
        waiting: (before?.waiting ?? 0) + 1,
        dueInMs: Math.min(before?.dueInMs ?? Infinity, dueAtMs - nowMs),
      });
    });
    return [...groups.values()];
  }

  private advance(nowMs: number, { waiter, tried, settle }: Waiting): void {
    const run = this.tryPlace(waiter, tried);
    if (run !== null) {
      this.waiting.delete(waiter.id);
      settle({ run, retryAfterMs: null });
      return;
    }
    const readyAtMs = this.opts.view.readyAtMs(waiter);
    const isHeld = this.opts.view.isHeld(waiter);
    if (nowMs < giveUpAtMs(waiter, { readyAtMs, isHeld })) return;
    this.waiting.delete(waiter.id);
    const { service, model, adapter } = waiter;
    if (readyAtMs !== null && !isHeld) {
      this.returns.note({ service, model, adapter, atMs: readyAtMs });
    }
    settle({ run: null, retryAfterMs: retryAfterMs(nowMs, readyAtMs) });
  }

  private tryPlace(waiter: Waiter, tried: ReadonlySet<string>): Run | null {
    const { dataCentre, follower, random, view } = this.opts;
    const candidates = view.candidates(waiter);
    const chosen = choose(candidates, { dataCentre, tried, random });
    const server: BackendServer | undefined =
      chosen === null ? undefined : follower.backends.get(chosen.id);
    if (server === undefined) return null;
    const { service, model, adapter } = waiter;
    const run = { server, service, model, adapter };
    view.started(run);
    return run;
  }
}
