/** Measures recent demand in tokens/s, with exponential decay. */

const HALF_LIFE_MS = 500;

export class DemandRate {
  private perS = 0;

  constructor(private atMs: number) {}

  note(nowMs: number, tokens: number): void {
    this.perS = this.perSecond(nowMs) + (tokens * Math.LN2 * 1000) / HALF_LIFE_MS;
  }

  perSecond(nowMs: number): number {
    this.perS *= 0.5 ** (Math.max(0, nowMs - this.atMs) / HALF_LIFE_MS);
    this.atMs = nowMs;
    return this.perS;
  }
}
