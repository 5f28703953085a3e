/** Calls a task again and again: often while it has something under way, rarely at rest. */

export interface PacerOptions {
  /** Time between calls while busy, ms. */
  readonly busyMs: number;
  /** Time between calls at rest, ms. */
  readonly restMs: number;
  isBusy(): boolean;
  tick(): void;
}

export class Pacer {
  private timer: NodeJS.Timeout | null = null;

  private resting = false;

  private running = false;

  constructor(private readonly opts: PacerOptions) {}

  start(): void {
    this.running = true;
    this.schedule();
  }

  stop(): void {
    this.running = false;
    if (this.timer !== null) clearTimeout(this.timer);
  }

  /** Ends a rest: something is under way now. */
  wake(): void {
    if (!this.running || !this.resting) return;
    if (this.timer !== null) clearTimeout(this.timer);
    this.schedule();
  }

  private schedule(): void {
    this.resting = !this.opts.isBusy();
    const { busyMs, restMs } = this.opts;
    this.timer = setTimeout(
      () => {
        this.opts.tick();
        if (this.running) this.schedule();
      },
      this.resting ? restMs : busyMs,
    );
  }
}
