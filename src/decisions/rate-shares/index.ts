/** Splits customers' rate limits over the entry VMs; the shares never exceed the full limit. */
export { ShareBucket } from './bucket.js';
export { LOAN_TTL_MS, ShareHolder } from './holder.js';
export { type GrantMessage, RateLender } from './lender.js';
export { type LoanAnswer, LoanQueue, type LoanSource, type QueuedLoan } from './loan-queue.js';
export { type HeldUnits, type LoanAsk, LoanRequests, type UnitsRequest } from './loan-requests.js';
export { ReplyTimes } from './reply-times.js';
export * from './types.js';
export { type UnknownRate, shouldWaitForRate } from './unknown-rate.js';
