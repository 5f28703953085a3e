/** Parses completion requests. */
import { Result } from 'true-myth';
import { z } from 'zod';
import * as errors from '../../core/errors/index.js';
import { formatIssues } from '../../core/settings/index.js';
import { fingerprintOf, sharedSegments } from '../../decisions/suspects/index.js';
import { createRefusal } from './reply.js';
import type { Refusal } from './types.js';

/** Average used to estimate the length of a prompt in tokens. */
const CHARS_PER_TOKEN = 4;
/** Prompts that share this prefix are routed to the same engine, which has the prefix cached. */
const PREFIX_CHARS = 256;

const message = z.looseObject({ role: z.string(), content: z.string() });

const bodySchema = z.looseObject({
  model: z.string().min(1).max(256),
  prompt: z.string().optional(),
  messages: z.array(message).min(1).optional(),
  max_tokens: z.int().min(1).max(1_000_000).optional(),
  stream: z.boolean().default(false),
});

/** Body of a completion request as sent by the caller. */
export type CompletionBody = z.infer<typeof bodySchema>;

export interface ModelRequest {
  readonly body: CompletionBody;
  readonly prompt: string;
  /** Estimated number of tokens in the prompt. */
  readonly promptTokens: number;
  /** Prefix by which requests are routed to the same engine; null for short prompts. */
  readonly prefixKey: string | null;
  /** Fingerprints of the messages that other requests may share; empty without messages. */
  readonly segments: readonly string[];
}

function segmentsOf(messages: readonly z.infer<typeof message>[]): readonly string[] {
  return sharedSegments(messages.map(({ role, content }) => fingerprintOf(role, content)));
}

export function parseModelRequest(raw: Buffer, isChat: boolean): Result<ModelRequest, Refusal> {
  const fail = (detail: string) =>
    Result.err<ModelRequest, Refusal>(
      createRefusal(errors.data.BadRequest, 'read request', 'caller', detail),
    );
  let json: unknown;
  try {
    json = JSON.parse(raw.toString('utf8'));
  } catch {
    return fail('The body is not JSON.');
  }
  const parsed = bodySchema.safeParse(json);
  if (!parsed.success) return fail(formatIssues(parsed.error.issues));
  const body = parsed.data;
  const prompt = isChat ? body.messages?.map(({ content }) => content).join('\n') : body.prompt;
  if (prompt === undefined) return fail(isChat ? 'messages is missing' : 'prompt is missing');
  return Result.ok({
    body,
    prompt,
    promptTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
    prefixKey: prompt.length >= PREFIX_CHARS ? prompt.slice(0, PREFIX_CHARS) : null,
    segments: isChat ? segmentsOf(body.messages ?? []) : [],
  });
}
