/** Reads and writes messages on a connection between entry VMs, which may run different builds. */
import type * as net from 'node:net';
import * as errors from '../../core/errors/index.js';
import type { Logger } from '../../core/logger/index.js';
import * as frames from '../../core/messages/index.js';
import { EARLIEST_TYPES, isOwnType, mayBeLost, understoodTypes } from './known-types.js';
import { type RelayMessage, RelayMessageType, relayMessageSchema } from './messages.js';
import { SharedMessage, unpack } from './packed-messages.js';

/** Unsent bytes above which further messages are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
export const MAX_FRAME_BYTES = 4_194_304;

/** Unsent bytes above which messages are held back that are sent again later. */
const MAX_WAITING_BYTES = 65_536;

export interface MessageReader {
  readonly logger: Logger;
  /** The other end as far as it is known, for the log. */
  peerName(): string;
  handle(message: RelayMessage): void;
}

/** Decodes the messages that arrive on one connection. */
class MessageDecoder {
  private readonly splitter = new frames.FrameSplitter(MAX_FRAME_BYTES);

  /** Types of the messages that were dropped and logged. */
  private readonly dropped = new Set<string>();

  constructor(
    private readonly socket: net.Socket,
    private readonly reader: MessageReader,
  ) {}

  push(bytes: Buffer): void {
    const bodies = this.splitter.push(bytes, this.reader.peerName());
    if (bodies.isErr) this.close(bodies.error);
    else bodies.value.forEach((body) => this.decode(body));
  }

  /** @param isPacked Whether the body was packed; it then contains no other packed message. */
  private decode(body: Buffer, isPacked = false): void {
    const { reader, socket } = this;
    if (socket.destroyed) return;
    const peer = reader.peerName();
    const value = frames.decodeValue(body, peer);
    if (value.isErr) {
      this.close(value.error);
      return;
    }
    const type = frames.typeOf(value.value);
    if (type !== undefined && !isOwnType(type)) {
      this.noteDropped('unknown-message', type);
      return;
    }
    const message = frames.validate(relayMessageSchema, value.value, peer);
    if (message.isOk) this.handle(message.value, isPacked);
    else if (type === undefined || !mayBeLost(type)) this.close(message.error);
    else this.noteDropped('bad-frame', type, message.error);
  }

  private handle(message: RelayMessage, isPacked: boolean): void {
    if (message.type !== RelayMessageType.packed) {
      this.reader.handle(message);
      return;
    }
    if (isPacked) {
      this.noteDropped('bad-frame', message.type);
      return;
    }
    const body = unpack(message.bytes, MAX_FRAME_BYTES, this.reader.peerName());
    if (body.isErr) this.close(body.error);
    else this.decode(body.value, true);
  }

  private close(failure: errors.Failure): void {
    this.log('bad-frame', { reason: errors.formatFailure(failure), closed: true });
    this.socket.destroy();
  }

  /** Logs a dropped message, once for each type: such messages may come many times a second. */
  private noteDropped(event: string, type: string, failure?: errors.Failure): void {
    if (this.dropped.has(type)) return;
    this.dropped.add(type);
    const reason = failure === undefined ? undefined : errors.formatFailure(failure);
    this.log(event, { type, reason, closed: false });
  }

  private log(event: string, fields: Record<string, unknown>): void {
    const { reader, socket } = this;
    reader.logger.warn(event, { peer: reader.peerName(), from: socket.remoteAddress, ...fields });
  }
}

/**
 * Decodes the messages on a socket. One of a type that this build does not know is ignored, as is one
 * that does not match its schema if it may be lost; other frames close the connection.
 */
export function readMessages(socket: net.Socket, reader: MessageReader): void {
  const decoder = new MessageDecoder(socket, reader);
  socket.on('data', (bytes: Buffer) => decoder.push(bytes));
}

/** The writing side of a connection to another entry VM. */
export class MessageLink {
  private understood = EARLIEST_TYPES;

  private hasNamedTypes = false;

  private packs = false;

  /** @param onSent Called with the length of each message that is written, bytes. */
  constructor(
    private readonly socket: net.Socket,
    private readonly onSent: (bytes: number) => void = () => undefined,
  ) {}

  /** Deflates all longer messages, if the other end understands that. */
  packAll(): void {
    this.packs = true;
  }

  /** Whether earlier messages wait to be taken by the network. */
  get isBusy(): boolean {
    return this.socket.writableLength > MAX_WAITING_BYTES;
  }

  /** Bytes received and written on this connection, including those of other messages. */
  get bytes(): { readonly received: number; readonly sent: number } {
    return { received: this.socket.bytesRead, sent: this.socket.bytesWritten };
  }

  /**
   * Notes what the other end states of the message types that it understands.
   * @param named The types that it names; null if this message names none.
   * @param hasSlots Whether its build has slots of brittle servers.
   */
  noteTypes(named: readonly string[] | null, hasSlots: boolean): void {
    if (named === null && this.hasNamedTypes) return;
    this.understood = understoodTypes(named, hasSlots);
    this.hasNamedTypes = named !== null;
  }

  /** Whether the other end understands a type of message, as far as is known. */
  understands(type: RelayMessage['type']): boolean {
    return this.understood.has(type);
  }

  /**
   * Sends a message unless the other end does not understand it, the socket is closed or its send
   * buffer is full. The protocol must tolerate the loss of any message.
   * @returns Whether the message was written to the socket.
   */
  send(message: RelayMessage): boolean {
    return this.write(new SharedMessage(message), this.packs);
  }

  /** Sends a message that others get as well, as `send` does; deflated if that is understood. */
  sendShared(message: SharedMessage): boolean {
    return this.write(message, true);
  }

  private write(shared: SharedMessage, packs: boolean): boolean {
    const { socket } = this;
    if (!this.understands(shared.message.type) || socket.destroyed) return false;
    if (socket.writableLength > MAX_BUFFERED_BYTES) return false;
    const frame = packs && this.understands(RelayMessageType.packed) ? shared.packed : shared.plain;
    socket.write(frame);
    this.onSent(frame.length);
    return true;
  }

  close(): void {
    this.socket.destroy();
  }
}
