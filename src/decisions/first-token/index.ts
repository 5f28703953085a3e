/** Estimates when a server would send the first token of a request, from what responses have shown. */
export { DEFAULT_PACE, firstTokenMs, penaltyOf } from './estimate.js';
export { PaceTable } from './pace-table.js';
export type * from './types.js';
