/** Calls a function periodically, more often while work is in progress than when idle. */

export interface AdaptivePollerOptions {
  /** Interval while `isBusy` returns true, ms. */
  readonly busyMs: number;
  /** Interval otherwise, ms. */
  readonly idleMs: number;
  isBusy(): boolean;
  tick(): void;
}

export class AdaptivePoller {
  private timer: NodeJS.Timeout | null = null;

  private idle = false;

  private running = false;

  constructor(private readonly opts: AdaptivePollerOptions) {}

  start(): void {
    this.running = true;
    this.schedule();
  }

  stop(): void {
    this.running = false;
    if (this.timer !== null) clearTimeout(this.timer);
  }

  /** Reschedules the next call if the poller is idle; to be called when work has arrived. */
  wake(): void {
    if (!this.running || !this.idle) return;
    if (this.timer !== null) clearTimeout(this.timer);
    this.schedule();
  }

  private schedule(): void {
    this.idle = !this.opts.isBusy();
    const { busyMs, idleMs } = this.opts;
    this.timer = setTimeout(
      () => {
        this.opts.tick();
        if (this.running) this.schedule();
      },
      this.idle ? idleMs : busyMs,
    );
  }
}
