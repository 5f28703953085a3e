/**
 * Admits requests from what this entry VM owns and has borrowed.
 *
 * A request that finds too little asks the data centre's lender, then the other lenders and the
 * peers' floors, before it is refused. It waits as long as the rate can still admit it in time.
 */
import { type BorrowContext, CustomerBorrower } from './customer-borrower.js';
import type { QuotaGiver } from './giver.js';
import {
  type CustomerLimit,
  type Givers,
  type Grant,
  type QuotaEffect,
  QuotaEffectType,
  type QuotaRequest,
} from './types.js';

export class QuotaBorrower {
  private readonly customers = new Map<string, CustomerBorrower>();

  private givers: Givers = { local: null, others: [] };

  private ratesPerS: ReadonlyMap<string, number> = new Map();

  private lastAskId = 0;

  /** @param floor The accounts that this entry VM owns. */
  constructor(private floor: QuotaGiver) {}

  setFloor(floor: QuotaGiver): void {
    this.floor = floor;
  }

  setGivers(givers: Givers): void {
    this.givers = givers;
  }

  /** Sets the limits over the fleet; they say how long a wait for tokens can take. */
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

  /** Forgets a waiting request whose caller is gone. */
  cancel(requestId: string): void {
    this.customers.forEach((borrower) => borrower.cancel(requestId));
  }

  grant(nowMs: number, grant: Grant): readonly QuotaEffect[] {
    const borrower = this.customers.get(grant.customer);
    return borrower?.grant(this.context(nowMs, grant.customer), grant) ?? [];
  }

  /** Puts back what an admitted request reserved and did not use. */
  refund(nowMs: number, customer: string, tokens: number): readonly QuotaEffect[] {
    const { local } = this.givers;
    if (local !== null) return [{ type: QuotaEffectType.refund, to: local, customer, tokens }];
    this.floor.refund(nowMs, customer, tokens);
    return [];
  }

  /** Moves time on: asks time out, loans expire, pauses end, hopeless requests are refused. */
  tick(nowMs: number): readonly QuotaEffect[] {
    return [...this.customers].flatMap(([customer, borrower]) =>
      borrower.tick(this.context(nowMs, customer)),
    );
  }

  /** Gives every unspent loan back; for a planned stop. */
  returnAll(nowMs: number): readonly QuotaEffect[] {
    return [...this.customers.values()].flatMap((borrower) => borrower.settle(nowMs, true));
  }

  /** Whether nothing waits and nothing is borrowed, so that time changes nothing. */
  isAtRest(): boolean {
    return [...this.customers.values()].every((borrower) => borrower.isAtRest());
  }

  /** Requests that wait for tokens. */
  waitingCount(): number {
    return [...this.customers.values()].reduce((sum, borrower) => sum + borrower.waitingCount, 0);
  }

  private context(nowMs: number, customer: string): BorrowContext {
    return {
      nowMs,
      givers: this.givers,
      floor: this.floor,
      ratePerS: this.ratesPerS.get(customer) ?? 1,
      nextAskId: () => {
        this.lastAskId += 1;
        return this.lastAskId;
      },
    };
  }
}
