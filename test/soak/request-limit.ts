/** The request limit that a backend server names over time, and the requests that it gets. */

/** Span over which the requests of a server are counted, ms. */
const SPAN_MS = 4_000;
/** A server may get this multiple of its limit, and `EXTRA_REQUESTS` more, in any span. */
const LIMIT_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;
/** Time after the first naming from which requests count, ms. */
const KNOWN_AFTER_MS = 500;
const MS_PER_S = 1000;

interface NamedLimit {
  readonly fromMs: number;
  /** Requests per second; null for no limit. */
  readonly perS: number | null;
}

export class RequestLimitRecord {
  private readonly limits: NamedLimit[] = [];

  private readonly arrivals: number[] = [];

  private currentPerS: number | null = null;

  /** @param graceMs Time after the first naming in which the bound does not hold yet. */
  constructor(private readonly graceMs: number) {}

  /** Changes the limit that responses name from now on; null for none. */
  change(perS: number | null): void {
    this.currentPerS = perS;
  }

  /** The limit to name in a response that is sent now; null for none. */
  nameInResponse(): number | null {
    const { currentPerS: perS } = this;
    if (perS !== (this.limits.at(-1)?.perS ?? null)) {
      this.limits.push({ fromMs: performance.now(), perS });
    }
    return perS;
  }

  noteArrival(): void {
    this.arrivals.push(performance.now());
  }

  /** Number of requests since the limit was first named. */
  get arrivalsSinceNamed(): number {
    const namedAtMs = this.limits[0]?.fromMs ?? Infinity;
    return this.arrivals.filter((atMs) => atMs >= namedAtMs).length;
  }

  /**
   * The span in which the server got the most requests beyond the bound, as text; null if it got
   * too many in none. Spans in which it named no limit for some time don't count.
   */
  worstExcess(): string | null {
    const namedAtMs = this.limits[0]?.fromMs ?? Infinity;
    const worst = this.arrivals
      .filter((atMs) => atMs >= namedAtMs + this.graceMs)
      .map((atMs) => {
        const fromMs = Math.max(atMs - SPAN_MS, namedAtMs + KNOWN_AFTER_MS);
        const count = this.arrivals.filter((at) => at > fromMs && at <= atMs).length;
        const allowed = this.requestsAllowed(atMs - SPAN_MS, atMs);
        return { atMs, count, allowed, excess: count - allowed };
      })
      .sort((a, b) => b.excess - a.excess)[0];
    if (worst === undefined || worst.excess <= 0) return null;
    const { count, allowed } = worst;
    const atS = ((worst.atMs - namedAtMs) / MS_PER_S).toFixed(1);
    return `${count} requests in 4 s, ${allowed.toFixed(1)} allowed, ${atS} s after the first naming`;
  }

  private requestsAllowed(fromMs: number, toMs: number): number {
    const limited = this.limits.map(({ fromMs: startMs, perS }, at) => {
      const endMs = this.limits[at + 1]?.fromMs ?? Infinity;
      // Before its first naming, a server counts as if it had named that limit already.
      const startsAtMs = at === 0 ? -Infinity : startMs;
      const overlapMs = Math.max(0, Math.min(endMs, toMs) - Math.max(startsAtMs, fromMs));
      return overlapMs === 0 ? 0 : (overlapMs / MS_PER_S) * (perS ?? Infinity);
    });
    return LIMIT_FACTOR * limited.reduce((sum, requests) => sum + requests, 0) + EXTRA_REQUESTS;
  }
}
