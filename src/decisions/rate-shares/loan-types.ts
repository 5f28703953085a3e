/** Types of the loans that an entry VM asks the lender for. */

/** A request that needs units of its customer's rate. */
export interface UnitsRequest {
  readonly units: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether it resumes a stream; it is served before all others, and no other before it. */
  readonly isResumed: boolean;
  readonly arrivedAtMs: number;
  /** Time until which it waits for units that are known to come. */
  readonly rateUntilMs: number;
  /** Time from arrival until the caller or the route times out, ms. */
  readonly budgetMs: number;
}

/** The units of the customer that this VM holds. */
export interface HeldUnits {
  /** Takes units from share and loans, or from the share alone; false if it has fewer. */
  take(units: number): boolean;
  takeFromShare(units: number): boolean;
  available(): number;
  /** Time until the share covers `units`, ms; Infinity if it never does. */
  shareWaitMs(units: number): number;
  /** Units that the lender can lend at most. */
  maxLoan(): number;
}

/** A request to the lender. */
export interface LoanAsk {
  readonly units: number;
  /** Units that serve the most urgent request; a loan of fewer is of no use. */
  readonly minUnits: number;
  /** Priority of the most urgent request. */
  readonly priority: number;
  /** Time for which the lender may queue the loan, ms. */
  readonly maxWaitMs: number;
}

export interface LoanReply {
  readonly askId: number;
  readonly units: number;
  readonly waitMs: number | null;
  /** Time for which the lender queued the loan, ms; undefined if it has no queue. */
  readonly queuedMs?: number | undefined;
}

/** What a reply to a loan request has brought. */
export interface AppliedReply {
  /** When the lent units expire. */
  readonly expiresAtMs: number;
  readonly tookMs: number;
  /** Whether the request was repeated before, or no request waits for the units any more. */
  readonly isLate: boolean;
}

/** A request that waits no longer, and the time until units are available, ms; null if unknown. */
export interface RefusedUnits<R> {
  readonly request: R;
  readonly waitMs: number | null;
}
