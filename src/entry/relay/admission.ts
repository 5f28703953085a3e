/** Enforces customers' rate limits, with this entry VM's share of each rate and loans of units. */
import * as clocks from '../../core/clock/index.js';
import type { Customer } from '../../decisions/fleet-plan/index.js';
import { SHARE_TTL_MS, ShareHolder, shouldWaitForRate } from '../../decisions/rate-shares/index.js';
import type { RelayMessageOf } from './messages.js';
import type { RequestMetadata } from './types.js';

/** Timeout of a loan request to the steward, ms: a few round trips between data centres. */
const LOAN_TIMEOUT_MS = 60;
/** An over-rate wait below this is sent unchanged as Retry-After, ms. */
const MIN_RETRY_AFTER_MS = 250;
/** Maximum Retry-After of over-rate requests, ms. */
const MAX_RETRY_AFTER_MS = 5_000;
/** Minimum pause between two attempts to take units of a rate, ms. */
const MIN_WAIT_MS = 10;
/** Pause between two attempts while the customer's rate share is unknown, ms. */
const UNKNOWN_RATE_POLL_MS = 25;
/** Retry-After while the rate share is unknown, ms: another entry VM may know its own share. */
const UNKNOWN_RATE_RETRY_AFTER_MS = 500;
/** Maximum pause between two attempts of a resumed stream to take units of a rate, ms. */
const RESUME_POLL_MS = 100;
/** Maximum pause between a refused loan and the customer's next loan request, ms. */
const LOAN_PAUSE_MS = 50;

export const AdmissionType = {
  admitted: 'admitted',
  overRate: 'over-rate',
  /** This entry VM has not received its share of the customer's rate from a steward. */
  rateUnknown: 'rate-unknown',
} as const;

export type AdmissionResult =
  | { readonly type: typeof AdmissionType.admitted }
  | {
      readonly type: typeof AdmissionType.overRate | typeof AdmissionType.rateUnknown;
      readonly retryAfterMs: number;
    };

/** How a request waits for admission. */
export interface AdmissionWaitLimits {
  /** Maximum wait for units when the rate share is known, ms. */
  readonly maxRateWaitMs: number;
  /** Time from arrival until the caller or the route times out, ms. */
  readonly timeBudgetMs: number;
  /**
   * Whether the request resumes a stream. It then waits as long as it may, and new requests of its
   * customer wait for it: the customer has part of the stream already.
   */
  readonly isResumed?: boolean;
}

type LoanReply = RelayMessageOf<'lent'>;

export interface AdmissionOptions {
  readonly clock: clocks.Clock;
  /** Sends a loan request to the steward; false if no steward is connected. */
  ask(message: Omit<RelayMessageOf<'ask'>, 'type'>): boolean;
}

const ADMITTED: AdmissionResult = { type: AdmissionType.admitted };
const RATE_UNKNOWN: AdmissionResult = {
  type: AdmissionType.rateUnknown,
  retryAfterMs: UNKNOWN_RATE_RETRY_AFTER_MS,
};

export class Admission {
  readonly holder = new ShareHolder();

  private readonly pendingLoans = new Map<number, (reply: LoanReply | null) => void>();

  private readonly noLoanUntilMs = new Map<string, number>();

  /** Number of resumed streams that wait for units, by customer. */
  private readonly resuming = new Map<string, number>();

  private lastAskId = 0;

  private appliedSeq = 0;

  private closed = false;

  /** When a grant last arrived or a request was last over its rate, on the steady clock, ms. */
  private rateKnownAtMs: number;

  constructor(private readonly opts: AdmissionOptions) {
    this.rateKnownAtMs = opts.clock.steadyMs();
  }

  /** Sequence number of the last grant that was applied from the current steward. */
  get lastSeq(): number {
    return this.appliedSeq;
  }

  setCustomers(customers: ReadonlyMap<string, Customer>): void {
    this.holder.setLimits(this.opts.clock.steadyMs(), customers);
  }

  /** Resets the sequence number for a new steward, which numbers its grants from the start. */
  resetSeq(): void {
    this.appliedSeq = 0;
  }

  /** Replaces this entry VM's shares with those of a steward's grant. */
  applyGrant(grant: RelayMessageOf<'grant'>): void {
    if (this.closed) return;
    this.appliedSeq = grant.seq;
    this.rateKnownAtMs = this.opts.clock.steadyMs();
    const fractions = new Map(Object.entries(grant.fractions));
    // Counted from the time the report was sent, so that the share expires here before it expires
    // at the steward.
    const expiresAtMs = grant.reportSentAtMs + SHARE_TTL_MS;
    this.holder.grant(this.opts.clock.steadyMs(), fractions, expiresAtMs);
  }

  /** Releases all shares at a planned shutdown; later grants are ignored. */
  releaseShares(): void {
    this.closed = true;
    this.holder.clear();
  }

  handleLoanReply(reply: LoanReply): void {
    this.pendingLoans.get(reply.askId)?.(reply);
  }

  /** Units charged for a request: its tokens, or 1 if the customer's rate counts requests. */
  static unitsFor(customer: Customer, metadata: RequestMetadata): number {
    if (!customer.countsTokens) return 1;
    return metadata.tokens === null
      ? customer.defaultUnits
      : metadata.tokens.prompt + metadata.tokens.output;
  }

  /**
   * Admits a request once its customer's rate share is known and covers `units`; returns the reason
   * to refuse it if the wait would exceed `limits`.
   */
  async admit(
    customer: Customer,
    units: number,
    limits: AdmissionWaitLimits,
  ): Promise<AdmissionResult> {
    if (customer.ratePerS === 0) return ADMITTED;
    const { clock } = this.opts;
    this.holder.noteDemand(clock.steadyMs(), customer.name, units);
    if (limits.isResumed === true) return this.admitResumed(customer.name, units, limits);
    const sinceMs = clock.steadyMs();
    const attempt = () => this.tryNew(customer.name, units);
    let result = await this.tryUntilRateKnown(attempt, limits.timeBudgetMs);
    const fits = (waitMs: number) => clock.steadyMs() - sinceMs + waitMs <= limits.maxRateWaitMs;
    // Other requests may take the units while this one sleeps. This request then waits again, as
    // long as its limit allows.
    while (result.type === AdmissionType.overRate && fits(result.retryAfterMs)) {
      await clocks.sleep(Math.max(MIN_WAIT_MS, result.retryAfterMs));
      result = await attempt();
    }
    return result;
  }

  private async admitResumed(
    customer: string,
    units: number,
    limits: AdmissionWaitLimits,
  ): Promise<AdmissionResult> {
    const untilMs = this.opts.clock.steadyMs() + limits.maxRateWaitMs;
    const attempt = () => this.tryOnce(customer, units);
    this.resuming.set(customer, (this.resuming.get(customer) ?? 0) + 1);
    try {
      let result = await this.tryUntilRateKnown(attempt, limits.timeBudgetMs);
      while (result.type === AdmissionType.overRate && this.opts.clock.steadyMs() < untilMs) {
        await clocks.sleep(Math.max(MIN_WAIT_MS, Math.min(RESUME_POLL_MS, result.retryAfterMs)));
        result = await attempt();
      }
      return result;
    } finally {
      this.resuming.set(customer, (this.resuming.get(customer) ?? 0) - 1);
    }
  }

  /** Credits back the units of a request that was not executed. */
  refund(customer: string, units: number): void {
    this.holder.refund(this.opts.clock.steadyMs(), customer, units);
  }

  /** Retries until the rate share is known, as long as `shouldWaitForRate` allows. */
  private async tryUntilRateKnown(
    attempt: () => Promise<AdmissionResult>,
    budgetMs: number,
  ): Promise<AdmissionResult> {
    const arrivedAtMs = this.opts.clock.steadyMs();
    const shouldWait = () => {
      const unknownSinceMs = this.rateKnownAtMs;
      return shouldWaitForRate(this.opts.clock.steadyMs(), {
        arrivedAtMs,
        budgetMs,
        unknownSinceMs,
      });
    };
    let result = await attempt();
    while (result.type === AdmissionType.rateUnknown && shouldWait()) {
      await clocks.sleep(UNKNOWN_RATE_POLL_MS);
      result = await attempt();
    }
    return result;
  }

  /** Leaves the units that become free to resumed streams that wait for them. */
  private async tryNew(customer: string, units: number): Promise<AdmissionResult> {
    const isYielding = (this.resuming.get(customer) ?? 0) > 0;
    return isYielding ? this.overRate(LOAN_PAUSE_MS) : this.tryOnce(customer, units);
  }

  private async tryOnce(customer: string, units: number): Promise<AdmissionResult> {
    const { clock } = this.opts;
    if (this.holder.take(clock.steadyMs(), customer, units)) return ADMITTED;
    const localWaitMs = this.holder.waitMs(clock.steadyMs(), customer, units);
    const pausedMs = (this.noLoanUntilMs.get(customer) ?? 0) - clock.steadyMs();
    if (pausedMs > 0) return this.overRate(Math.min(localWaitMs, pausedMs));
    // Only the units that the local share lacks are requested.
    const missing = units - this.holder.available(clock.steadyMs(), customer);
    const reply = await this.ask(customer, Math.max(1, Math.ceil(missing)));
    const nowMs = clock.steadyMs();
    if (reply !== null && reply.units > 0) this.holder.addLoan(nowMs, customer, reply.units);
    if (this.holder.take(nowMs, customer, units)) return ADMITTED;
    // The local share can never cover the request. Without the steward's reply, this does not show
    // that the customer is over its rate.
    if (reply === null && !Number.isFinite(localWaitMs)) return RATE_UNKNOWN;
    this.rateKnownAtMs = nowMs;
    const waitMs = Math.min(localWaitMs, reply?.waitMs ?? Infinity);
    if (reply !== null) this.noLoanUntilMs.set(customer, nowMs + Math.min(waitMs, LOAN_PAUSE_MS));
    return this.overRate(waitMs);
  }

  private overRate(waitMs: number): AdmissionResult {
    const bounded = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    const retryAfterMs = waitMs < MIN_RETRY_AFTER_MS ? waitMs : bounded;
    return { type: AdmissionType.overRate, retryAfterMs };
  }

  /** Requests a loan; resolves with null if no steward replies in time. */
  private ask(customer: string, units: number): Promise<LoanReply | null> {
    this.lastAskId += 1;
    const askId = this.lastAskId;
    if (!this.opts.ask({ askId, customer, units })) return Promise.resolve(null);
    return new Promise((resolve) => {
      const settle = (reply: LoanReply | null) => {
        this.pendingLoans.delete(askId);
        resolve(reply);
      };
      const timer = setTimeout(() => settle(null), LOAN_TIMEOUT_MS);
      this.pendingLoans.set(askId, (reply) => {
        clearTimeout(timer);
        settle(reply);
      });
    });
  }
}
