/** Reads a completion request. */
import { Result } from 'true-myth';
import { z } from 'zod';
import * as errors from '../../core/errors/index.js';
import { formatIssues } from '../../core/settings/index.js';
import { notRun } from './reply.js';
import type { Refusal } from './types.js';

const CHARS_PER_TOKEN = 4;
/** Prompts with the same first characters are kept on one engine, whose cache holds the prefix. */
const PREFIX_CHARS = 256;

const message = z.looseObject({ role: z.string(), content: z.string() });

const bodySchema = z.looseObject({
  model: z.string().min(1).max(256),
  prompt: z.string().optional(),
  messages: z.array(message).min(1).optional(),
  max_tokens: z.int().min(1).max(1_000_000).optional(),
  stream: z.boolean().default(false),
});

/** A completion request as the caller sent it. */
export type CompletionBody = z.infer<typeof bodySchema>;

export interface ModelRequest {
  readonly body: CompletionBody;
  readonly prompt: string;
  /** Tokens that the prompt is expected to hold. */
  readonly promptTokens: number;
  readonly prefixKey: string | null;
}

export function parseModelRequest(raw: Buffer, isChat: boolean): Result<ModelRequest, Refusal> {
  const fail = (detail: string) =>
    Result.err<ModelRequest, Refusal>(
      notRun(errors.data.BadRequest, 'read request', 'caller', detail),
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
  });
}
