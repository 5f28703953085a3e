/** Enforces customers' rates and bursts over all entry VMs with token loans that expire. */
export * from './account.js';
export * from './borrower.js';
export * from './loan-grantor.js';
export * from './types.js';
export * from './shares.js';
export * from './grantors.js';
