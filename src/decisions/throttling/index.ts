/** Keeps the requests of all entry VMs within the limits that backend servers name. */
export { avoidedServers } from './avoided-servers.js';
export { PermitHolder, RESERVE_HOLDERS } from './permit-holder.js';
export { type NamedLimit, type PermitGrant, PermitIssuer } from './permit-issuer.js';
export { servableReplicas } from './servable-replicas.js';
export { MergeResult, ThrottleTable } from './throttle-table.js';
export * from './types.js';
