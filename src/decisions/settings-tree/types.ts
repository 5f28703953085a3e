/** Nodes of the settings tree that operators edit while traffic runs. */
import { z } from 'zod';

/** How patient a request is; the class decides its deadline and priority. */
export const RequestClass = {
  interactive: 'interactive',
  standard: 'standard',
  patient: 'patient',
} as const;
export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

/** Whether a backend server takes new work. */
export const BackendState = { active: 'active', leaving: 'leaving' } as const;

/** Values that a node passes on to the nodes below it. */
const inherited = {
  class: z.enum(['interactive', 'standard', 'patient']).describe('Class of a request.'),
  deadlineMs: z.int().min(1).describe('Longest time to the first byte of an answer, ms.'),
  maxTokens: z.int().min(1).describe('Tokens reserved when the request names no limit.'),
  retryRatio: z.number().min(0).max(1).describe('Retries allowed per request served.'),
  keepWarmMs: z.int().min(0).describe('Idle time before a replica may be unloaded, ms.'),
  ratePerS: z.number().positive().describe("A customer's tokens a second, over the fleet."),
  burst: z.number().positive().describe("A customer's tokens at once, over the fleet."),
  weight: z.number().positive().describe("A customer's weight in the fair queue."),
  open: z.boolean().describe('Whether the route needs no key.'),
  dataCentre: z.string().min(1).describe('Data centre of a backend server.'),
  fencing: z.boolean().describe('Whether an engine refuses old fencing numbers.'),
  slots: z.int().min(1).describe('Requests that an engine runs at once.'),
  state: z.enum(['active', 'leaving']).describe('Whether a backend server takes new work.'),
};

/** Values that belong to one node alone. */
const own = {
  kind: z.enum(['model', 'plain']).describe('Kind of a service or of a backend server.'),
  bytesMb: z.number().positive().describe('Accelerator memory of a model or adapter, MB.'),
  memoryMb: z.number().positive().describe('Accelerator memory of an engine, MB.'),
  address: z
    .string()
    .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IPv4 address and port')
    .describe('Address of a backend server.'),
  service: z.string().min(1).describe('Service that a backend server works for.'),
  sha256: z
    .string()
    .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hexadecimal')
    .describe('Digest of a key.'),
  dataCentres: z.array(z.string().min(1)).min(1).describe('Data centres of the deployment.'),
  entryVms: z.int().min(1).describe('Entry VMs of each data centre.'),
};

export const nodeSchema = z.strictObject({ ...inherited, ...own }).partial();

/** Values set on one node. */
export type NodeValues = z.infer<typeof nodeSchema>;

export type ValueName = keyof NodeValues;

/** Names of the values that a node passes on. */
export const INHERITED_NAMES = Object.keys(inherited) as readonly (keyof typeof inherited)[];

type DefaultedName =
  | 'class'
  | 'deadlineMs'
  | 'maxTokens'
  | 'retryRatio'
  | 'keepWarmMs'
  | 'ratePerS'
  | 'burst'
  | 'weight'
  | 'open'
  | 'fencing'
  | 'slots'
  | 'entryVms'
  | 'state';

/** Values that are in force where no node sets them. */
export type DefaultValues = Required<Pick<NodeValues, DefaultedName>>;

/** Values of a deployment whose root node sets none. */
export const DEFAULT_VALUES: DefaultValues = {
  class: RequestClass.standard,
  deadlineMs: 10_000,
  maxTokens: 256,
  retryRatio: 0.1,
  keepWarmMs: 180_000,
  ratePerS: 1_000,
  burst: 10_000,
  weight: 1,
  open: false,
  fencing: true,
  slots: 8,
  entryVms: 3,
  state: BackendState.active,
};

/** One revision of the whole tree. Paths are absolute, as `/services/drafting/models/wheel`. */
export interface Tree {
  readonly revision: number;
  readonly nodes: ReadonlyMap<string, NodeValues>;
}

/** A change of one node: `null` values take the node away, with all below it. */
export interface NodeEdit {
  readonly path: string;
  readonly values: NodeValues | null;
}

/** A value together with the node that it comes from; `default` where no node sets it. */
export interface EffectiveValue {
  readonly name: ValueName;
  readonly value: NodeValues[ValueName];
  readonly from: string;
}

/** A difference between two trees. */
export interface NodeChange {
  readonly path: string;
  readonly before: NodeValues | null;
  readonly after: NodeValues | null;
}

/** The object that names the current revision; replaced by conditional update. */
export interface TreeRoot {
  readonly revision: number;
  /** Content names of the chunks, by chunk name. */
  readonly chunks: Readonly<Record<string, string>>;
  /** The latest edits, newest last. */
  readonly edits: readonly TreeEditRecord[];
}

export interface TreeEditRecord {
  readonly id: string;
  readonly revision: number;
  readonly paths: readonly string[];
  readonly atMs: number;
}

/** An immutable part of the tree, named by the digest of its text. */
export interface TreeChunk {
  readonly name: string;
  readonly hash: string;
  readonly text: string;
}
