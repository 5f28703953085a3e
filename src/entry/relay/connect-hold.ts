/**
 * Bounds the time for which other work waits for callers that connect: the event loop accepts one
 * connection a turn, so that a crowd is accepted sooner in turns without other work.
 */

/** Time after which a turn is left to other work, ms. */
const MAX_HOLD_MS = 100;

export interface ConnectHoldOptions {
  /** Current time, ms. */
  nowMs(): number;
  /** Calls `handler` after the event loop has polled for events. */
  schedule(handler: () => void): void;
}

const SYSTEM: ConnectHoldOptions = {
  nowMs: () => performance.now(),
  schedule: (handler) => {
    setImmediate(handler);
  },
};

export class ConnectHold {
  /** When the first of the turns was held that followed each other without other work, ms. */
  private heldSinceMs: number | null = null;

  /** Whether other work waits in this turn; null before a caller connects in it. */
  private isHeld: boolean | null = null;

  constructor(private readonly opts: ConnectHoldOptions = SYSTEM) {}

  /** Notes that a caller has connected; returns whether other work waits for the next turn. */
  noteConnection(): boolean {
    if (this.isHeld === null) {
      const nowMs = this.opts.nowMs();
      this.heldSinceMs ??= nowMs;
      this.isHeld = nowMs - this.heldSinceMs < MAX_HOLD_MS;
      this.opts.schedule(() => this.endTurn());
    }
    return this.isHeld;
  }

  /** The wait is over after a turn of other work, and after one in which nobody has connected. */
  private endTurn(): void {
    if (this.isHeld === false) this.heldSinceMs = null;
    this.isHeld = null;
    this.opts.schedule(() => {
      if (this.isHeld === null) this.heldSinceMs = null;
    });
  }
}
