/** Messages between entry VMs. Unknown fields are dropped and unknown types ignored. */
import { z } from 'zod';

/** Version of the frames; a peer of another version is not listened to. */
export const FRAME_VERSION = 1;

export const PeerMessageType = {
  /** The whole state of a member, sent on connecting and when it changes. */
  heartbeat: 'heartbeat',
  /** The short form in between. */
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

const role = z.enum(['lender', 'floor']);

export const memberStateSchema = z.object({
  vm: z.string(),
  dataCentre: z.string(),
  address: z.string(),
  incarnation: z.number(),
  revision: z.int(),
  leaving: z.boolean(),
  stewardEpoch: z.int(),
  lender: z.boolean(),
});

const routeSchema = z.object({
  engineId: z.string(),
  dataCentre: z.string(),
  address: z.string(),
  slots: z.int().min(1),
  targets: z.array(z.string()).readonly(),
  load: z.number(),
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
  /** Time left, since clocks of VMs are not compared. */
  deadlineInMs: z.number(),
  waitedMs: z.number(),
  customers: z.array(z.string()),
});

const messageSchemas = [
  z.object({ type: z.literal('heartbeat'), state: memberStateSchema }),
  z.object({ type: z.literal('beat'), incarnation: z.number(), revision: z.int() }),
  z.object({ type: z.literal('goodbye') }),
  /** Asks for the settings; `have` names the chunks that need not be sent. */
  z.object({ type: z.literal('settings-wanted'), have: z.array(z.string()) }),
  z.object({
    type: z.literal('settings'),
    root: rootSchema,
    chunks: z.record(z.string(), z.string()),
  }),
  z.object({
    type: z.literal('quota-ask'),
    role,
    askId: z.int(),
    customer: z.string(),
    tokens: z.number(),
  }),
  z.object({
    type: z.literal('quota-grant'),
    askId: z.int(),
    customer: z.string(),
    loanId: z.int(),
    tokens: z.number(),
  }),
  z.object({
    type: z.literal('quota-settle'),
    role,
    customer: z.string(),
    loanId: z.int(),
    spent: z.number(),
    returned: z.number(),
  }),
  z.object({
    type: z.literal('quota-refund'),
    role,
    customer: z.string(),
    tokens: z.number(),
  }),
  /** Engines of a data centre; all of them, or those that changed. */
  z.object({
    type: z.literal('routes'),
    dataCentre: z.string(),
    whole: z.boolean(),
    engines: z.array(routeSchema).readonly(),
  }),
  /** Loads of engines whose routes are known, by engine id. */
  z.object({ type: z.literal('loads'), loads: z.record(z.string(), z.number()) }),
  /** What waits on an entry VM, and the targets that it used since the last message. */
  z.object({
    type: z.literal('demand'),
    waiting: z.array(demandSchema),
    used: z.array(z.string()),
  }),
  z.object({
    type: z.literal('death'),
    fingerprint: z.string(),
    engineId: z.string(),
    ranMs: z.number(),
    agoMs: z.number().default(0),
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
/** What a TCP frame between entry VMs holds. */
export type Frame = z.infer<typeof frameSchema>;
