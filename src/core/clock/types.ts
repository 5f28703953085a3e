/** Source of time for tasks. Decisions are handed the time instead. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never runs backwards and counts time spent suspended. */
  nowMs(): number;
  /** Milliseconds of the monotonic clock, which stands still while the VM is suspended. */
  steadyMs(): number;
  /** Calls `handler` with the length of each jump that is taken for a suspension, ms. */
  onJump(handler: (jumpMs: number) => void): void;
}

/** Where a clock reads the time. */
export interface TimeSources {
  monotonicMs(): number;
  timeOfDayMs(): number;
}
