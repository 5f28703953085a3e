/** Reads the body of a caller's request. */
import type * as http from 'node:http';
import { Result } from 'true-myth';
import * as errors from '../../core/errors/index.js';
import { createRefusal } from './reply.js';
import type { Refusal } from './types.js';

const STEP = 'read body';
const PEER = 'caller';

/** Reads the whole body; a body larger than `maxBytes` is refused. */
export function readBody(
  req: http.IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Refusal>> {
  const tooLarge = () =>
    Result.err<Buffer, Refusal>(
      createRefusal(errors.data.BodyTooLarge, STEP, PEER, String(maxBytes)),
    );
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return Promise.resolve(tooLarge());
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) chunks.push(chunk);
      else {
        req.pause();
        resolve(tooLarge());
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
