/** Forecasts when the queued requests of this entry VM get a slot, in one pass over its queue. */
import { type Candidate, usableSlots } from '../../decisions/engine-choice/index.js';
import { type QueuedRequest, slotWaitMs } from '../../decisions/wait-list/index.js';
import type { FleetQueues } from './fleet-queues.js';

export interface QueueForecastOptions {
  readonly fleetQueues: Pick<FleetQueues, 'ahead'>;
  /** Average duration of a service's runs, ms; null while it is unknown. */
  runMs(service: string): number | null;
}

export class QueueForecast {
  /** Requests of this pass that stay queued, by service and model. */
  private readonly queued = new Map<string, number>();

  constructor(private readonly opts: QueueForecastOptions) {}

  /**
   * Expected time until the next request of the pass gets a slot, ms; null if it is unknown. The most
   * urgent requests come first.
   * @param servers Servers that have loaded what it needs.
   */
  waitMs(
    { service, model, adapter, priority }: QueuedRequest,
    servers: readonly Candidate[],
  ): number | null {
    const runMs = this.opts.runMs(service);
    if (model === null || runMs === null) return null;
    const key = JSON.stringify([service, model, adapter]);
    const here = this.queued.get(key) ?? 0;
    this.queued.set(key, here + 1);
    return slotWaitMs({
      usableSlots: servers.reduce((sum, server) => sum + usableSlots(server), 0),
      running: servers.reduce((sum, { running }) => sum + running, 0),
      runMs,
      ahead: here + this.opts.fleetQueues.ahead({ service, model, adapter }, priority),
    });
  }
}
