/** Follows the operator's plan and the list of backend servers in the platform's store. */
import type { Channel } from '../../core/channels/index.js';
import * as clocks from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Task } from '../../core/supervisor/index.js';
import { BackendList } from '../../decisions/backend-list/index.js';
import type { BackendServer, FleetPlan } from '../../decisions/fleet-plan/index.js';
import type { ListedServer, RelayMessageOf } from './messages.js';
import {
  type FeedAnswer,
  type FeedEvent,
  FeedOutcome,
  type PlatformWire,
  type RelayStore,
} from './types.js';

/** How long one watch waits, ms: its end confirms that nothing changed. */
const WATCH_MS = 1_500;
/** The same at the steward, whose word confirms what all entry VMs believe, ms. */
const STEWARD_WATCH_MS = 400;
/** The steward's word is enough while it is no older than this, ms; it speaks every 400 ms. */
const RELAYED_MS = 1_300;
/** While the steward's word is enough, its age is looked at this often, ms. */
const RELAY_POLL_MS = 100;
/** Pause after a change, ms: more of them often follow, and every call is priced. */
const SETTLE_MS = 300;
/** Pause after a call that failed, ms, and the longest after several: refused calls are priced. */
const RETRY_MS = 150;
const MOST_RETRY_MS = 600;
/** Calls that fail in a row before the store counts as lost. */
const LOST_FROM = 2;
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
  /** Whether this entry VM is the steward, to whom the others listen. */
  isSteward(): boolean;
}

/** Where in the store's history a belief stands, and how old the call is that confirmed it. */
export interface Confirmed {
  readonly revision: number;
  readonly ageMs: number;
}

/** Follows one kind: lists it, then watches from there. */
class KindFollower {
  private revision: number | null = null;

  /** When the call was sent that confirmed what is believed. */
  confirmedAtMs = -Infinity;

  /** When what is believed was confirmed to another entry VM that passed it on. */
  private relayedAtMs = -Infinity;

  private failures = 0;

  private stopped = false;

  constructor(
    private readonly kind: string,
    private readonly opts: FollowerOptions,
    private readonly take: (items: readonly FeedEvent[], whole: boolean) => void,
    private readonly noteOutage: () => void,
  ) {}

  async run(): Promise<void> {
    while (!this.stopped) {
      const nowMs = this.opts.clock.nowMs();
      const pauseMs = this.isRelayed(nowMs) ? RELAY_POLL_MS : await this.step(nowMs);
      if (pauseMs > 0 && !this.stopped) await clocks.sleep(pauseMs);
    }
  }

  /** Where this belief stands, for others; null where nothing is known. */
  confirmed(): Confirmed | null {
    if (this.revision === null) return null;
    return { revision: this.revision, ageMs: this.opts.clock.nowMs() - this.confirmedAtMs };
  }

  /** Whether a belief of this revision is newer than what is known here, or the same. */
  isUpTo(revision: number): boolean {
    return revision >= (this.revision ?? 0);
  }

  /** Another entry VM has confirmed at `atMs` what is believed here. */
  noteRelayed(atMs: number, revision: number): void {
    this.revision = Math.max(this.revision ?? 0, revision);
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    this.relayedAtMs = Math.max(this.relayedAtMs, atMs);
  }

  /** What is believed here is behind: the store is asked next. */
  noteBehind(): void {
    this.relayedAtMs = -Infinity;
  }

  private isRelayed(nowMs: number): boolean {
    return !this.opts.isSteward() && nowMs - this.relayedAtMs < RELAYED_MS;
  }

  private watchMs(): number {
    return this.opts.isSteward() ? STEWARD_WATCH_MS : WATCH_MS;
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
    if (!this.isUpTo(answer.revision)) return;
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
        : await store.changes(this.kind, since, this.isLate(sentAtMs) ? 0 : this.watchMs());
    if (this.stopped) return 0;
    if (answer.type === FeedOutcome.historyGone) {
      this.revision = null;
      return 0;
    }
    if (answer.type === FeedOutcome.failed) {
      this.opts.logger.debug('store-call-failed', { kind: this.kind, reason: answer.reason });
      this.failures += 1;
      if (this.failures === LOST_FROM) {
        this.opts.logger.info('store-lost', { kind: this.kind, reason: answer.reason });
      }
      return Math.min(MOST_RETRY_MS, RETRY_MS * this.failures);
    }
    if (this.failures >= LOST_FROM) this.opts.logger.info('store-back', { kind: this.kind });
    this.failures = 0;
    // The steward's word has gone beyond this answer.
    if (!this.isUpTo(answer.revision)) return RETRY_MS;
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

/** A server of the steward's list: what it holds is told apart, and its orders are not given here. */
function asBackendServer({ isMissing, ...listed }: ListedServer): BackendServer {
  return { ...listed, orderCount: 0, models: [], copies: { inMemory: [], onDisk: [] } };
}

export class FollowerTask implements Task {
  readonly name = 'follower';

  private currentPlan: FleetPlan | null = null;

  private currentPlanRevision = 0;

  private planValue: unknown = null;

  /** The steward's list of backend servers. */
  private readonly told = new Map<string, ListedServer>();

  private toldRevision = -1;

  /** Whether the steward's list has changed since it was taken over. */
  private toldIsNew = false;

  private readonly list = new BackendList();

  /** The list as it was logged last: whether each server leaves. */
  private listed: ReadonlyMap<string, boolean> = new Map();

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

  /** Revision of the plan; 0 for none. */
  get planRevision(): number {
    return this.currentPlanRevision;
  }

  /** What the store says of the plan, as it was read. */
  get rawPlan(): unknown {
    return this.planValue;
  }

  /** Whether what the server holds is not in its entry here. */
  isAdopted(id: string): boolean {
    return this.list.isAdopted(id);
  }

  /** Where the beliefs stand, for the entry VMs that listen to this one. */
  confirmed(): { readonly plan: Confirmed | null; readonly backends: Confirmed | null } {
    return { plan: this.planFollower.confirmed(), backends: this.backendFollower.confirmed() };
  }

  /** The steward's list has changed. */
  takeBeliefs(beliefs: RelayMessageOf<'beliefs'>): void {
    if (beliefs.whole) this.told.clear();
    beliefs.gone.forEach((id) => this.told.delete(id));
    beliefs.servers.forEach((server) => this.told.set(server.id, server));
    this.toldRevision = beliefs.revision;
    this.toldIsNew = true;
    this.adopt();
  }

  /** The steward confirms what it told, as of its answer to a report of this VM. */
  takeConfirmed(grant: RelayMessageOf<'grant'>): void {
    const { plan, planRevision, backends, reportClockMs } = grant;
    if (plan !== null && planRevision > this.currentPlanRevision) this.planFollower.noteBehind();
    if (plan !== null && planRevision === this.currentPlanRevision && planRevision > 0) {
      this.planFollower.noteRelayed(reportClockMs - plan.ageMs, plan.revision);
    }
    if (backends === null || this.toldRevision < 0) return;
    this.toldRevision = backends.revision;
    if (!this.backendFollower.isUpTo(backends.revision)) return;
    this.adopt();
    this.backendFollower.noteRelayed(reportClockMs - backends.ageMs, backends.revision);
  }

  /** A new steward tells its list from the start. */
  forgetBeliefs(): void {
    this.told.clear();
    this.toldRevision = -1;
  }

  /** The plan as the steward has it, where the store can't be reached. */
  takeToldPlan(told: RelayMessageOf<'plan'>): void {
    this.takePlan([
      {
        name: this.opts.wire.planName,
        revision: told.revision,
        value: told.value,
        deleted: false,
      },
    ]);
  }

  /** Servers that keep their place only until they had time to return after an outage. */
  get missing(): ReadonlySet<string> {
    return this.list.missing;
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
    if (newest === undefined || newest.revision <= this.currentPlanRevision) return;
    this.currentPlanRevision = newest.revision;
    this.planValue = newest.value;
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
    if (this.list.take(nowMs, decoded, whole)) this.noteListChanged('store');
  }

  /** Logs how the list of backend servers has changed, and tells the others of it. */
  private noteListChanged(toldBy: 'store' | 'steward' | 'time'): void {
    const before = this.listed;
    this.listed = new Map([...this.backends].map(([id, { leaving }]) => [id, leaving]));
    const added = [...this.listed.keys()].filter((id) => !before.has(id));
    const gone = [...before.keys()].filter((id) => !this.listed.has(id));
    const leaving = [...this.listed].flatMap(([id, leaves]) =>
      leaves && before.get(id) !== true ? [id] : [],
    );
    if (added.length + gone.length + leaving.length > 0) {
      this.opts.logger.info('servers-changed', { toldBy, added, gone, leaving });
    }
    this.opts.changed.send({ plan: false, backends: true });
  }

  /** Takes the steward's list over, unless more is known here. */
  private adopt(): void {
    if (!this.toldIsNew || this.opts.isSteward()) return;
    if (!this.backendFollower.isUpTo(this.toldRevision)) return;
    this.toldIsNew = false;
    const told = [...this.told.values()];
    const missing = new Set(told.filter(({ isMissing }) => isMissing).map(({ id }) => id));
    if (this.list.adopt(told.map(asBackendServer), missing)) this.noteListChanged('steward');
  }

  private settle(): void {
    if (this.list.settle(this.opts.clock.nowMs())) this.noteListChanged('time');
  }
}
