/** Keeps the requests of all entry VMs within the room of brittle backend servers. */
export { FirstAnswers } from './first-answers.js';
export { brittleServers } from './service-brittleness.js';
export { SlotHolder } from './slot-holder.js';
export { type BrittleServer, type SlotGrant, type SlotNeed, SlotIssuer } from './slot-issuer.js';
export { pauseAfterRejectionMs } from './pause.js';
