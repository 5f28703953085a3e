/** What happened to recent requests, for `explain`. */

export interface TrailStep {
  readonly atMs: number;
  readonly step: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const KEPT_REQUESTS = 2_000;
const KEPT_STEPS = 32;

export class Trails {
  private readonly trails = new Map<string, TrailStep[]>();

  note(id: string, step: string, fields: Readonly<Record<string, unknown>> = {}): void {
    let steps = this.trails.get(id);
    if (steps === undefined) {
      steps = [];
      this.trails.set(id, steps);
      this.forgetOldest();
    }
    if (steps.length < KEPT_STEPS) steps.push({ atMs: Date.now(), step, fields });
  }

  /** The steps of a request, in order; null where it is not kept. */
  of(id: string): readonly TrailStep[] | null {
    return this.trails.get(id) ?? null;
  }

  private forgetOldest(): void {
    if (this.trails.size <= KEPT_REQUESTS) return;
    const [oldest] = this.trails.keys();
    if (oldest !== undefined) this.trails.delete(oldest);
  }
}
