/** Decides whether a failed request may be sent to another backend server. */
export * from './retry-window.js';
export * from './idle-attempt.js';

/** State of a request whose backend server has failed. */
export interface Attempts {
  /** Number of attempts in which the request may have been executed. */
  readonly ran: number;
  /** Number of attempts not executed: the connection was refused, or the model was not loaded. */
  readonly notRun: number;
  readonly idempotent: boolean;
  /** Whether the caller has received part of a response that cannot be resumed. */
  readonly answerBegun: boolean;
}

/** Maximum number of attempts in which the request may have been executed. */
const MAX_EXECUTIONS = 2;
/**
 * Maximum number of attempts in which the request is not executed. Such attempts are usually few,
 * since each one removes a server from the routes.
 */
export const MAX_UNEXECUTED_ATTEMPTS = 4;
/** Retries per second that are allowed regardless of traffic. */
const MIN_RETRIES_PER_S = 1;
/** Maximum number of retries that the budget accumulates. */
const MAX_BALANCE = 20;

/** Token bucket that limits retries to a fraction of the served requests. */
export class RetryBudget {
  private balance = MAX_BALANCE / 2;

  constructor(private atMs: number) {}

  /** Adds `ratio` retries to the budget for a served request. */
  earn(ratio: number): void {
    this.balance = Math.min(MAX_BALANCE, this.balance + ratio);
  }

  /** Takes one retry from the budget; false if none is left. */
  spend(nowMs: number): boolean {
    const elapsedS = Math.max(0, nowMs - this.atMs) / 1000;
    this.atMs = nowMs;
    this.balance = Math.min(MAX_BALANCE, this.balance + elapsedS * MIN_RETRIES_PER_S);
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}

/** Whether the request may be sent again. The retry budget is checked separately. */
export function mayRetry({ ran, notRun, idempotent, answerBegun }: Attempts): boolean {
  if (answerBegun || notRun >= MAX_UNEXECUTED_ATTEMPTS || ran >= MAX_EXECUTIONS) return false;
  return idempotent || ran === 0;
}
