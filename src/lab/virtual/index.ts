/** A virtual clock for simulations: runs events in the order of their times, without waiting. */

interface ScheduledEvent {
  readonly atMs: number;
  /** Sequence number: events with the same time run in the order of scheduling. */
  readonly order: number;
  run(): void;
}

/** Keeps the scheduled events in a binary heap, the earliest first. */
export class VirtualClock {
  private readonly heap: ScheduledEvent[] = [];

  private time = 0;

  private scheduledCount = 0;

  nowMs(): number {
    return this.time;
  }

  /** Schedules an event; a time in the past means now. */
  at(atMs: number, run: () => void): void {
    this.scheduledCount += 1;
    this.push({ atMs: Math.max(atMs, this.time), order: this.scheduledCount, run });
  }

  after(delayMs: number, run: () => void): void {
    this.at(this.time + delayMs, run);
  }

  /** Runs `tick` every `intervalMs`, first after one interval. */
  every(intervalMs: number, tick: () => void): void {
    this.after(intervalMs, () => {
      tick();
      this.every(intervalMs, tick);
    });
  }

  /** Runs all events up to and including `endMs`, then sets the clock to `endMs`. */
  runUntil(endMs: number): void {
    let next = this.heap[0];
    while (next !== undefined && next.atMs <= endMs) {
      this.pop();
      this.time = next.atMs;
      next.run();
      [next] = this.heap;
    }
    this.time = endMs;
  }

  private isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  private push(event: ScheduledEvent): void {
    let index = this.heap.push(event) - 1;
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parentEvent = this.heap[parentIndex];
      if (parentEvent === undefined || !this.isBefore(event, parentEvent)) break;
      this.heap[index] = parentEvent;
      index = parentIndex;
    }
    this.heap[index] = event;
  }

  private pop(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    let index = 0;
    for (;;) {
      const childIndex = this.earlierChild(index);
      const childEvent = this.heap[childIndex];
      if (childEvent === undefined || !this.isBefore(childEvent, last)) break;
      this.heap[index] = childEvent;
      index = childIndex;
    }
    this.heap[index] = last;
  }

  /** Index of the child with the earlier event. */
  private earlierChild(index: number): number {
    const left = 2 * index + 1;
    const a = this.heap[left];
    const b = this.heap[left + 1];
    return a !== undefined && b !== undefined && this.isBefore(b, a) ? left + 1 : left;
  }
}
