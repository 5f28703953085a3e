/** Observes the request limits that backend servers name in their responses. */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { ThrottleTable } from '../../decisions/throttling/index.js';

export interface ThrottleMonitorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class ThrottleMonitor {
  private readonly table = new ThrottleTable();

  constructor(private readonly opts: ThrottleMonitorOptions) {}

  /** Counts a request to a server that has named a limit. */
  noteSent(server: BackendServer): void {
    const { clock, metrics } = this.opts;
    if (this.table.requestsPerS(clock.steadyMs(), server) === null) return;
    metrics.count('relay_throttled_sends_total', { server: server.id });
  }

  /** Records the limit that a response names; `requestsPerS` is null for none. */
  noteResponse(server: BackendServer, requestsPerS: number | null, sentAtMs: number): void {
    const nowMs = this.opts.clock.steadyMs();
    if (!this.table.observe(nowMs, server, requestsPerS, sentAtMs)) return;
    this.opts.logger.info('throttle-changed', { server: server.id, requestsPerS, toldBy: 'here' });
  }

  /** Forgets the servers that are no longer listed. */
  retain(listed: ReadonlyMap<string, BackendServer>): void {
    this.table.retain(this.opts.clock.steadyMs(), listed);
  }
}
