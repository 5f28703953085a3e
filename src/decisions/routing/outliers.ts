/** Leaves out engines that fail, but never so many that a set of replicas is emptied. */
const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 2_000;
const LONGEST_EJECTION_MS = 60_000;
/** Part of a set of engines that may be left out at once. */
const MOST_EJECTED = 0.5;

interface Record {
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
}

export class OutlierDetector {
  private readonly records = new Map<string, Record>();

  note(nowMs: number, engineId: string, healthy: boolean): void {
    if (healthy) {
      this.records.delete(engineId);
      return;
    }
    const record = this.records.get(engineId) ?? { failures: 0, ejections: 0, ejectedUntilMs: 0 };
    this.records.set(engineId, record);
    record.failures += 1;
    if (record.failures < FAILURES_TO_EJECT || nowMs < record.ejectedUntilMs) return;
    const ejectionMs = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** record.ejections);
    record.ejections += 1;
    record.ejectedUntilMs = nowMs + ejectionMs;
  }

  /** The engines to choose among; all of them when too many would be left out. */
  admit<T extends { readonly engineId: string }>(
    nowMs: number,
    engines: readonly T[],
  ): readonly T[] {
    const fit = engines.filter(
      ({ engineId }) => (this.records.get(engineId)?.ejectedUntilMs ?? 0) <= nowMs,
    );
    const ejected = engines.length - fit.length;
    return ejected <= engines.length * MOST_EJECTED ? fit : engines;
  }
}
