/** Keeps the requests of all entry VMs within the limits that backend servers name. */
export { MergeResult, ThrottleTable } from './throttle-table.js';
export * from './types.js';
