/** Source of time for tasks. Code in `decisions/` receives the time as an argument instead. */
export interface Clock {
  /** Milliseconds since an arbitrary origin, including time spent suspended. Never decreases. */
  nowMs(): number;
  /** Milliseconds of the monotonic clock, which stops while the VM is suspended. */
  steadyMs(): number;
  /** Calls `handler` with the length of each detected suspension, ms. */
  onJump(handler: (jumpMs: number) => void): void;
}

/** The clocks that a `Clock` is derived from. */
export interface TimeSources {
  monotonicMs(): number;
  wallClockMs(): number;
}
