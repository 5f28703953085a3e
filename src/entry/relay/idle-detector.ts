/** Detects attempts whose backend server has stopped responding. */
import { contain } from '../../core/contain/index.js';

/** Interval at which an idle attempt is re-evaluated, ms. */
const IDLE_POLL_MS = 150;

/** When to abandon an idle attempt: no byte arrives or, in a stream, no event is completed. */
export interface IdlePolicy {
  /** Idle time after which `shouldAbandon` is first called, ms. */
  readonly afterMs: number;
  /** Whether to abandon the attempt after this idle time. */
  shouldAbandon(idleMs: number): boolean;
}

/** Polls the idle policy while an attempt is idle. */
export class IdleDetector {
  private activeAtMs = performance.now();

  private timer: NodeJS.Timeout | null = null;

  private suspended = false;

  private isStopped = false;

  constructor(
    private readonly policy: IdlePolicy,
    private readonly abandon: () => void,
    private readonly onException: (err: unknown) => void,
  ) {
    this.arm(policy.afterMs);
  }

  noteActivity(): void {
    this.activeAtMs = performance.now();
  }

  /** Ignores the idle time until `resume`, as this side reads no more of the response. */
  suspend(): void {
    this.suspended = true;
  }

  resume(): void {
    this.suspended = false;
    this.noteActivity();
  }

  stop(): void {
    this.isStopped = true;
    if (this.timer !== null) clearTimeout(this.timer);
  }

  private arm(ms: number): void {
    const poll = contain(() => this.poll(), this.onException);
    // Bytes may have arrived while this process was busy, and their events not been handled yet.
    this.timer = setTimeout(() => setImmediate(poll), ms);
  }

  private poll(): void {
    if (this.isStopped) return;
    if (this.suspended) this.noteActivity();
    const idleMs = performance.now() - this.activeAtMs;
    if (idleMs < this.policy.afterMs) this.arm(this.policy.afterMs - idleMs);
    else if (this.policy.shouldAbandon(idleMs)) this.abandon();
    else this.arm(IDLE_POLL_MS);
  }
}
