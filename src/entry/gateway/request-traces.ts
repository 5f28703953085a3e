/** Traces of recent requests, shown by the `explain` command. */

/** A step of a request's trace. */
export interface TraceStep {
  readonly atMs: number;
  readonly step: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const KEPT_REQUESTS = 2_000;
const KEPT_STEPS = 32;

export class RequestTraces {
  private readonly traces = new Map<string, TraceStep[]>();

  /** Adds a step to the trace of a request. Steps beyond the limit of a trace are dropped. */
  note(id: string, step: string, fields: Readonly<Record<string, unknown>> = {}): void {
    let steps = this.traces.get(id);
    if (steps === undefined) {
      steps = [];
      this.traces.set(id, steps);
      this.removeOldest();
    }
    if (steps.length < KEPT_STEPS) steps.push({ atMs: Date.now(), step, fields });
  }

  /** Returns the steps of a request in order, or null if it has no trace. */
  of(id: string): readonly TraceStep[] | null {
    return this.traces.get(id) ?? null;
  }

  private removeOldest(): void {
    if (this.traces.size <= KEPT_REQUESTS) return;
    const [oldest] = this.traces.keys();
    if (oldest !== undefined) this.traces.delete(oldest);
  }
}
