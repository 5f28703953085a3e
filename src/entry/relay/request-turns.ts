/**
 * Bounds the requests that begin in one turn of the event loop: a turn accepts one connection, so
 * that a turn which begins the requests of a crowd lets all callers behind them wait unheard.
 */

/**
 * CPU time after which no further request begins in a turn, ms. The time in which the process waits
 * for a CPU is not counted: a turn that it interrupts would begin one request, however short that is.
 */
const MAX_TURN_MS = 5;
/** Requests that begin in a turn at most. */
const MAX_REQUESTS = 32;
/** One of so many requests is the oldest one, so that those with short limits starve no others. */
const OLDEST_EACH = 4;
/** Requests whose time is over that are also begun in a turn at most: they are refused, which is short. */
const MAX_OVERDUE = 16;
const US_PER_MS = 1_000;

export interface RequestTurnsOptions {
  /** Current time, ms. */
  nowMs(): number;
  /** CPU time of this process, ms. */
  cpuMs(): number;
  /** Calls `handler` after the event loop has polled; what it defers runs before the next handler. */
  schedule(handler: () => void): void;
  /** Called at the end of a turn after which requests wait. */
  onWait(): void;
}

function readCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}

const SYSTEM: Omit<RequestTurnsOptions, 'onWait'> = {
  nowMs: () => performance.now(),
  cpuMs: readCpuMs,
  schedule: (handler) => {
    setImmediate(handler);
  },
};

interface Waiting {
  readonly limitMs: number;
  /** When its time is over, ms. */
  readonly dueAtMs: number;
  begin(): void;
}

export class RequestTurns {
  /** Requests that wait to begin, in the order of their arrival. */
  private readonly waiting = new Set<Waiting>();

  /** Requests that have begun. */
  private begun = 0;

  private isScheduled = false;

  private isHeld = false;

  private readonly opts: RequestTurnsOptions;

  constructor(opts: Pick<RequestTurnsOptions, 'onWait'> & Partial<RequestTurnsOptions>) {
    this.opts = { ...SYSTEM, ...opts };
  }

  /**
   * Resolves when a request may begin, in this turn or a later one; the shortest limit is mostly first.
   * @param limitMs Time from its arrival in which its response is due, ms.
   */
  whenNext(limitMs: number): Promise<void> {
    return new Promise((begin) => {
      this.waiting.add({ limitMs, dueAtMs: this.opts.nowMs() + limitMs, begin });
      this.scheduleTurn();
    });
  }

  /** Begins all requests at once, as the process is about to exit. */
  beginAll(): void {
    this.waiting.forEach((entry) => this.begin(entry));
  }

  /** Begins no request in the current turn. */
  hold(): void {
    this.isHeld = true;
    this.scheduleTurn();
  }

  private scheduleTurn(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const { opts } = this;
    let untilCpuMs = -Infinity;
    opts.schedule(() => {
      if (!this.isHeld) untilCpuMs = opts.cpuMs() + MAX_TURN_MS;
      this.isHeld = false;
    });
    Array.from({ length: MAX_REQUESTS }, () =>
      opts.schedule(() => {
        if (this.waiting.size > 0 && opts.cpuMs() < untilCpuMs) this.beginNext();
      }),
    );
    opts.schedule(() => {
      if (untilCpuMs > -Infinity) this.beginOverdue();
      this.endTurn();
    });
  }

  private beginNext(): void {
    const isOldestNext = (this.begun + 1) % OLDEST_EACH === 0;
    const [oldest] = this.waiting;
    const next = isOldestNext ? oldest : this.shortestLimit();
    if (next === undefined) return;
    this.begun += 1;
    this.begin(next);
  }

  private beginOverdue(): void {
    const nowMs = this.opts.nowMs();
    const overdue = [...this.waiting].filter(({ dueAtMs }) => dueAtMs <= nowMs);
    overdue.slice(0, MAX_OVERDUE).forEach((entry) => this.begin(entry));
  }

  private begin(entry: Waiting): void {
    this.waiting.delete(entry);
    entry.begin();
  }

  private shortestLimit(): Waiting | undefined {
    let shortest: Waiting | undefined;
    this.waiting.forEach((entry) => {
      if (shortest === undefined || entry.limitMs < shortest.limitMs) shortest = entry;
    });
    return shortest;
  }

  private endTurn(): void {
    this.isScheduled = false;
    if (this.waiting.size === 0) return;
    this.opts.onWait();
    this.scheduleTurn();
  }
}
