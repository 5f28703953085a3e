/** Responses that the entry VM generates itself. */
import type * as http from 'node:http';
import * as errors from '../../core/errors/index.js';
import type { Refusal } from './types.js';

const MIN_RETRY_AFTER_S = 1;

/** Creates the refusal of a request that was not executed. */
export function createRefusal(
  def: errors.ErrorDefinition,
  step: string,
  peer: string,
  detail = '',
  retryAfterMs = 0,
): Refusal {
  return {
    failure: errors.createFailure(def, step, peer, detail),
    ran: errors.Ran.no,
    retryAfterMs,
  };
}

/** Body of an error response. */
export function errorBody({ failure, ran, retryAfterMs }: Refusal): object {
  const { name, title, message, hint, step, peer } = failure;
  return { error: { type: name, title, message, hint, step, peer, ran, retryAfterMs } };
}

/**
 * Sends the error response of a refused request. If a response has already begun, the connection is
 * destroyed instead; if the caller has disconnected, nothing is done.
 */
export function sendRefusal(res: http.ServerResponse, refusal: Refusal): void {
  if (res.writableEnded || res.destroyed) return;
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const { failure, ran, retryAfterMs } = refusal;
  const headers: http.OutgoingHttpHeaders = {
    'content-type': 'application/json',
    'x-bilberrystand-ran': ran,
  };
  if (retryAfterMs > 0) {
    const seconds = Math.max(MIN_RETRY_AFTER_S, Math.ceil(retryAfterMs / 1000));
    headers['retry-after'] = String(seconds);
  }
  if (!res.req.complete) headers.connection = 'close';
  res.writeHead(failure.status, headers);
  res.end(JSON.stringify(errorBody(refusal)));
}

/** Ends an incomplete stream with an error event instead of its end marker. */
export function endStreamWithError(res: http.ServerResponse, refusal: Refusal): void {
  res.end(`event: error\ndata: ${JSON.stringify(errorBody(refusal))}\n\n`);
}

export function sendJson(res: http.ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(value));
}
