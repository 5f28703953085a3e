/** Enforces customers' rate limits, with this entry VM's share of each rate and loans of units. */
import type { Clock } from '../../core/clock/index.js';
import type { Customer } from '../../decisions/fleet-plan/index.js';
import {
  type HeldUnits,
  LoanRequests,
  ReplyTimes,
  SHARE_TTL_MS,
  ShareHolder,
  type UnitsRequest,
} from '../../decisions/rate-shares/index.js';
import type { LoanObserver } from './loan-observer.js';
import type { RelayMessageOf } from './messages.js';
import type { RequestMetadata } from './types.js';

/** An over-rate wait below this is sent unchanged as Retry-After, ms. */
const MIN_RETRY_AFTER_MS = 250;
/** Maximum Retry-After of over-rate requests, ms. */
const MAX_RETRY_AFTER_MS = 5_000;
/** Minimum pause between two attempts to take units of a rate, ms. */
const MIN_WAIT_MS = 10;
/** Retry-After while the rate share is unknown, ms: another entry VM may know its own share. */
const UNKNOWN_RATE_RETRY_AFTER_MS = 500;
/** Priority of a request that names none. */
const DEFAULT_PRIORITY = 0;

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
  /** Priority of the request; 0 is the most urgent. */
  readonly priority?: number;
}

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly observer?: LoanObserver;
  /** Sends a loan request to the steward; false if no steward is connected. */
  ask(message: Omit<RelayMessageOf<'ask'>, 'type'>): boolean;
}

/** A request that waits for units. */
interface WaitingRequest extends UnitsRequest {
  resolve(result: AdmissionResult): void;
}

/** The requests of a customer that wait on this entry VM, and the loans asked for them. */
interface CustomerQueue {
  readonly requests: LoanRequests<WaitingRequest>;
  readonly units: HeldUnits;
  timer: NodeJS.Timeout | null;
}

const ADMITTED: AdmissionResult = { type: AdmissionType.admitted };
const RATE_UNKNOWN: AdmissionResult = {
  type: AdmissionType.rateUnknown,
  retryAfterMs: UNKNOWN_RATE_RETRY_AFTER_MS,
};

export class Admission {
  readonly holder = new ShareHolder();

  private readonly queues = new Map<string, CustomerQueue>();

  private readonly replyTimes = new ReplyTimes();

  private customers: ReadonlyMap<string, Customer> = new Map();

  private lastAskId = 0;

  private appliedSeq = 0;

  /** When this VM last resumed from a suspension, on the steady clock, ms. */
  private resumedAtMs = -Infinity;

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
    this.customers = customers;
    this.holder.setLimits(this.opts.clock.steadyMs(), customers);
    this.queues.forEach((queue, customer) => this.step(customer, queue));
  }

  /**
   * Resets the sequence number for a new steward, which numbers its grants from the start, and asks it
   * for the loans that requests wait for.
   */
  resetSeq(): void {
    this.appliedSeq = 0;
    this.resetLoans();
  }

  /**
   * Drops shares and loans after a suspension of this VM, in which they may have expired, and the loan
   * requests before it: their replies are of unknown age.
   */
  handleSuspension(): void {
    this.resumedAtMs = this.opts.clock.steadyMs();
    this.holder.clear();
    this.resetLoans();
  }

  /** Replaces this entry VM's shares with those of a steward's grant. */
  applyGrant(grant: RelayMessageOf<'grant'>): void {
    // A grant for a report before a suspension may have expired at the lender.
    if (this.closed || grant.reportSentAtMs <= this.resumedAtMs) return;
    this.appliedSeq = grant.seq;
    this.rateKnownAtMs = this.opts.clock.steadyMs();
    const fractions = new Map(Object.entries(grant.fractions));
    // Counted from the time the report was sent, so that the share expires here before it expires
    // at the steward.
    const expiresAtMs = grant.reportSentAtMs + SHARE_TTL_MS;
    this.holder.grant(this.opts.clock.steadyMs(), fractions, expiresAtMs);
    this.queues.forEach((queue, customer) => this.step(customer, queue));
  }

  /** Releases all shares at a planned shutdown; later grants are ignored. */
  releaseShares(): void {
    this.closed = true;
    this.holder.clear();
  }

  handleLoanReply(reply: RelayMessageOf<'lent'>): void {
    const { customer } = reply;
    const queue = this.queues.get(customer);
    const nowMs = this.opts.clock.steadyMs();
    const applied = queue?.requests.applyReply(nowMs, reply) ?? null;
    if (queue === undefined || applied === null) return;
    this.opts.observer?.replied(nowMs, { ...reply, ...applied });
    this.rateKnownAtMs = nowMs;
    if (reply.units > 0) this.holder.addLoan(nowMs, customer, reply.units, applied.expiresAtMs);
    this.step(customer, queue);
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
    const nowMs = this.opts.clock.steadyMs();
    this.holder.noteDemand(nowMs, customer.name, units);
    const queue = this.queueOf(customer.name);
    return new Promise((resolve) => {
      queue.requests.add({
        units,
        priority: limits.priority ?? DEFAULT_PRIORITY,
        isResumed: limits.isResumed === true,
        arrivedAtMs: nowMs,
        rateUntilMs: nowMs + limits.maxRateWaitMs,
        budgetMs: limits.timeBudgetMs,
        resolve,
      });
      this.step(customer.name, queue);
    });
  }

  /** Credits back the units of a request that was not executed. */
  refund(customer: string, units: number): void {
    this.holder.refund(this.opts.clock.steadyMs(), customer, units);
    const queue = this.queues.get(customer);
    if (queue !== undefined) this.step(customer, queue);
  }

  private resetLoans(): void {
    this.queues.forEach((queue, customer) => {
      queue.requests.resetLender();
      this.step(customer, queue);
    });
  }

  private queueOf(customer: string): CustomerQueue {
    const existing = this.queues.get(customer);
    if (existing !== undefined) return existing;
    const { holder } = this;
    const nowMs = () => this.opts.clock.steadyMs();
    const ratePerS = () => this.customers.get(customer)?.ratePerS ?? 0;
    const queue: CustomerQueue = {
      requests: new LoanRequests(this.replyTimes, ratePerS),
      units: {
        take: (units) => holder.take(nowMs(), customer, units),
        takeFromShare: (units) => holder.takeFromShare(nowMs(), customer, units),
        available: () => holder.available(nowMs(), customer),
        shareWaitMs: (units) => holder.waitMs(nowMs(), customer, units),
        maxLoan: () => holder.maxLoan(customer),
      },
      timer: null,
    };
    this.queues.set(customer, queue);
    return queue;
  }

  /** Serves, asks for and refuses what is due, and sets the timer for the next time. */
  private step(customer: string, queue: CustomerQueue): void {
    const { requests, units } = queue;
    if (!requests.isWaiting) return;
    if (queue.timer !== null) clearTimeout(queue.timer);
    Object.assign(queue, { timer: null });
    requests.serve(units).forEach(({ resolve }) => resolve(ADMITTED));
    this.askLender(customer, queue);
    const nowMs = this.opts.clock.steadyMs();
    requests.expire(nowMs, units, this.rateKnownAtMs).forEach(({ request, waitMs }) => {
      if (waitMs !== null) this.rateKnownAtMs = nowMs;
      request.resolve(waitMs === null ? RATE_UNKNOWN : Admission.overRate(waitMs));
    });
    const wakeAtMs = requests.wakeAtMs(nowMs, units);
    if (wakeAtMs === Infinity) return;
    const waitMs = Math.max(MIN_WAIT_MS, Math.ceil(wakeAtMs - nowMs));
    Object.assign(queue, { timer: setTimeout(() => this.step(customer, queue), waitMs) });
  }

  private askLender(customer: string, { requests, units }: CustomerQueue): void {
    const nowMs = this.opts.clock.steadyMs();
    const ask = requests.nextAsk(nowMs, units);
    if (ask === null) return;
    this.lastAskId += 1;
    const askId = this.lastAskId;
    if (!this.opts.ask({ askId, customer, ...ask })) {
      requests.noteUnsent(nowMs);
      return;
    }
    const isRepeated = requests.noteAsked(nowMs, askId, ask);
    this.opts.observer?.asked(customer, isRepeated);
  }

  private static overRate(waitMs: number): AdmissionResult {
    const bounded = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    const retryAfterMs = waitMs < MIN_RETRY_AFTER_MS ? waitMs : bounded;
    return { type: AdmissionType.overRate, retryAfterMs };
  }
}
