/** Grants loans of customers' tokens to the entry VMs that ask for them. */
import { Account } from './account.js';
import type { CustomerLimit, Grant } from './types.js';

/** Time from sending a loan request until the borrower drops the loan, ms. */
export const LOAN_TTL_MS = 1_000;
/** Additional time for which the grantor counts the loan, ms; covers different clock speeds. */
export const LOAN_MARGIN_MS = 200;

export class LoanGrantor {
  private readonly accounts = new Map<string, Account>();

  private lastLoanId = 0;

  /**
   * @param frozenUntilMs Time before which no account refills, because loans of the accounts'
   * previous owner may still be valid.
   * @param startLevels Initial tokens by customer. Null starts every account with its burst, which
   * is correct only if the accounts had no previous owner.
   */
  constructor(
    private readonly frozenUntilMs: number,
    private readonly startLevels: Readonly<Record<string, number>> | null,
  ) {}

  /** Sets the current limits; accounts of customers that are not named are removed. */
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

  /** Lends up to `tokens`; the grant may be 0. */
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

  /** Returns the remaining tokens by customer, for the next owner of the accounts. */
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
