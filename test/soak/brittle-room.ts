/** The waiting requests of a backend server that may be brittle, and those that it turns away. */

/** Requests that a brittle server lets wait until its room shrinks. */
const WAITING_ROOM = 4;
const WINDOW_MS = 1_000;

export class BrittleRoom {
  /** Requests that it may turn away in any second without a crash; null if it is not brittle. */
  private perS: number | null = null;

  private brittleSinceMs = -Infinity;

  private waiting: ((isAdmitted: boolean) => void)[] = [];

  private turnedAwayAtMs: readonly number[] = [];

  /** Requests that were turned away while it was brittle. */
  turnedAway = 0;

  /** Number of crashes for too many requests turned away. */
  falls = 0;

  /** @param graceMs Time after which a brittle server lets none wait, and may crash. */
  constructor(private readonly graceMs: number) {}

  setBrittle(perS: number | null): void {
    this.perS = perS;
    this.brittleSinceMs = performance.now();
  }

  /** Resolves with true once the request has a slot, or with false if it is turned away. */
  wait(): Promise<boolean> {
    if (this.waiting.length >= this.waitingRoom) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.waiting.push(resolve);
    });
  }

  /** Admits the first request that waits; false if none does. */
  admitNext(): boolean {
    const next = this.waiting.shift();
    next?.(true);
    return next !== undefined;
  }

  /** Counts a request that was turned away; true if the server crashes. */
  noteTurnedAway(): boolean {
    if (this.perS === null) return false;
    const nowMs = performance.now();
    this.turnedAway += 1;
    this.turnedAwayAtMs = [...this.turnedAwayAtMs, nowMs].filter((at) => at > nowMs - WINDOW_MS);
    if (!this.hasShrunk || this.turnedAwayAtMs.length <= this.perS) return false;
    this.falls += 1;
    return true;
  }

  /** Forgets the requests of a server that has crashed. */
  clear(): void {
    this.waiting.splice(0).forEach((settle) => settle(false));
    this.turnedAwayAtMs = [];
  }

  private get hasShrunk(): boolean {
    return performance.now() >= this.brittleSinceMs + this.graceMs;
  }

  private get waitingRoom(): number {
    return this.perS === null || this.hasShrunk ? 0 : WAITING_ROOM;
  }
}
