/** A loan as its borrower holds it. */
import type { Giver } from './types.js';

/** Unspent tokens go back this long before the loan expires, so that they are not lost. */
const RETURN_BEFORE_EXPIRY_MS = 200;

/** What became of a loan since its giver was last told. */
export interface Settlement {
  readonly spent: number;
  readonly returned: number;
}

export class HeldLoan {
  private spentUnsettled = 0;

  constructor(
    readonly from: Giver,
    readonly loanId: number,
    private tokens: number,
    private readonly expiresAtMs: number,
  ) {}

  available(nowMs: number): number {
    return nowMs < this.expiresAtMs ? this.tokens : 0;
  }

  /** Takes up to `tokens` and says how many it took. */
  spend(nowMs: number, tokens: number): number {
    const used = Math.min(tokens, this.available(nowMs));
    this.tokens -= used;
    this.spentUnsettled += used;
    return used;
  }

  /** Takes returned tokens off the loan, then says what to tell the giver; null if nothing. */
  settle(nowMs: number, returnAll: boolean): Settlement | null {
    const due = returnAll || nowMs >= this.expiresAtMs - RETURN_BEFORE_EXPIRY_MS;
    const returned = due ? this.available(nowMs) : 0;
    const spent = this.spentUnsettled;
    this.tokens = nowMs < this.expiresAtMs ? this.tokens - returned : 0;
    this.spentUnsettled = 0;
    return spent === 0 && returned === 0 ? null : { spent, returned };
  }

  /** Whether nothing is left to spend or to tell. */
  isOver(): boolean {
    return this.tokens <= 0 && this.spentUnsettled === 0;
  }
}
