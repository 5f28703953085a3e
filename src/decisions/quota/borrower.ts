/**
 * Admits requests with the tokens that this entry VM owns and has borrowed.
 *
 * If these tokens do not suffice for a request, the VM asks the data centre's lender for a loan,
 * then the other lenders and the local reserves of other VMs. The request stays queued while it can
 * still be admitted before its deadline at the customer's rate; otherwise it is rejected.
 */
import { type BorrowContext, CustomerBorrower } from './customer-borrower.js';
import type { LoanGrantor } from './loan-grantor.js';
import {
  type CustomerLimit,
  type Grantors,
  type Grant,
  type QuotaEffect,
  QuotaEffectType,
  type QuotaRequest,
} from './types.js';

export class QuotaBorrower {
  private readonly customers = new Map<string, CustomerBorrower>();

  private grantors: Grantors = { local: null, others: [] };

  private ratesPerS: ReadonlyMap<string, number> = new Map();

  private lastAskId = 0;

  /** @param floor Local reserve: the accounts that this entry VM owns. */
  constructor(private floor: LoanGrantor) {}

  setLocalReserve(localReserve: LoanGrantor): void {
    this.floor = localReserve;
  }

  setGrantors(grantors: Grantors): void {
    this.grantors = grantors;
  }

  /** Sets the fleet-wide limits, which determine how long requests may have to wait for tokens. */
  setLimits(limits: readonly CustomerLimit[]): void {
    this.ratesPerS = new Map(limits.map(({ customer, ratePerS }) => [customer, ratePerS]));
  }

  request(nowMs: number, req: QuotaRequest): readonly QuotaEffect[] {
    let borrower = this.customers.get(req.customer);
    if (borrower === undefined) {
      borrower = new CustomerBorrower(req.customer, nowMs);
      this.customers.set(req.customer, borrower);
    }
    return borrower.request(this.context(nowMs, req.customer), req);
  }

  /** Removes a queued request whose caller has disconnected. */
  cancel(requestId: string): void {
    this.customers.forEach((borrower) => borrower.cancel(requestId));
  }

  grant(nowMs: number, grant: Grant): readonly QuotaEffect[] {
    const borrower = this.customers.get(grant.customer);
    return borrower?.grant(this.context(nowMs, grant.customer), grant) ?? [];
  }

  /** Credits tokens that an admitted request reserved and did not use. */
  refund(nowMs: number, customer: string, tokens: number): readonly QuotaEffect[] {
    const { local } = this.grantors;
    if (local !== null) return [{ type: QuotaEffectType.refund, to: local, customer, tokens }];
    this.floor.refund(nowMs, customer, tokens);
    return [];
  }

  /**
   * Handles the passage of time: loan requests time out, loans expire, pauses end, and requests
   * that can't be admitted in time are rejected.
   */
  tick(nowMs: number): readonly QuotaEffect[] {
    return [...this.customers].flatMap(([customer, borrower]) =>
      borrower.tick(this.context(nowMs, customer)),
    );
  }

  /** Returns all unspent loans; called on a planned stop. */
  returnAll(nowMs: number): readonly QuotaEffect[] {
    return [...this.customers.values()].flatMap((borrower) => borrower.settle(nowMs, true));
  }

  /** Whether nothing is queued, borrowed or asked for, so that `tick` has no effect. */
  isIdle(): boolean {
    return [...this.customers.values()].every((borrower) => borrower.isIdle());
  }

  /** Number of requests that are queued for tokens. */
  waitingCount(): number {
    return [...this.customers.values()].reduce((sum, borrower) => sum + borrower.waitingCount, 0);
  }

  private context(nowMs: number, customer: string): BorrowContext {
    return {
      nowMs,
      grantors: this.grantors,
      floor: this.floor,
      ratePerS: this.ratesPerS.get(customer) ?? 1,
      nextAskId: () => {
        this.lastAskId += 1;
        return this.lastAskId;
      },
    };
  }
}
