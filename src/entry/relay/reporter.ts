/** Reports this entry VM's rate shares, running requests and queued requests to the steward. */
import type { Clock } from '../../core/clock/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Admission } from './admission.js';
import type { Dispatcher } from './dispatch.js';
import type { FleetView } from './fleet-view.js';
import { messageIntervalMs } from './intervals.js';
import { OWN_TYPES } from './known-types.js';
import type { LeaseTask } from './lease-task.js';
import { type RelayMessage, RelayMessageType } from './messages.js';
import type { ReachabilityTask } from './reachability.js';
import type { StewardLink } from './steward-link.js';

const TICK_MS = 20;
/** Maximum time between two reports, ms. */
const MAX_REPORT_PAUSE_MS = 400;
/** Minimum time between two reports that name the engines which have sent data, ms. */
const REACHED_INTERVAL_MS = 400;

/** Maximum age of a connection that is reported, ms. */
const MAX_CONNECTED_AGE_MS = 3_000;

export interface ReporterOptions {
  readonly vm: string;
  /** Address at which peers reach this entry VM. */
  readonly address: string;
  readonly dataCentre: string;
  readonly link: StewardLink;
  readonly lease: LeaseTask;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly view: FleetView;
  readonly reachability: Pick<ReachabilityTask, 'partitionedServices' | 'connectedServices'>;
  readonly clock: Clock;
  /** Version of this entry VM's plan. */
  planVersion(): number;
  /** Number of entry VMs connected to the steward. */
  members(): number;
  /** Highest request for a memory permit whose answer was handled. */
  memorySeen(): number;
  isStopping(): boolean;
}

export class ReporterTask implements Task {
  readonly name = 'reporter';

  private timer: NodeJS.Timeout | null = null;

  private sentAtMs = -Infinity;

  /** When a report last named the engines that have sent data. */
  private reachedSentAtMs = -Infinity;

  /** Whether a report on this connection has named the message types that this VM understands. */
  private hasNamedTypes = false;

  /** Running and queued requests of the last report, as JSON. */
  private reportedKey = '';

  private isReportScheduled = false;

  /** Requests admitted since the last report, by model. */
  private readonly usage = new Map<string, number>();

  constructor(private readonly opts: ReporterOptions) {}

  async start(): Promise<void> {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
    this.opts.link.close();
  }

  /** Counts a request for a model. */
  noteUse(model: string): void {
    this.usage.set(model, (this.usage.get(model) ?? 0) + 1);
  }

  /** Reports a newly queued request without waiting for the interval. */
  reportNow(): void {
    if (this.isReportScheduled) return;
    this.isReportScheduled = true;
    setImmediate(() => this.report(true));
  }

  /** Sends a full report to a new steward. */
  sendFullReport(): void {
    this.reportedKey = '';
    this.hasNamedTypes = false;
    this.report(true);
  }

  /** Returns all rate shares to the steward; this entry VM ignores later grants. */
  sendFinalReport(): void {
    this.opts.admission.releaseShares();
    this.report(true);
  }

  private tick(): void {
    const steward = this.opts.lease.activeSteward();
    if (steward !== null && steward.fence >= this.opts.link.fence)
      this.opts.link.connectTo(steward);
    this.report(false);
  }

  private report(isImmediate: boolean): void {
    const nowMs = this.opts.clock.steadyMs();
    this.isReportScheduled = false;
    const sinceMs = nowMs - this.sentAtMs;
    if (!isImmediate && sinceMs < messageIntervalMs(this.opts.members())) return;
    const running = this.opts.view.running();
    const queued = this.opts.dispatcher.waits();
    // Usage is not part of the key: it triggers no report, and is sent with the next one.
    const key = JSON.stringify([running, queued.map(({ dueInMs, ...group }) => group)]);
    if (!isImmediate && key === this.reportedKey && sinceMs < MAX_REPORT_PAUSE_MS) return;
    const reachedForMs = nowMs - this.reachedSentAtMs;
    const isReachedDue = reachedForMs >= REACHED_INTERVAL_MS;
    const message: RelayMessage = {
      type: RelayMessageType.report,
      vm: this.opts.vm,
      address: this.opts.address,
      dataCentre: this.opts.dataCentre,
      sentAtMs: nowMs,
      clockMs: this.opts.clock.nowMs(),
      planRevision: this.opts.planVersion(),
      appliedSeq: this.opts.admission.lastSeq,
      shares: [...this.opts.admission.holder.report(nowMs)],
      running,
      waits: queued,
      usage: [...this.usage].map(([model, requests]) => ({ model, requests })),
      returned: Object.fromEntries(this.opts.admission.holder.unreturned()),
      unreachable: this.opts.view.unreachable(),
      reached: isReachedDue ? this.opts.view.reached(reachedForMs) : [],
      connected: [...this.opts.reachability.connectedServices(MAX_CONNECTED_AGE_MS)],
      partitioned: [...this.opts.reachability.partitionedServices()],
      leaving: this.opts.isStopping(),
      usesSlots: true,
      memorySeen: this.opts.memorySeen(),
      knownTypes: this.hasNamedTypes ? null : [...OWN_TYPES],
    };
    if (!this.opts.link.send(message)) return;
    this.hasNamedTypes = true;
    this.usage.clear();
    this.opts.admission.holder.noteReturned();
    this.reportedKey = key;
    this.sentAtMs = nowMs;
    if (isReachedDue) this.reachedSentAtMs = nowMs;
    this.opts.view.noteReported();
    this.opts.dispatcher.noteReported(queued);
  }
}
