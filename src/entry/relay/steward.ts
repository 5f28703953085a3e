/**
 * Acts as steward while this entry VM holds the lease: collects the reports of all entry VMs, plans
 * engine orders and distributes the customers' rate limits.
 */
import * as net from 'node:net';
import { z } from 'zod';
import * as clocks from '../../core/clock/index.js';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type Handover,
  HandoverReason,
  type LeaseSuccessor,
  type SentLease,
} from '../../decisions/leases/index.js';
import { RateLender } from '../../decisions/rate-shares/index.js';
import { ControlTraffic } from './control-traffic.js';
import type { StoreWatcherTask } from './store-watcher.js';
import type { EvacuationTask } from './evacuations.js';
import type { IncidentTask } from './incidents.js';
import { MemoryService } from './memory-service.js';
import { memoryTokens } from './server-tokens.js';
import type { PeerRelay } from './peer-relay.js';
import { PermitService } from './permit-service.js';
import type { ServerSlotsTask } from './server-slots.js';
import { SlotService } from './slot-service.js';
import type { StreamVersionsTask } from './stream-versions.js';
import type { ThrottlingTask } from './throttling.js';
import type { LateRenewal, LeaseTask } from './lease-task.js';
import { OWN_TYPES } from './known-types.js';
import { leaseMessageFor } from './lease-messages.js';
import { MemberUpdates } from './member-updates.js';
import { LoanService } from './loan-service.js';
import { MessageLink } from './message-link.js';
import { type RelayMessage, type RelayMessageOf, RelayMessageType } from './messages.js';
import type { ReachabilityTask } from './reachability.js';
import { createMember, FullList, type Member } from './steward-member.js';
import { StewardSuccession } from './steward-succession.js';
import { EngineController } from './engine-controller.js';
import { planningIntervalMs } from './intervals.js';
import { SharedMessage } from './packed-messages.js';
import { PlanUpdates } from './plan-updates.js';
import type { PlatformWire } from './types.js';

const TICK_MS = 20;
/** Pause between two checks of the stored allowances, ms. */
const ALLOWANCE_CHECK_MS = 100;
/** Minimum time between two early renewals for new allowances, ms: each store call is billed. */
const MIN_RENEWAL_PAUSE_MS = 150;
/** Time for sending the last messages before the connections are closed, ms. */
const FLUSH_MS = 20;
/** Time for the first message on a connection while this VM is not the steward, ms. */
const FIRST_MESSAGE_MS = 200;
/** Time without a message from a member after which its connection is closed, ms. */
const MEMBER_TIMEOUT_MS = 3_000;

/** Maximum share of any customer's rate limit that an entry VM may hold, 0 to 1, by VM id. */
const allowancesSchema = z.record(z.string(), z.number());
const noteDetailsSchema = z.object({ lentOnly: z.array(z.string()) });

/** Customers that the details of a handover note name; none if they can't be read. */
function lentOnlyOf(noteDetails: unknown): readonly string[] {
  return noteDetailsSchema.safeParse(noteDetails).data?.lentOnly ?? [];
}

/** Customers that the stored details name; null if these are unknown. */
function storedLentOnly(noteDetails: unknown): readonly string[] | null {
  return noteDetails === null ? null : lentOnlyOf(noteDetails);
}

export interface StewardOptions {
  readonly vm: string;
  readonly listen: string;
  readonly wire: PlatformWire;
  readonly storeWatcher: StoreWatcherTask;
  readonly evacuations: EvacuationTask;
  readonly incidents: IncidentTask;
  readonly throttling: ThrottlingTask;
  readonly slots: ServerSlotsTask;
  readonly streams: StreamVersionsTask;
  readonly lease: LeaseTask;
  readonly reachability: ReachabilityTask;
  /** Duration of a lease from its renewal, ms. */
  readonly leaseMs: number;
  /** Link rate of this VM, Mbit/s; null if it is unknown. */
  readonly linkMbps: number | null;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Takes the connections whose first message asks for a connection to a server. */
  readonly peerRelay: PeerRelay;
  /** Sends a message to the steward that this VM is connected to; false if it could not be sent. */
  send(message: RelayMessage): boolean;
}

/** Last report of a successor: its send time on the successor's clock and its arrival time here. */
interface SuccessorReport {
  readonly clockMs: number;
  readonly reportedAtMs: number;
}

export class StewardTask implements Task {
  readonly name = 'steward';

  private server: net.Server | null = null;

  private timer: NodeJS.Timeout | null = null;

  private readonly members = new Set<Member>();

  private lender: RateLender | null = null;

  private loanService: LoanService | null = null;

  private engineController: EngineController | null = null;

  private permitService: PermitService | null = null;

  private slotService: SlotService | null = null;

  private memoryService: MemoryService | null = null;

  /** Fencing token under which this VM acts as steward; 0 while it does not. */
  private fence = 0;

  /** Allowances stored in the lease. */
  private writtenAllowances: Readonly<Record<string, number>> = {};

  /** Customers of whose rate no VM holds a share, according to the lease; null if that is unknown. */
  private writtenLentOnly: readonly string[] | null = [];

  private earlyRenewalAtMs = -Infinity;

  private allowancesCheckedAtMs = -Infinity;

  /** When the last planning pass ran. */
  private plannedAtMs = -Infinity;

  private handingOver = false;

  private readonly traffic: ControlTraffic;

  private readonly succession: StewardSuccession;

  private readonly updates: MemberUpdates;

  private readonly planUpdates: PlanUpdates;

  /** The successor's last report before the handover. */
  private successorReport: SuccessorReport | null = null;

  /** Late renewal that has not been sent to the successor yet. */
  private lateRenewal: RelayMessage | null = null;

  constructor(private readonly opts: StewardOptions) {
    const { members } = this;
    this.traffic = new ControlTraffic(opts);
    this.succession = new StewardSuccession({ ...opts, members });
    this.updates = new MemberUpdates({ ...opts, members, traffic: this.traffic });
    this.planUpdates = new PlanUpdates({ ...opts, traffic: this.traffic });
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    const [host = '', port = '0'] = this.opts.listen.split(':');
    const server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), host, resolve);
    });
    server.on('error', fail);
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
    this.endTerm();
    this.server?.close();
  }

  /** Hands over to the successor before a planned stop. Resolves once all members are notified. */
  async handOver(): Promise<void> {
    this.handingOver = true;
    const held = this.opts.lease.heldLease();
    this.opts.lease.release();
    if (held !== null) {
      this.successorReport = this.successorReportOf(this.sendRelease(held));
      await clocks.sleep(FLUSH_MS);
    }
    this.handingOver = false;
    this.endTerm();
  }

  /** Tells all members that the lease was released; returns the successor. */
  private sendRelease(held: SentLease): Member | undefined {
    const isSuccessor = ({ vm }: Member) => vm !== null && vm === held.lease.heir?.vm;
    // The successor is notified last, because the other members connect to it as soon as they
    // receive the release.
    const inOrder = [...this.members].sort(
      (a, b) => Number(isSuccessor(a)) - Number(isSuccessor(b)),
    );
    inOrder.forEach((member) => this.sendLease(member, held, true));
    return inOrder.find(isSuccessor);
  }

  /** The designated successor for the lease that is written now; null for none. */
  heir(): Omit<LeaseSuccessor, 'epoch'> | null {
    return this.succession.choose(this.opts.clock.steadyMs());
  }

  /** Sends the successor a late renewal, so that the successor may hold the lease for longer. */
  sendLateRenewal({ lease, version, untilMs }: LateRenewal): void {
    if (this.successorReport === null) return;
    const { clockMs, reportedAtMs } = this.successorReport;
    this.lateRenewal = {
      type: RelayMessageType.lease,
      lease,
      version,
      leftMs: untilMs - this.opts.clock.nowMs(),
      heirTerm: { fromMs: clockMs, untilMs: clockMs + untilMs - reportedAtMs },
      isGivenUp: true,
    };
    this.sendPendingRenewal();
  }

  /** Sends a pending late renewal to the successor, which by then is the connected steward. */
  sendPendingRenewal(): void {
    if (this.lateRenewal !== null && this.opts.send(this.lateRenewal)) this.lateRenewal = null;
  }

  /** Passes the office to the successor if that VM serves the fleet better than this one. */
  private handOverIfBetter(nowMs: number): void {
    const { lease } = this.opts;
    if (this.handingOver) return;
    const handover = this.succession.findHandover(nowMs);
    if (handover === null) return;
    const held = lease.heldLease();
    const heir = held?.lease.heir;
    if (held === null || !handover.better.some(({ vm }) => vm === heir?.vm)) {
      // Another successor can't be named while the store is lost.
      if (handover.reason !== HandoverReason.store) this.renewEarly(nowMs);
      return;
    }
    if (!lease.handOver()) return;
    this.noteHandover(handover, heir?.vm);
    void this.endHandedOverTerm(held);
  }

  private noteHandover({ reason }: Handover, peer: string | undefined): void {
    const { logger, metrics, linkMbps } = this.opts;
    logger.info('office-handed-over', { peer, fence: this.fence, reason, linkMbps });
    metrics.count('relay_handovers_total', { reason });
  }

  private async endHandedOverTerm(held: SentLease): Promise<void> {
    this.handingOver = true;
    this.sendRelease(held);
    await clocks.sleep(FLUSH_MS);
    this.handingOver = false;
    this.endTerm();
  }

  private successorReportOf(member: Member | undefined): SuccessorReport | null {
    if (member === undefined || member.report === null) return null;
    return { clockMs: member.report.clockMs, reportedAtMs: member.reportedAtMs };
  }

  private sendLease(member: Member, held: SentLease, isGivenUp: boolean): boolean {
    return member.link.send(leaseMessageFor(member, held, isGivenUp, this.opts.clock.nowMs()));
  }

  private get isActing(): boolean {
    return this.fence > 0;
  }

  private accept(socket: net.Socket): void {
    const nowMs = this.opts.clock.steadyMs();
    // A successor takes over in `tick`. Members may connect before its next scheduled run.
    if (!this.isActing) this.tick();
    const link = this.isActing ? this.traffic.createLink(socket) : new MessageLink(socket);
    const member = createMember(nowMs, link);
    socket.on('error', (err) => {
      this.opts.logger.debug('member-link-failed', { peer: member.vm, reason: err.message });
    });
    socket.on('close', () => this.members.delete(member));
    if (!this.isActing) {
      const { lease } = this.opts;
      const isIdle = lease.confirmInactive();
      const { newestFence } = lease;
      link.send({ type: RelayMessageType.noOffice, isIdle, newestFence });
      const timer = setTimeout(() => socket.end(), FIRST_MESSAGE_MS);
      this.opts.peerRelay.read(
        socket,
        () => socket.end(),
        () => clearTimeout(timer),
      );
      socket.on('close', () => clearTimeout(timer));
      return;
    }
    this.members.add(member);
    this.opts.peerRelay.read(
      socket,
      (message) => this.handleMessage(member, message),
      () => this.members.delete(member),
    );
    link.send({
      type: RelayMessageType.welcome,
      vm: this.opts.vm,
      fence: this.fence,
      issuesSlots: true,
      knownTypes: [...OWN_TYPES],
      bytesPerS: this.traffic.bytesPerS,
    });
  }

  private handleMessage(member: Member, message: RelayMessage): void {
    const nowMs = this.opts.clock.steadyMs();
    Object.assign(member, { receivedAtMs: nowMs });
    if (!this.isActing) return;
    switch (message.type) {
      case RelayMessageType.report:
        this.handleReport(nowMs, member, message);
        break;
      case RelayMessageType.ask:
        this.loanService?.handleAsk(nowMs, member.link, message);
        break;
      case RelayMessageType.incidents:
        this.handleIncidents(member, message);
        break;
      case RelayMessageType.ranWhole:
        this.handleCompleted(member, message);
        break;
      case RelayMessageType.lease:
        this.opts.lease.handleLeaseMessage(message, message.heirTerm);
        break;
      case RelayMessageType.streams:
        this.handleStreams(member, message);
        break;
      case RelayMessageType.throttles:
        this.permitService?.handleThrottles(nowMs, member, message);
        break;
      case RelayMessageType.slotNeeds:
        this.slotService?.handleNeeds(nowMs, member, message);
        break;
      case RelayMessageType.permitRequest:
        this.permitService?.handleRequest(nowMs, member, message);
        break;
      case RelayMessageType.memoryAsk:
        this.memoryService?.handleAsk(nowMs, member, message);
        break;
      case RelayMessageType.permitReturn:
        this.permitService?.handleReturn(nowMs, message);
        break;
      default:
    }
  }

  /** Passes on the streams that a member has begun, which also is the member of this VM. */
  private handleStreams(member: Member, message: RelayMessageOf<'streams'>): void {
    this.opts.streams.addReceived(message);
    this.members.forEach((other) => {
      if (other !== member) other.link.send(message);
    });
  }

  private handleReport(nowMs: number, member: Member, report: RelayMessageOf<'report'>): void {
    member.link.noteTypes(report.knownTypes, report.usesSlots);
    const isFirst = member.vm === null;
    Object.assign(member, { vm: report.vm, report, reportedAtMs: this.opts.clock.nowMs() });
    // Sent before the reply, which confirms that the member's server list is current.
    if (isFirst) this.updates.sendFirstLists(member);
    this.engineController?.addReport(nowMs, report);
    this.opts.evacuations.applyReport(report);
    this.memoryService?.handleReport(member, report);
    const { lender } = this;
    if (lender === null) return;
    if (report.leaving && report.shares?.length === 0) {
      lender.removeVm(nowMs, report.vm);
      return;
    }
    if (report.shares !== null)
      lender.noteReport(nowMs, report.vm, report.appliedSeq, report.shares);
    Object.entries(report.returned).forEach(([customer, units]) =>
      lender.refund(nowMs, customer, units),
    );
    this.updates.sendServerListChanges(member);
    this.replyTo(nowMs, member, report, lender);
    this.planUpdates.sendIfBehind(nowMs, member, report);
  }

  /** Confirms the member's copies; renews its rate shares if the report has carried them. */
  private replyTo(
    nowMs: number,
    member: Member,
    report: RelayMessageOf<'report'>,
    lender: RateLender,
  ): void {
    const { storeWatcher } = this.opts;
    const { plan, backends } = storeWatcher.freshness();
    // A member that lacks a list follows the store, which tells the models of the servers as well.
    const isListPending =
      member.pendingLists.has(FullList.servers) || member.pendingLists.has(FullList.view);
    const confirmed = {
      reportClockMs: report.clockMs,
      plan,
      backends: isListPending ? null : backends,
      planRevision: storeWatcher.planVersion,
      evacuations: this.opts.evacuations.shared(),
    };
    if (report.shares === null) {
      member.link.send({ type: RelayMessageType.confirm, ...confirmed });
      return;
    }
    const { seq, fractions } = lender.grant(nowMs, report.vm);
    const grant: RelayMessageOf<'grant'> = {
      type: RelayMessageType.grant,
      seq,
      reportSentAtMs: report.sentAtMs,
      fractions: Object.fromEntries(fractions),
      ...confirmed,
    };
    // The grants of all members that join at once would fill a slow link.
    if (this.traffic.isSlow) member.link.sendShared(new SharedMessage(grant));
    else member.link.send(grant);
  }

  private handleIncidents(member: Member, message: RelayMessageOf<'incidents'>): void {
    const fingerprints = this.opts.incidents.addReceived(message, member.vm ?? 'member');
    if (fingerprints.length > 0) {
      member.link.send({ type: RelayMessageType.ranWhole, fingerprints });
    }
    this.members.forEach((other) => this.updates.sendIncidentChanges(other));
  }

  private handleCompleted(member: Member, message: RelayMessageOf<'ran-whole'>): void {
    // Requests that completed at this VM are already cleared in its incident table.
    const isOwn = member.vm === this.opts.vm;
    const fingerprints = isOwn ? message.fingerprints : this.opts.incidents.clearCompleted(message);
    if (fingerprints.length === 0) return;
    this.members.forEach(({ link }) => {
      if (link !== member.link) link.send({ type: RelayMessageType.ranWhole, fingerprints });
    });
  }

  private tick(): void {
    const nowMs = this.opts.clock.steadyMs();
    const fence = this.opts.lease.fence();
    if (fence === 0) {
      if (this.isActing && !this.handingOver) this.endTerm();
      return;
    }
    if (!this.isActing) this.beginTerm(nowMs);
    this.fence = fence;
    this.permitService?.tick(nowMs);
    this.slotService?.tick(nowMs);
    // The timer is inexact: a planning pass may run half a tick early.
    const dueMs =
      this.plannedAtMs + planningIntervalMs(this.opts.storeWatcher.backends.size) - TICK_MS / 2;
    if (nowMs < dueMs) return;
    this.plannedAtMs = nowMs;
    const { plan } = this.opts.storeWatcher;
    if (plan === null) return;
    this.lender?.setLimits(nowMs, plan.customers);
    this.writeAllowances(nowMs);
    this.dropUnresponsive(nowMs);
    const reports = [...this.members].flatMap(({ report }) => (report === null ? [] : [report]));
    this.engineController?.tick(nowMs, reports);
    const seeksSuccessor = this.succession.seeksSuccessor(nowMs);
    this.updates.sendUpdates(nowMs, this.engineController, seeksSuccessor);
    this.handOverIfBetter(nowMs);
  }

  /** The handover note for the next steward; `previous` is the note in the lease. */
  note(previous: unknown): unknown {
    const nowMs = this.opts.clock.steadyMs();
    if (this.lender === null) return previous === undefined ? {} : previous;
    return Object.fromEntries(this.lender.allowances(nowMs));
  }

  /** The details of that note; `previous` are those in the lease. */
  noteDetails(previous: unknown): unknown {
    if (this.lender === null) return previous;
    return { lentOnly: this.lender.lentOnly(this.opts.clock.steadyMs()) };
  }

  /** Called when a write of the lease with this handover note has taken effect. */
  onNoteWritten(note: unknown, noteDetails: unknown): void {
    const parsed = allowancesSchema.safeParse(note);
    this.writtenAllowances = parsed.success ? parsed.data : {};
    this.writtenLentOnly = storedLentOnly(noteDetails);
    this.noteWritten();
  }

  private noteWritten(): void {
    const allowances = new Map(Object.entries(this.writtenAllowances));
    this.lender?.notePersisted(allowances, this.writtenLentOnly);
  }

  /** Renews the lease early if an entry VM may need more than its allowance in the lease. */
  private writeAllowances(nowMs: number): void {
    if (nowMs - this.allowancesCheckedAtMs < ALLOWANCE_CHECK_MS) return;
    this.allowancesCheckedAtMs = nowMs;
    const allowances = this.lender?.allowances(nowMs) ?? new Map<string, number>();
    const isAnyLarger = [...allowances].some(
      ([vm, allowance]) => allowance > (this.writtenAllowances[vm] ?? 0),
    );
    if (isAnyLarger || this.lender?.mustPersist === true) this.renewEarly(nowMs);
  }

  private renewEarly(nowMs: number): void {
    if (nowMs - this.earlyRenewalAtMs <= MIN_RENEWAL_PAUSE_MS) return;
    this.earlyRenewalAtMs = nowMs;
    this.opts.lease.renewNow();
  }

  private beginTerm(nowMs: number): void {
    this.opts.metrics.gauge('relay_steward', 1);
    const parsed = allowancesSchema.safeParse(this.opts.lease.previousNote);
    // Without a note, there was no steward before. With an invalid note, the shares that entry
    // VMs still hold are unknown (null).
    const stored = this.opts.lease.previousNote === undefined ? {} : parsed.data;
    this.lender = new RateLender(
      nowMs,
      stored === undefined ? null : new Map(Object.entries(stored)),
      lentOnlyOf(this.opts.lease.previousNoteDetails),
    );
    this.noteWritten();
    const { vm, wire, storeWatcher, lease, reachability, clock, logger, throttling } = this.opts;
    this.loanService = new LoanService({ lender: this.lender, clock, logger });
    this.permitService = new PermitService({ storeWatcher, throttling, members: this.members });
    this.slotService = new SlotService(nowMs, { slots: this.opts.slots, members: this.members });
    this.memoryService = new MemoryService(nowMs, {
      members: this.members,
      servers: () => storeWatcher.backends,
      memoryTokens: (service) => memoryTokens(storeWatcher.plan, service),
    });
    const { issuer } = this.permitService;
    this.engineController = new EngineController({
      vm,
      wire,
      storeWatcher: this.opts.evacuations.serving,
      lease,
      reachability,
      clock,
      logger,
      issuer,
    });
  }

  private endTerm(): void {
    this.opts.metrics.gauge('relay_steward', 0);
    this.fence = 0;
    this.lender = null;
    this.loanService?.stop();
    this.loanService = null;
    this.engineController = null;
    this.permitService = null;
    this.slotService = null;
    this.memoryService = null;
    this.members.forEach(({ link }) => link.close());
    this.members.clear();
    this.traffic.end();
  }

  private dropUnresponsive(nowMs: number): void {
    this.members.forEach((member) => {
      if (nowMs - member.receivedAtMs > MEMBER_TIMEOUT_MS) member.link.close();
    });
  }
}
