/** Counts the tokens that the running requests of all entry VMs may need at each server. */
import type { Metrics } from '../../core/metrics/index.js';
import type { Customer, FleetPlan } from '../../decisions/fleet-plan/index.js';
import type { Candidate } from '../../decisions/engine-choice/index.js';
import {
  serversWithRoom,
  type ServerMemoryState,
  type UnseenRequests,
} from '../../decisions/server-memory/index.js';
import type { Run } from './fleet-view.js';
import { messageIntervalMs } from './intervals.js';
import type { MemoryPermits } from './memory-permits.js';
import type { RelayMessageOf } from './messages.js';
import type { RequestMetadata } from './types.js';

/** Weight of the newest request in the average size of those that declare their tokens. */
const SIZE_WEIGHT = 0.1;

/** Duration of a run while it is unknown, ms. */
const DEFAULT_RUN_MS = 1_000;

/** Prompt and largest output of a request, in tokens; undefined if it declares none. */
export function tokensOf(
  { model, tokens }: Pick<RequestMetadata, 'model' | 'tokens'>,
  customer: Customer | null,
): number | undefined {
  if (model === null) return undefined;
  if (tokens !== null) return tokens.prompt + tokens.output;
  return customer?.countsTokens === true ? Math.ceil(customer.defaultUnits) : undefined;
}

/** Memory of each server of a service, in tokens; 0 if it is unknown or not limited. */
export function memoryTokens(plan: FleetPlan | null, service: string): number {
  const tokens = plan?.services.get(service)?.engine?.kvTokens ?? 0;
  return Number.isFinite(tokens) ? tokens : 0;
}

/** Whether a request declares more tokens than any server of the service has. */
export function isTooLarge(
  plan: FleetPlan,
  service: string,
  tokens: RequestMetadata['tokens'],
): boolean {
  const capacityTokens = memoryTokens(plan, service);
  return capacityTokens > 0 && (tokens?.prompt ?? 0) + (tokens?.output ?? 0) > capacityTokens;
}

export interface ServerTokensOptions {
  /** Permits of the steward for requests that could exceed a server's memory. */
  readonly permits: Pick<MemoryPermits, 'areIssued' | 'isRefused'>;
  readonly metrics: Metrics;
  /** Memory of each server of a service, in tokens; 0 if it is unknown. */
  memoryTokens(service: string): number;
  isStewardConnected(): boolean;
  /** Number of entry VMs, as the steward last told it. */
  members(): number;
  /** Average duration of a service's runs, ms; null while it is unknown. */
  runMs(service: string): number | null;
}

export class ServerTokens {
  /** Tokens of this entry VM's running requests, by server. */
  private readonly own = new Map<string, number>();

  /** The same in the last report to the steward. */
  private reported: ReadonlyMap<string, number> = new Map();

  /** Tokens of all entry VMs' running requests, as received from the steward, by server. */
  private readonly inFleet = new Map<string, number>();

  /** Tokens that each running request counts with. */
  private readonly sizes = new WeakMap<Run, number>();

  private meanTokens = 0;

  constructor(private readonly opts: ServerTokensOptions) {}

  /** Counts a request that is sent now. One that declares no tokens counts with the average. */
  noteStarted(run: Run): number {
    if (run.model === null) return 0;
    const { tokens } = run;
    if (tokens !== undefined) {
      const isFirst = this.meanTokens === 0;
      this.meanTokens += isFirst ? tokens : (tokens - this.meanTokens) * SIZE_WEIGHT;
    }
    const size = tokens ?? Math.round(this.meanTokens);
    this.sizes.set(run, size);
    this.add(run.server.id, size);
    return size;
  }

  /** Counts the end of a request; returns the tokens that it counted with. */
  noteEnded(run: Run): number {
    const size = this.sizes.get(run) ?? 0;
    this.sizes.delete(run);
    if (size > 0) this.add(run.server.id, -size);
    return size;
  }

  /** Records that the counts of this entry VM were reported to the steward. */
  noteReported(): void {
    this.reported = new Map(this.own);
  }

  /** Applies a `view` message. An older steward tells no tokens: then only own requests count. */
  applyView({ whole, tokens = {} }: Pick<RelayMessageOf<'view'>, 'whole' | 'tokens'>): void {
    if (whole) this.inFleet.clear();
    Object.entries(tokens).forEach(([server, count]) => {
      this.inFleet.set(server, count);
      this.opts.metrics.gauge('relay_server_tokens', count, { server });
    });
  }

  /** Memory of a server, and what a request would need there, in tokens. */
  memoryOf(service: string, id: string, needTokens: number | undefined) {
    const { usedTokens, capacityTokens } = this.stateOf(id, this.opts.memoryTokens(service));
    return { usedTokens, capacityTokens, tokens: needTokens ?? Math.round(this.meanTokens) };
  }

  /** The servers into which a request fits. */
  withRoom<T extends Pick<Candidate, 'id' | 'running'>>(
    service: string,
    servers: readonly T[],
    needTokens: number | undefined,
  ): readonly T[] {
    const capacityTokens = this.opts.memoryTokens(service);
    if (capacityTokens === 0) return servers;
    const size = needTokens ?? Math.round(this.meanTokens);
    const unseen = this.unseen(service, servers, size);
    const stateOf = ({ id }: T) => this.stateOf(id, capacityTokens);
    const allowed = servers.filter(({ id }) => !this.opts.permits.isRefused(id, size));
    const withRoom = serversWithRoom(allowed, size, unseen, stateOf);
    if (withRoom.length === 0 && servers.length > 0) {
      this.opts.metrics.count('relay_memory_full_total', { service });
    }
    return withRoom;
  }

  /**
   * Requests that other entry VMs send to these servers before their reports and the steward's message
   * arrive here. As many begin as end: all running ones in the time of a run.
   */
  private unseen(
    service: string,
    servers: readonly Pick<Candidate, 'id' | 'running'>[],
    needTokens: number,
  ): UnseenRequests {
    const { permits, isStewardConnected } = this.opts;
    // Without a steward, each entry VM has its own part of the memory.
    if (permits.areIssued || !isStewardConnected()) return { count: 0, tokens: 0 };
    const delayMs = 2 * messageIntervalMs(this.opts.members());
    const runMs = this.opts.runMs(service) ?? DEFAULT_RUN_MS;
    const running = servers.reduce((sum, server) => sum + server.running, 0);
    const usedTokens = servers.reduce((sum, { id }) => sum + (this.inFleet.get(id) ?? 0), 0);
    const meanTokens = running === 0 ? 0 : usedTokens / running;
    return { count: (running * delayMs) / runMs, tokens: Math.max(meanTokens, needTokens) };
  }

  private stateOf(id: string, capacityTokens: number): ServerMemoryState {
    const own = this.own.get(id) ?? 0;
    if (!this.opts.isStewardConnected()) {
      return { capacityTokens, usedTokens: own, sharers: Math.max(1, this.opts.members()) };
    }
    const others = (this.inFleet.get(id) ?? 0) - (this.reported.get(id) ?? 0);
    return { capacityTokens, usedTokens: own + Math.max(0, others), sharers: 1 };
  }

  private add(id: string, tokens: number): void {
    const sum = (this.own.get(id) ?? 0) + tokens;
    if (sum > 0) this.own.set(id, sum);
    else this.own.delete(id);
  }
}
