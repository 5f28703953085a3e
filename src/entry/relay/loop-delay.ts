/** Measures how late the event loop runs timers, and logs when this process stood still. */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';

const SAMPLE_INTERVAL_MS = 20;
/** Delay from which on a line is logged, ms. */
const LOGGED_DELAY_MS = 200;
const US_PER_MS = 1_000;

export interface LoopDelayOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'time' | 'gauge'>;
  /** CPU time of this process, µs. */
  cpuUsage(): { readonly user: number; readonly system: number };
  /** Requests in progress. */
  active(): number;
  /** Requests that wait for a backend server. */
  queued(): number;
}

export class LoopDelayTask implements Task {
  readonly name = 'loop-delay';

  private timer: NodeJS.Timeout | null = null;

  private sampledAtMs = 0;

  private cpuMs = 0;

  private longestMs = 0;

  constructor(private readonly opts: LoopDelayOptions) {}

  async start(): Promise<void> {
    this.sampledAtMs = this.opts.clock.steadyMs();
    this.cpuMs = this.readCpuMs();
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  private sample(): void {
    const { clock, logger, metrics, active, queued } = this.opts;
    const nowMs = clock.steadyMs();
    const cpuMs = this.readCpuMs();
    const delayMs = Math.max(0, nowMs - this.sampledAtMs - SAMPLE_INTERVAL_MS);
    // A process that was frozen or had no CPU used little CPU time during the delay.
    const usedMs = cpuMs - this.cpuMs;
    this.sampledAtMs = nowMs;
    this.cpuMs = cpuMs;
    metrics.time('relay_loop_delay', delayMs);
    if (delayMs > this.longestMs) {
      this.longestMs = delayMs;
      metrics.gauge('relay_loop_delay_max_seconds', delayMs / 1_000);
    }
    if (delayMs < LOGGED_DELAY_MS) return;
    logger.warn('loop-delayed', {
      delayMs: Math.round(delayMs),
      cpuMs: Math.round(usedMs),
      active: active(),
      queued: queued(),
    });
  }

  private readCpuMs(): number {
    const { user, system } = this.opts.cpuUsage();
    return (user + system) / US_PER_MS;
  }
}
