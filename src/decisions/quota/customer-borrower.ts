/** Queues the requests of one customer on one entry VM and borrows the tokens to admit them. */
import { BorrowedLoan } from './borrowed-loan.js';
import { DemandRate } from './demand.js';
import { LOAN_TTL_MS, type LoanGrantor } from './loan-grantor.js';
import {
  type GrantorAccount,
  type Grantors,
  type Grant,
  type QuotaEffect,
  QuotaEffectType,
  type QuotaRequest,
} from './types.js';

/** Time after which a loan request without a response is dropped. */
const ASK_TIMEOUT_MS = 100;
/** Bounds of the pause between two searches in which all grantors are asked. */
const MIN_PAUSE_MS = 20;
const MAX_PAUSE_MS = 250;
/**
 * A loan request to the local lender covers the queue and the expected demand of this period, ms.
 */
const PREFETCH_MS = 250;
/** Demand below which a customer counts as idle and its loans are returned, tokens/s. */
const IDLE_DEMAND_PER_S = 1;

/** Stage of the search for loans: none, the local lender, all other grantors, or the pause. */
const Stage = { idle: 'idle', local: 'local', wide: 'wide', pausing: 'pausing' } as const;
type Stage = (typeof Stage)[keyof typeof Stage];

interface PendingLoanRequest {
  readonly to: GrantorAccount;
  readonly sentAtMs: number;
}

/** Inputs of a borrower's operations. */
export interface BorrowContext {
  readonly nowMs: number;
  readonly grantors: Grantors;
  /** Local reserve: the accounts that this entry VM owns. */
  readonly floor: LoanGrantor;
  /** The customer's fleet-wide rate, tokens/s. */
  readonly ratePerS: number;
  /** Returns an id that is unique among the loan requests of this entry VM. */
  nextAskId(): number;
}

export class CustomerBorrower {
  private waiting: QuotaRequest[] = [];

  private loans: BorrowedLoan[] = [];

  private readonly asks = new Map<number, PendingLoanRequest>();

  private stage: Stage = Stage.idle;

  private resumeAtMs = 0;

  private readonly demand: DemandRate;

  constructor(
    private readonly customer: string,
    nowMs: number,
  ) {
    this.demand = new DemandRate(nowMs);
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  isIdle(): boolean {
    return this.waiting.length + this.loans.length + this.asks.size === 0;
  }

  request(ctx: BorrowContext, req: QuotaRequest): readonly QuotaEffect[] {
    this.demand.note(ctx.nowMs, req.tokens);
    this.waiting.push(req);
    return this.advance(ctx);
  }

  cancel(requestId: string): void {
    this.waiting = this.waiting.filter((req) => req.requestId !== requestId);
  }

  grant(ctx: BorrowContext, grant: Grant): readonly QuotaEffect[] {
    const ask = this.asks.get(grant.askId);
    if (ask === undefined) return [];
    this.asks.delete(grant.askId);
    const expiresAtMs = ask.sentAtMs + LOAN_TTL_MS;
    if (grant.tokens > 0 && expiresAtMs > ctx.nowMs) {
      this.loans.push(new BorrowedLoan(ask.to, grant.loanId, grant.tokens, expiresAtMs));
    }
    return this.advance(ctx);
  }

  tick(ctx: BorrowContext): readonly QuotaEffect[] {
    this.asks.forEach((ask, askId) => {
      if (ctx.nowMs - ask.sentAtMs >= ASK_TIMEOUT_MS) this.asks.delete(askId);
    });
    const idle = this.waiting.length === 0 && this.demand.perSecond(ctx.nowMs) < IDLE_DEMAND_PER_S;
    return [...this.advance(ctx), ...this.settle(ctx.nowMs, idle)];
  }

  /**
   * Reports the tokens spent from each loan, and returns unspent tokens to their grantors. Only
   * loans that expire soon are returned, unless `returnAll` is set.
   */
  settle(nowMs: number, returnAll: boolean): readonly QuotaEffect[] {
    const effects = this.loans.flatMap((loan): QuotaEffect[] => {
      const settlement = loan.settle(nowMs, returnAll);
      if (settlement === null) return [];
      const { from: to, loanId } = loan;
      const { customer } = this;
      return [{ type: QuotaEffectType.settle, to, customer, loanId, ...settlement }];
    });
    this.loans = this.loans.filter((loan) => !loan.isSettled());
    return effects;
  }

  private available({ nowMs, floor }: BorrowContext): number {
    const borrowed = this.loans.reduce((sum, loan) => sum + loan.available(nowMs), 0);
    return borrowed + floor.available(nowMs, this.customer);
  }

  private spend(ctx: BorrowContext, tokens: number): boolean {
    const { nowMs, floor } = ctx;
    if (this.available(ctx) < tokens) return false;
    const missing = this.loans.reduce((left, loan) => left - loan.spend(nowMs, left), tokens);
    return missing <= 0 || floor.spend(nowMs, this.customer, missing);
  }

  private missing(ctx: BorrowContext): number {
    const needed = this.waiting.reduce((sum, req) => sum + req.tokens, 0);
    return Math.max(0, needed - this.available(ctx));
  }

  private advance(ctx: BorrowContext): readonly QuotaEffect[] {
    const settled = [...this.admitQueued(ctx), ...this.rejectLate(ctx)];
    if (this.waiting.length > 0) return [...settled, ...this.searchLoans(ctx)];
    if (this.asks.size === 0) this.stage = Stage.idle;
    return settled;
  }

  private admitQueued(ctx: BorrowContext): readonly QuotaEffect[] {
    const firstBlocked = this.waiting.findIndex((req) => !this.spend(ctx, req.tokens));
    const count = firstBlocked < 0 ? this.waiting.length : firstBlocked;
    const admitted = this.waiting.slice(0, count);
    this.waiting = this.waiting.slice(count);
    return admitted.map(({ requestId }) => ({ type: QuotaEffectType.admit, requestId }));
  }

  /**
   * Rejects requests whose deadline has passed. Once all grantors have been asked, also rejects
   * requests that can't be admitted in time at the customer's rate, given the requests ahead.
   */
  private rejectLate(ctx: BorrowContext): readonly QuotaEffect[] {
    const { nowMs, ratePerS } = ctx;
    const available = this.available(ctx);
    const hasSearched = this.stage === Stage.pausing;
    const kept: QuotaRequest[] = [];
    let ahead = 0;
    const refused = this.waiting.flatMap((req): QuotaEffect[] => {
      const missing = Math.max(0, ahead + req.tokens - available);
      const waitMs = (missing / ratePerS) * 1000;
      const isLate =
        nowMs >= req.deadlineAtMs || (hasSearched && nowMs + waitMs > req.deadlineAtMs);
      if (!isLate) {
        kept.push(req);
        ahead += req.tokens;
        return [];
      }
      const retryAfterMs = Math.ceil(waitMs);
      return [{ type: QuotaEffectType.refuse, requestId: req.requestId, retryAfterMs }];
    });
    this.waiting = kept;
    return refused;
  }

  private searchLoans(ctx: BorrowContext): readonly QuotaEffect[] {
    if (this.asks.size > 0) return [];
    const { local, others } = ctx.grantors;
    if (this.stage === Stage.idle || this.stage === Stage.pausing) {
      if (this.stage === Stage.pausing && ctx.nowMs < this.resumeAtMs) return [];
      this.stage = Stage.local;
      if (local !== null) return [this.ask(ctx, local, PREFETCH_MS)];
    }
    if (this.stage === Stage.local) {
      this.stage = Stage.wide;
      if (others.length > 0) return others.map((grantor) => this.ask(ctx, grantor, 0));
    }
    return this.pause(ctx);
  }

  private pause(ctx: BorrowContext): readonly QuotaEffect[] {
    const refillMs = Math.ceil((this.missing(ctx) / ctx.ratePerS) * 1000);
    const pauseMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, refillMs));
    this.stage = Stage.pausing;
    this.resumeAtMs = ctx.nowMs + pauseMs;
    return this.rejectLate(ctx);
  }

  private ask(ctx: BorrowContext, to: GrantorAccount, prefetchMs: number): QuotaEffect {
    const ahead = (this.demand.perSecond(ctx.nowMs) * prefetchMs) / 1000;
    const tokens = Math.ceil(this.missing(ctx) + ahead);
    const askId = ctx.nextAskId();
    this.asks.set(askId, { to, sentAtMs: ctx.nowMs });
    return { type: QuotaEffectType.ask, to, askId, customer: this.customer, tokens };
  }
}
