/** Frames between entry VMs: a length of four bytes, then CBOR. */
import { Decoder, Encoder } from 'cbor-x';
import { Result } from 'true-myth';
import type { z } from 'zod';
import * as errors from '../errors/index.js';
import { type Frame, frameSchema } from './types.js';

export * from './types.js';

export const LENGTH_BYTES = 4;

const options = { useRecords: false, mapsAsObjects: true, tagUint8Array: false };
const encoder = new Encoder(options);
const decoder = new Decoder(options);

/** Encodes a value with its length. A frame for many peers is encoded once. */
export function encodeBody(value: unknown): Buffer {
  const body = encoder.encode(value);
  const out = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  out.writeUInt32BE(body.length, 0);
  body.copy(out, LENGTH_BYTES);
  return out;
}

/** Encodes a frame with its length. */
export function encodeFrame(frame: Frame): Buffer {
  return encodeBody(frame);
}

/** Decodes the body of a frame and checks its shape. */
export function decodeBody<T>(
  schema: z.ZodType<T>,
  body: Uint8Array,
  peer: string,
): Result<T, errors.Failure> {
  const fail = (detail: string) =>
    Result.err<T, errors.Failure>(
      errors.createFailure(errors.data.BadFrame, 'decode frame', peer, detail),
    );
  let raw: unknown;
  try {
    raw = decoder.decode(body);
  } catch (err) {
    return fail(errors.describe(err));
  }
  const parsed = schema.safeParse(raw);
  return parsed.success ? Result.ok(parsed.data) : fail('the frame has an unknown shape');
}

/** Decodes the body of a frame between peers. */
export function decodeFrame(body: Uint8Array, peer: string): Result<Frame, errors.Failure> {
  return decodeBody(frameSchema, body, peer);
}

/** Cuts a stream of bytes into the bodies of frames. */
export class FrameSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  constructor(private readonly maxBytes: number) {}

  /** Adds received bytes; the failure means that the connection must be closed. */
  push(bytes: Buffer, peer: string): Result<readonly Buffer[], errors.Failure> {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
    const bodies: Buffer[] = [];
    while (this.buffered.length >= LENGTH_BYTES) {
      const length = this.buffered.readUInt32BE(0);
      if (length > this.maxBytes) {
        const detail = `the frame has ${length} bytes, more than ${this.maxBytes}`;
        return Result.err(errors.createFailure(errors.data.BadFrame, 'read frame', peer, detail));
      }
      if (this.buffered.length < LENGTH_BYTES + length) break;
      bodies.push(this.buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
      this.buffered = this.buffered.subarray(LENGTH_BYTES + length);
    }
    return Result.ok(bodies);
  }
}
