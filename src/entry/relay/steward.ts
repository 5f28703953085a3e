/** The steward's task: hears every entry VM, orders engines, and lends customers' rates. */
import * as net from 'node:net';
import { z } from 'zod';
import * as clocks from '../../core/clock/index.js';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type HeirCandidate,
  HeirChoice,
  type LeaseHeir,
  type ToldLease,
} from '../../decisions/leases/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { RateLender } from '../../decisions/rate-shares/index.js';
import type { FollowerTask } from './follower.js';
import { IncidentTeller } from './incident-teller.js';
import type { IncidentTask } from './incidents.js';
import type { LandedLease, LeaseTask } from './lease-task.js';
import {
  type EngineView,
  type LoadView,
  type RelayMessage,
  type RelayMessageOf,
  RelayMessageType,
} from './messages.js';
import { BeliefTeller, ToldLists } from './belief-teller.js';
import { EngineYard } from './engine-yard.js';
import { lookMs, paceMs } from './pace.js';
import { readMessages, writeMessage } from './steward-link.js';
import type { PlatformWire } from './types.js';

const TICK_MS = 20;
/** Pause between two looks at what VMs may get, ms. */
const ALLOWANCES_MS = 100;
/** Shortest time between two renewals for a changed note, ms: every call is priced. */
const HURRY_MS = 150;
/** The steward speaks at least this often, ms. */
const SPEAK_MS = 250;
/** Time for the last messages to leave, ms. */
const LAST_MESSAGES_MS = 20;
/** A connection that said nothing for this long is closed, ms. */
const MEMBER_SILENCE_MS = 3_000;

const allowancesSchema = z.record(z.string(), z.number());

/** An entry VM that reports to this one. */
interface Member {
  readonly socket: net.Socket;
  readonly sinceMs: number;
  vm: string | null;
  report: RelayMessageOf<'report'> | null;
  /** When its last report came, by the clock that counts suspensions. */
  reportedAtMs: number;
  heardAtMs: number;
  spokenAtMs: number;
  /** What it was told of each engine. */
  readonly told: Map<string, string>;
  readonly toldRunning: Map<string, number>;
  toldRunningAtMs: number;
  toldLoads: string;
  toldLease: number;
  readonly beliefs: BeliefTeller;
  readonly incidents: IncidentTeller;
}

export interface StewardOptions {
  readonly vm: string;
  readonly listen: string;
  readonly wire: PlatformWire;
  readonly follower: FollowerTask;
  readonly incidents: IncidentTask;
  readonly lease: LeaseTask;
  /** How long a lease lasts from its renewal, ms. */
  readonly leaseMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Tells the steward that this VM follows; false where none is heard. */
  send(message: RelayMessage): boolean;
}

/** An heir's last report: it relates its clock to the steward's. */
interface HeirReport {
  readonly clockMs: number;
  readonly reportedAtMs: number;
}

export class StewardTask implements Task {
  readonly name = 'steward';

  private server: net.Server | null = null;

  private timer: NodeJS.Timeout | null = null;

  private readonly members = new Set<Member>();

  private lender: RateLender | null = null;

  private yard: EngineYard | null = null;

  private readonly toldLists = new ToldLists();

  private fence = 0;

  /** Allowances as the lease carries them. */
  private written: Readonly<Record<string, number>> = {};

  private hurriedAtMs = -Infinity;

  private allowancesAtMs = -Infinity;

  private lookedAtMs = -Infinity;

  private handingOver = false;

  private readonly heirChoice: HeirChoice;

  /** The heir's report as of the handover. */
  private heirReport: HeirReport | null = null;

  /** What the heir has not been told yet. */
  private untold: RelayMessage | null = null;

  constructor(private readonly opts: StewardOptions) {
    this.heirChoice = new HeirChoice(opts.leaseMs);
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    const [host = '', port = '0'] = this.opts.listen.split(':');
    const server = net.createServer({ noDelay: true }, (socket) => this.admit(socket));
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
    this.dismiss();
    this.server?.close();
  }

  /** Leaves the office to the heir, for a planned stop. Resolves once all members were told. */
  async handOver(): Promise<void> {
    this.handingOver = true;
    const held = this.opts.lease.held();
    this.opts.lease.release();
    if (held !== null) {
      // The heir comes last: who learns first that the office is given up goes to the heir.
      const isHeir = ({ vm }: Member) => vm !== null && vm === held.lease.heir?.vm;
      const inOrder = [...this.members].sort((a, b) => Number(isHeir(a)) - Number(isHeir(b)));
      inOrder.forEach((member) => this.sendLease(member, held, true));
      this.heirReport = this.reportOf(inOrder.find(isHeir));
      await clocks.sleep(LAST_MESSAGES_MS);
    }
    this.handingOver = false;
    this.dismiss();
  }

  /** Who goes on should this VM end, for the lease that is written now. */
  heir(): Omit<LeaseHeir, 'epoch'> | null {
    return this.heirChoice.choose(this.opts.clock.steadyMs(), this.heirCandidates());
  }

  /** A renewal took effect after the lease was given up: the heir holds it for longer. */
  tellLanded({ lease, version, untilMs }: LandedLease): void {
    if (this.heirReport === null) return;
    const { clockMs, reportedAtMs } = this.heirReport;
    this.untold = {
      type: RelayMessageType.lease,
      lease,
      version,
      leftMs: untilMs - this.opts.clock.nowMs(),
      heirTerm: { fromMs: clockMs, untilMs: clockMs + untilMs - reportedAtMs },
      isGivenUp: true,
    };
    this.tellSteward();
  }

  /** Tells the steward that this VM follows what it has not been told yet. */
  tellSteward(): void {
    if (this.untold !== null && this.opts.send(this.untold)) this.untold = null;
  }

  private heirCandidates(): readonly HeirCandidate[] {
    return [...this.members].flatMap(({ vm, report, sinceMs }) =>
      vm === null || vm === this.opts.vm || report === null
        ? []
        : [{ vm, address: report.address, sinceMs, leaving: report.leaving }],
    );
  }

  private reportOf(member: Member | undefined): HeirReport | null {
    if (member === undefined || member.report === null) return null;
    return { clockMs: member.report.clockMs, reportedAtMs: member.reportedAtMs };
  }

  private sendLease(member: Member, told: ToldLease, isGivenUp: boolean): boolean {
    const { lease, leftMs } = told;
    const isHeir = member.vm !== null && lease.heir?.vm === member.vm;
    const report = isHeir ? this.reportOf(member) : null;
    // Counted from when the heir sent its report: a message that is late makes it shorter.
    const heirTerm =
      report === null
        ? undefined
        : {
            fromMs: report.clockMs,
            untilMs: report.clockMs + leftMs + (this.opts.clock.nowMs() - report.reportedAtMs),
          };
    return writeMessage(member.socket, {
      type: RelayMessageType.lease,
      ...told,
      heirTerm,
      isGivenUp,
    });
  }

  private get acting(): boolean {
    return this.fence > 0;
  }

  private admit(socket: net.Socket): void {
    const nowMs = this.opts.clock.steadyMs();
    const member: Member = {
      socket,
      sinceMs: nowMs,
      vm: null,
      report: null,
      reportedAtMs: -Infinity,
      heardAtMs: nowMs,
      spokenAtMs: -Infinity,
      told: new Map(),
      toldRunning: new Map(),
      toldRunningAtMs: -Infinity,
      toldLoads: '',
      toldLease: 0,
      beliefs: new BeliefTeller(),
      incidents: new IncidentTeller(),
    };
    socket.on('error', (err) => {
      this.opts.logger.debug('member-link-failed', { peer: member.vm, reason: err.message });
    });
    socket.on('close', () => this.members.delete(member));
    // The heir may be dialled before its first look at the lease.
    if (!this.acting) this.tick();
    if (!this.acting) {
      const { lease } = this.opts;
      const isIdle = lease.renounce();
      const { newestFence } = lease;
      writeMessage(socket, { type: RelayMessageType.noOffice, isIdle, newestFence });
      socket.end();
      return;
    }
    this.members.add(member);
    readMessages(socket, 'member', this.opts.logger, (message) => this.take(member, message));
    writeMessage(socket, {
      type: RelayMessageType.welcome,
      vm: this.opts.vm,
      fence: this.fence,
    });
  }

  private take(member: Member, message: RelayMessage): void {
    const nowMs = this.opts.clock.steadyMs();
    Object.assign(member, { heardAtMs: nowMs });
    if (!this.acting) return;
    switch (message.type) {
      case RelayMessageType.report:
        this.takeReport(nowMs, member, message);
        break;
      case RelayMessageType.ask:
        this.lend(nowMs, member, message);
        break;
      case RelayMessageType.incidents:
        this.takeIncidents(member, message);
        break;
      case RelayMessageType.ranWhole:
        this.takeWhole(member, message);
        break;
      case RelayMessageType.lease:
        this.opts.lease.noteTold(message, message.heirTerm);
        break;
      default:
    }
  }

  private takeReport(nowMs: number, member: Member, report: RelayMessageOf<'report'>): void {
    Object.assign(member, { vm: report.vm, report, reportedAtMs: this.opts.clock.nowMs() });
    this.yard?.takeReport(nowMs, report);
    const { lender } = this;
    if (lender === null) return;
    if (report.leaving && report.shares.length === 0) {
      lender.noteLeft(nowMs, report.vm);
      return;
    }
    lender.noteReport(nowMs, report.vm, report.appliedSeq, report.shares);
    const grant = lender.grant(nowMs, report.vm);
    const { follower } = this.opts;
    // The list goes first: the grant confirms it.
    this.tellBeliefs(member);
    writeMessage(member.socket, {
      type: RelayMessageType.grant,
      seq: grant.seq,
      reportSentAtMs: report.sentAtMs,
      reportClockMs: report.clockMs,
      fractions: Object.fromEntries(grant.fractions),
      ...follower.confirmed(),
      planRevision: follower.planRevision,
    });
    if (member.beliefs.lacksPlan(report, follower.planRevision)) {
      const { planRevision: revision, rawPlan: value } = follower;
      writeMessage(member.socket, { type: RelayMessageType.plan, revision, value });
    }
  }

  /** Tells a member how the list of backend servers has changed. */
  private tellBeliefs(member: Member): void {
    const { follower } = this.opts;
    const revision = follower.confirmed().backends?.revision;
    if (revision === undefined || member.vm === this.opts.vm) return;
    const change = member.beliefs.listChange(this.toldLists.at(follower), revision);
    if (change !== null && !writeMessage(member.socket, change)) member.beliefs.forget();
  }

  private takeIncidents(member: Member, message: RelayMessageOf<'incidents'>): void {
    const fingerprints = this.opts.incidents.take(message, member.vm ?? 'member');
    if (fingerprints.length > 0) {
      writeMessage(member.socket, { type: RelayMessageType.ranWhole, fingerprints });
    }
    this.members.forEach((other) => this.tellIncidents(other));
  }

  private takeWhole(member: Member, message: RelayMessageOf<'ran-whole'>): void {
    // What this VM itself tells is in its table already.
    const isOwn = member.vm === this.opts.vm;
    const fingerprints = isOwn ? message.fingerprints : this.opts.incidents.takeWhole(message);
    if (fingerprints.length === 0) return;
    this.members.forEach(({ socket }) => {
      if (socket !== member.socket) {
        writeMessage(socket, { type: RelayMessageType.ranWhole, fingerprints });
      }
    });
  }

  private tellIncidents(member: Member): void {
    const news = member.incidents.news(this.opts.incidents);
    if (news !== null && !writeMessage(member.socket, news)) member.incidents.forget();
  }

  private lend(nowMs: number, member: Member, ask: RelayMessageOf<'ask'>): void {
    const lent = this.lender?.lend(nowMs, ask.customer, ask.units) === true;
    const waitMs = this.lender?.waitMs(nowMs, ask.customer, ask.units) ?? Infinity;
    writeMessage(member.socket, {
      type: RelayMessageType.lent,
      askId: ask.askId,
      customer: ask.customer,
      units: lent ? ask.units : 0,
      waitMs: Number.isFinite(waitMs) ? waitMs : null,
    });
  }

  private tick(): void {
    const nowMs = this.opts.clock.steadyMs();
    const fence = this.opts.lease.fence();
    if (fence === 0) {
      if (this.acting && !this.handingOver) this.dismiss();
      return;
    }
    if (!this.acting) this.takeOffice(nowMs);
    this.fence = fence;
    // The timer is not exact: half a tick early is on time.
    const dueMs = this.lookedAtMs + lookMs(this.opts.follower.backends.size) - TICK_MS / 2;
    if (nowMs < dueMs) return;
    this.lookedAtMs = nowMs;
    const { plan } = this.opts.follower;
    if (plan === null) return;
    this.lender?.setLimits(nowMs, plan.customers);
    this.writeAllowances(nowMs);
    this.dropSilent(nowMs);
    const reports = [...this.members].flatMap(({ report }) => (report === null ? [] : [report]));
    this.yard?.tick(nowMs, reports);
    this.speak(nowMs);
  }

  /** What a successor should know, given what the steward before left. */
  note(before: unknown): unknown {
    const nowMs = this.opts.clock.steadyMs();
    if (this.lender === null) return before ?? {};
    return Object.fromEntries(this.lender.allowances(nowMs));
  }

  /** A note has been written to the lease. */
  noted(note: unknown): void {
    const parsed = allowancesSchema.safeParse(note);
    this.written = parsed.success ? parsed.data : {};
    this.lender?.noteWritten(new Map(Object.entries(this.written)));
  }

  /** Has the lease renewed at once where a VM may need more than is written down. */
  private writeAllowances(nowMs: number): void {
    if (nowMs - this.allowancesAtMs < ALLOWANCES_MS) return;
    this.allowancesAtMs = nowMs;
    const wanted = this.lender?.allowances(nowMs) ?? new Map<string, number>();
    const grows = [...wanted].some(([vm, part]) => part > (this.written[vm] ?? 0));
    if (grows && nowMs - this.hurriedAtMs > HURRY_MS) {
      this.hurriedAtMs = nowMs;
      this.opts.lease.renewSoon();
    }
  }

  private takeOffice(nowMs: number): void {
    const left = allowancesSchema.safeParse(this.opts.lease.noteLeft);
    // No note at all: nobody was steward before.
    const known = this.opts.lease.noteLeft === undefined ? {} : left.data;
    this.lender = new RateLender(
      nowMs,
      known === undefined ? null : new Map(Object.entries(known)),
    );
    this.lender.noteWritten(new Map(Object.entries(this.written)));
    this.yard = new EngineYard({
      vm: this.opts.vm,
      wire: this.opts.wire,
      follower: this.opts.follower,
      lease: this.opts.lease,
      clock: this.opts.clock,
      logger: this.opts.logger,
    });
  }

  private dismiss(): void {
    this.fence = 0;
    this.lender = null;
    this.yard = null;
    this.members.forEach(({ socket }) => socket.destroy());
    this.members.clear();
  }

  private dropSilent(nowMs: number): void {
    this.members.forEach((member) => {
      if (nowMs - member.heardAtMs > MEMBER_SILENCE_MS) member.socket.destroy();
    });
  }

  /** Tells each member what has changed since it was told last. */
  private speak(nowMs: number): void {
    const engines = this.engineViews();
    const texts = new Map(engines.map((engine) => [engine.id, JSON.stringify(engine)]));
    const loads = this.yard?.loads(nowMs) ?? [];
    const loadsKey = loads.map(({ model, adapter }) => `${model}/${adapter}`).join();
    this.members.forEach((member) => this.speakTo(nowMs, member, engines, texts, loads, loadsKey));
  }

  private speakTo(
    nowMs: number,
    member: Member,
    engines: readonly EngineView[],
    texts: ReadonlyMap<string, string>,
    loads: LoadView[],
    loadsKey: string,
  ): void {
    if (member.vm === null) return;
    this.tellLease(member);
    this.tellBeliefs(member);
    this.tellIncidents(member);
    const changed = engines.filter(({ id }) => member.told.get(id) !== texts.get(id));
    const due = nowMs - member.spokenAtMs >= SPEAK_MS;
    const running = this.runningFor(nowMs, member, engines);
    const quiet = changed.length === 0 && running.length === 0 && member.toldLoads === loadsKey;
    if (quiet && !due) return;
    const whole = member.told.size === 0;
    const sent = writeMessage(member.socket, {
      type: RelayMessageType.view,
      whole,
      engines: whole ? [...engines] : changed,
      running: Object.fromEntries(running),
      loads,
      members: this.members.size,
    });
    if (!sent) return;
    changed.forEach(({ id }) => member.told.set(id, texts.get(id) ?? ''));
    running.forEach(([id, count]) => member.toldRunning.set(id, count));
    Object.assign(member, { toldLoads: loadsKey, spokenAtMs: nowMs });
  }

  /** Counts of running requests that the member does not know, at the pace of the fleet. */
  private runningFor(
    nowMs: number,
    member: Member,
    engines: readonly EngineView[],
  ): readonly (readonly [string, number])[] {
    if (nowMs - member.toldRunningAtMs < paceMs(this.members.size)) return [];
    const counts = engines
      .map(({ id }) => [id, this.yard?.runningAt(id) ?? 0] as const)
      .filter(([id, count]) => count !== (member.toldRunning.get(id) ?? 0));
    if (counts.length > 0) Object.assign(member, { toldRunningAtMs: nowMs });
    return counts;
  }

  private tellLease(member: Member): void {
    const held = this.opts.lease.held();
    if (held === null || held.version === member.toldLease) return;
    if (this.sendLease(member, held, false)) {
      Object.assign(member, { toldLease: held.version });
    }
  }

  private engineViews(): readonly EngineView[] {
    return [...this.opts.follower.backends.values()].map((server) => this.viewOf(server));
  }

  private viewOf(server: BackendServer): EngineView {
    const models = this.yard?.modelsOf(server) ?? [];
    return {
      id: server.id,
      bornMs: server.bornMs,
      models: models.map(({ name, adapters }) => ({ name, adapters: [...adapters] })),
    };
  }
}
