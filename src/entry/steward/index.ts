/** The task that holds or waits for the steward's lease of its data centre. */
import type { Channel, Unsubscribe } from '../../core/channels/index.js';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import * as messages from '../../core/messages/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import { Pacer } from '../../core/pacer/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Catalog } from '../../decisions/catalog/index.js';
import * as leases from '../../decisions/leases/index.js';
import * as placement from '../../decisions/placement/index.js';
import type { Backends } from '../backends/index.js';
import type { Reading } from '../inventory/index.js';
import type { Inbound, Peers } from '../peers/index.js';
import { type PlatformClient, PlatformOutcome } from '../platform/index.js';
import { Reign } from './reign.js';

const TICK_MS = 50;
const REST_TICK_MS = 200;

export interface StewardDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly lease: { readonly durationMs: number; readonly marginMs: number };
  readonly platform: PlatformClient;
  readonly backends: Backends;
  readonly peers: Peers;
  readonly inbox: Channel<Inbound>;
  readonly readings: Channel<Reading>;
  readonly applied: Channel<Catalog>;
  currentCatalog(): Catalog | null;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class StewardTask implements Task {
  readonly name = 'steward';

  private keeper: leases.LeaseKeeper;

  private reign: Reign | null = null;

  private readonly usage = new placement.UsageHistory();

  private readonly pacer = new Pacer({
    busyMs: TICK_MS,
    restMs: REST_TICK_MS,
    isBusy: () => this.reign?.isBusy() ?? false,
    tick: () => this.tick(),
  });

  private unsubscribes: Unsubscribe[] = [];

  constructor(private readonly deps: StewardDeps) {
    this.keeper = this.createKeeper();
  }

  async start(): Promise<void> {
    this.keeper = this.createKeeper();
    this.pacer.start();
    this.unsubscribes = [
      this.deps.inbox.subscribe((inbound) => this.receive(inbound)),
      this.deps.readings.subscribe((reading) => this.reign?.noteReading(reading)),
      this.deps.applied.subscribe((current) => this.reign?.configure(current)),
    ];
  }

  async stop(): Promise<void> {
    this.pacer.stop();
    this.unsubscribes.forEach((unsubscribe) => unsubscribe());
    this.endReign();
  }

  /** Gives the lease up, for a planned stop. */
  async handOver(): Promise<void> {
    this.pacer.stop();
    const effects = this.keeper.handle(this.deps.clock.nowMs(), {
      type: leases.LeaseEventType.release,
    });
    this.endReign();
    await Promise.all(effects.map((effect) => this.carryOut(effect)));
  }

  busyEngines(): ReadonlySet<string> {
    return this.reign?.busyEngines() ?? new Set();
  }

  /** Engines as this steward sees them; null where it is not the steward. */
  view(): readonly placement.EngineView[] | null {
    return this.reign?.view() ?? null;
  }

  private createKeeper(): leases.LeaseKeeper {
    const { vm: self, lease } = this.deps;
    return new leases.LeaseKeeper({ self, ...lease });
  }

  private get leaseKey(): string {
    return `leases/${this.deps.dataCentre}`;
  }

  private tick(): void {
    this.feed({ type: leases.LeaseEventType.tick });
    this.reign?.tick();
  }

  private feed(event: leases.LeaseEvent): void {
    this.keeper.handle(this.deps.clock.nowMs(), event).forEach((effect) => {
      void this.carryOut(effect);
    });
  }

  private async carryOut(effect: leases.LeaseEffect): Promise<void> {
    switch (effect.type) {
      case leases.LeaseEffectType.read:
        await this.read();
        break;
      case leases.LeaseEffectType.write:
        await this.write(effect.lease, effect.version);
        break;
      case leases.LeaseEffectType.acquired:
        this.beginReign(effect.epoch);
        break;
      case leases.LeaseEffectType.lost:
        this.endReign();
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
      this.feed({ type: leases.LeaseEventType.readFailed });
      return;
    }
    const version = outcome.value?.version ?? 0;
    this.feed({ type: leases.LeaseEventType.read, lease: parsed.data, version });
  }

  private async write(lease: leases.Lease, version: number): Promise<void> {
    const outcome = await this.deps.platform.write(this.leaseKey, lease, version);
    if (outcome.type === PlatformOutcome.ok) {
      this.feed({ type: leases.LeaseEventType.written, version: outcome.version });
    } else if (outcome.type === PlatformOutcome.conflict) {
      this.feed({ type: leases.LeaseEventType.conflict });
    } else this.feed({ type: leases.LeaseEventType.writeUnknown });
  }

  private beginReign(epoch: number): void {
    const { dataCentre, platform, backends, clock, logger, metrics } = this.deps;
    logger.info('steward-began', { dataCentre, epoch });
    this.reign = new Reign({
      dataCentre,
      epoch,
      platform,
      backends,
      usage: this.usage,
      clock,
      logger,
      metrics,
      holdsLease: () => this.keeper.holds(clock.nowMs()) && this.keeper.epoch === epoch,
      onSuperseded: (newer) => logger.warn('steward-superseded', { epoch, newer }),
    });
    const current = this.deps.currentCatalog();
    if (current !== null) this.reign.configure(current);
    this.deps.peers.announce({ stewardEpoch: epoch });
  }

  private endReign(): void {
    if (this.reign === null) return;
    this.reign = null;
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
    this.reign?.noteDemand(from, demands);
    this.pacer.wake();
  }
}
