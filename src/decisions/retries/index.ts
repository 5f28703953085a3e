/** When a failed request may be sent to another backend server. */
export * from './retry-window.js';
export * from './silence.js';

/** What is known of a request when its backend server failed. */
export interface Attempts {
  /** Attempts after which the request may have run. */
  readonly ran: number;
  /** Attempts that cannot have begun: the connection was refused, or the model was not loaded. */
  readonly notRun: number;
  readonly idempotent: boolean;
  /** Whether the caller has seen a byte of an answer that cannot be resumed. */
  readonly answerBegun: boolean;
}

const MOST_RUNS = 2;
/** Each attempt that did not begin takes a server off the routes, so that few follow. */
export const MOST_NOT_RUN = 4;
/** Retries that are allowed whatever the traffic, a second. */
const MIN_RETRIES_PER_S = 1;
const LARGEST_BALANCE = 20;

/** Retries that earlier requests have earned, as a part of traffic. */
export class RetryBudget {
  private balance = LARGEST_BALANCE / 2;

  constructor(private atMs: number) {}

  /** Each request served earns `ratio` of a retry. */
  earn(ratio: number): void {
    this.balance = Math.min(LARGEST_BALANCE, this.balance + ratio);
  }

  spend(nowMs: number): boolean {
    const elapsedS = Math.max(0, nowMs - this.atMs) / 1000;
    this.atMs = nowMs;
    this.balance = Math.min(LARGEST_BALANCE, this.balance + elapsedS * MIN_RETRIES_PER_S);
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}

/** Whether the request may be sent again at all; the budget decides besides. */
export function mayRetry({ ran, notRun, idempotent, answerBegun }: Attempts): boolean {
  if (answerBegun || notRun >= MOST_NOT_RUN || ran >= MOST_RUNS) return false;
  return idempotent || ran === 0;
}
