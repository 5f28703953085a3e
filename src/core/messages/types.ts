/** Messages between entry VMs. Unknown fields are dropped; messages of unknown type are ignored. */
import { z } from 'zod';

/** Version of the frame format; frames of another version are rejected. */
export const FRAME_VERSION = 1;

export const PeerMessageType = {
  /** Complete state of a member, sent on connection and on each change. */
  heartbeat: 'heartbeat',
  /** Short periodic heartbeat in between: incarnation and revision only. */
  beat: 'beat',
  goodbye: 'goodbye',
  settingsWanted: 'settings-wanted',
  settings: 'settings',
  quotaAsk: 'quota-ask',
  quotaGrant: 'quota-grant',
  quotaSettle: 'quota-settle',
  quotaRefund: 'quota-refund',
  routes: 'routes',
  loads: 'loads',
  demand: 'demand',
  death: 'death',
} as const;

/** Grantor of a loan: the quota lender of a data centre, or the local reserve of an entry VM. */
const role = z.enum(['lender', 'floor']);

export const memberStateSchema = z.object({
  vm: z.string(),
  dataCentre: z.string(),
  address: z.string(),
  incarnation: z.number(),
  revision: z.int(),
  /** Whether the VM is draining. */
  leaving: z.boolean(),
  /** Fencing token of the steward lease; 0 unless the VM is the steward. */
  stewardEpoch: z.int(),
  /** Whether the VM is the quota lender of its data centre. */
  lender: z.boolean(),
});

const routeSchema = z.object({
  engineId: z.string(),
  dataCentre: z.string(),
  address: z.string(),
  slots: z.int().min(1),
  targets: z.array(z.string()).readonly(),
  load: z.number(),
  /** Whether the engine is draining. */
  leaving: z.boolean(),
});

const rootSchema = z.object({
  revision: z.int(),
  chunks: z.record(z.string(), z.string()),
  edits: z
    .array(
      z.object({
        id: z.string(),
        revision: z.int(),
        paths: z.array(z.string()).readonly(),
        atMs: z.number(),
      }),
    )
    .readonly(),
});

const demandSchema = z.object({
  target: z.string(),
  waiting: z.int(),
  /** Time until the earliest deadline, ms. Relative, as the clocks of VMs are not synchronised. */
  deadlineInMs: z.number(),
  /** Time for which the oldest request has been queued, ms. */
  waitedMs: z.number(),
  customers: z.array(z.string()),
});

const messageSchemas = [
  z.object({ type: z.literal('heartbeat'), state: memberStateSchema }),
  z.object({ type: z.literal('beat'), incarnation: z.number(), revision: z.int() }),
  z.object({ type: z.literal('goodbye') }),
  /** Requests the settings; `have` lists the hashes of chunks that need not be sent. */
  z.object({ type: z.literal('settings-wanted'), have: z.array(z.string()) }),
  z.object({
    type: z.literal('settings'),
    root: rootSchema,
    chunks: z.record(z.string(), z.string()),
  }),
  /** Requests a loan of a customer's tokens. */
  z.object({
    type: z.literal('quota-ask'),
    role,
    askId: z.int(),
    customer: z.string(),
    tokens: z.number(),
  }),
  /** Grants a loan, possibly of fewer tokens than requested or of none. */
  z.object({
    type: z.literal('quota-grant'),
    askId: z.int(),
    customer: z.string(),
    loanId: z.int(),
    tokens: z.number(),
  }),
  /** Reports how many tokens of a loan were spent, and returns tokens of it. */
  z.object({
    type: z.literal('quota-settle'),
    role,
    customer: z.string(),
    loanId: z.int(),
    spent: z.number(),
    returned: z.number(),
  }),
  /** Returns tokens that a request has reserved but not used. */
  z.object({
    type: z.literal('quota-refund'),
    role,
    customer: z.string(),
    tokens: z.number(),
  }),
  /** Routes to engines of a data centre: all of them if `whole`, otherwise those that changed. */
  z.object({
    type: z.literal('routes'),
    dataCentre: z.string(),
    whole: z.boolean(),
    engines: z.array(routeSchema).readonly(),
  }),
  /** Loads by engine id, for engines whose routes have been sent before. */
  z.object({ type: z.literal('loads'), loads: z.record(z.string(), z.number()) }),
  /** Queued requests of an entry VM by target, and the targets used since the previous report. */
  z.object({
    type: z.literal('demand'),
    waiting: z.array(demandSchema),
    used: z.array(z.string()),
  }),
  /** An engine crashed while running the request with this fingerprint. */
  z.object({
    type: z.literal('death'),
    fingerprint: z.string(),
    engineId: z.string(),
    /** Time for which the request had run, ms. */
    ranMs: z.number(),
    /** Time since the crash, ms. */
    agoMs: z.number().default(0),
    /** Fingerprints of the prompt's segments that may have caused the crash. */
    segments: z.array(z.string()).default([]),
  }),
] as const;

export const peerMessageSchema = z.discriminatedUnion('type', messageSchemas);
export type PeerMessage = z.infer<typeof peerMessageSchema>;
export type PeerMessageOf<T extends PeerMessage['type']> = Extract<PeerMessage, { type: T }>;

export const frameSchema = z.object({
  v: z.literal(FRAME_VERSION),
  from: z.string(),
  message: peerMessageSchema,
});
/** Content of a TCP frame between entry VMs. */
export type Frame = z.infer<typeof frameSchema>;
