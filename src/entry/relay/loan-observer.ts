/** Metrics and log lines of the loans that this entry VM asks the steward for. */
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';

/** Reply time above which a reply is logged as slow, ms: several round trips between data centres. */
const SLOW_REPLY_MS = 60;
/** Minimum time between two log lines, ms. */
const LOG_INTERVAL_MS = 1_000;

/** A reply to a loan request, as this entry VM has applied it. */
export interface ObservedReply {
  readonly customer: string;
  readonly units: number;
  /** Time from the request to the reply without the time in the steward's queue, ms. */
  readonly tookMs: number;
  readonly queuedMs?: number | undefined;
  readonly isLate: boolean;
}

/** Is told about each loan request and each reply. */
export interface LoanObserver {
  asked(customer: string, isRepeated: boolean): void;
  replied(nowMs: number, reply: ObservedReply): void;
}

export class LoanMetrics implements LoanObserver {
  private readonly slow = { replies: 0, late: 0, maxMs: 0 };

  private loggedAtMs = -Infinity;

  constructor(
    private readonly metrics: Metrics,
    private readonly logger: Logger,
  ) {}

  asked(customer: string, isRepeated: boolean): void {
    this.metrics.count('relay_loans_asked_total', { customer });
    if (isRepeated) this.metrics.count('relay_loans_repeated_total', { customer });
  }

  replied(nowMs: number, { customer, units, tookMs, queuedMs, isLate }: ObservedReply): void {
    const name = units > 0 ? 'relay_loans_granted_total' : 'relay_loans_refused_total';
    this.metrics.count(name, { customer });
    if (isLate) this.metrics.count('relay_loans_late_total', { customer });
    this.metrics.time('relay_loan_reply', tookMs);
    if (queuedMs !== undefined) this.metrics.time('relay_loan_queued', queuedMs);
    if (tookMs > SLOW_REPLY_MS) this.noteSlow(nowMs, tookMs, isLate);
  }

  private noteSlow(nowMs: number, tookMs: number, isLate: boolean): void {
    const { slow } = this;
    slow.replies += 1;
    slow.late += Number(isLate);
    slow.maxMs = Math.max(slow.maxMs, Math.round(tookMs));
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    this.logger.warn('loan-replies-slow', { ...slow });
    Object.assign(slow, { replies: 0, late: 0, maxMs: 0 });
  }
}
