/** Trails of recent requests, shown by the `explain` command. */

/** A step of a request's trail. */
export interface TrailStep {
  readonly atMs: number;
  readonly step: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const KEPT_REQUESTS = 2_000;
const KEPT_STEPS = 32;

export class RequestTrails {
  private readonly trails = new Map<string, TrailStep[]>();

  /** Adds a step to the trail of a request. Steps beyond the limit of a trail are dropped. */
  note(id: string, step: string, fields: Readonly<Record<string, unknown>> = {}): void {
    let steps = this.trails.get(id);
    if (steps === undefined) {
      steps = [];
      this.trails.set(id, steps);
      this.removeOldest();
    }
    if (steps.length < KEPT_STEPS) steps.push({ atMs: Date.now(), step, fields });
  }

  /** Returns the steps of a request in order, or null if it has no trail. */
  of(id: string): readonly TrailStep[] | null {
    return this.trails.get(id) ?? null;
  }

  private removeOldest(): void {
    if (this.trails.size <= KEPT_REQUESTS) return;
    const [oldest] = this.trails.keys();
    if (oldest !== undefined) this.trails.delete(oldest);
  }
}
