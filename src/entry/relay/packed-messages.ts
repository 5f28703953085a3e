/** Messages in the form in which they are sent: encoded, and deflated where that saves bytes. */
import * as zlib from 'node:zlib';
import { Result } from 'true-myth';
import * as errors from '../../core/errors/index.js';
import * as frames from '../../core/messages/index.js';
import { type RelayMessage, RelayMessageType } from './messages.js';

/** Encoded length from which a message is deflated, bytes: shorter ones save little. */
const MIN_PACKED_BYTES = 600;

/** A message to several VMs, which is encoded and deflated once. */
export class SharedMessage {
  private plainFrame: Buffer | null = null;

  private packedFrame: Buffer | null = null;

  constructor(readonly message: RelayMessage) {}

  /** The encoded message. */
  get plain(): Buffer {
    this.plainFrame ??= frames.encodeBody(this.message);
    return this.plainFrame;
  }

  /** The encoded message within a `packed` message; a short message is not deflated. */
  get packed(): Buffer {
    this.packedFrame ??= this.pack();
    return this.packedFrame;
  }

  private pack(): Buffer {
    const { plain } = this;
    if (plain.length < MIN_PACKED_BYTES) return plain;
    const bytes = zlib.deflateRawSync(plain.subarray(frames.LENGTH_BYTES));
    return frames.encodeBody({ type: RelayMessageType.packed, bytes });
  }
}

/**
 * Inflates the encoded message within a `packed` message.
 * @param maxBytes Length above which the message is refused, bytes.
 */
export function unpack(
  bytes: Uint8Array,
  maxBytes: number,
  peer: string,
): Result<Buffer, errors.Failure> {
  try {
    return Result.ok(zlib.inflateRawSync(bytes, { maxOutputLength: maxBytes }));
  } catch (err) {
    const reason = errors.describe(err);
    return Result.err(errors.createFailure(errors.data.BadFrame, 'inflate message', peer, reason));
  }
}
