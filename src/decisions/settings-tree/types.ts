/** Types of the settings tree, which operators edit at runtime. */
import { z } from 'zod';

/** Latency class of a request, which determines its deadline and priority. */
export const RequestClass = {
  interactive: 'interactive',
  standard: 'standard',
  patient: 'patient',
} as const;
export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

/** Whether a backend server accepts new work; a leaving server is draining. */
export const BackendState = { active: 'active', leaving: 'leaving' } as const;

/** Values that descendants of a node inherit. */
const inherited = {
  class: z.enum(['interactive', 'standard', 'patient']).describe('Latency class of a request.'),
  deadlineMs: z.int().min(1).describe('Maximum time to the first byte of a response, ms.'),
  maxTokens: z.int().min(1).describe('Tokens reserved for a request without a token limit.'),
  retryRatio: z.number().min(0).max(1).describe('Retries allowed per served request.'),
  keepWarmMs: z.int().min(0).describe('Idle time before a replica may be unloaded, ms.'),
  ratePerS: z
    .number()
    .positive()
    .describe("A customer's token rate limit across all entry VMs, tokens per second."),
  burst: z.number().positive().describe("A customer's burst limit across all entry VMs, tokens."),
  weight: z.number().positive().describe("A customer's weight in the fair queue."),
  open: z.boolean().describe('Whether the route is accessible without a key.'),
  dataCentre: z.string().min(1).describe('Data centre of a backend server.'),
  fencing: z.boolean().describe('Whether an engine rejects outdated fencing tokens.'),
  slots: z.int().min(1).describe('Maximum number of concurrent requests of an engine.'),
  state: z.enum(['active', 'leaving']).describe('Whether a backend server accepts new work.'),
};

/** Values that apply only to the node that sets them. */
const own = {
  kind: z.enum(['model', 'plain']).describe('Kind of a service or of a backend server.'),
  bytesMb: z.number().positive().describe('Accelerator memory of a model or adapter, MB.'),
  memoryMb: z.number().positive().describe('Accelerator memory of an engine, MB.'),
  address: z
    .string()
    .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IPv4 address and port')
    .describe('Address of a backend server.'),
  service: z.string().min(1).describe('Service that a backend server belongs to.'),
  sha256: z
    .string()
    .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hexadecimal')
    .describe('SHA-256 digest of a caller key, in hexadecimal.'),
  dataCentres: z.array(z.string().min(1)).min(1).describe('Data centres of the deployment.'),
  entryVms: z.int().min(1).describe('Entry VMs of each data centre.'),
};

export const nodeSchema = z.strictObject({ ...inherited, ...own }).partial();

/** Values set on one node. */
export type NodeValues = z.infer<typeof nodeSchema>;

export type ValueName = keyof NodeValues;

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

/** Values that have a default. */
export type DefaultValues = Required<Pick<NodeValues, DefaultedName>>;

/** Effective values where neither the node nor an ancestor sets one. */
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

/** One revision of the tree. Paths are absolute, such as `/services/drafting/models/wheel`. */
export interface Tree {
  readonly revision: number;
  readonly nodes: ReadonlyMap<string, NodeValues>;
}

/** A change of one node; `null` values remove the node and its descendants. */
export interface NodeEdit {
  readonly path: string;
  readonly values: NodeValues | null;
}

/** A value and the path of the node that sets it, or `default`. */
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

/** Root object that references the current revision; replaced by conditional update. */
export interface TreeRoot {
  readonly revision: number;
  /** Content hashes of the chunks, by chunk name. */
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

/** An immutable chunk of the tree, addressed by the SHA-256 of its text. */
export interface TreeChunk {
  readonly name: string;
  readonly hash: string;
  readonly text: string;
}
