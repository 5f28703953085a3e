/** Decides which of a steward's messages may be sent now, by priority, from the bytes of its link. */
const MS_PER_S = 1000;
/**
 * Part of the link's bytes that the bucket gains. Renewed leases go to all members at once, so that
 * single seconds have up to a sixth more than the mean.
 */
const GAINED_FRACTION = 0.8;
/** Bytes that may accumulate unused, as time at the full rate, ms. */
const BURST_MS = 100;
/**
 * Longest time for which messages of the first priority hold back the others once they have ended, s: the
 * traffic of each second is bounded, and not that of minutes.
 */
const MAX_DEBT_S = 1;
/** Part of the burst that full lists leave to other messages. */
const LISTS_RESERVE = 0.5;

/** Priorities of messages, the highest first. */
export const SendPriority = {
  /** Lease, grants, loan replies, permits, slots, changes of the server list: always sent. */
  first: 'first',
  /** Changes of the view. */
  changes: 'changes',
  /** Full lists, which a member without them replaces by its own copies. */
  lists: 'lists',
} as const;
export type SendPriority = (typeof SendPriority)[keyof typeof SendPriority];

/**
 * A token bucket of bytes. All messages are charged to it. Those of the first priority are sent even
 * if it is empty, which then delays the others for longer.
 */
export class SendBudget {
  private level: number;

  private atMs = -Infinity;

  private readonly bytesPerS: number | null;

  /** @param linkBytesPerS Bytes per second that the link can carry; null for no bound. */
  constructor(linkBytesPerS: number | null) {
    this.bytesPerS = linkBytesPerS === null ? null : linkBytesPerS * GAINED_FRACTION;
    this.level = this.burst;
  }

  /** Whether a message of this priority may be sent now. */
  allows(nowMs: number, priority: SendPriority): boolean {
    if (this.bytesPerS === null || priority === SendPriority.first) return true;
    this.refill(nowMs);
    const reserve = priority === SendPriority.lists ? this.burst * LISTS_RESERVE : 0;
    return this.level > reserve;
  }

  /** Records that a message was sent. */
  noteSent(nowMs: number, bytes: number): void {
    if (this.bytesPerS === null) return;
    this.refill(nowMs);
    this.level = Math.max(-this.bytesPerS * MAX_DEBT_S, this.level - bytes);
  }

  private get burst(): number {
    return ((this.bytesPerS ?? 0) * BURST_MS) / MS_PER_S;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.atMs);
    this.atMs = Math.max(this.atMs, nowMs);
    const gained = Number.isFinite(elapsedMs) ? ((this.bytesPerS ?? 0) * elapsedMs) / MS_PER_S : 0;
    this.level = Math.min(this.burst, this.level + gained);
  }
}
