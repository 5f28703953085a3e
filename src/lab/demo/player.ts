/** Sends a recorded trace through the balancer's place: to any entry VM that is up. */
import { randomUUID } from 'node:crypto';
import * as undici from 'undici';
import * as clock from '../../core/clock/index.js';
import { answerTo } from '../../standins/engine/index.js';
import type { Fleet } from '../fleet/index.js';
import { DEMO_KEYS } from './tree.js';

/** One recorded request. */
export interface TraceLine {
  readonly atMs: number;
  readonly kind: 'draft' | 'stream' | 'stock' | 'order';
  readonly customer: string;
  readonly model?: string;
  readonly prompt?: string;
  readonly maxTokens?: number;
  readonly order?: string;
  readonly item?: string;
}

export interface PlayResult {
  readonly line: TraceLine;
  /** HTTP status of the final answer; 0 where the connection broke. */
  readonly status: number;
  readonly whole: boolean;
  /** A refusal says whether the request ran. */
  readonly ran: string | null;
  readonly ms: number;
  readonly attempts: number;
}

interface Answer {
  readonly status: number;
  readonly whole: boolean;
  readonly ran: string | null;
  readonly retryAfterMs: number;
}

/** A caller comes back this often after a lost connection or a refusal that names a time. */
const MOST_ATTEMPTS = 8;
const RECONNECT_MS = 200;

const agent = new undici.Agent({ connections: 64, headersTimeout: 60_000 });

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

function isWhole(line: TraceLine, body: string): boolean {
  const expected = answerTo(line.prompt ?? '', line.maxTokens ?? 0);
  if (line.kind === 'stream') return streamedText(body) === expected;
  if (line.kind === 'draft') {
    const { choices } = JSON.parse(body) as { choices: { text: string }[] };
    return choices[0]?.text === expected;
  }
  if (line.kind === 'order') return (JSON.parse(body) as { order: string }).order === line.order;
  return body.includes('digest');
}

function requestFor(line: TraceLine): {
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

async function send(address: string, line: TraceLine, orderKey: string): Promise<Answer> {
  const key = DEMO_KEYS[line.customer] ?? '';
  const { method, path, body } = requestFor(line);
  try {
    const res = await undici.request(`http://${address}${path}`, {
      dispatcher: agent,
      method,
      body,
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'idempotency-key': orderKey,
      },
    });
    const text = await res.body.text();
    const { statusCode: status } = res;
    const whole = status < 300 && isWhole(line, text);
    const ran = res.headers['x-bilberrystand-ran'];
    const retryAfterMs = Number(res.headers['retry-after'] ?? 0) * 1000;
    return { status, whole, ran: typeof ran === 'string' ? ran : null, retryAfterMs };
  } catch {
    return { status: 0, whole: false, ran: null, retryAfterMs: RECONNECT_MS };
  }
}

async function play(fleet: Fleet, line: TraceLine, seat: number): Promise<PlayResult> {
  await clock.sleep(line.atMs);
  const startMs = performance.now();
  const orderKey = line.order ?? randomUUID();
  let answer: Answer = { status: 0, whole: false, ran: null, retryAfterMs: 0 };
  let attempts = 0;
  while (attempts < MOST_ATTEMPTS && !answer.whole) {
    if (attempts > 0) {
      if (answer.retryAfterMs === 0) break;
      await clock.sleep(answer.retryAfterMs);
    }
    const entry = fleet.entries[(seat + attempts) % fleet.entries.length];
    attempts += 1;
    answer = await send(entry?.process.started.callersAddress ?? '', line, orderKey);
  }
  const { status, whole, ran } = answer;
  return { line, status, whole, ran, ms: performance.now() - startMs, attempts };
}

/** Plays all lines at their times. */
export function playTrace(
  fleet: Fleet,
  trace: readonly TraceLine[],
): Promise<readonly PlayResult[]> {
  return Promise.all(trace.map((line, index) => play(fleet, line, index)));
}
