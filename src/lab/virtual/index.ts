/** A virtual clock: events run in the order of their times, at once. */

interface Event {
  readonly atMs: number;
  readonly order: number;
  run(): void;
}

/** A binary heap of events, earliest first. */
export class VirtualClock {
  private readonly heap: Event[] = [];

  private time = 0;

  private count = 0;

  nowMs(): number {
    return this.time;
  }

  at(atMs: number, run: () => void): void {
    this.count += 1;
    this.push({ atMs: Math.max(atMs, this.time), order: this.count, run });
  }

  after(delayMs: number, run: () => void): void {
    this.at(this.time + delayMs, run);
  }

  /** Runs `tick` every `everyMs` until the end. */
  every(everyMs: number, tick: () => void): void {
    this.after(everyMs, () => {
      tick();
      this.every(everyMs, tick);
    });
  }

  /** Runs all events up to `endMs`. */
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

  private isBefore(a: Event, b: Event): boolean {
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  private push(event: Event): void {
    let index = this.heap.push(event) - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      const above = this.heap[parent];
      if (above === undefined || !this.isBefore(event, above)) break;
      this.heap[index] = above;
      index = parent;
    }
    this.heap[index] = event;
  }

  private pop(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    let index = 0;
    for (;;) {
      const child = this.smallerChild(index);
      const below = this.heap[child];
      if (below === undefined || !this.isBefore(below, last)) break;
      this.heap[index] = below;
      index = child;
    }
    this.heap[index] = last;
  }

  private smallerChild(index: number): number {
    const left = 2 * index + 1;
    const a = this.heap[left];
    const b = this.heap[left + 1];
    return a !== undefined && b !== undefined && this.isBefore(b, a) ? left + 1 : left;
  }
}
