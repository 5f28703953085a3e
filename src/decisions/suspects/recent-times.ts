/** Times of the latest occurrence of keys; the keys that occurred longest ago are evicted. */
export class RecentTimes {
  private readonly atMs = new Map<string, number>();

  constructor(private readonly maxKeys: number) {}

  note(key: string, nowMs: number): void {
    this.atMs.delete(key);
    this.atMs.set(key, nowMs);
    const [oldest] = this.atMs.keys();
    if (this.atMs.size > this.maxKeys && oldest !== undefined) this.atMs.delete(oldest);
  }

  /** Time of the latest occurrence, ms; null if there is none or it was evicted. */
  get(key: string): number | null {
    return this.atMs.get(key) ?? null;
  }
}
