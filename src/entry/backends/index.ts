/** HTTP client of engines and plain services. */
import type { Readable } from 'node:stream';
import { Result } from 'true-myth';
import * as undici from 'undici';
import { z } from 'zod';
import * as errors from '../../core/errors/index.js';
import { isFinalStatus } from '../../core/http/status.js';
import { type EngineOrder, OrderOutcome } from '../../decisions/ledger/index.js';
import { readEvents } from './sse.js';
import {
  type Backends,
  CallError,
  type CallFailure,
  type EngineCall,
  type EngineChunk,
  type EngineReport,
  type ServiceCall,
  type ServiceResponse,
} from './types.js';

export * from './types.js';

const REPORT_TIMEOUT_MS = 1_000;
const ORDER_TIMEOUT_MS = 3_000;
/** Maximum time between two chunks of a stream. */
const TOKEN_TIMEOUT_MS = 10_000;
const CONNECT_TIMEOUT_MS = 1_000;
const MAX_CONNECTIONS = 256;
/** Maximum length of a report or of the response to an engine order, bytes. */
const MAX_REPORT_BYTES = 1_048_576;
const DONE = '[DONE]';

const STATUS_FENCED = 412;
const STATUS_NOT_LOADED = 409;

const reportSchema = z.object({
  engineId: z.string(),
  memoryMb: z.number(),
  slots: z.int().min(1),
  load: z.number(),
  leaving: z.boolean().default(false),
  replicas: z.array(
    z.object({
      target: z.string(),
      orderId: z.string(),
      bytesMb: z.number(),
      state: z.enum(['loading', 'loaded', 'failed']),
    }),
  ),
  checkpoints: z
    .object({
      memory: z.array(z.string()).default([]),
      disk: z.array(z.string()).default([]),
    })
    .default({ memory: [], disk: [] }),
});

interface StreamChunk {
  readonly id?: string;
  readonly index?: number;
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
}

function codeOf(err: unknown): string {
  const { code } = err as { code?: unknown };
  return typeof code === 'string' ? code : '';
}

function callFailure(err: unknown, step: string, peer: string): CallFailure {
  const code = codeOf(err);
  const provenNotExecuted = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  const connectionLost = ['ECONNRESET', 'UND_ERR_SOCKET', 'EPIPE'].includes(code);
  const failure = errors.createFailure(
    errors.data.BackendFailed,
    step,
    peer,
    errors.describe(err) || code,
  );
  return { failure, provenNotExecuted, connectionLost };
}

/** Destroys the body of a response that is not read to its end, which closes its connection. */
function discard(body: Readable): void {
  body.on('error', () => undefined);
  body.destroy();
}

function createCallError(peer: string, detail: string, provenNotExecuted: boolean): CallError {
  const failure = errors.createFailure(errors.data.BackendFailed, 'run request', peer, detail);
  return new CallError({ failure, provenNotExecuted, connectionLost: false });
}

class HttpBackends implements Backends {
  private readonly agent = new undici.Agent({
    connections: MAX_CONNECTIONS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });

  /** For reports and engine orders, whose responses are held as a whole. */
  private readonly controlAgent = new undici.Agent({
    connections: MAX_CONNECTIONS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    maxResponseSize: MAX_REPORT_BYTES,
  });

  async report(address: string): Promise<Result<EngineReport, errors.Failure>> {
    try {
      const { body } = await undici.request(`http://${address}/inventory`, {
        dispatcher: this.controlAgent,
        signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
      });
      return Result.ok(reportSchema.parse(await body.json()));
    } catch (err) {
      return Result.err(callFailure(err, 'read inventory', address).failure);
    }
  }

  async order(address: string, order: EngineOrder): Promise<OrderOutcome> {
    try {
      const { statusCode, body } = await undici.request(`http://${address}/orders`, {
        dispatcher: this.controlAgent,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
        signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
      });
      await body.dump();
      if (statusCode === STATUS_FENCED) return OrderOutcome.fenced;
      return statusCode < 300 ? OrderOutcome.accepted : OrderOutcome.refused;
    } catch {
      return OrderOutcome.unknown;
    }
  }

  async *complete(call: EngineCall): AsyncGenerator<EngineChunk, void> {
    const { address, requestId } = call;
    const response = await this.open(call);
    let done = false;
    let next = -1;
    try {
      for await (const data of readEvents(response.body)) {
        if (data === DONE) {
          done = true;
          break;
        }
        const chunk = JSON.parse(data) as StreamChunk;
        if (chunk.id !== requestId)
          throw createCallError(address, 'the response belongs to another request', false);
        const index = chunk.index ?? next + 1;
        if (index > next) {
          next = index;
          const content = chunk.choices?.[0]?.delta?.content ?? '';
          yield { index, content, raw: data };
        }
      }
    } catch (err) {
      throw err instanceof CallError
        ? err
        : new CallError(callFailure(err, 'read stream', address));
    } finally {
      // The connection of a response that was not read to its end must not be reused.
      if (!done) discard(response.body);
    }
    if (!done) throw createCallError(address, 'the stream ended without its end marker', false);
  }

  async forward(call: ServiceCall): Promise<Result<ServiceResponse, CallFailure>> {
    try {
      const { statusCode, headers, body } = await undici.request(
        `http://${call.address}${call.path}`,
        {
          dispatcher: this.agent,
          method: call.method,
          headers: call.headers,
          body: call.body,
          headersTimeout: call.timeoutMs,
          bodyTimeout: call.timeoutMs,
          signal: call.signal,
        },
      );
      if (isFinalStatus(statusCode)) return Result.ok({ status: statusCode, headers, body });
      discard(body);
      const err = new Error(`response has the invalid status ${statusCode}`);
      return Result.err(callFailure(err, 'forward request', call.address));
    } catch (err) {
      return Result.err(callFailure(err, 'forward request', call.address));
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.controlAgent.destroy()]);
  }

  private async open(call: EngineCall): Promise<undici.Dispatcher.ResponseData> {
    const { address, requestId } = call;
    let response: undici.Dispatcher.ResponseData;
    try {
      response = await undici.request(`http://${address}${call.path}`, {
        dispatcher: this.agent,
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          'x-request-id': requestId,
          'x-priority': String(call.priority),
        },
        body: JSON.stringify(call.body),
        headersTimeout: call.firstTokenMs,
        bodyTimeout: Math.max(call.firstTokenMs, TOKEN_TIMEOUT_MS),
        signal: call.signal,
      });
    } catch (err) {
      throw new CallError(callFailure(err, 'run request', address));
    }
    if (response.statusCode === 200 && response.headers['x-request-id'] === requestId) {
      return response;
    }
    discard(response.body);
    const { statusCode } = response;
    if (statusCode === 200)
      throw createCallError(address, 'the response belongs to another request', false);
    throw createCallError(
      address,
      `the status was ${statusCode}`,
      statusCode === STATUS_NOT_LOADED,
    );
  }
}

/** Creates the client of all backend servers. */
export function createBackends(): Backends {
  return new HttpBackends();
}
