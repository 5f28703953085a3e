/**
 * Retries within a bound that holds over all entry VMs together: in any window, a service may get
 * no more of them than a part of its requests and a fixed number.
 *
 * Answers the load of a data centre whose servers fail at once: every entry VM would send again all
 * that it has, and what is left would drown. Each VM counts its own requests exactly and takes an
 * equal part of the fixed number, so that the sum keeps the bound with nobody asked. A process that
 * was just started takes none of it until what its predecessor may have sent has left the window.
 */

/** Entry VMs that are counted on until a number is known: more than any deployment has. */
const UNKNOWN_MEMBERS = 400;
/** Spans into which a window is cut; one more is kept, so that what counts is never forgotten. */
const SPANS = 20;
/** A shorter window than this is taken for one of this length, ms. */
const SHORTEST_WINDOW_MS = 100;
/** Part of the bound that is used: servers may see an arrival in a later window. */
const USED_PART = 0.9;

/** The bound, over all entry VMs. */
export interface RetryBound {
  /** Retries for each request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries that are allowed besides. */
  readonly slack: number;
}

interface Span {
  readonly index: number;
  requests: number;
  retries: number;
}

export class RetryWindow {
  private readonly spans = new Map<string, Span[]>();

  private members: number | null = null;

  private readonly spanMs: number;

  /** Index of the first span in which the fixed number counts. */
  private readonly fixedFrom: number;

  constructor(
    private readonly bound: RetryBound,
    startedAtMs: number,
  ) {
    this.spanMs = Math.max(SHORTEST_WINDOW_MS, bound.windowMs) / SPANS;
    this.fixedFrom = Math.floor(startedAtMs / this.spanMs) + SPANS + 1;
  }

  /** So many entry VMs are there; a lower number than before changes nothing. */
  noteMembers(count: number): void {
    this.members = Math.max(this.members ?? 0, count);
  }

  noteRequest(nowMs: number, service: string): void {
    this.spanAt(nowMs, service).requests += 1;
  }

  /** Takes one retry at a service; false where the bound leaves none. */
  spend(nowMs: number, service: string): boolean {
    const span = this.spanAt(nowMs, service);
    const kept = this.spans.get(service) ?? [];
    // The oldest span may lie outside the window: its requests no longer count, its retries do.
    const sure = kept.filter(({ index }) => span.index - index < SPANS);
    const requests = sure.reduce((sum, { requests: count }) => sum + count, 0);
    const retries = kept.reduce((sum, { retries: count }) => sum + count, 0);
    const isSettled = span.index >= this.fixedFrom;
    const share = isSettled ? this.bound.slack / (this.members ?? UNKNOWN_MEMBERS) : 0;
    if (retries + 1 > (this.bound.ratio * requests + share) * USED_PART) return false;
    span.retries += 1;
    return true;
  }

  private spanAt(nowMs: number, service: string): Span {
    const index = Math.floor(nowMs / this.spanMs);
    const kept = (this.spans.get(service) ?? []).filter((span) => index - span.index <= SPANS);
    this.spans.set(service, kept);
    const last = kept.at(-1);
    if (last !== undefined && last.index >= index) return last;
    const span = { index, requests: 0, retries: 0 };
    kept.push(span);
    return span;
  }
}
