/**
 * Messages between entry VMs and the steward.
 *
 * Property names and values are the wire format: messages are encoded without further mapping.
 * Builds of several versions exchange them during an upgrade: unknown fields are dropped on decoding,
 * a field that a build adds is optional, and messages of an unknown type are ignored. A type is sent
 * only to a VM that understands it; see `known-types`.
 */
import { z } from 'zod';
import { successorTermSchema, leaseSchema } from '../../decisions/leases/index.js';
import { segmentRunSchema } from '../../decisions/suspects/index.js';
import { RelayedMessageType, relayedMessageSchemas } from './relayed-messages.js';

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
  throttles: 'throttles',
  permitRequest: 'permit-request',
  permits: 'permits',
  permitReturn: 'permit-return',
  streams: 'streams',
  ...RelayedMessageType,
  slotNeeds: 'slot-needs',
  slots: 'slots',
  confirm: 'confirm',
  packed: 'packed',
  memoryAsk: 'memory-ask',
  memoryReply: 'memory-reply',
} as const;

/** An entry VM's share of a customer's rate limit, and the customer's demand at this VM. */
const rateShareSchema = z.object({
  customer: z.string(),
  /** Share of the rate and burst, 0 to 1. */
  fraction: z.number(),
  demandPerS: z.number(),
  /** Units of an average request and of the largest recent one; 0 if there were no requests. */
  usualUnits: z.number(),
  largestUnits: z.number(),
});

/** Requests queued at an entry VM for one model or adapter of a service. */
const queuedRequestsSchema = z.object({
  service: z.string(),
  model: z.string(),
  adapter: z.string().nullable(),
  /** Software version of the servers that may run them; null for any. */
  version: z.string().nullable().default(null),
  /** Data centres of the servers that may run them; for any if there is no list. */
  dataCentres: z.array(z.string()).optional(),
  waiting: z.int(),
  /** Those of them that wait for a free slot now, by priority. Earlier builds don't tell it. */
  byPriority: z.record(z.string(), z.int().nonnegative()).optional().catch(undefined),
  /** Time until the first request misses its objective, ms; relative, since VM clocks differ. */
  dueInMs: z.number(),
});

/** Requests that wait for a free slot at all entry VMs, by priority; no priorities if there are none. */
const modelQueueSchema = z.object({
  service: z.string(),
  model: z.string(),
  adapter: z.string().nullable(),
  byPriority: z.record(z.string(), z.int().nonnegative()),
});

/** Running requests of an entry VM on one server with the same model and adapter. */
const runningRequestsSchema = z.object({
  server: z.string(),
  model: z.string().nullable(),
  adapter: z.string().nullable(),
  running: z.int(),
  /** Tokens that they may need: prompts and largest outputs. Earlier builds don't tell it. */
  tokens: z.int().nonnegative().optional().catch(undefined),
});

/** Requests admitted for a model since the last report. */
const usageSchema = z.object({ model: z.string(), requests: z.int() });

/** A server, and the age of the last failed attempt of an entry VM to connect to it. */
const connectFailureSchema = z.object({ server: z.string(), ageMs: z.number().nonnegative() });

/** A server, and the age of the last data that an entry VM received from it. */
const receiptSchema = z.object({ server: z.string(), ageMs: z.number().nonnegative() });

/** A service, and the age of the last connection that an entry VM has made to one of its servers. */
const connectionSchema = z.object({ service: z.string(), ageMs: z.number().nonnegative() });

/** Models and adapters of an engine to which requests may be sent. */
const engineViewSchema = z.object({
  id: z.string(),
  /** Start time of the engine's process, Unix ms. */
  bornMs: z.number(),
  models: z.array(z.object({ name: z.string(), adapters: z.array(z.string()) })),
});
export type EngineView = z.infer<typeof engineViewSchema>;

/** An entry of the steward's list of backend servers. */
const listedServerSchema = z.object({
  id: z.string(),
  service: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  /** Version of its software; empty if it names none. */
  version: z.string().default(''),
  /** Whether the server is draining. */
  leaving: z.boolean(),
  slots: z.number(),
  /** Start time of the server's process, Unix ms. */
  bornMs: z.number(),
  /**
   * Whether the entry is missing from the platform store after an outage of the store for the steward.
   * The steward retains it for a grace period in which the server can register again.
   */
  isMissing: z.boolean(),
});
export type ListedServer = z.infer<typeof listedServerSchema>;

/** Store revision of a cached copy, and the age of the call that confirmed the copy. */
const freshnessSchema = z.object({ revision: z.int(), ageMs: z.number() });

/** The steward's evacuated data centres; see `SharedEvacuations`. */
const evacuationsSchema = z.object({
  revision: z.int(),
  /** Age of the store call that confirmed them, ms. */
  ageMs: z.number(),
  dataCentres: z.array(z.string()),
  heldForMs: z.record(z.string(), z.number()),
});

/** A model load that is in progress or queued, and the expected time to its end. */
const loadViewSchema = z.object({
  /** Service of the engine; null if an older steward does not tell it. */
  service: z.string().nullable().default(null),
  model: z.string(),
  adapter: z.string().nullable(),
  /** Software version of the engine; null if it is not known yet. */
  version: z.string().nullable().default(null),
  /** Data centre of the engine, if it is known. */
  dataCentre: z.string().optional(),
  readyInMs: z.number(),
});
export type LoadView = z.infer<typeof loadViewSchema>;

/** An entry VM over which others may connect to backend servers; see `Peer`. */
const peerSchema = z.object({
  vm: z.string(),
  address: z.string(),
  /** Empty if the VM's software is too old to tell it. */
  dataCentre: z.string().default(''),
  unreachable: z.array(z.string()).default([]),
  partitioned: z.array(z.string()).default([]),
  leaving: z.boolean().default(false),
});

/** A request run that was cut off at a server; `bornMs` is the server's process start time. */
const incidentSchema = z.object({
  fingerprint: z.string(),
  serverId: z.string(),
  bornMs: z.number(),
  run: segmentRunSchema.optional(),
  ageMs: z.number().nonnegative(),
});

/** Request limit that a server last named, or withdrew; see `Throttle`. */
const throttleSchema = z.object({
  serverId: z.string(),
  bornMs: z.number(),
  requestsPerS: z.number().nonnegative().nullable(),
  ageMs: z.number().nonnegative(),
});

/** A server that is cold; see `SharedCold`. */
const coldSchema = z.object({
  serverId: z.string(),
  bornMs: z.number(),
  forMs: z.number().nonnegative(),
});

/** Counts by server. */
const countsSchema = z.record(z.string(), z.int().nonnegative());

/** Waiting requests that any of some brittle servers could run. */
const slotNeedSchema = z.object({
  /** By server, the penalty of its choice in units of utilisation. */
  servers: z.record(z.string(), z.number()),
  needed: z.int().positive(),
});

/** A stream that a server has begun; see `BegunStream`. */
const begunStreamSchema = z.object({
  id: z.string(),
  service: z.string(),
  version: z.string(),
  ageMs: z.number().nonnegative(),
});

const schemas = [
  /** State of an entry VM: its rate shares, running requests and queued requests. */
  z.object({
    type: z.literal(RelayMessageType.report),
    vm: z.string(),
    /** Address at which peers reach the sender. */
    address: z.string(),
    /** Data centre of the sender; empty if its software is too old to tell it. */
    dataCentre: z.string().default(''),
    /** Send time on the sender's monotonic clock; the grant returns it. */
    sentAtMs: z.number(),
    /** Send time on the sender's clock that also runs during suspension; the grant returns it. */
    clockMs: z.number(),
    /** Version that the operator gave the sender's plan; 0 if it has none. */
    planRevision: z.number(),
    /** `seq` of the last grant from this steward that the sender applied. */
    appliedSeq: z.int(),
    /** Null if they are the same as before; only sent to a steward that understands `confirm`. */
    shares: z.array(rateShareSchema).nullable(),
    running: z.array(runningRequestsSchema),
    waits: z.array(queuedRequestsSchema),
    usage: z.array(usageSchema),
    /** Lent units of customers' rates that were not used. */
    returned: z.record(z.string(), z.number().nonnegative()).default({}),
    /** Servers that the sender can't connect to. */
    unreachable: z.array(connectFailureSchema).default([]),
    /**
     * Engines that have sent the sender data lately; not in every report. Earlier builds name some with an
     * age of Infinity in the first report of a process.
     */
    reached: z.array(receiptSchema).default([]).catch([]),
    /** Services from whose servers the sender is partitioned. */
    partitioned: z.array(z.string()).default([]),
    /** Services to whose servers the sender has made a connection lately, and its age. */
    connected: z.array(connectionSchema).default([]),
    /** Whether the sender is stopping. */
    leaving: z.boolean(),
    /** Whether the sender uses slots of brittle servers; older stewards don't read `knownTypes`. */
    usesSlots: z.boolean().default(false),
    /** The sender's evacuated data centres if they are newer than the steward's and differ. */
    evacuations: evacuationsSchema.optional(),
    /** Highest `askId` of the `memory-reply` messages that the sender has handled. */
    memorySeen: z.int().nonnegative().optional().catch(undefined),
    /** Message types that the sender understands, in the first report on a connection. */
    knownTypes: z.array(z.string()).nullable().default(null),
    /** Link rate of the sender, Mbit/s; null if it is unknown. */
    linkMbps: z.number().positive().nullable().optional(),
    /** Age of the last call for the lease that the store has answered, ms; null if there was none. */
    storeAgeMs: z.number().nonnegative().nullable().optional(),
  }),
  /** Requests a loan of units of a customer's rate limit; see `LoanAsk` for the optional fields. */
  z.object({
    type: z.literal(RelayMessageType.ask),
    askId: z.int(),
    customer: z.string(),
    units: z.number(),
    minUnits: z.number().optional(),
    priority: z.number().optional(),
    /** Without it, the steward replies at once. */
    maxWaitMs: z.number().nonnegative().optional(),
  }),
  /** First message from the steward on a new connection. */
  z.object({
    type: z.literal(RelayMessageType.welcome),
    vm: z.string(),
    fence: z.int(),
    /** Whether the steward issues slots of brittle servers. */
    issuesSlots: z.boolean().default(false),
    /** Message types that the steward understands; null if it names none. */
    knownTypes: z.array(z.string()).nullable().default(null),
    /** Bytes per second that the steward's link can carry; null if unknown. See `message-pacing`. */
    bytesPerS: z.number().positive().nullable().optional(),
  }),
  /** The "not the steward" reply; the sender closes the connection afterwards. */
  z.object({
    type: z.literal(RelayMessageType.noOffice),
    /** Whether the sender will never act under any fencing token that other VMs may have seen. */
    isIdle: z.boolean(),
    /** Highest fencing token that the sender has seen. */
    newestFence: z.int(),
  }),
  /** Engines whose state changed since the last message; all engines if `whole`. */
  z.object({
    type: z.literal(RelayMessageType.view),
    whole: z.boolean(),
    engines: z.array(engineViewSchema),
    /** Running requests of all entry VMs by engine; only engines whose number changed. */
    running: z.record(z.string(), z.int()),
    /** Tokens that these requests may need, by engine; only of engines in `running`. */
    tokens: z.record(z.string(), z.int().nonnegative()).optional().catch(undefined),
    loads: z.array(loadViewSchema),
    /** Requests that wait at all entry VMs; only queues that changed. */
    queues: z.array(modelQueueSchema).optional().catch(undefined),
    /** Number of entry VMs connected to the steward. */
    members: z.int(),
    /** Whether the receiver may send requests to throttled servers without a steward. */
    mayUseReserve: z.boolean().default(false),
    /** Entry VMs that relay, if that list has changed; null if not, or from an older steward. */
    peers: z.array(peerSchema).nullable().default(null),
    /** Services from which the steward is partitioned; the receiver finds out whether it is too. */
    unreached: z.array(z.string()).default([]),
    /** As in `welcome`; undefined if the steward is too old to tell it. */
    bytesPerS: z.number().positive().nullable().optional(),
    /** Best link rate of the fleet, Mbit/s; null if a VM does not know its own. */
    bestMbps: z.number().positive().nullable().optional(),
    /** Whether a handover may be due, as the steward's store calls fail: the successor calls the store. */
    seeksSuccessor: z.boolean().optional(),
  }),
  /** Server list update: the servers that changed since the last one; the full list if `whole`. */
  z.object({
    type: z.literal(RelayMessageType.beliefs),
    whole: z.boolean(),
    servers: z.array(listedServerSchema),
    /** Ids of removed servers. */
    gone: z.array(z.string()),
    /** Store revision that the list reflects, and the age of the call that confirmed it, ms. */
    revision: z.int(),
    ageMs: z.number().default(0),
  }),
  /** The plan as it is stored, for an entry VM that can't fetch it from the store. */
  z.object({ type: z.literal(RelayMessageType.plan), value: z.unknown() }),
  /** Reply to a report: the VM's rate shares, and how current the steward's cached state is. */
  z.object({
    type: z.literal(RelayMessageType.grant),
    seq: z.int(),
    reportSentAtMs: z.number(),
    reportClockMs: z.number(),
    fractions: z.record(z.string(), z.number()),
    /** How current the steward's copies are; null for a copy that the steward does not have. */
    plan: freshnessSchema.nullable(),
    backends: freshnessSchema.nullable(),
    /** Version that the operator gave the steward's plan; 0 if it has none. */
    planRevision: z.number(),
    /** Not sent where evacuations are not in force, nor by a steward that does not know them. */
    evacuations: evacuationsSchema.optional(),
  }),
  /** Reply to a report without shares: how current the steward's cached state is, as in `grant`. */
  z.object({
    type: z.literal(RelayMessageType.confirm),
    reportClockMs: z.number(),
    plan: freshnessSchema.nullable(),
    backends: freshnessSchema.nullable(),
    planRevision: z.number(),
    evacuations: evacuationsSchema.optional(),
  }),
  /** Another message, deflated; see `packed-messages`. */
  z.object({
    type: z.literal(RelayMessageType.packed),
    bytes: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  }),
  /** Reply to `ask`: lends all of the units or none, or some if the request states a minimum. */
  z.object({
    type: z.literal(RelayMessageType.lent),
    askId: z.int(),
    customer: z.string(),
    units: z.number(),
    /** After a refusal: time until the same loan may be granted, ms; null if it never will be. */
    waitMs: z.number().nullable(),
    /** Time for which the steward queued the loan, ms; an older steward has no queue. */
    queuedMs: z.number().nonnegative().optional(),
  }),
  /** The steward's lease; sent after each renewal and when the steward releases it. */
  z.object({
    type: z.literal(RelayMessageType.lease),
    lease: leaseSchema,
    version: z.int(),
    leftMs: z.number(),
    /** Only in the message to the designated successor. */
    heirTerm: successorTermSchema.optional(),
    /** Whether the steward has released the lease and no longer acts under it. */
    isGivenUp: z.boolean(),
  }),
  /** Request runs that were cut off before they completed. */
  z.object({ type: z.literal(RelayMessageType.incidents), incidents: z.array(incidentSchema) }),
  /** Requests that ran to completion; the receiver clears their incidents. */
  z.object({ type: z.literal(RelayMessageType.ranWhole), fingerprints: z.array(z.string()) }),
  /** Request limits of servers; sent when they change, both ways. */
  z.object({
    type: z.literal(RelayMessageType.throttles),
    throttles: z.array(throttleSchema),
    /** Cold servers whose state changed; older builds name none. */
    cold: z.array(coldSchema).optional(),
  }),
  /** Requests permits for the requests of an entry VM that wait for a throttled server. */
  z.object({
    type: z.literal(RelayMessageType.permitRequest),
    serverId: z.string(),
    needed: z.int().positive(),
    /** Whether the requests can run elsewhere, and only show whether the limit still holds. */
    isProbe: z.boolean(),
  }),
  /** Permits for requests to a throttled server, possibly none yet. */
  z.object({
    type: z.literal(RelayMessageType.permits),
    serverId: z.string(),
    permits: z.int().nonnegative(),
    /** Expected time between two permits of the receiver, ms. */
    intervalMs: z.number(),
  }),
  /** Returns permits that expired unused. */
  z.object({
    type: z.literal(RelayMessageType.permitReturn),
    serverId: z.string(),
    permits: z.int().positive(),
  }),
  /** Newly begun streams; sent both ways, and only while servers of several versions serve. */
  z.object({ type: z.literal(RelayMessageType.streams), streams: z.array(begunStreamSchema) }),
  ...relayedMessageSchemas,
  /** An entry VM's use of the slots of brittle servers; sent to stewards that issue slots. */
  z.object({
    type: z.literal(RelayMessageType.slotNeeds),
    /** Services of which the sender has an answer, if it has one of a further service. */
    answered: z.array(z.string()).default([]),
    /** Changes that the sender observed; as for limits, `requestsPerS` being those turned away. */
    brittle: z.array(throttleSchema).default([]),
    /** Slots that the sender holds of servers for which the steward may not know it. */
    held: countsSchema.default({}),
    returned: countsSchema.default({}),
    /** Number of requests that a server turned away for want of room; their slots are gone. */
    turnedAway: countsSchema.default({}),
    /** Servers for which a slot shows whether they are still brittle. */
    probes: z.array(z.string()).default([]),
    /** Replaces the earlier needs; null if they are unchanged. */
    needs: z.array(slotNeedSchema).nullable().default(null),
    /** Number of slots received on this connection. */
    received: z.int().nonnegative().default(0),
  }),
  /** Slots of brittle servers for an entry VM; sent to entry VMs that use slots. */
  z.object({
    type: z.literal(RelayMessageType.slots),
    /** Services of which any entry VM has an answer, if they have changed. */
    answered: z.array(z.string()).default([]),
    brittle: z.array(throttleSchema).default([]),
    issued: countsSchema.default({}),
    /** By server, the time for which it gets no request, ms. */
    pauses: z.record(z.string(), z.number()).default({}),
  }),
  /** Asks whether a request may be sent to a server without exceeding its memory. */
  z.object({
    type: z.literal(RelayMessageType.memoryAsk),
    askId: z.int().positive(),
    serverId: z.string(),
    tokens: z.int().nonnegative(),
  }),
  /** Reply to `memory-ask`. */
  z.object({
    type: z.literal(RelayMessageType.memoryReply),
    askId: z.int().positive(),
    serverId: z.string(),
    tokens: z.int().nonnegative(),
    isGranted: z.boolean(),
  }),
] as const;

export const relayMessageSchema = z.discriminatedUnion('type', schemas);
export type RelayMessage = z.infer<typeof relayMessageSchema>;
export type RelayMessageOf<T extends RelayMessage['type']> = Extract<RelayMessage, { type: T }>;
