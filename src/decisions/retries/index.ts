/** When a failed request may be sent to another backend server. */

/** What is known of a request when its backend server failed. */
export interface Attempt {
  /** Attempts made, this one included. */
  readonly count: number;
  readonly idempotent: boolean;
  /** The backend server cannot have begun: the connection was refused. */
  readonly provenNotRun: boolean;
  /** Whether the caller has seen a byte of an answer. */
  readonly answerBegun: boolean;
}

export const MOST_ATTEMPTS = 2;
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

/** Whether the attempt may be repeated at all; the budget decides besides. */
export function mayRetry(attempt: Attempt): boolean {
  if (attempt.answerBegun || attempt.count >= MOST_ATTEMPTS) return false;
  return attempt.idempotent || attempt.provenNotRun;
}
