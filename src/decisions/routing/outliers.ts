/**
 * Outlier ejection: excludes engines that fail requests, but at most half of a request's
 * candidates.
 */

/** Consecutive failures after which an engine is ejected. */
const FAILURES_TO_EJECT = 3;
/** Duration of the first ejection, ms; doubles with each further ejection. */
const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 60_000;
/** Maximum fraction of a set of engines that may be ejected at the same time. */
const MAX_EJECTED_FRACTION = 0.5;

interface EngineHealth {
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
}

export class OutlierDetector {
  private readonly records = new Map<string, EngineHealth>();

  note(nowMs: number, engineId: string, healthy: boolean): void {
    if (healthy) {
      this.records.delete(engineId);
      return;
    }
    const record = this.records.get(engineId) ?? { failures: 0, ejections: 0, ejectedUntilMs: 0 };
    this.records.set(engineId, record);
    record.failures += 1;
    if (record.failures < FAILURES_TO_EJECT || nowMs < record.ejectedUntilMs) return;
    const ejectionMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** record.ejections);
    record.ejections += 1;
    record.ejectedUntilMs = nowMs + ejectionMs;
  }

  /** Returns the engines that are not ejected, or all engines if more than half are ejected. */
  eligible<T extends { readonly engineId: string }>(
    nowMs: number,
    engines: readonly T[],
  ): readonly T[] {
    const notEjected = engines.filter(
      ({ engineId }) => (this.records.get(engineId)?.ejectedUntilMs ?? 0) <= nowMs,
    );
    const ejected = engines.length - notEjected.length;
    return ejected <= engines.length * MAX_EJECTED_FRACTION ? notEjected : engines;
  }
}
