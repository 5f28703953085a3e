/**
 * Detects prompt segments that crash engines, from crashes that were verified when the engine's
 * connection closed. Other requests with such a segment are refused.
 */
import { IncidentTable } from './incident-table.js';
import { RecentTimes } from './recent-times.js';
import { RunProgress } from './types.js';
import type { EngineCrash } from './index.js';

/** Reports of one engine within this time are of the same crash, ms. */
const SAME_CRASH_MS = 1_000;
/** Maximum number of engines whose last crash is kept. */
const MAX_ENGINES = 4_096;

export class CrashSegments {
  private readonly table = new IncidentTable();

  private readonly lastCrashAtMs = new RecentTimes(MAX_ENGINES);

  note(nowMs: number, { fingerprint, engineId, agoMs, segments }: EngineCrash): void {
    if (segments.length === 0) return;
    const bornMs = this.crashTime(engineId, nowMs - agoMs);
    const run = {
      request: fingerprint,
      segments: [...segments],
      progress: RunProgress.begun,
    };
    segments.forEach((segment) =>
      this.table.note(nowMs, { fingerprint: segment, serverId: engineId, bornMs, run }, agoMs),
    );
  }

  /** Records that a request with these segments ran to completion. */
  noteCompleted(nowMs: number, segments: readonly string[]): void {
    segments.forEach((segment) => this.table.noteCompleted(nowMs, segment));
  }

  /**
   * Time until a request with these segments is accepted, ms; null if it is accepted now, or may run
   * as a probe.
   * @param mayProbe Whether this entry VM may probe.
   */
  refusedForMs(nowMs: number, segments: readonly string[], mayProbe: boolean): number | null {
    if (!this.table.isRefused(nowMs, segments)) return null;
    if (mayProbe && this.table.takeProbe(nowMs, segments)) return null;
    return this.table.retryAfterMs(nowMs, segments);
  }

  /**
   * All crashes that still count, each with the segments that were not proven to be sound since, for
   * an entry VM that may not have received all reports.
   */
  knownCrashes(nowMs: number): readonly EngineCrash[] {
    return this.table.all(nowMs).flatMap(({ run, serverId, ageMs }) => {
      if (run === undefined) return [];
      const segments = run.segments.filter((segment) => this.table.count(nowMs, segment) > 0);
      return [{ fingerprint: run.request, engineId: serverId, ranMs: 0, agoMs: ageMs, segments }];
    });
  }

  /** Time that stands for an engine's crash: that of the first report of it. */
  private crashTime(engineId: string, atMs: number): number {
    const lastAtMs = this.lastCrashAtMs.get(engineId);
    if (lastAtMs !== null && Math.abs(atMs - lastAtMs) < SAME_CRASH_MS) return lastAtMs;
    this.lastCrashAtMs.note(engineId, atMs);
    return atMs;
  }
}
