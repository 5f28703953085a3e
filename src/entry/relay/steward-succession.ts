/** Which member is to be the next steward, and whether it becomes steward now. */
import type { Clock } from '../../core/clock/index.js';
import {
  findHandover,
  type Handover,
  type LeaseSuccessor,
  type StewardState,
  type SuccessorCandidate,
  SuccessorSelector,
} from '../../decisions/leases/index.js';
import { isSlowLink } from '../../decisions/message-pacing/index.js';
import type { LeaseTask } from './lease-task.js';
import type { RelayMessageOf } from './messages.js';
import type { ReachabilityTask } from './reachability.js';
import type { Member } from './steward-member.js';
import type { StoreWatcherTask } from './store-watcher.js';

/** Age of a member's last answered store call up to which the member counts as reaching the store, ms. */
const MAX_STORE_AGE_MS = 1_000;

export interface StewardSuccessionOptions {
  readonly vm: string;
  readonly members: ReadonlySet<Member>;
  readonly lease: Pick<LeaseTask, 'isStoreLost' | 'isStoreFailing'>;
  readonly reachability: ReachabilityTask;
  readonly storeWatcher: StoreWatcherTask;
  readonly clock: Clock;
  /** Link rate of this VM, Mbit/s; null if it is unknown. */
  readonly linkMbps: number | null;
  /** Duration of a lease from its renewal, ms. */
  readonly leaseMs: number;
}

export class StewardSuccession {
  private readonly selector: SuccessorSelector;

  constructor(private readonly opts: StewardSuccessionOptions) {
    this.selector = new SuccessorSelector(opts.leaseMs);
  }

  /** The designated successor for the lease that is written now; null for none. */
  choose(nowMs: number): Omit<LeaseSuccessor, 'epoch'> | null {
    return this.selector.choose(nowMs, this.candidates());
  }

  /** The handover that is due, if the successor is one of its members; null for none. */
  findHandover(nowMs: number): Handover | null {
    return this.find(nowMs, this.opts.lease.isStoreLost, false);
  }

  /** Whether the successor is to call the store, because a handover may be due. */
  seeksSuccessor(nowMs: number): boolean {
    return this.find(nowMs, this.opts.lease.isStoreFailing, true) !== null;
  }

  private find(nowMs: number, isStoreLost: boolean, isIntended: boolean): Handover | null {
    const own = this.ownState(isStoreLost);
    // Most of the time no reason applies; the candidates of a large fleet are then not compared.
    if (own.partitions === 0 && !own.isStoreLost && !own.hasSlowLink) return null;
    return findHandover(nowMs, own, this.candidates(), isIntended);
  }

  private ownState(isStoreLost: boolean): StewardState {
    const hasSlowLink = isSlowLink(this.opts.linkMbps);
    return { partitions: this.ownPartitions().length, isStoreLost, hasSlowLink };
  }

  private candidates(): readonly SuccessorCandidate[] {
    const { members, vm: ownVm, clock } = this.opts;
    return [...members].flatMap(({ vm, report, reportedAtMs, connectedAtMs }) => {
      if (vm === null || vm === ownVm || report === null) return [];
      const { address, leaving, linkMbps = null, storeAgeMs = null } = report;
      const reportAgeMs = clock.nowMs() - reportedAtMs;
      return [
        {
          vm,
          address,
          sinceMs: connectedAtMs,
          leaving,
          partitions: this.partitionsOf(report, reportAgeMs),
          hasSlowLink: isSlowLink(linkMbps),
          reachesStore: storeAgeMs !== null && storeAgeMs + reportAgeMs < MAX_STORE_AGE_MS,
        },
      ];
    });
  }

  /**
   * Number of services with engines that a member can't reach. Those from which this VM is partitioned
   * count as well unless the member has connected to one of their servers since.
   */
  private partitionsOf(report: RelayMessageOf<'report'>, reportAgeMs: number): number {
    const { reachability, clock } = this.opts;
    const partitioned = report.partitioned.filter((service) => this.hasEngines(service));
    const isReached = (service: string) => {
      const forMs = clock.steadyMs() - (reachability.sinceMs(service) ?? -Infinity);
      const connection = report.connected.find((connected) => connected.service === service);
      return connection !== undefined && connection.ageMs + reportAgeMs < forMs;
    };
    const unreached = this.ownPartitions().filter((service) => !isReached(service));
    return new Set([...partitioned, ...unreached]).size;
  }

  /** Services with engines from which this VM is partitioned. */
  private ownPartitions(): readonly string[] {
    return this.opts.reachability.partitionedServices().filter((name) => this.hasEngines(name));
  }

  /** Whether the steward orders the servers of a service; those without models need none. */
  private hasEngines(service: string): boolean {
    return (this.opts.storeWatcher.plan?.services.get(service)?.engine ?? null) !== null;
  }
}
