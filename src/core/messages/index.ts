/** Framing between entry VMs: a big-endian length of four bytes, followed by a CBOR body. */
import { Decoder, Encoder } from 'cbor-x';
import { Result } from 'true-myth';
import type { z } from 'zod';
import * as errors from '../errors/index.js';
import { type Frame, frameSchema } from './types.js';

export * from './types.js';

export const LENGTH_BYTES = 4;
/** Maximum length of a message type in logs. */
const MAX_TYPE_LENGTH = 40;

const options = { useRecords: false, mapsAsObjects: true, tagUint8Array: false };
const encoder = new Encoder(options);
const decoder = new Decoder(options);

/** Encodes a value as CBOR with a length prefix. */
export function encodeBody(value: unknown): Buffer {
  const body = encoder.encode(value);
  const out = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  out.writeUInt32BE(body.length, 0);
  body.copy(out, LENGTH_BYTES);
  return out;
}

/** Encodes a frame with a length prefix. A frame for several peers is encoded only once. */
export function encodeFrame(frame: Frame): Buffer {
  return encodeBody(frame);
}

/** The type of a decoded message, shortened for logs; undefined if it names none. */
export function typeOf(raw: unknown): string | undefined {
  if (typeof raw !== 'object' || raw === null || !('type' in raw)) return undefined;
  return typeof raw.type === 'string' ? raw.type.slice(0, MAX_TYPE_LENGTH) : undefined;
}

/** Names the message and the first field that does not match; field values are not logged. */
function describeMismatch(raw: unknown, error: z.ZodError): string {
  const [issue] = error.issues;
  const field = issue === undefined ? '' : `: ${issue.path.join('.')}: ${issue.message}`;
  return `the frame of type ${typeOf(raw) ?? 'unknown'} does not match the schema${field}`;
}

function badFrame(peer: string, detail: string): errors.Failure {
  return errors.createFailure(errors.data.BadFrame, 'decode frame', peer, detail);
}

/** Decodes the body of a frame. */
export function decodeValue(body: Uint8Array, peer: string): Result<unknown, errors.Failure> {
  try {
    return Result.ok(decoder.decode(body) as unknown);
  } catch (err) {
    return Result.err(badFrame(peer, errors.describe(err)));
  }
}

/** Validates the decoded body of a frame against `schema`. */
export function validate<T>(
  schema: z.ZodType<T>,
  value: unknown,
  peer: string,
): Result<T, errors.Failure> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  return Result.err(badFrame(peer, describeMismatch(value, parsed.error)));
}

/** Decodes the body of a frame and validates it against `schema`. */
export function decodeBody<T>(
  schema: z.ZodType<T>,
  body: Uint8Array,
  peer: string,
): Result<T, errors.Failure> {
  return decodeValue(body, peer).andThen((value) => validate(schema, value, peer));
}

/** Decodes and validates the body of a frame between entry VMs. */
export function decodeFrame(body: Uint8Array, peer: string): Result<Frame, errors.Failure> {
  return decodeBody(frameSchema, body, peer);
}

/** Splits a byte stream into the bodies of frames. */
export class FrameSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  constructor(private readonly maxBytes: number) {}

  /**
   * Adds received bytes and returns the bodies that are complete. After a failure the connection
   * must be closed.
   */
  push(bytes: Buffer, peer: string): Result<readonly Buffer[], errors.Failure> {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
    const bodies: Buffer[] = [];
    while (this.buffered.length >= LENGTH_BYTES) {
      const length = this.buffered.readUInt32BE(0);
      if (length > this.maxBytes) {
        const detail = `the frame has ${length} bytes, but the limit is ${this.maxBytes}`;
        return Result.err(errors.createFailure(errors.data.BadFrame, 'read frame', peer, detail));
      }
      if (this.buffered.length < LENGTH_BYTES + length) break;
      bodies.push(this.buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
      this.buffered = this.buffered.subarray(LENGTH_BYTES + length);
    }
    return Result.ok(bodies);
  }
}
