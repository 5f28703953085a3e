/** What the steward has announced to this entry VM about link rates. */
import { acquireWaitMs, isSlowBudget } from '../../decisions/message-pacing/index.js';
import type { RelayMessageOf } from './messages.js';

export class StewardAnnouncements {
  private announcedBytesPerS: number | null = null;

  /** Whether the steward has sent a view on this connection, which states the number of members. */
  private hasView = false;

  /** Best link rate of the fleet; undefined until a steward has stated it. */
  private bestMbps: number | null | undefined = undefined;

  /** @param linkMbps Link rate of this VM, Mbit/s; null if it is unknown. */
  constructor(private readonly linkMbps: number | null) {}

  handleWelcome({ bytesPerS }: RelayMessageOf<'welcome'>): void {
    this.announcedBytesPerS = bytesPerS ?? null;
    this.hasView = false;
  }

  handleView({ bytesPerS, bestMbps }: RelayMessageOf<'view'>): void {
    this.announcedBytesPerS = bytesPerS ?? null;
    this.hasView = true;
    if (bestMbps !== undefined) this.bestMbps = bestMbps;
  }

  /** Bytes per second that the steward's link can carry; null if it announces none. */
  get bytesPerS(): number | null {
    return this.announcedBytesPerS;
  }

  /** Whether the number of members is known that the steward has now. */
  get areMembersKnown(): boolean {
    return this.hasView;
  }

  /** Whether messages to the steward are to be deflated. */
  get isStewardSlow(): boolean {
    return isSlowBudget(this.announcedBytesPerS);
  }

  /** Time for which this VM leaves a free lease to VMs with better links, ms. */
  acquireWaitMs(leaseMs: number): number {
    return acquireWaitMs(this.linkMbps, this.bestMbps, leaseMs);
  }
}
