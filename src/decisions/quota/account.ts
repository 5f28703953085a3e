/**
 * A token bucket that can lend tokens.
 *
 * Unsettled loans count against the burst: the tokens in the bucket and the tokens on loan together
 * never exceed the burst. The fleet can therefore spend at most the burst at any time.
 */

interface Loan {
  /** Lent tokens that are not settled yet. */
  remaining: number;
  readonly expiresAtMs: number;
}

export class Account {
  private readonly loans = new Map<number, Loan>();

  private level: number;

  constructor(
    private ratePerS: number,
    private burst: number,
    private atMs: number,
    startLevel: number,
  ) {
    this.level = Math.min(burst, startLevel);
  }

  /** Changes rate (tokens/s) and burst; tokens above the new burst are dropped. */
  configure(nowMs: number, ratePerS: number, burst: number): void {
    this.refill(nowMs);
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.level = Math.min(this.level, this.cap());
  }

  /** Tokens that can be spent or lent now. */
  available(nowMs: number): number {
    this.refill(nowMs);
    return this.level;
  }

  /** Takes `tokens` and returns true, or takes nothing if fewer are available. */
  spend(nowMs: number, tokens: number): boolean {
    if (this.available(nowMs) < tokens) return false;
    this.level -= tokens;
    return true;
  }

  /** Lends up to `tokens`; returns the amount. The borrower drops the loan before `expiresAtMs`. */
  lend(nowMs: number, loanId: number, tokens: number, expiresAtMs: number): number {
    const amount = Math.max(0, Math.min(tokens, this.available(nowMs)));
    if (amount === 0) return 0;
    this.level -= amount;
    this.loans.set(loanId, { remaining: amount, expiresAtMs });
    return amount;
  }

  /**
   * Records the tokens of a loan that its borrower spent and returned. Expired and fully settled
   * loans are ignored.
   */
  settle(nowMs: number, loanId: number, spent: number, returned: number): void {
    this.refill(nowMs);
    const loan = this.loans.get(loanId);
    if (loan === undefined) return;
    const accepted = Math.max(0, Math.min(returned, loan.remaining));
    loan.remaining -= accepted + Math.max(0, spent);
    if (loan.remaining <= 0) this.loans.delete(loanId);
    this.level = Math.min(this.cap(), this.level + accepted);
  }

  /** Credits tokens that were reserved for a request and not used. */
  refund(nowMs: number, tokens: number): void {
    this.refill(nowMs);
    this.level = Math.min(this.cap(), this.level + Math.max(0, tokens));
  }

  private cap(): number {
    const lent = [...this.loans.values()].reduce((sum, loan) => sum + loan.remaining, 0);
    return Math.max(0, this.burst - lent);
  }

  private refill(nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.atMs) / 1000;
    this.level = Math.min(Math.max(this.cap(), this.level), this.level + elapsedS * this.ratePerS);
    this.atMs = Math.max(this.atMs, nowMs);
    this.loans.forEach((loan, loanId) => {
      if (loan.expiresAtMs <= nowMs) this.loans.delete(loanId);
    });
  }
}
