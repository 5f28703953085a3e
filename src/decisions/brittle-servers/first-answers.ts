/**
 * Bounds the requests to the servers of a service of which no answer is known: they may be brittle.
 *
 * After all entry VMs were restarted, none of them knows whether servers are brittle, and the callers
 * come back together. The first answer of a server, or a steward that knows one, tells.
 */

/** Fraction of a server's slots that all entry VMs together may use until then. */
const USABLE_FRACTION = 0.9;
/** Number of entry VMs that is assumed, as it isn't known either. */
const ASSUMED_VMS = 8;
/** Time after the first request for which an answer is awaited, ms: slow servers answer later. */
const MAX_WAIT_MS = 500;

export class FirstAnswers {
  /** Services of which an answer is known. */
  private readonly known = new Set<string>();

  /** When the first request to a server of each other service was sent. */
  private readonly sentAtMs = new Map<string, number>();

  /**
   * Whether another request may be sent to a server of the service.
   * @param inFlight Requests of this entry VM in flight to that server.
   */
  allows(nowMs: number, service: string, slots: number, inFlight: number): boolean {
    if (this.known.has(service)) return true;
    if (inFlight < Math.max(1, Math.floor((slots * USABLE_FRACTION) / ASSUMED_VMS))) return true;
    return nowMs - (this.sentAtMs.get(service) ?? nowMs) >= MAX_WAIT_MS;
  }

  noteSent(nowMs: number, service: string): void {
    if (!this.known.has(service) && !this.sentAtMs.has(service)) this.sentAtMs.set(service, nowMs);
  }

  /** Records that an answer of a service is known; returns whether it is the first. */
  noteAnswer(service: string): boolean {
    if (this.known.has(service)) return false;
    this.known.add(service);
    this.sentAtMs.delete(service);
    return true;
  }

  /** Services of which an answer is known. */
  services(): string[] {
    return [...this.known];
  }
}
