/** Follows the operator's plan and the list of backend servers in the platform's store. */
import type { Channel } from '../../core/channels/index.js';
import * as clocks from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Task } from '../../core/supervisor/index.js';
import { BackendList } from '../../decisions/backend-list/index.js';
import type { BackendServer, FleetPlan } from '../../decisions/fleet-plan/index.js';
import {
  type FeedAnswer,
  type FeedEvent,
  FeedOutcome,
  type PlatformWire,
  type RelayStore,
} from './types.js';

/** How long one watch waits, ms: its end confirms that nothing changed. */
const WATCH_MS = 1_500;
/** Pause after a change, ms: more of them often follow, and every call is priced. */
const SETTLE_MS = 300;
/** Pause after a call that failed, ms. */
const RETRY_MS = 150;
/** A store that did not answer for this long was in an outage, ms. */
const OUTAGE_MS = 1_000;

/** Sent when the plan or the list of backend servers has changed. */
export interface FleetChange {
  readonly plan: boolean;
  readonly backends: boolean;
}

export interface FollowerOptions {
  readonly wire: PlatformWire;
  readonly store: RelayStore;
  readonly clock: clocks.Clock;
  readonly logger: Logger;
  readonly changed: Channel<FleetChange>;
}

/** Follows one kind: lists it, then watches from there. */
class KindFollower {
  private revision: number | null = null;

  /** When the call was sent that confirmed what is believed. */
  confirmedAtMs = -Infinity;

  private stopped = false;

  constructor(
    private readonly kind: string,
    private readonly opts: FollowerOptions,
    private readonly take: (items: readonly FeedEvent[], whole: boolean) => void,
    private readonly noteOutage: () => void,
  ) {}

  async run(): Promise<void> {
    while (!this.stopped) {
      const sentAtMs = this.opts.clock.nowMs();
      const pauseMs = await this.step(sentAtMs);
      if (pauseMs > 0 && !this.stopped) await clocks.sleep(pauseMs);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  /** Asks beside the watch that waits, since what is believed may be older than it seems. */
  async confirm(): Promise<void> {
    const since = this.revision;
    if (since === null || this.stopped) return;
    const sentAtMs = this.opts.clock.nowMs();
    const answer = await this.opts.store.changes(this.kind, since, 0);
    if (answer.type !== FeedOutcome.ok || this.stopped) return;
    this.take(answer.items, false);
    this.confirmedAtMs = Math.max(this.confirmedAtMs, sentAtMs);
  }

  /** One call; resolves with the pause before the next one, ms. */
  private async step(sentAtMs: number): Promise<number> {
    const { store } = this.opts;
    const since = this.revision;
    const answer: FeedAnswer<FeedEvent> =
      since === null
        ? await this.list()
        : await store.changes(this.kind, since, this.isLate(sentAtMs) ? 0 : WATCH_MS);
    if (this.stopped) return 0;
    if (answer.type === FeedOutcome.historyGone) {
      this.revision = null;
      return 0;
    }
    if (answer.type === FeedOutcome.failed) {
      this.opts.logger.debug('store-call-failed', { kind: this.kind, reason: answer.reason });
      return RETRY_MS;
    }
    if (sentAtMs - this.confirmedAtMs > OUTAGE_MS + WATCH_MS) this.noteOutage();
    this.revision = Math.max(this.revision ?? 0, answer.revision);
    this.take(answer.items, since === null);
    this.confirmedAtMs = Math.max(this.confirmedAtMs, sentAtMs);
    return answer.items.length > 0 && since !== null ? SETTLE_MS : 0;
  }

  /** After a failed call the next one does not wait, so that it confirms soon. */
  private isLate(nowMs: number): boolean {
    return nowMs - this.confirmedAtMs > WATCH_MS * 1.5;
  }

  private async list(): Promise<FeedAnswer<FeedEvent>> {
    const answer = await this.opts.store.list(this.kind);
    if (answer.type !== FeedOutcome.ok) return answer;
    return { ...answer, items: answer.items.map((item) => ({ ...item, deleted: false })) };
  }
}

export class FollowerTask implements Task {
  readonly name = 'follower';

  private currentPlan: FleetPlan | null = null;

  private planRevision = 0;

  private readonly list = new BackendList();

  private readonly planFollower: KindFollower;

  private readonly backendFollower: KindFollower;

  private settleTimer: NodeJS.Timeout | null = null;

  constructor(private readonly opts: FollowerOptions) {
    const { wire } = opts;
    this.planFollower = new KindFollower(
      wire.planKind,
      opts,
      (items) => this.takePlan(items),
      () => undefined,
    );
    this.backendFollower = new KindFollower(
      wire.backendKind,
      opts,
      (items, whole) => this.takeBackends(items, whole),
      () => this.list.noteOutage(opts.clock.nowMs()),
    );
  }

  get plan(): FleetPlan | null {
    return this.currentPlan;
  }

  get backends(): ReadonlyMap<string, BackendServer> {
    return this.list.servers;
  }

  /** Age of what is believed of the plan, ms. */
  planAgeMs(): number {
    return this.opts.clock.nowMs() - this.planFollower.confirmedAtMs;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    this.planFollower.run().catch(fail);
    this.backendFollower.run().catch(fail);
    this.opts.clock.onJump((jumpMs) => {
      this.opts.logger.warn('clock-jumped', { jumpMs });
      [this.planFollower, this.backendFollower].forEach((follower) => {
        follower.confirm().catch(fail);
      });
    });
    this.settleTimer = setInterval(() => this.settle(), 200);
  }

  async stop(): Promise<void> {
    this.planFollower.stop();
    this.backendFollower.stop();
    if (this.settleTimer !== null) clearInterval(this.settleTimer);
  }

  private takePlan(items: readonly FeedEvent[]): void {
    const newest = items
      .filter(({ name, deleted }) => name === this.opts.wire.planName && !deleted)
      .sort((a, b) => a.revision - b.revision)
      .at(-1);
    if (newest === undefined || newest.revision <= this.planRevision) return;
    this.planRevision = newest.revision;
    const plan = this.opts.wire.decodePlan(newest.value);
    if (plan === null) {
      this.opts.logger.error('plan-unreadable', { revision: newest.revision });
      return;
    }
    if (this.currentPlan !== null && plan.version < this.currentPlan.version) {
      this.opts.logger.warn('plan-older', { version: plan.version });
      return;
    }
    this.currentPlan = plan;
    this.opts.logger.info('plan-changed', {
      version: plan.version,
      limits: [...plan.customers.values()].map(
        ({ name, ratePerS, burst }) => `${name} ${ratePerS}/${burst}`,
      ),
    });
    this.opts.changed.send({ plan: true, backends: false });
  }

  private takeBackends(items: readonly FeedEvent[], whole: boolean): void {
    const nowMs = this.opts.clock.nowMs();
    const decoded = items.map((item) => ({
      id: item.name,
      revision: item.revision,
      server: item.deleted ? null : this.opts.wire.decodeBackend(item.name, item.value),
      deleted: item.deleted,
    }));
    if (this.list.take(nowMs, decoded, whole)) {
      this.opts.changed.send({ plan: false, backends: true });
    }
  }

  private settle(): void {
    if (this.list.settle(this.opts.clock.nowMs())) {
      this.opts.changed.send({ plan: false, backends: true });
    }
  }
}
