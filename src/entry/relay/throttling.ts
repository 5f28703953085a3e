/**
 * Keeps this entry VM's requests within the limits that backend servers name: observes the limits,
 * shares them with the other entry VMs, and obtains a permit from the steward for each request to a
 * throttled server.
 */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
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

const TICK_MS = 25;

export interface ThrottlingOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Number of entry VMs connected to the steward. */
  members(): number;
  isStewardConnected(): boolean;
  /** Sends a message to the steward; false if it could not be sent. */
  send(message: RelayMessage): boolean;
}

export class ThrottlingTask implements Task {
  readonly name = 'throttling';

  private readonly table = new ThrottleTable();

  /** Its times are from the clock that also runs during suspension, so that no permit outlives it. */
  private readonly permits = new PermitHolder();

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly opts: ThrottlingOptions) {}

  async start(): Promise<void> {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  /** Whether any server is known to have named a limit. */
  get isAnyKnown(): boolean {
    return this.table.size > 0;
  }

  /** Whether a limit of the server is in force. */
  isThrottled(server: BackendServer): boolean {
    return this.requestsPerS(server) !== null;
  }

  /** Whether a limit of the server is in force, in whichever process. */
  namesLimit(serverId: string): boolean {
    return this.table.namesLimit(this.opts.clock.steadyMs(), serverId);
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
    return this.table.requestsPerS(this.opts.clock.steadyMs(), server);
  }

  /** The limit that is in force for a server, and since when; null for none. */
  limitOf(server: BackendServer): NamedLimit | null {
    const requestsPerS = this.requestsPerS(server);
    if (requestsPerS === null) return null;
    return { requestsPerS, namedSinceMs: this.table.namedSinceMs(server.id) };
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
    { throttles }: RelayMessageOf<'throttles'>,
    source: string,
  ): RelayMessageOf<'throttles'>['throttles'] {
    const nowMs = this.opts.clock.steadyMs();
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
    const throttles = this.addReceived(message, 'steward');
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

  private logChange(server: string, requestsPerS: number | null, source: string): void {
    this.opts.logger.info('throttle-changed', { server, requestsPerS, toldBy: source });
  }
}
