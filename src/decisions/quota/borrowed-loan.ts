/** The borrower's side of a loan. */
import type { GrantorAccount } from './types.js';

/**
 * Time before a loan expires at which its unspent tokens are returned, ms, so that none are lost.
 */
const RETURN_BEFORE_EXPIRY_MS = 200;

/** Tokens of a loan that were spent and returned since the last settlement. */
export interface Settlement {
  readonly spent: number;
  readonly returned: number;
}

export class BorrowedLoan {
  private spentUnsettled = 0;

  constructor(
    readonly from: GrantorAccount,
    readonly loanId: number,
    private tokens: number,
    private readonly expiresAtMs: number,
  ) {}

  available(nowMs: number): number {
    return nowMs < this.expiresAtMs ? this.tokens : 0;
  }

  /** Spends up to `tokens`; returns the amount. */
  spend(nowMs: number, tokens: number): number {
    const used = Math.min(tokens, this.available(nowMs));
    this.tokens -= used;
    this.spentUnsettled += used;
    return used;
  }

  /**
   * Deducts the tokens to return from the loan and returns the settlement to send to the grantor;
   * null if there is nothing to report.
   */
  settle(nowMs: number, returnAll: boolean): Settlement | null {
    const due = returnAll || nowMs >= this.expiresAtMs - RETURN_BEFORE_EXPIRY_MS;
    const returned = due ? this.available(nowMs) : 0;
    const spent = this.spentUnsettled;
    this.tokens = nowMs < this.expiresAtMs ? this.tokens - returned : 0;
    this.spentUnsettled = 0;
    return spent === 0 && returned === 0 ? null : { spent, returned };
  }

  /** Whether nothing is left to spend or to settle. */
  isSettled(): boolean {
    return this.tokens <= 0 && this.spentUnsettled === 0;
  }
}
