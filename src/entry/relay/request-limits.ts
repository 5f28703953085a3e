/**
 * The bounds over the fleet that apply to each request to a server: request limits and the slots of
 * brittle servers.
 */
import { type Candidate, penaltyOf } from '../../decisions/engine-choice/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import type { ServerPenalties, ServerSlotsTask } from './server-slots.js';
import type { ThrottlingTask } from './throttling.js';
import type { ResponseMetadata } from './types.js';

/** The waiting requests, by the throttled servers that could run them. */
export class CapacityNeeds {
  /** Number of waiting requests by server. */
  readonly byServer = new Map<string, number>();

  /** For each waiting request, the servers that could run it. */
  readonly requests: ServerPenalties[] = [];

  constructor(private readonly dataCentre: string) {}

  /** Adds a request; returns for each of its servers the number of requests so far. */
  add(servers: readonly Candidate[]): ReadonlyMap<string, number> {
    if (servers.length === 0) return new Map();
    servers.forEach(({ id }) => this.byServer.set(id, (this.byServer.get(id) ?? 0) + 1));
    this.requests.push(
      new Map(servers.map((server) => [server.id, penaltyOf(server, this.dataCentre)])),
    );
    return new Map(servers.map(({ id }) => [id, this.byServer.get(id) ?? 1]));
  }
}

/** The operations that choosing a server needs. */
export interface RequestLimits {
  /** Whether any server is known to have named a limit or to be brittle. */
  readonly isAnyKnown: boolean;
  /** Whether a limit of the server is in force. */
  isThrottled(server: BackendServer): boolean;
  /** Whether a request may be sent to the server now. */
  allows(server: BackendServer): boolean;
  /** Counts a request that is sent to the server now. */
  take(server: BackendServer): void;
  /** Counts the end of a request. */
  noteEnded(server: BackendServer): void;
  /**
   * Asks the steward for the permits and slots of waiting requests.
   * @param isAll Whether these are all requests that wait.
   */
  requestPermits(needs: CapacityNeeds, isAll: boolean): void;
  /** Asks the steward to allow a later request, to see whether the limit still holds. */
  requestProbe(serverId: string): void;
  /** Expected time until `needed` permits of any of the servers, ms; null if unknown. */
  expectedWaitMs(serverIds: readonly string[], needed: number): number | null;
}

export class FleetLimits implements RequestLimits {
  constructor(
    private readonly throttling: ThrottlingTask,
    private readonly slots: ServerSlotsTask,
  ) {}

  get isAnyKnown(): boolean {
    return this.throttling.isAnyKnown || this.slots.isAnyKnown;
  }

  isThrottled(server: BackendServer): boolean {
    return this.throttling.isThrottled(server);
  }

  allows(server: BackendServer): boolean {
    return this.throttling.allows(server) && this.slots.allows(server);
  }

  take(server: BackendServer): void {
    this.throttling.take(server);
    this.slots.noteStarted(server);
  }

  noteEnded(server: BackendServer): void {
    this.slots.noteEnded(server);
  }

  requestPermits({ byServer, requests }: CapacityNeeds, isAll: boolean): void {
    const limited = [...byServer].filter(([id]) => this.throttling.namesLimit(id));
    this.throttling.requestPermits(new Map(limited));
    this.slots.requestSlots(requests, isAll);
  }

  requestProbe(serverId: string): void {
    if (this.throttling.namesLimit(serverId)) this.throttling.requestProbe(serverId);
    this.slots.requestProbe(serverId);
  }

  expectedWaitMs(serverIds: readonly string[], needed: number): number | null {
    const areLimited = serverIds.every((id) => this.throttling.namesLimit(id));
    return areLimited ? this.throttling.expectedWaitMs(serverIds, needed) : null;
  }

  noteSent(server: BackendServer): void {
    this.throttling.noteSent(server);
  }

  /** @param sentAtMs When the request was sent. */
  noteResponse(
    server: BackendServer,
    head: ResponseMetadata,
    status: number,
    sentAtMs: number,
  ): void {
    this.throttling.noteResponse(server, head, sentAtMs);
    this.slots.noteResponse(server, head, status, sentAtMs);
  }
}
