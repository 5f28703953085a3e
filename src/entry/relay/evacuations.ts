/**
 * Keeps the evacuated data centres, to whose servers this entry VM sends nothing.
 *
 * The steward watches their objects in the platform store and confirms them in its grants. A VM
 * without such a confirmation watches them itself.
 */
import type { Channel } from '../../core/channels/index.js';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';
import { type EvacuationDifference, Evacuations } from '../../decisions/evacuations/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import type { RelayMessageOf } from './messages.js';
import { type FleetChange, KindWatcher, type StoreWatcherTask } from './store-watcher.js';
import type { FeedEvent, PlatformWire, RelayStore } from './types.js';

/** Interval at which held evacuations are checked for their end, ms. */
const EXPIRY_POLL_MS = 200;
/**
 * Age of the last confirmation, as a fraction of the bound, beyond which requests wait for the next
 * one. Two calls to a store that does not answer fail sooner, so that an outage holds back none.
 */
const MAX_AGE_FRACTION = 0.8;

type Source = 'store' | 'steward' | 'member' | 'time';

export interface EvacuationOptions {
  /**
   * Time after which an evacuated data centre may get nothing, ms; undefined if the platform evacuates
   * none, and the store is not called for them.
   */
  readonly evacuateMs: number | undefined;
  readonly wire: Pick<PlatformWire, 'evacuationKind' | 'decodeEvacuation'>;
  readonly store: RelayStore;
  readonly storeWatcher: Pick<StoreWatcherTask, 'plan' | 'backends'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'gauge'>;
  readonly changed: Channel<FleetChange>;
  isSteward(): boolean;
  /** Called with the data centres whose evacuation was taken back, before requests may go there. */
  onTakenBack(dataCentres: readonly string[]): void;
}

export class EvacuationTask implements Task {
  readonly name = 'evacuations';

  private readonly evacuations = new Evacuations();

  private readonly watcher: KindWatcher;

  /** The set that the last grant of the steward named. */
  private told: RelayMessageOf<'grant'>['evacuations'];

  private timer: NodeJS.Timeout | null = null;

  /** The plan and the servers outside evacuated data centres; none before those are known. */
  readonly serving: Pick<StoreWatcherTask, 'plan' | 'backends'>;

  constructor(private readonly opts: EvacuationOptions) {
    const { storeWatcher } = opts;
    this.watcher = new KindWatcher(
      opts.wire.evacuationKind,
      opts,
      (items, whole, version) => this.applyStored(items, whole, version),
      // An outage may have hidden a removal; see docs/design/evacuations-and-cold-servers.md.
      () => this.watcher.listAgain(),
    );
    const servingBackends = () => this.filter(storeWatcher.backends);
    this.serving = {
      get plan() {
        return storeWatcher.plan;
      },
      get backends() {
        return servingBackends();
      },
    };
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    if (!this.isEnabled) return;
    this.watcher.run().catch(fail);
    this.opts.clock.onJump(() => {
      this.watcher.refresh().catch(fail);
    });
    this.timer = setInterval(() => {
      this.publish(this.evacuations.expire(this.opts.clock.nowMs()), 'time');
    }, EXPIRY_POLL_MS);
  }

  async stop(): Promise<void> {
    this.watcher.stop();
    if (this.timer !== null) clearInterval(this.timer);
  }

  /** Whether the evacuated data centres are known. Before that, no server gets a request. */
  get isKnown(): boolean {
    return !this.isEnabled || this.evacuations.isKnown;
  }

  /** Whether requests may be sent to the server, as far as its data centre is concerned. */
  allows({ dataCentre }: BackendServer): boolean {
    return !this.isEnabled || (this.evacuations.allows(dataCentre) && !this.isOutdated());
  }

  /** The set for the steward's grants; undefined if it is not in force or not known. */
  shared(): RelayMessageOf<'grant'>['evacuations'] {
    const shared = this.evacuations.shared(this.opts.clock.nowMs());
    const freshness = this.watcher.freshness();
    if (shared === null || freshness === null) return undefined;
    return { ...shared, dataCentres: [...shared.dataCentres], ageMs: freshness.ageMs };
  }

  /** The set for a report, if the steward's last grant named an older one that differs. */
  unknownToSteward(): RelayMessageOf<'report'>['evacuations'] {
    const own = this.shared();
    if (own === undefined || this.told === undefined || this.opts.isSteward()) return undefined;
    const isSame = [...own.dataCentres].sort().join() === [...this.told.dataCentres].sort().join();
    return own.revision > this.told.revision && !isSame ? own : undefined;
  }

  /** Handles the report of a member that reaches the store, while this steward may not. */
  applyReport({ evacuations }: RelayMessageOf<'report'>): void {
    if (!this.isEnabled || evacuations === undefined) return;
    this.publish(this.evacuations.applyShared(this.opts.clock.nowMs(), evacuations), 'member');
  }

  /** Handles a reply to a report, which names the steward's set and when the store confirmed it. */
  applyConfirmation({
    evacuations,
    reportClockMs,
  }: Pick<RelayMessageOf<'confirm'>, 'evacuations' | 'reportClockMs'>): void {
    this.told = evacuations;
    if (!this.isEnabled || evacuations === undefined) return;
    if (!this.watcher.isCurrent(evacuations.revision)) return;
    const confirmedAtMs = reportClockMs - evacuations.ageMs;
    this.watcher.noteStewardContact(confirmedAtMs);
    this.publish(this.evacuations.applyShared(this.opts.clock.nowMs(), evacuations), 'steward');
    this.watcher.noteConfirmation(confirmedAtMs, evacuations.revision);
  }

  private get isEnabled(): boolean {
    return this.opts.evacuateMs !== undefined;
  }

  /**
   * Whether an evacuation may be in force that this VM does not know, as after it stood still. What is
   * known stays in force while the store can't be reached.
   */
  private isOutdated(): boolean {
    const ageMs = this.opts.clock.nowMs() - this.watcher.confirmedAtMs;
    const maxAgeMs = (this.opts.evacuateMs ?? Infinity) * MAX_AGE_FRACTION;
    return ageMs > maxAgeMs && !this.watcher.hasFailed;
  }

  private filter(backends: ReadonlyMap<string, BackendServer>): ReadonlyMap<string, BackendServer> {
    const isAnyEvacuated = !this.isKnown || this.evacuations.dataCentres.size > 0;
    if (!isAnyEvacuated) return backends;
    return new Map(
      [...backends].filter(([, { dataCentre }]) => this.evacuations.allows(dataCentre)),
    );
  }

  private applyStored(items: readonly FeedEvent[], whole: boolean, version: number): boolean {
    const changes = items.flatMap(({ name, deleted }) => {
      const dataCentre = this.opts.wire.decodeEvacuation(name);
      if (dataCentre !== null) return [{ dataCentre, deleted }];
      this.opts.logger.warn('evacuation-unreadable', { name });
      return [];
    });
    const wasKnown = this.evacuations.isKnown;
    const nowMs = this.opts.clock.nowMs();
    this.publish(this.evacuations.applyStored(nowMs, version, changes, whole), 'store');
    if (!wasKnown) this.opts.changed.send({ plan: false, backends: true });
    return true;
  }

  private publish({ evacuated, takenBack }: EvacuationDifference, toldBy: Source): void {
    if (evacuated.length + takenBack.length === 0) return;
    this.opts.onTakenBack(takenBack);
    const log = (event: string, dataCentre: string) => {
      const all = [...this.opts.storeWatcher.backends.values()];
      const servers = all.filter((server) => server.dataCentre === dataCentre).length;
      this.opts.logger.info(event, { dataCentre, toldBy, servers });
    };
    evacuated.forEach((dataCentre) => log('data-centre-evacuated', dataCentre));
    takenBack.forEach((dataCentre) => log('evacuation-taken-back', dataCentre));
    this.opts.metrics.gauge('relay_evacuated_data_centres', this.evacuations.dataCentres.size);
    this.opts.changed.send({ plan: false, backends: true });
  }
}
