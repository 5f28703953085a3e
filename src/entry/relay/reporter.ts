/** Reports this entry VM's rate shares, running requests and queued requests to the steward. */
import type { Clock } from '../../core/clock/index.js';
import type { Task } from '../../core/supervisor/index.js';
import { type ReportLoad, ReportPacer, SharesPacer } from '../../decisions/message-pacing/index.js';
import type { Admission } from './admission.js';
import type { Dispatcher } from './dispatch.js';
import type { FleetView } from './fleet-view.js';
import { messageIntervalMs } from './intervals.js';
import { OWN_TYPES } from './known-types.js';
import type { LeaseTask } from './lease-task.js';
import { type RelayMessageOf, RelayMessageType } from './messages.js';
import { SharedMessage } from './packed-messages.js';
import type { ReachabilityTask } from './reachability.js';
import type { StewardAnnouncements } from './steward-announcements.js';
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
  readonly announcements: StewardAnnouncements;
  /** Link rate of this VM, Mbit/s; null if it is unknown. */
  readonly linkMbps: number | null;
  /** Version of this entry VM's plan. */
  planVersion(): number;
  /** Number of entry VMs connected to the steward. */
  members(): number;
  /** Highest request for a memory permit whose answer was handled. */
  memorySeen(): number;
  isStopping(): boolean;
  /** Evacuated data centres that the steward does not know. */
  evacuations(): RelayMessageOf<'report'>['evacuations'];
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

  /** Whether a report is to be sent at once, as soon as the minimum time since the last one is over. */
  private isReportDue = false;

  private readonly pacer = new ReportPacer();

  private readonly sharesPacer = new SharesPacer();

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

  /**
   * Reports a newly queued request without waiting for the interval, unless the members' reports would
   * then be too many for the steward.
   */
  reportNow(): void {
    if (this.isReportScheduled) return;
    this.isReportScheduled = true;
    setImmediate(() => {
      this.isReportScheduled = false;
      this.isReportDue = true;
      this.reportIfDue();
    });
  }

  /** Sends a full report to a new steward, which has named the message types that it understands. */
  sendFullReport(): void {
    this.reportedKey = '';
    this.hasNamedTypes = false;
    this.sharesPacer.reset();
    this.report();
  }

  /** Returns all rate shares to the steward; this entry VM ignores later grants. */
  sendFinalReport(): void {
    this.opts.admission.releaseShares();
    this.sharesPacer.reset();
    this.report();
  }

  private tick(): void {
    const steward = this.opts.lease.activeSteward();
    if (steward !== null && steward.fence >= this.opts.link.fence)
      this.opts.link.connectTo(steward);
    this.reportIfDue();
  }

  private get load(): ReportLoad {
    const members = this.opts.members();
    const { bytesPerS, areMembersKnown } = this.opts.announcements;
    const baseIntervalMs = messageIntervalMs(members);
    return { members: areMembersKnown ? members : null, baseIntervalMs, bytesPerS };
  }

  /** Reports if the time since the last report allows it, and if there is anything new. */
  private reportIfDue(): void {
    if (!this.opts.link.isWelcomed) return;
    const sinceMs = this.opts.clock.steadyMs() - this.sentAtMs;
    if (this.isReportDue && sinceMs >= this.pacer.immediateGapMs(this.load)) {
      this.report();
      return;
    }
    if (sinceMs < this.pacer.intervalMs(this.load)) return;
    if (
      sinceMs >= MAX_REPORT_PAUSE_MS ||
      this.stateKey(this.opts.dispatcher.waits()) !== this.reportedKey
    )
      this.report();
  }

  /** Running and queued requests, as JSON. Usage triggers no report, and is sent with the next one. */
  private stateKey(waits: RelayMessageOf<'report'>['waits']): string {
    const queued = waits.map(({ dueInMs, ...group }) => group);
    return JSON.stringify([this.opts.view.running(), queued]);
  }

  private report(): void {
    const nowMs = this.opts.clock.steadyMs();
    this.isReportDue = false;
    const queued = this.opts.dispatcher.waits();
    const key = this.stateKey(queued);
    const shares = [...this.opts.admission.holder.report(nowMs)];
    const mayOmitShares = this.opts.link.understands(RelayMessageType.confirm);
    const hasShares =
      !mayOmitShares || this.sharesPacer.isDue(nowMs, this.pacer.intervalMs(this.load), shares);
    const reachedForMs = nowMs - this.reachedSentAtMs;
    const isReachedDue = reachedForMs >= REACHED_INTERVAL_MS;
    const message: RelayMessageOf<'report'> = {
      type: RelayMessageType.report,
      vm: this.opts.vm,
      address: this.opts.address,
      dataCentre: this.opts.dataCentre,
      sentAtMs: nowMs,
      clockMs: this.opts.clock.nowMs(),
      planRevision: this.opts.planVersion(),
      appliedSeq: this.opts.admission.lastSeq,
      shares: hasShares ? shares : null,
      running: this.opts.view.running(),
      waits: queued,
      usage: [...this.usage].map(([model, requests]) => ({ model, requests })),
      returned: Object.fromEntries(this.opts.admission.holder.unreturned()),
      unreachable: this.opts.view.unreachable(),
      reached: isReachedDue ? this.opts.view.reached(reachedForMs) : [],
      connected: [...this.opts.reachability.connectedServices(MAX_CONNECTED_AGE_MS)],
      partitioned: [...this.opts.reachability.partitionedServices()],
      leaving: this.opts.isStopping(),
      usesSlots: true,
      evacuations: this.opts.evacuations(),
      memorySeen: this.opts.memorySeen(),
      knownTypes: this.hasNamedTypes ? null : [...OWN_TYPES],
      linkMbps: this.opts.linkMbps,
      storeAgeMs: this.opts.lease.storeAgeMs(),
    };
    if (!this.send(message)) return;
    if (hasShares) this.sharesPacer.noteSent(nowMs, shares);
    this.hasNamedTypes = true;
    this.usage.clear();
    this.opts.admission.holder.noteReturned();
    this.reportedKey = key;
    this.sentAtMs = nowMs;
    if (isReachedDue) this.reachedSentAtMs = nowMs;
    this.opts.view.noteReported();
    this.opts.dispatcher.noteReported(queued);
  }

  private send(message: RelayMessageOf<'report'>): boolean {
    const { link, announcements } = this.opts;
    if (!announcements.isStewardSlow) return link.send(message);
    const bytes = link.sendPacked(new SharedMessage(message));
    if (bytes > 0) this.pacer.noteSent(bytes);
    return bytes > 0;
  }
}
