/**
 * Keeps this entry VM's requests within the room of brittle servers: observes which servers state
 * that they are brittle, shares it with the other entry VMs, and obtains a slot from the steward for
 * each request in flight to such a server.
 */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Random } from '../../core/random/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type BrittleServer,
  brittleServers,
  FirstAnswers,
  SlotHolder,
} from '../../decisions/brittle-servers/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { MergeResult, type Throttle, ThrottleTable } from '../../decisions/throttling/index.js';
import { permitRepeatMs, slotIntervalMs } from './intervals.js';
import { type RelayMessage, type RelayMessageOf, RelayMessageType } from './messages.js';
import type { ResponseMetadata } from './types.js';

const TICK_MS = 25;
/** Interval at which a slot is requested for a server that other requests don't reach, ms. */
const PROBE_MS = 1_000;
/** Time after which needs that were not stated again are dropped, ms: their requests have left. */
const NEEDS_TTL_MS = 100;

/** For one request, the servers that could run it, with the penalty of their choice. */
export type ServerPenalties = ReadonlyMap<string, number>;

type SlotNeeds = NonNullable<RelayMessageOf<'slot-needs'>['needs']>;

export interface ServerSlotsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  servers(): ReadonlyMap<string, BackendServer>;
  /** Number of entry VMs connected to the steward. */
  members(): number;
  isStewardConnected(): boolean;
  /** Sends a message to the steward; false if it could not be sent. */
  send(message: RelayMessage): boolean;
}

function toObject(counts: ReadonlyMap<string, number>): Record<string, number> {
  return Object.fromEntries(counts);
}

export class ServerSlotsTask implements Task {
  readonly name = 'server-slots';

  /** The requests that servers may turn away, in place of limits. */
  private readonly table = new ThrottleTable();

  private readonly holder: SlotHolder;

  private readonly answers = new FirstAnswers();

  /** Whether the steward is to be told of the answers. */
  private hasNewAnswer = false;

  /** Waiting requests by the ids of the servers that could run them. */
  private readonly needs = new Map<string, { servers: ServerPenalties; needed: number }>();

  private needsAtMs = -Infinity;

  private sentNeedsKey = '';

  private sentNeedsAtMs = -Infinity;

  private readonly probedAtMs = new Map<string, number>();

  private readonly probes = new Set<string>();

  /** Requests turned away that the steward has not been told of. */
  private readonly turnedAway = new Map<string, number>();

  /** Whether the connected steward issues slots. */
  private hasIssuer = false;

  /** Number of entry VMs that the steward has named on this connection; null if it has named none. */
  private stewardMembers: number | null = null;

  /** Slots received on this connection to the steward. */
  private received = 0;

  private isFlushScheduled = false;

  private flushedAtMs = -Infinity;

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly opts: ServerSlotsOptions) {
    this.holder = new SlotHolder(opts.random.real());
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  get isAnyKnown(): boolean {
    return this.table.size > 0;
  }

  /** Whether a request may be sent to the server now. */
  allows({ id, service, slots }: BackendServer): boolean {
    const { nowMs } = this;
    if (!this.answers.allows(nowMs, service, slots, this.holder.inFlightAt(id))) return false;
    return this.holder.allows(nowMs, id, slots);
  }

  /** Counts a request that is sent now. */
  noteStarted({ id, service }: BackendServer): void {
    this.answers.noteSent(this.nowMs, service);
    this.holder.start(this.nowMs, id);
  }

  noteEnded({ id }: BackendServer): void {
    this.holder.end(this.nowMs, id);
  }

  /**
   * Asks for slots for waiting requests.
   * @param isAll Whether these are all requests that wait.
   */
  requestSlots(requests: readonly ServerPenalties[], isAll: boolean): void {
    if (!this.isAnyKnown) return;
    if (isAll) this.needs.clear();
    this.needsAtMs = this.nowMs;
    requests.forEach((penalties) => {
      const brittle = [...penalties].filter(([id]) => this.holder.isBrittle(id));
      if (brittle.length === 0) return;
      const key = brittle.map(([id]) => id).join(' ');
      const needed = (this.needs.get(key)?.needed ?? 0) + 1;
      this.needs.set(key, { servers: new Map(brittle), needed });
    });
    if (this.needsKey() !== this.sentNeedsKey) this.scheduleFlush();
  }

  /** Asks for a slot for a later request, to see whether the server is still brittle. */
  requestProbe(serverId: string): void {
    if (!this.holder.isBrittle(serverId)) return;
    if (this.nowMs - (this.probedAtMs.get(serverId) ?? -Infinity) < PROBE_MS) return;
    this.probedAtMs.set(serverId, this.nowMs);
    this.probes.add(serverId);
    this.scheduleFlush();
  }

  /**
   * Records whether a response states that its server is brittle, and whether the server had no room.
   * @param sentAtMs When the request was sent.
   */
  noteResponse(
    server: BackendServer,
    { rejectionsPerS, notRun, retryAfterMs }: ResponseMetadata,
    status: number,
    sentAtMs: number,
  ): void {
    if (!notRun || rejectionsPerS !== null) {
      if (this.answers.noteAnswer(server.service)) this.hasNewAnswer = true;
      this.observe(server, rejectionsPerS, sentAtMs);
    }
    if (status !== 503 || !notRun || retryAfterMs !== null) return;
    if (!this.holder.isBrittle(server.id)) return;
    this.holder.noteTurnedAway(this.nowMs, server.id);
    this.turnedAway.set(server.id, (this.turnedAway.get(server.id) ?? 0) + 1);
    this.opts.metrics.count('relay_turned_away_total', { server: server.id });
    this.flush([]);
  }

  /** A new connection to a steward; it is not known yet whether this steward issues slots. */
  handleConnected(): void {
    this.hasIssuer = false;
    this.stewardMembers = null;
    this.updateSteward();
  }

  /** Records the number of entry VMs that the connected steward names. */
  noteMembers(members: number): void {
    this.stewardMembers = members;
    this.updateSteward();
  }

  /** Tells a newly connected steward what this entry VM knows and holds. */
  handleWelcome({ issuesSlots }: RelayMessageOf<'welcome'>): void {
    if (!issuesSlots) return;
    this.hasIssuer = true;
    this.received = 0;
    this.sentNeedsKey = '';
    this.hasNewAnswer = true;
    this.updateSteward();
    this.flush(this.all(), this.holder.held());
  }

  /** Adds what the steward tells of brittle servers, and the slots that it issues. */
  handleSlots({ answered, brittle, issued, pauses }: RelayMessageOf<'slots'>): void {
    this.addAnswered(answered);
    const newer = this.addReceived(brittle, 'steward');
    if (newer.length > 0) this.flush(newer);
    Object.entries(pauses).forEach(([id, ms]) => this.holder.pause(this.nowMs, id, ms));
    Object.entries(issued).forEach(([id, count]) => {
      this.received += count;
      this.holder.receive(this.nowMs, id, count);
    });
  }

  /** Adds services of which another entry VM has an answer. */
  addAnswered(services: readonly string[]): void {
    services.forEach((service) => this.answers.noteAnswer(service));
  }

  /** Services of which any entry VM is known to have an answer. */
  answered(): string[] {
    return this.answers.services();
  }

  /** All statements of brittle servers, including withdrawn ones. */
  all(): Throttle[] {
    return [...this.table.all(this.opts.clock.steadyMs())];
  }

  /** Adds what another entry VM observed; returns newer statements that it must receive. */
  addReceived(brittle: readonly Throttle[], source: string): Throttle[] {
    const nowMs = this.opts.clock.steadyMs();
    const outdated = brittle.filter((statement) => {
      const result = this.table.merge(nowMs, statement);
      if (result === MergeResult.changed) this.logChange(statement, source);
      return result === MergeResult.outdated;
    });
    if (brittle.length > 0) this.updateBrittle();
    const ids = new Set(outdated.map(({ serverId }) => serverId));
    return this.all().filter(({ serverId }) => ids.has(serverId));
  }

  /** The brittle servers, for the steward that issues their slots. */
  brittle(): ReadonlyMap<string, BrittleServer> {
    const servers = this.opts.servers();
    return new Map(
      [...this.brittlePerS()].map(([id, rejectionsPerS]) => [
        id,
        { slots: servers.get(id)?.slots ?? 1, rejectionsPerS },
      ]),
    );
  }

  /** Forgets the servers that are no longer listed. */
  retain(listed: ReadonlyMap<string, BackendServer>): void {
    this.table.retain(this.opts.clock.steadyMs(), listed);
    this.updateBrittle();
  }

  /** The clock that also runs during suspension, so that no slot outlives it. */
  private get nowMs(): number {
    return this.opts.clock.nowMs();
  }

  private observe(server: BackendServer, perS: number | null, sentAtMs: number): void {
    if (!this.table.observe(this.opts.clock.steadyMs(), server, perS, sentAtMs)) return;
    this.logChange({ serverId: server.id, requestsPerS: perS }, 'here');
    this.updateBrittle();
    this.flush(this.all().filter(({ serverId }) => serverId === server.id));
  }

  private brittlePerS(): ReadonlyMap<string, number> {
    if (!this.isAnyKnown) return new Map();
    const nowMs = this.opts.clock.steadyMs();
    return brittleServers([...this.opts.servers().values()], {
      statedPerS: (server) => this.table.requestsPerS(nowMs, server),
      isKnown: (server) => this.table.isKnown(server),
    });
  }

  /** Applies the brittle servers; the steward is told the slots in use of further ones. */
  private updateBrittle(): void {
    const hasAdded = this.holder.setBrittle(this.nowMs, this.brittlePerS());
    if (hasAdded && this.hasIssuer) this.flush(this.all(), this.holder.held());
  }

  private updateSteward(): void {
    const isConnected = this.opts.isStewardConnected();
    this.holder.setSteward(this.nowMs, isConnected && this.hasIssuer, this.opts.members());
    const isUnissued = isConnected && !this.hasIssuer;
    this.holder.setUnissued(this.nowMs, isUnissued ? this.stewardMembers : null);
  }

  private tick(): void {
    this.updateSteward();
    if (!this.isAnyKnown && !this.hasNewAnswer) return;
    this.updateBrittle();
    if (this.nowMs - this.needsAtMs > NEEDS_TTL_MS) this.needs.clear();
    this.flushIfDue();
  }

  private needsKey(): string {
    return JSON.stringify([...this.needs].map(([key, { needed }]) => [key, needed]));
  }

  /** The needs to send; null if the steward has them. */
  private dueNeeds(): SlotNeeds | null {
    const key = this.needsKey();
    const repeatMs = permitRepeatMs(this.opts.members(), 1);
    const isDue = this.needs.size > 0 && this.nowMs - this.sentNeedsAtMs >= repeatMs;
    if (key === this.sentNeedsKey && !isDue) return null;
    return [...this.needs.values()].map(({ servers, needed }) => ({
      servers: toObject(servers),
      needed,
    }));
  }

  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.isFlushScheduled = false;
      this.flushIfDue();
    });
  }

  /** Flushes at an interval that bounds the steward's load; what waits is sent in a later tick. */
  private flushIfDue(): void {
    if (this.nowMs - this.flushedAtMs >= slotIntervalMs(this.opts.members())) this.flush([]);
  }

  /** Sends the steward what has changed. */
  private flush(brittle: Throttle[], held: ReadonlyMap<string, number> = new Map()): void {
    if (!this.hasIssuer) return;
    const returned = this.holder.takeReturned(this.nowMs);
    const needs = this.dueNeeds();
    const { turnedAway, probes } = this;
    const answered = this.hasNewAnswer ? this.answered() : [];
    const isEmpty = [
      answered.length,
      brittle.length,
      held.size,
      returned.size,
      turnedAway.size,
      probes.size,
    ].every((size) => size === 0);
    if (isEmpty && needs === null) return;
    const isSent = this.opts.send({
      type: RelayMessageType.slotNeeds,
      answered,
      brittle,
      held: toObject(held),
      returned: toObject(returned),
      turnedAway: toObject(turnedAway),
      probes: [...probes],
      needs,
      received: this.received,
    });
    if (!isSent) {
      this.holder.restoreReturned(returned);
      return;
    }
    this.hasNewAnswer = false;
    this.flushedAtMs = this.nowMs;
    turnedAway.clear();
    probes.clear();
    if (needs === null) return;
    this.sentNeedsKey = this.needsKey();
    this.sentNeedsAtMs = this.nowMs;
  }

  private logChange(
    { serverId, requestsPerS }: Pick<Throttle, 'serverId' | 'requestsPerS'>,
    toldBy: string,
  ): void {
    this.opts.logger.info('brittle-changed', {
      server: serverId,
      rejectionsPerS: requestsPerS,
      toldBy,
    });
  }
}
