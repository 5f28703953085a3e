/**
 * Paces the messages between a steward and its members, so that they take at most half of the
 * steward's link rate in each direction.
 *
 * The steward announces the bytes per second that its link can carry. Members derive the interval of
 * their reports from that number, the number of members and the size of their reports. The steward
 * sends its own messages by priority from a budget. A link whose rate is unknown has no bounds here.
 */
import { isSlowBudget } from './link-rates.js';

export { SendBudget, SendPriority } from './send-budget.js';
export { type ShareState, SharesPacer } from './shares-pacer.js';
export * from './link-rates.js';

const MS_PER_S = 1000;

/** Part of the announced bytes that reports may take; the rest is left to other messages. */
const REPORTS_FRACTION = 0.6;
/**
 * Longest interval between two reports of a member, ms. With the age of the steward's copies, its
 * confirmation of the members' copies stays valid (1,300 ms).
 */
const MAX_INTERVAL_MS = 700;
/** Smallest interval between two reports of a member, one of which is sent at once, ms. */
const MIN_IMMEDIATE_GAP_MS = 20;
/** Reports per second of all members together that may be sent at once. */
const MAX_IMMEDIATE_PER_S = 1_000;
/** Weight of a new report in the moving average of its size. */
const AVERAGE_WEIGHT = 0.1;
/** Size that is assumed before the first report, bytes. */
const USUAL_REPORT_BYTES = 1_000;

/** What determines the intervals of a member's reports. */
export interface ReportLoad {
  /** Number of members of the steward; null until the steward has stated it on this connection. */
  readonly members: number | null;
  /** Interval for a steward with an unbounded link, ms. */
  readonly baseIntervalMs: number;
  /** Bytes per second that the steward announces; null if it announces none. */
  readonly bytesPerS: number | null;
}

/** Decides when a member sends its next report. */
export class ReportPacer {
  private averageBytes = USUAL_REPORT_BYTES;

  /** Records the size of a report that was sent. */
  noteSent(bytes: number): void {
    this.averageBytes += (bytes - this.averageBytes) * AVERAGE_WEIGHT;
  }

  /** Interval between two regular reports, ms. */
  intervalMs(load: ReportLoad): number {
    return Math.max(load.baseIntervalMs, this.bytesIntervalMs(load));
  }

  /** Minimum time between a report and the next one, if that one is sent at once, ms. */
  immediateGapMs(load: ReportLoad): number {
    const { members } = load;
    return Math.max(
      MIN_IMMEDIATE_GAP_MS,
      ((members ?? 1) * MS_PER_S) / MAX_IMMEDIATE_PER_S,
      this.bytesIntervalMs(load),
    );
  }

  /** Interval at which the reports of all members take their part of the steward's link, ms. */
  private bytesIntervalMs({ members, bytesPerS }: ReportLoad): number {
    if (bytesPerS === null) return 0;
    // Many members may have joined at once, each of which knows of none.
    if (members === null) return isSlowBudget(bytesPerS) ? MAX_INTERVAL_MS : 0;
    const intervalMs = (members * this.averageBytes * MS_PER_S) / (bytesPerS * REPORTS_FRACTION);
    return Math.min(MAX_INTERVAL_MS, intervalMs);
  }
}
