/** Customers' rates and bursts, kept over all entry VMs by loans that expire by themselves. */
export * from './account.js';
export * from './borrower.js';
export * from './giver.js';
export * from './types.js';
export * from './shares.js';
export * from './givers.js';
