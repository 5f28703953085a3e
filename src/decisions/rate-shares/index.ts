/** Shares customers' rates out over the entry VMs; the parts never sum to more than the whole. */
export { ShareHolder } from './holder.js';
export { type GrantMessage, RateLender } from './lender.js';
export * from './types.js';
export { type UnheardRate, waitsForRate } from './unheard.js';
