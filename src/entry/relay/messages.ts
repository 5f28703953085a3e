/** Messages between the entry VMs and the steward. Unknown fields are dropped. */
import { z } from 'zod';
import { heirTermSchema, leaseSchema } from '../../decisions/leases/index.js';

export const RelayMessageType = {
  report: 'report',
  ask: 'ask',
  welcome: 'welcome',
  noOffice: 'no-office',
  view: 'view',
  grant: 'grant',
  lent: 'lent',
  beliefs: 'beliefs',
  plan: 'plan',
  incidents: 'incidents',
  ranWhole: 'ran-whole',
  lease: 'lease',
} as const;

const shareSchema = z.object({
  customer: z.string(),
  fraction: z.number(),
  demandPerS: z.number(),
  usualUnits: z.number(),
  largestUnits: z.number(),
});

const waitSchema = z.object({
  service: z.string(),
  model: z.string(),
  adapter: z.string().nullable(),
  waiting: z.int(),
  /** Time left until the objective is missed; clocks of VMs are not compared. */
  dueInMs: z.number(),
});

const runSchema = z.object({
  server: z.string(),
  model: z.string().nullable(),
  adapter: z.string().nullable(),
  running: z.int(),
});

const usageSchema = z.object({ model: z.string(), requests: z.int() });

const engineViewSchema = z.object({
  id: z.string(),
  bornMs: z.number(),
  models: z.array(z.object({ name: z.string(), adapters: z.array(z.string()) })),
});
export type EngineView = z.infer<typeof engineViewSchema>;

const listedServerSchema = z.object({
  id: z.string(),
  service: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  leaving: z.boolean(),
  slots: z.number(),
  bornMs: z.number(),
  /** Gone from the list since an outage, and kept by the steward until it had time to return. */
  isMissing: z.boolean(),
});
export type ListedServer = z.infer<typeof listedServerSchema>;

/** Where in the store's history a belief stands, and how old the call is that confirmed it. */
const confirmedSchema = z.object({ revision: z.int(), ageMs: z.number() });

const loadViewSchema = z.object({
  model: z.string(),
  adapter: z.string().nullable(),
  readyInMs: z.number(),
});
export type LoadView = z.infer<typeof loadViewSchema>;

const incidentSchema = z.object({
  fingerprint: z.string(),
  serverId: z.string(),
  bornMs: z.number(),
  ageMs: z.number().nonnegative(),
});

const schemas = [
  /** What an entry VM holds, runs and waits for. */
  z.object({
    type: z.literal(RelayMessageType.report),
    vm: z.string(),
    /** Where peers reach the sender. */
    address: z.string(),
    /** The sender's clock; comes back with the grant. */
    sentAtMs: z.number(),
    /** The sender's clock that counts suspensions; comes back with the grant. */
    clockMs: z.number(),
    /** Revision of the plan that the sender has; 0 for none. */
    planRevision: z.int(),
    /** Last grant of this steward that was taken in. */
    appliedSeq: z.int(),
    shares: z.array(shareSchema),
    running: z.array(runSchema),
    waits: z.array(waitSchema),
    usage: z.array(usageSchema),
    leaving: z.boolean(),
  }),
  /** Asks for units of a customer's limit, for one request. */
  z.object({
    type: z.literal(RelayMessageType.ask),
    askId: z.int(),
    customer: z.string(),
    units: z.number(),
  }),
  z.object({ type: z.literal(RelayMessageType.welcome), vm: z.string(), fence: z.int() }),
  /** The VM that was dialled is no steward. */
  z.object({
    type: z.literal(RelayMessageType.noOffice),
    /** Whether it will not act under any fencing number that others may know of. */
    isIdle: z.boolean(),
    /** Latest fencing number that it knows of. */
    newestFence: z.int(),
  }),
  /** Engines that changed; all of them when `whole`. */
  z.object({
    type: z.literal(RelayMessageType.view),
    whole: z.boolean(),
    engines: z.array(engineViewSchema),
    /** Requests that run on each engine, over all entry VMs, where that has changed. */
    running: z.record(z.string(), z.int()),
    loads: z.array(loadViewSchema),
    /** Entry VMs that report to the steward. */
    members: z.int(),
  }),
  /** Backend servers whose entries changed; all of them when `whole`. */
  z.object({
    type: z.literal(RelayMessageType.beliefs),
    whole: z.boolean(),
    servers: z.array(listedServerSchema),
    gone: z.array(z.string()),
    /** The store's revision of which this is the list. */
    revision: z.int(),
  }),
  /** The plan as the store has it, for an entry VM that can't fetch it. */
  z.object({ type: z.literal(RelayMessageType.plan), revision: z.int(), value: z.unknown() }),
  z.object({
    type: z.literal(RelayMessageType.grant),
    seq: z.int(),
    reportSentAtMs: z.number(),
    reportClockMs: z.number(),
    fractions: z.record(z.string(), z.number()),
    /** What the steward follows in the store; null where it knows nothing. */
    plan: confirmedSchema.nullable(),
    backends: confirmedSchema.nullable(),
    /** Revision of the plan that the steward has. */
    planRevision: z.int(),
  }),
  z.object({
    type: z.literal(RelayMessageType.lent),
    askId: z.int(),
    customer: z.string(),
    units: z.number(),
    /** Time until an ask may succeed, ms, where nothing was lent; null if never. */
    waitMs: z.number().nullable(),
  }),
  /** The steward's lease, each time that it is renewed, and when it is given up. */
  z.object({
    type: z.literal(RelayMessageType.lease),
    lease: leaseSchema,
    version: z.int(),
    leftMs: z.number(),
    /** Told to the heir alone. */
    heirTerm: heirTermSchema.optional(),
    /** The steward has given the lease up and will not act under it any more. */
    isGivenUp: z.boolean(),
  }),
  /** Runs of requests that did not come to their end. */
  z.object({ type: z.literal(RelayMessageType.incidents), incidents: z.array(incidentSchema) }),
  /** Requests that ran to their end, whatever their servers died of. */
  z.object({ type: z.literal(RelayMessageType.ranWhole), fingerprints: z.array(z.string()) }),
] as const;

export const relayMessageSchema = z.discriminatedUnion('type', schemas);
export type RelayMessage = z.infer<typeof relayMessageSchema>;
export type RelayMessageOf<T extends RelayMessage['type']> = Extract<RelayMessage, { type: T }>;
