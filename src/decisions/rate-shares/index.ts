/** Splits customers' rate limits over the entry VMs; the shares never exceed the full limit. */
export { ShareBucket } from './bucket.js';
export { LOAN_TTL_MS, ShareHolder } from './holder.js';
export { type GrantMessage, RateLender } from './lender.js';
export { type LoanAnswer, LoanQueue, type LoanSource, type QueuedLoan } from './loan-queue.js';
export { LoanRequests } from './loan-requests.js';
export type { HeldUnits, LoanAsk, UnitsRequest } from './loan-types.js';
export { ReplyTimes } from './reply-times.js';
export * from './types.js';
export { type UnknownRate, shouldWaitForRate } from './unknown-rate.js';
