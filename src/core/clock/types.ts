/** Source of time for tasks. Decisions are handed the time instead. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never runs backwards and counts time spent suspended. */
  nowMs(): number;
}
