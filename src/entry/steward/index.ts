/** Task that acquires the steward lease of its data centre, and is steward while holding it. */
import { AdaptivePoller } from '../../core/adaptive-poller/index.js';
import type { Channel, Unsubscribe } from '../../core/channels/index.js';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import * as messages from '../../core/messages/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Catalog } from '../../decisions/catalog/index.js';
import * as leases from '../../decisions/leases/index.js';
import * as placement from '../../decisions/placement/index.js';
import type { Backends } from '../backends/index.js';
import type { EngineSnapshot } from '../inventory/index.js';
import type { Inbound, Peers } from '../peers/index.js';
import { type PlatformClient, PlatformOutcome } from '../platform/index.js';
import { StewardTerm } from './steward-term.js';

const TICK_MS = 50;
const IDLE_TICK_MS = 200;

export interface StewardDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly lease: { readonly durationMs: number; readonly marginMs: number };
  readonly platform: PlatformClient;
  readonly backends: Backends;
  readonly peers: Peers;
  readonly inbox: Channel<Inbound>;
  readonly snapshots: Channel<EngineSnapshot>;
  readonly applied: Channel<Catalog>;
  currentCatalog(): Catalog | null;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class StewardTask implements Task {
  readonly name = 'steward';

  private leaseManager: leases.LeaseManager;

  private term: StewardTerm | null = null;

  private readonly usage = new placement.UsageHistory();

  private readonly poller = new AdaptivePoller({
    busyMs: TICK_MS,
    idleMs: IDLE_TICK_MS,
    isBusy: () => this.term?.isBusy() ?? false,
    tick: () => this.tick(),
  });

  private unsubscribes: Unsubscribe[] = [];

  constructor(private readonly deps: StewardDeps) {
    this.leaseManager = this.createLeaseManager();
  }

  async start(): Promise<void> {
    this.leaseManager = this.createLeaseManager();
    this.poller.start();
    this.unsubscribes = [
      this.deps.inbox.subscribe((inbound) => this.receive(inbound)),
      this.deps.snapshots.subscribe((snapshot) => this.term?.applySnapshot(snapshot)),
      this.deps.applied.subscribe((current) => this.term?.configure(current)),
    ];
  }

  async stop(): Promise<void> {
    this.poller.stop();
    this.unsubscribes.forEach((unsubscribe) => unsubscribe());
    this.endTerm();
  }

  /** Releases the lease before a planned shutdown. */
  async releaseLease(): Promise<void> {
    this.poller.stop();
    const effects = this.leaseManager.handle(this.deps.clock.nowMs(), {
      type: leases.LeaseEventType.release,
    });
    this.endTerm();
    await Promise.all(effects.map((effect) => this.runEffect(effect)));
  }

  busyEngines(): ReadonlySet<string> {
    return this.term?.busyEngines() ?? new Set();
  }

  /** Engines with their planned replicas; null if this entry VM is not the steward. */
  view(): readonly placement.EngineView[] | null {
    return this.term?.view() ?? null;
  }

  private createLeaseManager(): leases.LeaseManager {
    const { vm: self, lease } = this.deps;
    return new leases.LeaseManager({ self, ...lease });
  }

  private get leaseKey(): string {
    return `leases/${this.deps.dataCentre}`;
  }

  private tick(): void {
    this.handleEvent({ type: leases.LeaseEventType.tick });
    this.term?.tick();
  }

  private handleEvent(event: leases.LeaseEvent): void {
    this.leaseManager.handle(this.deps.clock.nowMs(), event).forEach((effect) => {
      void this.runEffect(effect);
    });
  }

  private async runEffect(effect: leases.LeaseEffect): Promise<void> {
    switch (effect.type) {
      case leases.LeaseEffectType.read:
        await this.read();
        break;
      case leases.LeaseEffectType.write:
        await this.write(effect.lease, effect.version);
        break;
      case leases.LeaseEffectType.acquired:
        this.beginTerm(effect.epoch);
        break;
      case leases.LeaseEffectType.lost:
        this.endTerm();
        break;
      default:
    }
  }

  private async read(): Promise<void> {
    const outcome = await this.deps.platform.read(this.leaseKey);
    const parsed =
      outcome.type === PlatformOutcome.ok
        ? leases.leaseSchema.nullable().safeParse(outcome.value?.value ?? null)
        : null;
    if (outcome.type !== PlatformOutcome.ok || parsed?.success !== true) {
      this.handleEvent({ type: leases.LeaseEventType.readFailed });
      return;
    }
    const version = outcome.value?.version ?? 0;
    this.handleEvent({ type: leases.LeaseEventType.read, lease: parsed.data, version });
  }

  private async write(lease: leases.Lease, version: number): Promise<void> {
    const outcome = await this.deps.platform.write(this.leaseKey, lease, version);
    if (outcome.type === PlatformOutcome.ok) {
      this.handleEvent({ type: leases.LeaseEventType.written, version: outcome.version });
    } else if (outcome.type === PlatformOutcome.conflict) {
      this.handleEvent({ type: leases.LeaseEventType.conflict });
    } else this.handleEvent({ type: leases.LeaseEventType.writeUnknown });
  }

  private beginTerm(epoch: number): void {
    const { dataCentre, platform, backends, clock, logger, metrics } = this.deps;
    logger.info('steward-began', { dataCentre, epoch });
    this.term = new StewardTerm({
      dataCentre,
      epoch,
      platform,
      backends,
      usage: this.usage,
      clock,
      logger,
      metrics,
      holdsLease: () => this.leaseManager.holds(clock.nowMs()) && this.leaseManager.epoch === epoch,
      onSuperseded: (newer) => logger.warn('steward-superseded', { epoch, newer }),
    });
    const current = this.deps.currentCatalog();
    if (current !== null) this.term.configure(current);
    this.deps.peers.announce({ stewardEpoch: epoch });
  }

  private endTerm(): void {
    if (this.term === null) return;
    this.term = null;
    this.deps.logger.info('steward-ended', { dataCentre: this.deps.dataCentre });
    this.deps.peers.announce({ stewardEpoch: 0 });
  }

  private receive({ from, message }: Inbound): void {
    if (message.type !== messages.PeerMessageType.demand) return;
    const nowMs = this.deps.clock.nowMs();
    message.used.forEach((target) => this.usage.note(nowMs, target));
    const demands = message.waiting.map(
      ({ target, waiting, deadlineInMs, waitedMs, customers }) => ({
        target,
        waiting,
        earliestDeadlineAtMs: nowMs + deadlineInMs,
        oldestAtMs: nowMs - waitedMs,
        customers,
      }),
    );
    this.term?.recordDemand(from, demands);
    this.poller.wake();
  }
}
