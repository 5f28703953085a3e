/**
 * Acts as steward while this entry VM holds the lease: collects the reports of all entry VMs, plans
 * engine orders and distributes the customers' rate limits.
 */
import * as net from 'node:net';
import { z } from 'zod';
import * as clocks from '../../core/clock/index.js';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type SuccessorCandidate,
  SuccessorSelector,
  type LeaseSuccessor,
  type SentLease,
} from '../../decisions/leases/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { RateLender } from '../../decisions/rate-shares/index.js';
import { RESERVE_HOLDERS } from '../../decisions/throttling/index.js';
import type { StoreWatcherTask } from './store-watcher.js';
import { IncidentPublisher } from './incident-publisher.js';
import type { IncidentTask } from './incidents.js';
import { type ModelQueue, QueuePublisher, sumQueues } from './fleet-queues.js';
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
import { MessageLink } from './message-link.js';
import {
  type EngineView,
  type LoadView,
  type RelayMessage,
  type RelayMessageOf,
  RelayMessageType,
} from './messages.js';
import type { ReachabilityTask } from './reachability.js';
import { ServerListPublisher, ServerListCache } from './server-list-publisher.js';
import { EngineController } from './engine-controller.js';
import { planningIntervalMs, messageIntervalMs } from './intervals.js';
import type { PlatformWire } from './types.js';

const TICK_MS = 20;
/** Pause between two checks of the stored allowances, ms. */
const ALLOWANCE_CHECK_MS = 100;
/** Minimum time between two early renewals for new allowances, ms: each store call is billed. */
const MIN_RENEWAL_PAUSE_MS = 150;
/** Maximum time between two `view` messages to a member, ms. */
const MAX_UPDATE_PAUSE_MS = 250;
/** Time for sending the last messages before the connections are closed, ms. */
const FLUSH_MS = 20;
/** Time for the first message on a connection while this VM is not the steward, ms. */
const FIRST_MESSAGE_MS = 200;
/** Time without a message from a member after which its connection is closed, ms. */
const MEMBER_TIMEOUT_MS = 3_000;

/** Maximum share of any customer's rate limit that an entry VM may hold, 0 to 1, by VM id. */
const allowancesSchema = z.record(z.string(), z.number());

/** An entry VM that is connected to this steward. The steward's own VM is also a member. */
interface Member {
  readonly link: MessageLink;
  readonly connectedAtMs: number;
  /** Null until the member's first report. */
  vm: string | null;
  report: RelayMessageOf<'report'> | null;
  /** When the last report arrived, on the clock that also runs during suspension. */
  reportedAtMs: number;
  /** When the last message of any type arrived from the member. */
  receivedAtMs: number;
  /** When the last `view` message was sent to the member. */
  sentAtMs: number;
  /** State last sent for each engine, as JSON, by engine id. */
  readonly sentEngines: Map<string, string>;
  /** Number of running requests last sent for each engine. */
  readonly sentRunning: Map<string, number>;
  /** Their tokens last sent. */
  readonly sentTokens: Map<string, number>;
  /** Finds the queues that changed since the last message to it. */
  readonly queues: QueuePublisher;
  sentRunningAtMs: number;
  /** Models and adapters of the loads last sent, joined. */
  sentLoads: string;
  /** Version of the lease last sent. */
  sentLeaseVersion: number;
  /** Builds the server list updates for the member. */
  readonly beliefs: ServerListPublisher;
  /** Builds the messages with shared incidents for the member. */
  readonly incidents: IncidentPublisher;
  /** The request limits last sent, by server. */
  readonly sentThrottles: Map<string, string>;
  /** The statements of brittle servers last sent, by server. */
  readonly sentBrittle: Map<string, string>;
  /** Number of services with a known answer last sent. */
  sentAnswered: number;
  /** Whether it may send requests to throttled servers without a steward. */
  mayUseReserve: boolean;
  /** The list of peers last sent, as JSON. */
  sentPeers: string;
}

export interface StewardOptions {
  readonly vm: string;
  readonly listen: string;
  readonly wire: PlatformWire;
  readonly storeWatcher: StoreWatcherTask;
  readonly incidents: IncidentTask;
  readonly throttling: ThrottlingTask;
  readonly slots: ServerSlotsTask;
  readonly streams: StreamVersionsTask;
  readonly lease: LeaseTask;
  readonly reachability: ReachabilityTask;
  /** Duration of a lease from its renewal, ms. */
  readonly leaseMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
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

  private engineController: EngineController | null = null;

  private permitService: PermitService | null = null;

  private slotService: SlotService | null = null;

  private memoryService: MemoryService | null = null;

  /** Requests that wait at all entry VMs, as of the last reports. */
  private queues: readonly ModelQueue[] = [];

  private readonly serverListCache = new ServerListCache();

  /** Fencing token under which this VM acts as steward; 0 while it does not. */
  private fence = 0;

  /** Allowances stored in the lease. */
  private writtenAllowances: Readonly<Record<string, number>> = {};

  private earlyRenewalAtMs = -Infinity;

  private allowancesCheckedAtMs = -Infinity;

  /** When the last planning pass ran. */
  private plannedAtMs = -Infinity;

  private handingOver = false;

  private readonly successorSelector: SuccessorSelector;

  /** The successor's last report before the handover. */
  private successorReport: SuccessorReport | null = null;

  /** Late renewal that has not been sent to the successor yet. */
  private lateRenewal: RelayMessage | null = null;

  constructor(private readonly opts: StewardOptions) {
    this.successorSelector = new SuccessorSelector(opts.leaseMs);
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
    return this.successorSelector.choose(this.opts.clock.steadyMs(), this.successorCandidates());
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

  private successorCandidates(): readonly SuccessorCandidate[] {
    return [...this.members].flatMap(({ vm, report, reportedAtMs, connectedAtMs }) =>
      vm === null || vm === this.opts.vm || report === null
        ? []
        : [
            {
              vm,
              address: report.address,
              sinceMs: connectedAtMs,
              leaving: report.leaving,
              partitions: this.partitionsOf(report, reportedAtMs),
            },
          ],
    );
  }

  /**
   * Number of services with engines that a member can't reach. Those from which this VM is partitioned
   * count as well unless the member has connected to one of their servers since.
   */
  private partitionsOf(report: RelayMessageOf<'report'>, reportedAtMs: number): number {
    const { reachability, clock } = this.opts;
    const partitioned = report.partitioned.filter((service) => this.hasEngines(service));
    const reportAgeMs = clock.nowMs() - reportedAtMs;
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

  /** Passes the office to the successor if that VM is partitioned from fewer services than this one. */
  private handOverIfPartitioned(nowMs: number): void {
    const { lease, logger } = this.opts;
    const partitions = this.ownPartitions().length;
    if (partitions === 0 || this.handingOver) return;
    const better = this.successorCandidates().filter(
      (candidate) => !candidate.leaving && candidate.partitions < partitions,
    );
    if (better.length === 0) return;
    const held = lease.heldLease();
    const heir = held?.lease.heir;
    if (held === null || !better.some(({ vm }) => vm === heir?.vm)) {
      this.renewEarly(nowMs);
      return;
    }
    if (!lease.handOver()) return;
    logger.info('office-handed-over', { peer: heir?.vm, fence: this.fence, partitions });
    void this.endHandedOverTerm(held);
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
    const { lease, leftMs } = held;
    const isSuccessor = member.vm !== null && lease.heir?.vm === member.vm;
    const report = isSuccessor ? this.successorReportOf(member) : null;
    // The term counts from the send time of the successor's report: network delay only shortens it.
    const successorTerm =
      report === null
        ? undefined
        : {
            fromMs: report.clockMs,
            untilMs: report.clockMs + leftMs + (this.opts.clock.nowMs() - report.reportedAtMs),
          };
    return member.link.send({
      type: RelayMessageType.lease,
      ...held,
      heirTerm: successorTerm,
      isGivenUp,
    });
  }

  private get isActing(): boolean {
    return this.fence > 0;
  }

  private accept(socket: net.Socket): void {
    const nowMs = this.opts.clock.steadyMs();
    const link = new MessageLink(socket);
    const member: Member = {
      link,
      connectedAtMs: nowMs,
      vm: null,
      report: null,
      reportedAtMs: -Infinity,
      receivedAtMs: nowMs,
      sentAtMs: -Infinity,
      sentEngines: new Map(),
      sentRunning: new Map(),
      sentTokens: new Map(),
      queues: new QueuePublisher(),
      sentRunningAtMs: -Infinity,
      sentLoads: '',
      sentLeaseVersion: 0,
      beliefs: new ServerListPublisher(),
      incidents: new IncidentPublisher(),
      sentThrottles: new Map(),
      sentBrittle: new Map(),
      sentAnswered: 0,
      mayUseReserve: false,
      sentPeers: '',
    };
    socket.on('error', (err) => {
      this.opts.logger.debug('member-link-failed', { peer: member.vm, reason: err.message });
    });
    socket.on('close', () => this.members.delete(member));
    // A successor takes over in `tick`. Members may connect before its next scheduled run.
    if (!this.isActing) this.tick();
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
        this.handleAsk(nowMs, member, message);
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
    if (member.vm === null) this.sendAllStreams(member);
    Object.assign(member, { vm: report.vm, report, reportedAtMs: this.opts.clock.nowMs() });
    this.engineController?.addReport(nowMs, report);
    this.memoryService?.handleReport(member, report);
    const { lender } = this;
    if (lender === null) return;
    if (report.leaving && report.shares.length === 0) {
      lender.removeVm(nowMs, report.vm);
      return;
    }
    lender.noteReport(nowMs, report.vm, report.appliedSeq, report.shares);
    Object.entries(report.returned).forEach(([customer, units]) =>
      lender.refund(nowMs, customer, units),
    );
    const grant = lender.grant(nowMs, report.vm);
    const { storeWatcher } = this.opts;
    // Sent before the grant, which confirms that the member's server list is current.
    this.sendServerList(member);
    member.link.send({
      type: RelayMessageType.grant,
      seq: grant.seq,
      reportSentAtMs: report.sentAtMs,
      reportClockMs: report.clockMs,
      fractions: Object.fromEntries(grant.fractions),
      ...storeWatcher.freshness(),
      planRevision: storeWatcher.planVersion,
    });
    if (member.beliefs.needsPlan(report, storeWatcher.planVersion)) {
      member.link.send({ type: RelayMessageType.plan, value: storeWatcher.rawPlan });
    }
  }

  /** Sends a member the changes of the server list. */
  private sendServerList(member: Member): void {
    const { storeWatcher } = this.opts;
    const freshness = storeWatcher.freshness().backends;
    if (freshness === null || member.vm === this.opts.vm) return;
    const update = member.beliefs.nextUpdate(this.serverListCache.listFor(storeWatcher), freshness);
    if (update !== null && !member.link.send(update)) member.beliefs.resendAll();
  }

  private handleIncidents(member: Member, message: RelayMessageOf<'incidents'>): void {
    const fingerprints = this.opts.incidents.addReceived(message, member.vm ?? 'member');
    if (fingerprints.length > 0) {
      member.link.send({ type: RelayMessageType.ranWhole, fingerprints });
    }
    this.members.forEach((other) => this.sendIncidents(other));
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

  private sendAllStreams({ link }: Member): void {
    const message = this.opts.streams.fullMessage();
    if (message !== null) link.send(message);
  }

  private sendIncidents(member: Member): void {
    const message = member.incidents.nextMessage(this.opts.incidents);
    if (message !== null && !member.link.send(message)) member.incidents.resendAll();
  }

  private handleAsk(nowMs: number, member: Member, ask: RelayMessageOf<'ask'>): void {
    const isGranted = this.lender?.lend(nowMs, ask.customer, ask.units) === true;
    const waitMs = this.lender?.waitMs(nowMs, ask.customer, ask.units) ?? Infinity;
    member.link.send({
      type: RelayMessageType.lent,
      askId: ask.askId,
      customer: ask.customer,
      units: isGranted ? ask.units : 0,
      waitMs: Number.isFinite(waitMs) ? waitMs : null,
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
    this.sendUpdates(nowMs);
    this.handOverIfPartitioned(nowMs);
  }

  /** The handover note for the next steward; `previous` is the note in the lease. */
  note(previous: unknown): unknown {
    const nowMs = this.opts.clock.steadyMs();
    if (this.lender === null) return previous === undefined ? {} : previous;
    return Object.fromEntries(this.lender.allowances(nowMs));
  }

  /** Called when a write of the lease with this handover note has taken effect. */
  onNoteWritten(note: unknown): void {
    const parsed = allowancesSchema.safeParse(note);
    this.writtenAllowances = parsed.success ? parsed.data : {};
    this.lender?.notePersisted(new Map(Object.entries(this.writtenAllowances)));
  }

  /** Renews the lease early if an entry VM may need more than its allowance in the lease. */
  private writeAllowances(nowMs: number): void {
    if (nowMs - this.allowancesCheckedAtMs < ALLOWANCE_CHECK_MS) return;
    this.allowancesCheckedAtMs = nowMs;
    const allowances = this.lender?.allowances(nowMs) ?? new Map<string, number>();
    const isAnyLarger = [...allowances].some(
      ([vm, allowance]) => allowance > (this.writtenAllowances[vm] ?? 0),
    );
    if (isAnyLarger) this.renewEarly(nowMs);
  }

  private renewEarly(nowMs: number): void {
    if (nowMs - this.earlyRenewalAtMs <= MIN_RENEWAL_PAUSE_MS) return;
    this.earlyRenewalAtMs = nowMs;
    this.opts.lease.renewNow();
  }

  private beginTerm(nowMs: number): void {
    const parsed = allowancesSchema.safeParse(this.opts.lease.previousNote);
    // Without a note, there was no steward before. With an invalid note, the shares that entry
    // VMs still hold are unknown (null).
    const stored = this.opts.lease.previousNote === undefined ? {} : parsed.data;
    this.lender = new RateLender(
      nowMs,
      stored === undefined ? null : new Map(Object.entries(stored)),
    );
    this.lender.notePersisted(new Map(Object.entries(this.writtenAllowances)));
    const { vm, wire, storeWatcher, lease, reachability, clock, logger, throttling } = this.opts;
    this.permitService = new PermitService({
      storeWatcher,
      throttling,
      members: this.members,
    });
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
      storeWatcher,
      lease,
      reachability,
      clock,
      logger,
      issuer,
    });
  }

  private endTerm(): void {
    this.fence = 0;
    this.lender = null;
    this.engineController = null;
    this.permitService = null;
    this.slotService = null;
    this.memoryService = null;
    this.members.forEach(({ link }) => link.close());
    this.members.clear();
  }

  private dropUnresponsive(nowMs: number): void {
    this.members.forEach((member) => {
      if (nowMs - member.receivedAtMs > MEMBER_TIMEOUT_MS) member.link.close();
    });
  }

  /** Sends each member the state that changed since the last message to it. */
  private sendUpdates(nowMs: number): void {
    const engines = this.engineViews();
    const engineTexts = new Map(engines.map((engine) => [engine.id, JSON.stringify(engine)]));
    const loads = this.engineController?.loads(nowMs) ?? [];
    const loadsKey = loads
      .map(({ service, model, adapter }) => `${service}/${model}/${adapter}`)
      .join();
    const reports = [...this.members].flatMap(({ report }) => report ?? []);
    this.queues = sumQueues(reports.flatMap(({ waits }) => waits));
    const peers = this.peers();
    const peersText = JSON.stringify(peers);
    [...this.members].forEach((member, at) =>
      Object.assign(member, { mayUseReserve: at < RESERVE_HOLDERS }),
    );
    this.members.forEach((member) =>
      this.sendUpdate(nowMs, member, engines, engineTexts, loads, loadsKey, peers, peersText),
    );
  }

  /** All entry VMs that relay connections, as their last reports describe them. */
  private peers(): RelayMessageOf<'view'>['peers'] & object {
    return [...this.members].flatMap(({ report, link }) => {
      if (report === null || !link.understands(RelayMessageType.relayOpen)) return [];
      const { vm, address, dataCentre, partitioned, leaving } = report;
      const unreachable = report.unreachable.map(({ server }) => server).sort();
      return [{ vm, address, dataCentre, unreachable, partitioned, leaving }];
    });
  }

  private sendUpdate(
    nowMs: number,
    member: Member,
    engines: readonly EngineView[],
    engineTexts: ReadonlyMap<string, string>,
    loads: LoadView[],
    loadsKey: string,
    peers: RelayMessageOf<'view'>['peers'],
    peersText: string,
  ): void {
    if (member.vm === null) return;
    this.sendRenewedLease(member);
    this.sendServerList(member);
    this.sendIncidents(member);
    const changed = engines.filter(({ id }) => member.sentEngines.get(id) !== engineTexts.get(id));
    const isDue = nowMs - member.sentAtMs >= MAX_UPDATE_PAUSE_MS;
    const running = this.changedRunning(nowMs, member, engines);
    const tokens = running.map(([id]) => [id, this.engineController?.tokensAt(id) ?? 0] as const);
    const arePeersNew = member.sentPeers !== peersText;
    const isUnchanged =
      !arePeersNew && changed.length === 0 && running.length === 0 && member.sentLoads === loadsKey;
    if (isUnchanged && !isDue) return;
    const whole = member.sentEngines.size === 0;
    const queues = member.queues.changes(nowMs, this.queues);
    const sent = member.link.send({
      type: RelayMessageType.view,
      whole,
      engines: whole ? [...engines] : changed,
      running: Object.fromEntries(running),
      tokens: Object.fromEntries(tokens),
      loads,
      queues,
      members: [...this.members].filter(({ vm }) => vm !== null).length,
      mayUseReserve: member.mayUseReserve,
      peers: arePeersNew ? peers : null,
      unreached: [...this.opts.reachability.partitionedServices()],
    });
    if (!sent) return;
    changed.forEach(({ id }) => member.sentEngines.set(id, engineTexts.get(id) ?? ''));
    running.forEach(([id, count]) => member.sentRunning.set(id, count));
    tokens.forEach(([id, count]) => member.sentTokens.set(id, count));
    member.queues.noteSent(nowMs, queues);
    Object.assign(member, { sentLoads: loadsKey, sentPeers: peersText, sentAtMs: nowMs });
  }

  /** Changed numbers of running requests by engine, at an interval that grows with the fleet. */
  private changedRunning(
    nowMs: number,
    member: Member,
    engines: readonly EngineView[],
  ): readonly (readonly [string, number])[] {
    if (nowMs - member.sentRunningAtMs < messageIntervalMs(this.members.size)) return [];
    const counts = engines
      .map(({ id }) => [id, this.engineController?.runningAt(id) ?? 0] as const)
      .filter(
        ([id, count]) =>
          count !== (member.sentRunning.get(id) ?? 0) ||
          (this.engineController?.tokensAt(id) ?? 0) !== (member.sentTokens.get(id) ?? 0),
      );
    if (counts.length > 0) Object.assign(member, { sentRunningAtMs: nowMs });
    return counts;
  }

  private sendRenewedLease(member: Member): void {
    const held = this.opts.lease.heldLease();
    if (held === null || held.version === member.sentLeaseVersion) return;
    if (this.sendLease(member, held, false)) {
      Object.assign(member, { sentLeaseVersion: held.version });
    }
  }

  private engineViews(): readonly EngineView[] {
    return [...this.opts.storeWatcher.backends.values()].map((server) => this.engineView(server));
  }

  private engineView(server: BackendServer): EngineView {
    const models = this.engineController?.availableModels(server) ?? [];
    return {
      id: server.id,
      bornMs: server.bornMs,
      models: models.map(({ name, adapters }) => ({ name, adapters: [...adapters] })),
    };
  }
}
