/** Reads the body of a caller's request. */
import type * as http from 'node:http';
import { Result } from 'true-myth';
import { ByteCollector } from '../../core/bytes/index.js';
import * as errors from '../../core/errors/index.js';
import { PieceCount } from '../../decisions/fragments/index.js';
import { createRefusal } from './reply.js';
import type { Refusal } from './types.js';

const STEP = 'read body';
const PEER = 'caller';

/**
 * Reads the whole body; a body larger than `maxBytes` is refused.
 * @param claim Claims memory for more bytes; the body is refused if it returns false.
 */
export function readBody(
  req: http.IncomingMessage,
  maxBytes: number,
  claim: (bytes: number) => boolean = () => true,
): Promise<Result<Buffer, Refusal>> {
  const tooLarge = () =>
    Result.err<Buffer, Refusal>(
      createRefusal(errors.data.BodyTooLarge, STEP, PEER, String(maxBytes)),
    );
  const memoryFull = () =>
    Result.err<Buffer, Refusal>(createRefusal(errors.data.MemoryFull, STEP, PEER));
  const malformed = (detail: string) =>
    Result.err<Buffer, Refusal>(createRefusal(errors.data.BadRequest, STEP, PEER, detail));
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return Promise.resolve(tooLarge());
  return new Promise((resolve) => {
    const body = new ByteCollector();
    const pieces = new PieceCount();
    let isRefused = false;
    req.on('data', (chunk: Buffer) => {
      // The rest of a refused body is discarded. A request that is paused would keep the pieces of what
      // its connection has read.
      if (isRefused) return;
      const bytes = body.length + chunk.length;
      const refuse = (refusal: Result<Buffer, Refusal>) => {
        isRefused = true;
        body.clear();
        resolve(refusal);
      };
      if (!pieces.add(performance.now(), chunk.length))
        refuse(malformed('The body arrives in too small pieces.'));
      else if (bytes > maxBytes) refuse(tooLarge());
      else if (claim(chunk.length)) body.push(chunk);
      else refuse(memoryFull());
    });
    req.once('end', () => resolve(Result.ok(body.take())));
    req.once('close', () =>
      resolve(malformed('The connection was closed before the body was complete.')),
    );
  });
}

/** Maximum time for which the body of a refused request is awaited, ms. */
const MAX_DISCARD_MS = 1_000;
/** Most bytes that are awaited of it; they take no memory. */
const MAX_DISCARD_BYTES = 16_777_216;

/**
 * Reads the rest of a refused request and discards it, so that its caller gets the response: a
 * connection that is closed with unread bytes is reset. Gives up at a body that is too large, or one
 * that takes too long.
 */
export function discardBody(req: http.IncomingMessage): Promise<void> {
  if (req.complete || Number(req.headers['content-length'] ?? 0) > MAX_DISCARD_BYTES) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, MAX_DISCARD_MS);
    const settle = () => {
      clearTimeout(timer);
      resolve();
    };
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_DISCARD_BYTES) settle();
    });
    req.once('end', settle);
    req.once('close', settle);
    req.resume();
  });
}
