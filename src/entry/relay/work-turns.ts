/**
 * Bounds the time for which one turn of the event loop reads responses and relays event streams, so
 * that connections, timers and the requests of others are served in between, however many have data.
 */

/** Time for which one turn may read responses or relay event streams, ms. */
const MAX_TURN_MS = 5;
/** The same in a turn in which requests wait to begin, ms. */
const MAX_CROWDED_TURN_MS = 1;
/** Pieces of work without a waiting caller that run in a turn at most. */
const MAX_CLEANUPS = 16;

export interface WorkTurnsOptions {
  /** Current time, ms. */
  nowMs(): number;
  /** Calls `handler` after the event loop has polled for events. */
  schedule(handler: () => void): void;
  /** Calls `handler` after what the work has deferred: Node.js writes a response's bytes then. */
  defer(handler: () => void): void;
}

const SYSTEM: WorkTurnsOptions = {
  nowMs: () => performance.now(),
  schedule: (handler) => {
    setImmediate(handler);
  },
  defer: (handler) => {
    process.nextTick(handler);
  },
};

export class WorkTurns {
  /** Work that waits for a later turn, first come first served. */
  private readonly waiting = new Set<() => void>();

  /** Work that no caller waits for, first come first served. */
  private readonly cleanups: (() => void)[] = [];

  private spentMs = 0;

  /** When the current turn began to read responses, ms; null if it has read none. */
  private readSinceMs: number | null = null;

  private maxTurnMs = MAX_TURN_MS;

  private isScheduled = false;

  constructor(private readonly opts: WorkTurnsOptions = SYSTEM) {}

  /** Whether work may run now; otherwise it has to wait for `whenNext`. */
  get isOpen(): boolean {
    const { waiting, spentMs, readSinceMs, maxTurnMs } = this;
    const readMs = readSinceMs === null ? 0 : this.opts.nowMs() - readSinceMs;
    return waiting.size === 0 && Math.max(spentMs, readMs) < maxTurnMs;
  }

  /** Runs work and counts its time, deferred writes included, for the current turn. */
  run(work: () => void): void {
    this.scheduleNext();
    this.runThen(work, () => undefined);
  }

  /**
   * Notes that bytes of a response were read. The time from then on counts for the current turn: the
   * event loop reads up to 32 times from a connection before it goes on to the next one.
   */
  noteRead(): void {
    this.scheduleNext();
    this.readSinceMs ??= this.opts.nowMs();
  }

  /**
   * Runs work in a later turn; it must not throw.
   * @returns Withdraws the work if it has not run yet.
   */
  whenNext(work: () => void): () => void {
    this.scheduleNext();
    this.waiting.add(work);
    return () => this.waiting.delete(work);
  }

  /** Runs work that no caller waits for in a later turn; streams don't wait for it. It must not throw. */
  cleanUpLater(work: () => void): void {
    this.scheduleNext();
    this.cleanups.push(work);
  }

  /** Shortens the current turn, as requests wait to begin. */
  shorten(): void {
    this.limit(MAX_CROWDED_TURN_MS);
  }

  /** Lets all work of the current turn wait. */
  hold(): void {
    this.limit(0);
  }

  private limit(maxTurnMs: number): void {
    this.scheduleNext();
    this.maxTurnMs = Math.min(this.maxTurnMs, maxTurnMs);
  }

  private scheduleNext(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.opts.schedule(() => this.begin());
  }

  private begin(): void {
    this.isScheduled = false;
    this.spentMs = 0;
    this.readSinceMs = null;
    const { maxTurnMs } = this;
    this.maxTurnMs = MAX_TURN_MS;
    this.runWaiting(maxTurnMs);
    if (maxTurnMs > 0) this.cleanups.splice(0, MAX_CLEANUPS).forEach((work) => work());
    if (this.cleanups.length > 0) this.scheduleNext();
  }

  private runWaiting(maxTurnMs: number): void {
    const [work] = this.waiting;
    if (this.spentMs > 0 || maxTurnMs === 0) this.scheduleNext();
    if (work === undefined || this.spentMs >= maxTurnMs) return;
    this.waiting.delete(work);
    this.runThen(work, () => this.runWaiting(maxTurnMs));
  }

  private runThen(work: () => void, handler: () => void): void {
    const startedAtMs = this.opts.nowMs();
    try {
      work();
    } finally {
      this.opts.defer(() => {
        this.spentMs += this.opts.nowMs() - startedAtMs;
        handler();
      });
    }
  }
}
