/** Gives loans of customers' tokens to the entry VMs that ask. */
import { Account } from './account.js';
import type { CustomerLimit, Grant } from './types.js';

/** A borrower drops a loan this long after it sent its ask. */
export const LOAN_TTL_MS = 1_000;
/** The giver's allowance for clocks that run at different speeds. */
export const LOAN_MARGIN_MS = 200;

export class QuotaGiver {
  private readonly accounts = new Map<string, Account>();

  private lastLoanId = 0;

  /**
   * @param frozenUntilMs No account earns before this time: loans of an earlier holder may live.
   * @param startLevels Tokens to start with; null starts every account with its burst, which is
   * right only where nobody held the accounts before.
   */
  constructor(
    private readonly frozenUntilMs: number,
    private readonly startLevels: Readonly<Record<string, number>> | null,
  ) {}

  /** Sets the limits in force; customers that are not named have no account. */
  configure(nowMs: number, limits: readonly CustomerLimit[]): void {
    const named = new Set(limits.map((limit) => limit.customer));
    [...this.accounts.keys()]
      .filter((customer) => !named.has(customer))
      .forEach((customer) => this.accounts.delete(customer));
    limits.forEach(({ customer, ratePerS, burst }) => {
      const account = this.accounts.get(customer);
      if (account !== undefined) {
        account.configure(nowMs, ratePerS, burst);
        return;
      }
      const startMs = Math.max(nowMs, this.frozenUntilMs);
      const startLevel = this.startLevels === null ? burst : (this.startLevels[customer] ?? 0);
      this.accounts.set(customer, new Account(ratePerS, burst, startMs, startLevel));
    });
  }

  /** Lends up to `tokens`. */
  lend(nowMs: number, askId: number, customer: string, tokens: number): Grant {
    this.lastLoanId += 1;
    const loanId = this.lastLoanId;
    const expiresAtMs = nowMs + LOAN_TTL_MS + LOAN_MARGIN_MS;
    const granted = this.accounts.get(customer)?.lend(nowMs, loanId, tokens, expiresAtMs) ?? 0;
    return { askId, customer, loanId, tokens: granted };
  }

  settle(nowMs: number, customer: string, loanId: number, spent: number, returned: number): void {
    this.accounts.get(customer)?.settle(nowMs, loanId, spent, returned);
  }

  refund(nowMs: number, customer: string, tokens: number): void {
    this.accounts.get(customer)?.refund(nowMs, tokens);
  }

  /** Tokens left by customer, for the next holder. */
  levels(nowMs: number): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.accounts].map(([customer, account]) => [customer, account.available(nowMs)]),
    );
  }

  available(nowMs: number, customer: string): number {
    return this.accounts.get(customer)?.available(nowMs) ?? 0;
  }

  spend(nowMs: number, customer: string, tokens: number): boolean {
    return this.accounts.get(customer)?.spend(nowMs, tokens) ?? false;
  }
}
