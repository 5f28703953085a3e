/**
 * Chooses the entry VM that goes on when the holder of a lease ends.
 *
 * Answers the load of VMs that are stopped and started in turn, or killed, while the store is slow:
 * a successor that has to ask the store first leaves everybody without a steward for that time. An
 * heir that is out of sight may still go on, so nobody else is named before its time is over.
 */
import type { LeaseHeir } from './types.js';

/** A member that is connected for this long is preferred, ms. */
const SETTLED_MS = 2_000;

/** An entry VM that could go on. */
export interface HeirCandidate {
  readonly vm: string;
  readonly address: string;
  /** When it connected. */
  readonly sinceMs: number;
  /** Whether it stops, and so never goes on. */
  readonly leaving: boolean;
}

export class HeirChoice {
  private current: Omit<LeaseHeir, 'epoch'> | null = null;

  private namedAtMs = -Infinity;

  /** @param lastsMs How long an heir may go on after it was named last. */
  constructor(private readonly lastsMs: number) {}

  /** Whom the lease that is written now names; null for nobody. */
  choose(nowMs: number, candidates: readonly HeirCandidate[]): Omit<LeaseHeir, 'epoch'> | null {
    const known = candidates.find(({ vm }) => vm === this.current?.vm);
    if (known === undefined && nowMs - this.namedAtMs < this.lastsMs) return null;
    if (known === undefined || known.leaving) this.current = this.best(nowMs, candidates);
    if (this.current !== null) this.namedAtMs = nowMs;
    return this.current;
  }

  /** The one that came last and has settled: in a rolling restart it is not stopped soon. */
  private best(nowMs: number, candidates: readonly HeirCandidate[]) {
    const fit = candidates.filter(({ leaving }) => !leaving);
    const settled = fit.filter(({ sinceMs }) => nowMs - sinceMs > SETTLED_MS);
    const [best] = [...(settled.length > 0 ? settled : fit)].sort((a, b) => b.sinceMs - a.sinceMs);
    return best === undefined ? null : { vm: best.vm, address: best.address };
  }
}
