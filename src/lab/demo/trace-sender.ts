/** Sends a recorded trace to the entry VMs in turn, in place of a load balancer. */
import { randomUUID } from 'node:crypto';
import * as undici from 'undici';
import * as clock from '../../core/clock/index.js';
import { completionOf } from '../../standins/engine/index.js';
import type { Fleet } from '../fleet/index.js';
import { DEMO_KEYS } from './deployment.js';

/** One recorded request: a line of the trace file. */
export interface TraceLine {
  /** Send time, ms from the start of the trace. */
  readonly atMs: number;
  /** Completion, streamed completion, stock query or order. */
  readonly kind: 'draft' | 'stream' | 'stock' | 'order';
  readonly customer: string;
  readonly model?: string;
  readonly prompt?: string;
  readonly maxTokens?: number;
  readonly order?: string;
  readonly item?: string;
}

/** Result of a request after all attempts. */
export interface RequestResult {
  readonly line: TraceLine;
  /** HTTP status of the last response; 0 when the connection failed. */
  readonly status: number;
  /** Whether the response succeeded with the complete, expected content. */
  readonly whole: boolean;
  /** Execution status from the response header; null when the response has none. */
  readonly ran: string | null;
  /** From the first attempt to the last response, including the pauses between attempts, ms. */
  readonly ms: number;
  readonly attempts: number;
}

/** Result of one attempt. */
interface AttemptResult {
  readonly status: number;
  readonly whole: boolean;
  readonly ran: string | null;
  /** Pause before the next attempt, ms; 0 for no further attempt. */
  readonly retryAfterMs: number;
}

/** Attempts per request; only failed connections and responses with Retry-After are retried. */
const MAX_ATTEMPTS = 8;
const RECONNECT_DELAY_MS = 200;

const agent = new undici.Agent({ connections: 64, headersTimeout: 60_000 });

/** Text of a completion stream; empty when the stream has no end marker. */
function streamedText(body: string): string {
  const events = body.split('\n\n').filter((event) => event.startsWith('data: '));
  if (events.at(-1) !== 'data: [DONE]') return '';
  return events
    .slice(0, -1)
    .map((event) => {
      const { choices } = JSON.parse(event.slice('data: '.length)) as {
        choices: { delta: { content: string } }[];
      };
      return choices[0]?.delta.content ?? '';
    })
    .join('');
}

/** Whether the response body is complete and has the expected content. */
function isCompleteResponse(line: TraceLine, body: string): boolean {
  const expected = completionOf(line.prompt ?? '', line.maxTokens ?? 0);
  if (line.kind === 'stream') return streamedText(body) === expected;
  if (line.kind === 'draft') {
    const { choices } = JSON.parse(body) as { choices: { text: string }[] };
    return choices[0]?.text === expected;
  }
  if (line.kind === 'order') return (JSON.parse(body) as { order: string }).order === line.order;
  return body.includes('digest');
}

function createRequest(line: TraceLine): {
  method: 'GET' | 'POST';
  path: string;
  body: string | null;
} {
  if (line.kind === 'stock') {
    return { method: 'GET', path: `/services/order-desk/stock/${line.item}`, body: null };
  }
  if (line.kind === 'order') {
    const body = JSON.stringify({ order: line.order, item: line.item });
    return { method: 'POST', path: '/services/order-desk/orders', body };
  }
  const { model, prompt, maxTokens } = line;
  const body = { model, prompt, max_tokens: maxTokens, stream: line.kind === 'stream' };
  return {
    method: 'POST',
    path: '/v1/completions',
    body: JSON.stringify(body),
  };
}

async function sendOnce(
  address: string,
  line: TraceLine,
  idempotencyKey: string,
): Promise<AttemptResult> {
  const key = DEMO_KEYS[line.customer] ?? '';
  const { method, path, body } = createRequest(line);
  try {
    const res = await undici.request(`http://${address}${path}`, {
      dispatcher: agent,
      method,
      body,
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'idempotency-key': idempotencyKey,
      },
    });
    const text = await res.body.text();
    const { statusCode: status } = res;
    const whole = status < 300 && isCompleteResponse(line, text);
    const ran = res.headers['x-bilberrystand-ran'];
    const retryAfterMs = Number(res.headers['retry-after'] ?? 0) * 1000;
    return { status, whole, ran: typeof ran === 'string' ? ran : null, retryAfterMs };
  } catch {
    return { status: 0, whole: false, ran: null, retryAfterMs: RECONNECT_DELAY_MS };
  }
}

/** Sends a request at its time; each attempt goes to the next entry VM. */
async function sendWithRetries(
  fleet: Fleet,
  line: TraceLine,
  firstEntry: number,
): Promise<RequestResult> {
  await clock.sleep(line.atMs);
  const startMs = performance.now();
  const idempotencyKey = line.order ?? randomUUID();
  let result: AttemptResult = { status: 0, whole: false, ran: null, retryAfterMs: 0 };
  let attempts = 0;
  while (attempts < MAX_ATTEMPTS && !result.whole) {
    if (attempts > 0) {
      if (result.retryAfterMs === 0) break;
      await clock.sleep(result.retryAfterMs);
    }
    const entry = fleet.entries[(firstEntry + attempts) % fleet.entries.length];
    attempts += 1;
    result = await sendOnce(entry?.process.started.callersAddress ?? '', line, idempotencyKey);
  }
  const { status, whole, ran } = result;
  return { line, status, whole, ran, ms: performance.now() - startMs, attempts };
}

/** Sends all requests of the trace at their recorded times. */
export function sendTrace(
  fleet: Fleet,
  trace: readonly TraceLine[],
): Promise<readonly RequestResult[]> {
  return Promise.all(trace.map((line, index) => sendWithRetries(fleet, line, index)));
}
