/**
 * Keeps copies of the plan and of the list of backend servers by watching the platform store.
 *
 * An entry VM makes no store calls while the steward confirms that the copies are current.
 */
import type { Channel } from '../../core/channels/index.js';
import * as clocks from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Task } from '../../core/supervisor/index.js';
import { BackendList } from '../../decisions/backend-list/index.js';
import type { BackendServer, FleetPlan } from '../../decisions/fleet-plan/index.js';
import * as storeVersions from '../../decisions/store-versions/index.js';
import type { ListedServer, RelayMessageOf } from './messages.js';
import {
  type FeedResult,
  type FeedEvent,
  FeedOutcome,
  type PlatformWire,
  type RelayStore,
} from './types.js';

/** Duration of a watch call, ms; an empty answer at its end confirms that nothing changed. */
const WATCH_MS = 1_500;
/** Duration of the steward's watch calls, ms: short, as they confirm the copies of all VMs. */
const STEWARD_WATCH_MS = 400;
/** Time for which a steward's confirmation replaces store calls, ms. One is sent every 400 ms. */
const CONFIRMATION_TTL_MS = 1_300;
/** Interval at which the age of the steward's confirmation is checked, ms. */
const CONFIRMATION_POLL_MS = 100;
/** Pause after a change, ms: further changes often follow, and each call is billed. */
const CHANGE_PAUSE_MS = 300;
/** Pause per consecutive failed call, ms, and its maximum: refused calls are billed too. */
const MIN_RETRY_MS = 150;
const MAX_RETRY_MS = 600;
/** Consecutive failed calls after which the store counts as unreachable. */
const STORE_LOST_FAILURES = 2;
/**
 * Time without contact to the store, of this VM or of its steward, that counts as an outage, ms. It
 * exceeds the longest watch, and is shorter than the time after which the entries of servers expire.
 */
const OUTAGE_MS = 2_000;
/** Time without contact after which a watch returns at once, ms. */
const OVERDUE_MS = 1_000;

/**
 * Time after which a stored plan that is older than the one in force confirms it again, ms. When
 * the store has returned from a copy, the operator writes the newest plan again.
 */
const PLAN_REWRITE_MS = 5_000;

/** Sent when the plan or the list of backend servers changed. */
export interface FleetChange {
  readonly plan: boolean;
  readonly backends: boolean;
}

export interface StoreWatcherOptions {
  readonly wire: PlatformWire;
  readonly store: RelayStore;
  readonly clock: clocks.Clock;
  readonly logger: Logger;
  readonly changed: Channel<FleetChange>;
  /** Whether this entry VM is the steward, which confirms the copies of the other VMs. */
  isSteward(): boolean;
  /** Called when the list of backend servers is followed again after an outage. */
  onOutage(): void;
}

/** Store revision of a cached copy, and the age of the call that confirmed the copy, ms. */
export interface Freshness {
  readonly revision: number;
  readonly ageMs: number;
}

type FeedAnswer = Extract<FeedResult<FeedEvent>, { type: typeof FeedOutcome.ok }>;

/** Lists the objects of one kind, then long-polls for changes since the listed revision. */
export class KindWatcher {
  /** Store revision of the cached copy; null if the objects must be listed. */
  private revision: number | null = null;

  /** When the store call that last confirmed the cached copy was sent. */
  confirmedAtMs = -Infinity;

  /** When the steward's store call that last confirmed the cached copy was sent. */
  private stewardConfirmedAtMs = -Infinity;

  /** When the store last answered, or the steward's last confirming call was sent. */
  private contactAtMs = -Infinity;

  /** Call in progress that confirms the cached copy; null for none. */
  private refreshing: Promise<void> | null = null;

  private failures = 0;

  /** Whether the next call lists all objects, although there is a cached copy. */
  private mustList = false;

  /** Highest era of the store that a call has shown; -1 before the first call. */
  private era = -1;

  private stopped = false;

  constructor(
    private readonly kind: string,
    private readonly opts: Pick<StoreWatcherOptions, 'store' | 'clock' | 'logger' | 'isSteward'>,
    /** Applies an answer of this store version; true if it shows that the copy is current. */
    private readonly apply: (
      items: readonly FeedEvent[],
      whole: boolean,
      version: number,
    ) => boolean,
    private readonly noteOutage: () => void,
  ) {}

  async run(): Promise<void> {
    while (!this.stopped) {
      const nowMs = this.opts.clock.nowMs();
      const pauseMs = this.isConfirmedBySteward(nowMs)
        ? CONFIRMATION_POLL_MS
        : await this.step(nowMs);
      if (pauseMs > 0 && !this.stopped) await clocks.sleep(pauseMs);
    }
  }

  /** How current the cached copy is; null if there is none. */
  freshness(): Freshness | null {
    if (this.revision === null) return null;
    return { revision: this.revision, ageMs: this.opts.clock.nowMs() - this.confirmedAtMs };
  }

  /** Whether a copy of this revision is at least as new as the cached one. */
  isCurrent(revision: number): boolean {
    return revision >= (this.revision ?? 0);
  }

  /** Records that the cached copy equals the steward's, which was confirmed at `atMs`. */
  noteConfirmation(atMs: number, revision: number): void {
    this.revision = Math.max(this.revision ?? 0, revision);
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    this.stewardConfirmedAtMs = Math.max(this.stewardConfirmedAtMs, atMs);
    this.failures = 0;
  }

  /** Records that the steward reached the store by a call at `atMs`. */
  noteStewardContact(atMs: number): void {
    this.noteContact(atMs, atMs);
  }

  /** Discards the steward's confirmation, so that the next step calls the store. */
  markStale(): void {
    this.stewardConfirmedAtMs = -Infinity;
  }

  /** Whether the last calls have failed, so that the cached copy can't be confirmed. */
  get hasFailed(): boolean {
    return this.failures >= STORE_LOST_FAILURES;
  }

  /** Makes the next call a list, because the cached copy may lack a change. */
  listAgain(): void {
    this.mustList = true;
  }

  private isConfirmedBySteward(nowMs: number): boolean {
    return !this.opts.isSteward() && nowMs - this.stewardConfirmedAtMs < CONFIRMATION_TTL_MS;
  }

  private watchMs(): number {
    return this.opts.isSteward() ? STEWARD_WATCH_MS : WATCH_MS;
  }

  stop(): void {
    this.stopped = true;
  }

  /**
   * Whether the cached copy includes all changes before `sinceMs`. Calls the store if no earlier call
   * shows it; false if the store does not answer.
   */
  async confirmSince(sinceMs: number): Promise<boolean> {
    while (this.confirmedAtMs < sinceMs) {
      const pending = this.refreshing;
      // Another call to a store that is lost would only delay the result.
      if (pending === null && this.isLost()) return false;
      await (pending ?? this.refresh());
      if (pending === null) break;
    }
    return this.confirmedAtMs >= sinceMs;
  }

  /**
   * Fetches changes immediately, in parallel with a pending watch. Needed after a clock jump, when
   * the cached copy may be older than recorded, and when the copy must be current as of now.
   */
  refresh(): Promise<void> {
    this.refreshing ??= this.fetchChanges().finally(() => {
      this.refreshing = null;
    });
    return this.refreshing;
  }

  private async fetchChanges(): Promise<void> {
    const since = this.revision;
    if (since === null || this.stopped) return;
    const sentAtMs = this.opts.clock.nowMs();
    const answer = await this.opts.store.changes(this.kind, since, 0);
    if (answer.type !== FeedOutcome.ok || this.stopped) return;
    if (!this.isCurrent(answer.revision)) return;
    this.noteContact(sentAtMs, this.opts.clock.nowMs());
    this.applyAnswer(sentAtMs, answer, false);
  }

  private isLost(): boolean {
    const silentMs = this.opts.clock.nowMs() - this.contactAtMs;
    return this.failures >= STORE_LOST_FAILURES && silentMs > OUTAGE_MS;
  }

  /** Records that the store was reached by a call from `sentAtMs` to `atMs`. */
  private noteContact(sentAtMs: number, atMs: number): void {
    const isOutage = this.contactAtMs > -Infinity && sentAtMs - this.contactAtMs > OUTAGE_MS;
    this.contactAtMs = Math.max(this.contactAtMs, atMs);
    if (isOutage) this.noteOutage();
  }

  /** Makes one call; resolves with the pause before the next one, ms. */
  private async step(sentAtMs: number): Promise<number> {
    const { store } = this.opts;
    const since = this.mustList ? null : this.revision;
    const answer: FeedResult<FeedEvent> =
      since === null
        ? await this.list()
        : await store.changes(this.kind, since, this.isOverdue(sentAtMs) ? 0 : this.watchMs());
    if (this.stopped) return 0;
    if (answer.type === FeedOutcome.historyGone) {
      this.revision = null;
      return 0;
    }
    if (answer.type === FeedOutcome.failed) {
      this.opts.logger.debug('store-call-failed', { kind: this.kind, reason: answer.reason });
      this.failures += 1;
      if (this.failures === STORE_LOST_FAILURES) {
        this.opts.logger.info('store-lost', { kind: this.kind, reason: answer.reason });
      }
      return Math.min(MAX_RETRY_MS, MIN_RETRY_MS * this.failures);
    }
    if (this.failures >= STORE_LOST_FAILURES)
      this.opts.logger.info('store-back', { kind: this.kind });
    this.failures = 0;
    if (since === null) this.mustList = false;
    this.logAnswer(answer);
    // Discards the answer: the steward has confirmed a newer revision in the meantime.
    if (!this.isCurrent(answer.revision)) return MIN_RETRY_MS;
    this.noteContact(sentAtMs, this.opts.clock.nowMs());
    this.revision = Math.max(this.revision ?? 0, answer.revision);
    this.applyAnswer(sentAtMs, answer, since === null);
    return answer.items.length > 0 && since !== null ? CHANGE_PAUSE_MS : 0;
  }

  private applyAnswer(sentAtMs: number, { items, revision }: FeedAnswer, whole: boolean): void {
    const isConfirmed = this.apply(items, whole, revision);
    if (isConfirmed) this.confirmedAtMs = Math.max(this.confirmedAtMs, sentAtMs);
  }

  /** Logs that the store has returned from a copy, and an answer that is older than the copy. */
  private logAnswer({ revision, items }: FeedAnswer): void {
    const { kind } = this;
    const era = storeVersions.eraOf(revision);
    const version = storeVersions.format(revision);
    const known = this.revision === null ? null : storeVersions.format(this.revision);
    if (era > this.era && this.era >= 0) {
      this.opts.logger.warn('store-restored', { kind, version, known });
    }
    this.era = Math.max(this.era, era);
    if (this.isCurrent(revision)) return;
    const names = items.map(({ name }) => name);
    this.opts.logger.info('answer-dropped', { kind, version, known, names });
  }

  /** Whether a contact is overdue, as after failed calls. The next call then returns at once. */
  private isOverdue(nowMs: number): boolean {
    return nowMs - this.contactAtMs > OVERDUE_MS;
  }

  private async list(): Promise<FeedResult<FeedEvent>> {
    const answer = await this.opts.store.list(this.kind);
    if (answer.type !== FeedOutcome.ok) return answer;
    return { ...answer, items: answer.items.map((item) => ({ ...item, deleted: false })) };
  }
}

/**
 * Converts an entry of the steward's list. Loaded models arrive in `view` messages. The accepted
 * order count is left at 0: only the steward needs it, to send engine orders.
 */
function asBackendServer({ isMissing, ...listed }: ListedServer): BackendServer {
  return { ...listed, orderCount: 0, models: [], copies: { inMemory: [], onDisk: [] } };
}

export class StoreWatcherTask implements Task {
  readonly name = 'follower';

  private currentPlan: FleetPlan | null = null;

  /** Since when the stored plan is known to be older than the one in force; null if it is not. */
  private planBehindSinceMs: number | null = null;

  /** The plan as it was read, before decoding. */
  private planValue: unknown = null;

  /** The steward's list of backend servers, as received. */
  private readonly stewardServers = new Map<string, ListedServer>();

  /** Store revision of the steward's list; -1 if there is no list. */
  private stewardRevision = -1;

  /** Whether the steward's list changed since it was last applied. */
  private hasNewStewardList = false;

  private readonly list = new BackendList();

  /** Whether each server was draining when changes were last logged, by id. */
  private loggedServers: ReadonlyMap<string, boolean> = new Map();

  private readonly planWatcher: KindWatcher;

  private readonly backendWatcher: KindWatcher;

  private expiryTimer: NodeJS.Timeout | null = null;

  constructor(private readonly opts: StoreWatcherOptions) {
    const { wire } = opts;
    this.planWatcher = new KindWatcher(
      wire.planKind,
      opts,
      (items, whole) => this.applyPlan(items, whole),
      () => undefined,
    );
    this.backendWatcher = new KindWatcher(
      wire.backendKind,
      opts,
      (items, whole, version) => this.applyBackends(items, whole, version),
      () => {
        this.list.startGracePeriod(opts.clock.nowMs());
        opts.onOutage();
      },
    );
  }

  get plan(): FleetPlan | null {
    return this.currentPlan;
  }

  get backends(): ReadonlyMap<string, BackendServer> {
    return this.list.servers;
  }

  /**
   * Whether the list of backend servers includes all that joined before `sinceMs`. Calls the store if
   * neither an earlier call nor the steward's confirmation shows it.
   */
  confirmBackends(sinceMs: number): Promise<boolean> {
    return this.backendWatcher.confirmSince(sinceMs);
  }

  /** Version that the operator gave the plan; 0 for none. */
  get planVersion(): number {
    return this.currentPlan?.version ?? 0;
  }

  /** The plan as it was read from the store, before decoding. */
  get rawPlan(): unknown {
    return this.planValue;
  }

  /** Records that a server stated in a response that it is draining. */
  noteLeaving(server: BackendServer): void {
    if (this.list.noteLeaving(server)) this.noteListChanged('server');
  }

  /** Whether the entry comes from the steward's list, which does not include loaded models. */
  isFromSteward(id: string): boolean {
    return this.list.isFromSteward(id);
  }

  /** How current the cached copies are. */
  freshness(): { readonly plan: Freshness | null; readonly backends: Freshness | null } {
    return { plan: this.planWatcher.freshness(), backends: this.backendWatcher.freshness() };
  }

  /** Updates the steward's server list and applies it. */
  applyServerListUpdate(update: RelayMessageOf<'beliefs'>): void {
    if (update.whole) this.stewardServers.clear();
    update.gone.forEach((id) => this.stewardServers.delete(id));
    update.servers.forEach((server) => this.stewardServers.set(server.id, server));
    this.stewardRevision = update.revision;
    this.hasNewStewardList = true;
    // An outage that this VM had as well must be known before missing servers are removed.
    this.backendWatcher.noteStewardContact(this.opts.clock.nowMs() - update.ageMs);
    this.applyStewardList();
  }

  /**
   * Handles a grant, which confirms the cached copies that equal the steward's. The age of the
   * steward's copies is counted back from the time at which this VM sent its report.
   */
  applyConfirmation(grant: Omit<RelayMessageOf<'confirm'>, 'type'>): void {
    const { plan, planRevision: planVersion, backends, reportClockMs } = grant;
    if (plan !== null && planVersion > this.planVersion) this.planWatcher.markStale();
    if (plan !== null && planVersion === this.planVersion && planVersion > 0) {
      this.planWatcher.noteConfirmation(reportClockMs - plan.ageMs, plan.revision);
    }
    if (backends === null || this.stewardRevision < 0) return;
    this.stewardRevision = backends.revision;
    if (!this.backendWatcher.isCurrent(backends.revision)) return;
    this.backendWatcher.noteStewardContact(reportClockMs - backends.ageMs);
    this.applyStewardList();
    this.backendWatcher.noteConfirmation(reportClockMs - backends.ageMs, backends.revision);
  }

  /** Discards the steward's list; a new steward sends its full list. */
  discardStewardList(): void {
    this.stewardServers.clear();
    this.stewardRevision = -1;
  }

  /** Applies a plan that the steward sent because this VM can't fetch it from the store. */
  applyStewardPlan({ value }: RelayMessageOf<'plan'>): void {
    const plan = this.opts.wire.decodePlan(value);
    if (plan !== null && this.isNewPlan(plan)) this.setPlan(plan, value);
  }

  /** Ids of servers missing from the store after its outage, retained during a grace period. */
  get missing(): ReadonlySet<string> {
    return this.list.missing;
  }

  /** Time since the cached plan was last confirmed, ms. */
  planAgeMs(): number {
    return this.opts.clock.nowMs() - this.planWatcher.confirmedAtMs;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    this.planWatcher.run().catch(fail);
    this.backendWatcher.run().catch(fail);
    this.opts.clock.onJump((jumpMs) => {
      this.opts.logger.warn('clock-jumped', { jumpMs });
      [this.planWatcher, this.backendWatcher].forEach((watcher) => {
        watcher.refresh().catch(fail);
      });
    });
    this.expiryTimer = setInterval(() => this.expireServers(), 200);
  }

  async stop(): Promise<void> {
    this.planWatcher.stop();
    this.backendWatcher.stop();
    if (this.expiryTimer !== null) clearInterval(this.expiryTimer);
  }

  /** Applies the stored plan. False if the plan in force is newer and is still to be stored again. */
  private applyPlan(items: readonly FeedEvent[], whole: boolean): boolean {
    const newest = items
      .filter(({ name, deleted }) => name === this.opts.wire.planName && !deleted)
      .sort((a, b) => a.revision - b.revision)
      .at(-1);
    if (newest !== undefined) this.applyStoredPlan(newest);
    else if (whole) this.notePlanBehind(this.currentPlan !== null);
    const nowMs = this.opts.clock.nowMs();
    return this.planBehindSinceMs === null || nowMs - this.planBehindSinceMs > PLAN_REWRITE_MS;
  }

  private applyStoredPlan({ revision, value }: FeedEvent): void {
    const plan = this.opts.wire.decodePlan(value);
    if (plan === null) {
      this.opts.logger.error('plan-unreadable', { revision });
      return;
    }
    const { version } = plan;
    const isOlder = version < this.planVersion;
    if (isOlder) this.opts.logger.warn('plan-older', { version, known: this.planVersion });
    this.notePlanBehind(isOlder);
    if (this.isNewPlan(plan)) this.setPlan(plan, value);
  }

  private notePlanBehind(isBehind: boolean): void {
    if (!isBehind) this.planBehindSinceMs = null;
    else this.planBehindSinceMs ??= this.opts.clock.nowMs();
  }

  /** The operator's versions only increase, whatever the revisions of the store. */
  private isNewPlan({ version }: FleetPlan): boolean {
    return this.currentPlan === null || version > this.currentPlan.version;
  }

  private setPlan(plan: FleetPlan, value: unknown): void {
    this.planValue = value;
    this.currentPlan = plan;
    this.opts.logger.info('plan-changed', {
      version: plan.version,
      limits: [...plan.customers.values()].map(
        ({ name, ratePerS, burst }) => `${name} ${ratePerS}/${burst}`,
      ),
    });
    this.opts.changed.send({ plan: true, backends: false });
  }

  private applyBackends(items: readonly FeedEvent[], whole: boolean, version: number): boolean {
    const nowMs = this.opts.clock.nowMs();
    this.list.noteStoreVersion(nowMs, version);
    const decoded = items.map((item) => ({
      id: item.name,
      revision: item.revision,
      server: item.deleted ? null : this.opts.wire.decodeBackend(item.name, item.value),
      deleted: item.deleted,
    }));
    const dropped = decoded.filter(({ id, revision }) => this.list.isOutdated(id, revision));
    if (dropped.length > 0) {
      this.opts.logger.info('entries-dropped', { servers: dropped.map(({ id }) => id) });
    }
    if (this.list.applyEntries(nowMs, decoded, whole)) this.noteListChanged('store');
    return true;
  }

  /** Logs the changes of the list of backend servers and notifies the subscribers. */
  private noteListChanged(source: 'store' | 'steward' | 'server' | 'time'): void {
    const before = this.loggedServers;
    this.loggedServers = new Map([...this.backends].map(([id, { leaving }]) => [id, leaving]));
    const added = [...this.loggedServers.keys()].filter((id) => !before.has(id));
    const gone = [...before.keys()].filter((id) => !this.loggedServers.has(id));
    const leaving = [...this.loggedServers].flatMap(([id, isDraining]) =>
      isDraining && before.get(id) !== true ? [id] : [],
    );
    if (added.length + gone.length + leaving.length > 0) {
      const versions = added.map((id) => this.backends.get(id)?.version);
      this.opts.logger.info('servers-changed', { toldBy: source, added, versions, gone, leaving });
    }
    this.opts.changed.send({ plan: false, backends: true });
  }

  /** Applies the steward's list, unless the list from the store is newer. */
  private applyStewardList(): void {
    if (!this.hasNewStewardList || this.opts.isSteward()) return;
    if (!this.backendWatcher.isCurrent(this.stewardRevision)) return;
    this.hasNewStewardList = false;
    const servers = [...this.stewardServers.values()];
    const missing = new Set(servers.filter(({ isMissing }) => isMissing).map(({ id }) => id));
    const nowMs = this.opts.clock.nowMs();
    this.list.noteStoreVersion(nowMs, this.stewardRevision);
    if (this.list.applyStewardList(nowMs, servers.map(asBackendServer), missing))
      this.noteListChanged('steward');
  }

  private expireServers(): void {
    if (this.list.expire(this.opts.clock.nowMs())) this.noteListChanged('time');
  }
}
