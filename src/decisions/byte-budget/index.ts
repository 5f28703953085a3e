/**
 * Bounds the bytes that the responses of backend servers hold in one process.
 *
 * When the bound is exceeded, the server whose incomplete responses hold the most bytes loses its
 * largest one, so that a server that sends without end can't displace the responses of others.
 * Complete responses, which only wait for slow callers, are never given up.
 */

/** Bytes held for one response. */
interface Holding {
  readonly id: number;
  readonly serverId: string;
  readonly bytes: number;
  readonly isComplete: boolean;
}

export class ByteBudget {
  private readonly holdings = new Map<number, Holding>();

  private total = 0;

  constructor(private readonly maxBytes: number) {}

  get bytes(): number {
    return this.total;
  }

  /**
   * Sets the bytes that an incomplete response holds.
   * @returns Ids of the responses that are given up; they hold nothing any more.
   */
  hold(id: number, serverId: string, bytes: number): readonly number[] {
    this.total += bytes - (this.holdings.get(id)?.bytes ?? 0);
    this.holdings.set(id, { id, serverId, bytes, isComplete: false });
    const evicted: number[] = [];
    while (this.total > this.maxBytes) {
      const victim = this.largestOfLargestServer();
      if (victim === undefined) break;
      this.release(victim.id);
      evicted.push(victim.id);
    }
    return evicted;
  }

  /** Records that a response is complete and only waits for its caller. */
  complete(id: number): void {
    const holding = this.holdings.get(id);
    if (holding !== undefined) this.holdings.set(id, { ...holding, isComplete: true });
  }

  release(id: number): void {
    this.total -= this.holdings.get(id)?.bytes ?? 0;
    this.holdings.delete(id);
  }

  private largestOfLargestServer(): Holding | undefined {
    const incomplete = [...this.holdings.values()].filter(({ isComplete }) => !isComplete);
    const byServer = new Map<string, number>();
    incomplete.forEach(({ serverId, bytes }) =>
      byServer.set(serverId, (byServer.get(serverId) ?? 0) + bytes),
    );
    const [largest] = [...byServer].sort(([, a], [, b]) => b - a);
    return incomplete
      .filter(({ serverId, bytes }) => serverId === largest?.[0] && bytes > 0)
      .sort((a, b) => b.bytes - a.bytes)[0];
  }
}
