/**
 * Keeps this entry VM's requests within the limits that backend servers name: observes the limits,
 * shares them with the other entry VMs, and obtains a permit from the steward for each request to a
 * throttled server.
 */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  COLD_WITHHELD_MS,
  type ColdBounds,
  ColdServers,
  LINGER_MS,
  type SharedCold,
} from '../../decisions/cold-servers/index.js';
import type { BackendServer, FleetPlan } from '../../decisions/fleet-plan/index.js';
import {
  MergeResult,
  type NamedLimit,
  PermitHolder,
  type Throttle,
  ThrottleTable,
} from '../../decisions/throttling/index.js';
import { permitRepeatMs } from './intervals.js';
import { type RelayMessage, type RelayMessageOf, RelayMessageType } from './messages.js';
import type { ResponseMetadata } from './types.js';

/** Source of what the steward tells, in logs. */
const STEWARD = 'steward';
const TICK_MS = 25;
/** Bounds of cold servers where the platform names none. */
const DEFAULT_COLD_BOUNDS = { overage: 1.5, slack: 5 };

export interface ThrottlingOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Requests that a cold server may get in any second. */
  readonly coldBounds?: ColdBounds;
  /** Number of entry VMs connected to the steward. */
  members(): number;
  isStewardConnected(): boolean;
  /** Whether this entry VM is the steward itself. */
  isSteward?(): boolean;
  /** Sends a message to the steward; false if it could not be sent. */
  send(message: RelayMessage): boolean;
}

export class ThrottlingTask implements Task {
  readonly name = 'throttling';

  private readonly table = new ThrottleTable();

  /** Its times are from the clock that also runs during suspension, so that no permit outlives it. */
  private readonly permits = new PermitHolder();

  private readonly cold: ColdServers;

  /** The cold servers that were logged last, by id. */
  private loggedCold: ReadonlySet<string> = new Set();

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly opts: ThrottlingOptions) {
    this.cold = new ColdServers(opts.coldBounds ?? DEFAULT_COLD_BOUNDS);
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  /** Whether any server is known to have named a limit or to be cold. */
  get isAnyKnown(): boolean {
    return this.table.size > 0 || this.cold.isAnyKnown(this.opts.clock.steadyMs());
  }

  /** Whether a limit of the server is in force. */
  isThrottled(server: BackendServer): boolean {
    return this.requestsPerS(server) !== null;
  }

  /** Whether a limit of the server is in force, in whichever process. */
  namesLimit(serverId: string): boolean {
    const nowMs = this.opts.clock.steadyMs();
    const process = { id: serverId, bornMs: -Infinity };
    return (
      this.table.namesLimit(nowMs, serverId) || this.cold.requestsPerS(nowMs, process) !== null
    );
  }

  /** Whether a request may be sent to the server now. */
  allows(server: BackendServer): boolean {
    const requestsPerS = this.requestsPerS(server);
    if (requestsPerS === null) return true;
    return this.permits.allows(this.opts.clock.nowMs(), server.id, requestsPerS);
  }

  /** Uses a permit if the server is throttled. */
  take(server: BackendServer): void {
    const requestsPerS = this.requestsPerS(server);
    if (requestsPerS === null) return;
    this.permits.take(this.opts.clock.nowMs(), server.id, requestsPerS);
  }

  /** Asks the steward for permits; `needed` is the number of waiting requests by server. */
  requestPermits(needed: ReadonlyMap<string, number>): void {
    const nowMs = this.opts.clock.nowMs();
    const repeatMs = permitRepeatMs(this.opts.members(), needed.size);
    needed.forEach((count, serverId) => {
      if (!this.permits.shouldAsk(nowMs, serverId, count, repeatMs)) return;
      this.sendRequest(serverId, count, false);
    });
  }

  /** Asks the steward for a permit for a later request, to see whether the limit still holds. */
  requestProbe(serverId: string): void {
    if (!this.permits.shouldProbe(this.opts.clock.nowMs(), serverId)) return;
    this.sendRequest(serverId, 1, true);
  }

  /** Expected time until `needed` permits of any of the servers, ms; null if unknown. */
  expectedWaitMs(serverIds: readonly string[], needed: number): number | null {
    return this.permits.expectedWaitMs(this.opts.clock.nowMs(), serverIds, needed);
  }

  /** The limit that is in force for a server, requests per second; null for none. */
  requestsPerS(server: BackendServer): number | null {
    return this.limitOf(server, 0)?.requestsPerS ?? null;
  }

  /**
   * The limit that is in force for a server, and since when; null for none.
   * @param lingerMs Time for which the limit of a cold server stays in force at its end.
   */
  limitOf(server: BackendServer, lingerMs = LINGER_MS): NamedLimit | null {
    const nowMs = this.opts.clock.steadyMs();
    const named = this.table.requestsPerS(nowMs, server);
    const cold = this.cold.requestsPerS(nowMs, server, lingerMs);
    if (cold !== null && (named === null || cold < named)) {
      const namedSinceMs = this.cold.sinceMs(server.id);
      return { requestsPerS: cold, namedSinceMs, minWithheldMs: COLD_WITHHELD_MS };
    }
    if (named === null) return null;
    return { requestsPerS: named, namedSinceMs: this.table.namedSinceMs(server.id) };
  }

  /** The servers that are cold, or were lately. */
  coldServers(): readonly SharedCold[] {
    return this.cold.all(this.opts.clock.steadyMs(), LINGER_MS);
  }

  /** Applies the list of servers, with their entries, and the limits of cold ones. */
  noteServers(servers: ReadonlyMap<string, BackendServer>, plan: FleetPlan | null): void {
    const termsOf = (service: string) => plan?.services.get(service)?.cold ?? null;
    const nowMs = this.opts.clock.steadyMs();
    const stated = this.cold.noteServers(nowMs, Date.now(), [...servers.values()], termsOf);
    this.shareCold(stated);
    this.noteColdChange('entry');
  }

  /** Counts servers as cold whose data centre was evacuated until now. */
  presumeCold(servers: readonly BackendServer[]): void {
    this.shareCold(this.cold.presume(this.opts.clock.steadyMs(), servers));
    this.noteColdChange('evacuation');
  }

  /** Counts a request to a server that has named a limit. */
  noteSent(server: BackendServer): void {
    if (!this.isThrottled(server)) return;
    this.opts.metrics.count('relay_throttled_sends_total', { server: server.id });
  }

  /**
   * Records the limit that a response names, or that it names none.
   * @param sentAtMs When the request was sent.
   */
  noteResponse(
    server: BackendServer,
    { requestsPerS, notRun }: Pick<ResponseMetadata, 'requestsPerS' | 'notRun'>,
    sentAtMs: number,
  ): void {
    // A request that was not run may have reached another server, at an address that is used again.
    if (notRun && requestsPerS === null) return;
    const nowMs = this.opts.clock.steadyMs();
    if (!this.table.observe(nowMs, server, requestsPerS, sentAtMs)) return;
    this.logChange(server.id, requestsPerS, 'here');
    this.share((id) => id === server.id);
  }

  /** Sends all limits to a newly connected steward, because it may not have received them. */
  sendAll(): void {
    this.share(() => true);
  }

  /** All limits, including withdrawn ones. */
  all(): readonly Throttle[] {
    return this.table.all(this.opts.clock.steadyMs());
  }

  /** Adds the limits that another entry VM sent; returns newer ones that it must receive. */
  addReceived(
    { throttles, cold = [] }: RelayMessageOf<'throttles'>,
    source: string,
  ): RelayMessageOf<'throttles'>['throttles'] {
    const nowMs = this.opts.clock.steadyMs();
    // What this VM tells itself as the steward would keep servers cold that their entries end.
    if (source !== STEWARD || this.opts.isSteward?.() !== true) {
      cold.forEach((server) => this.cold.merge(nowMs, server, source === STEWARD));
    }
    this.noteColdChange(source);
    const results = throttles.map(
      (throttle) => [throttle, this.table.merge(nowMs, throttle)] as const,
    );
    results
      .filter(([, result]) => result === MergeResult.changed)
      .forEach(([{ serverId, requestsPerS }]) => this.logChange(serverId, requestsPerS, source));
    const outdated = new Set(
      results.flatMap(([{ serverId }, result]) =>
        result === MergeResult.outdated ? [serverId] : [],
      ),
    );
    return this.all().filter(({ serverId }) => outdated.has(serverId));
  }

  /** Adds the steward's limits; sends newer ones back. */
  handleStewardThrottles(message: RelayMessageOf<'throttles'>): void {
    const throttles = this.addReceived(message, STEWARD);
    if (throttles.length > 0) this.opts.send({ type: RelayMessageType.throttles, throttles });
  }

  handlePermits({ serverId, permits, intervalMs }: RelayMessageOf<'permits'>): void {
    this.permits.receive(this.opts.clock.nowMs(), serverId, permits, intervalMs);
  }

  /** Sets whether this entry VM may send requests to throttled servers without a steward. */
  setReserve(mayUseReserve: boolean): void {
    this.permits.setReserve(mayUseReserve);
  }

  /** Forgets the servers that are no longer listed. */
  retain(listed: ReadonlyMap<string, BackendServer>): void {
    this.table.retain(this.opts.clock.steadyMs(), listed);
    this.permits.retain(listed);
  }

  private tick(): void {
    this.noteColdChange('time');
    this.permits.setSteward(this.opts.isStewardConnected());
    this.permits.expire(this.opts.clock.nowMs()).forEach((permits, serverId) => {
      this.opts.send({ type: RelayMessageType.permitReturn, serverId, permits });
    });
  }

  private sendRequest(serverId: string, needed: number, isProbe: boolean): void {
    this.opts.send({ type: RelayMessageType.permitRequest, serverId, needed, isProbe });
  }

  private share(isShared: (serverId: string) => boolean): void {
    const throttles = this.all().filter(({ serverId }) => isShared(serverId));
    if (throttles.length > 0) {
      this.opts.send({ type: RelayMessageType.throttles, throttles: [...throttles] });
    }
  }

  /** Tells the steward of servers that this entry VM has found to be cold. */
  private shareCold(cold: readonly SharedCold[]): void {
    if (cold.length === 0) return;
    this.opts.send({ type: RelayMessageType.throttles, throttles: [], cold: [...cold] });
  }

  /** Logs the servers that have become cold, and those that no longer are. */
  private noteColdChange(toldBy: string): void {
    const nowMs = this.opts.clock.steadyMs();
    if (this.loggedCold.size === 0 && !this.cold.isAnyKnown(nowMs)) return;
    const cold = this.cold.all(nowMs);
    const ids = new Set(cold.map(({ serverId }) => serverId));
    cold
      .filter(({ serverId }) => !this.loggedCold.has(serverId))
      .forEach(({ serverId: server, requestsPerS, forMs }) =>
        this.opts.logger.info('server-cold', { server, requestsPerS, forMs, toldBy }),
      );
    [...this.loggedCold]
      .filter((id) => !ids.has(id))
      .forEach((server) => this.opts.logger.info('server-warm', { server, toldBy }));
    this.loggedCold = ids;
    this.opts.metrics.gauge('relay_cold_servers', ids.size);
  }

  private logChange(server: string, requestsPerS: number | null, source: string): void {
    this.opts.logger.info('throttle-changed', { server, requestsPerS, toldBy: source });
  }
}
