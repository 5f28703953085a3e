/** Reads the body of a caller's request. */
import type * as http from 'node:http';
import { Result } from 'true-myth';
import * as errors from '../../core/errors/index.js';
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
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return Promise.resolve(tooLarge());
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isRefused = false;
    req.on('data', (chunk: Buffer) => {
      // The rest of a refused body is discarded when the response is sent.
      if (isRefused) return;
      bytes += chunk.length;
      if (bytes <= maxBytes && claim(chunk.length)) chunks.push(chunk);
      else {
        isRefused = true;
        req.pause();
        resolve(bytes > maxBytes ? tooLarge() : memoryFull());
      }
    });
    req.once('end', () => resolve(Result.ok(Buffer.concat(chunks))));
    req.once('close', () =>
      resolve(
        Result.err(
          createRefusal(
            errors.data.BadRequest,
            STEP,
            PEER,
            'The connection was closed before the body was complete.',
          ),
        ),
      ),
    );
  });
}

/**
 * Reads the rest of a refused request and discards it, so that its caller gets the response: a
 * connection that is closed with unread bytes is reset. Gives up at a body larger than `maxBytes`.
 */
export function discardBody(req: http.IncomingMessage, maxBytes: number): Promise<void> {
  if (req.complete || Number(req.headers['content-length'] ?? 0) > maxBytes) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) resolve();
    });
    req.once('end', resolve);
    req.once('close', resolve);
    req.resume();
  });
}
