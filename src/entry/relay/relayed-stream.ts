/** A connection to a backend server over a peer, as a stream that an HTTP request can use. */
import type * as net from 'node:net';
import { Duplex } from 'node:stream';
import * as frames from '../../core/messages/index.js';
import type { RelayMessage, RelayMessageOf } from './messages.js';
import { MAX_PIECE_BYTES, RelayedMessageType, SEND_WINDOW_BYTES } from './relayed-messages.js';

type Callback = (err?: Error | null) => void;

/** Bytes that wait until the peer has room for them. */
interface PendingWrite {
  readonly bytes: Buffer;
  readonly done: Callback;
}

export class RelayedStream extends Duplex {
  /** Bytes that may be sent before the peer reports that the server's connection has taken some. */
  private window = SEND_WINDOW_BYTES;

  private pending: PendingWrite | null = null;

  private hasEnded = false;

  private isLost = false;

  /** @param link The connection to the peer, which has connected to the server. */
  constructor(
    private readonly link: net.Socket,
    readonly peer: string,
  ) {
    super({ allowHalfOpen: false });
    // The connection may end before the request has added its own listeners.
    this.on('error', () => undefined);
    link.on('close', () => this.handleLinkClosed());
  }

  /** Whether the connection to the peer was lost, which says nothing about the server. */
  get isPeerLost(): boolean {
    return this.isLost;
  }

  /** As of a socket; a reset destroys the stream, so that its end is never one. */
  get remoteAddress(): string {
    return this.peer;
  }

  /** Tells the peer what the server's response states, since the rules bind the sending machine too. */
  sendStatement(statement: Omit<RelayMessageOf<'relay-statement'>, 'type'>): void {
    this.send({ type: RelayedMessageType.relayStatement, ...statement });
  }

  /** As of a socket: closes the connection once all that was written has been sent. */
  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  handleMessage(message: RelayMessage): void {
    switch (message.type) {
      case RelayedMessageType.relayData:
        if (!this.push(message.bytes)) this.link.pause();
        break;
      case RelayedMessageType.relayTaken:
        this.window += message.bytes;
        this.sendPending();
        break;
      case RelayedMessageType.relayEnd:
        this.handleEnd(message.isReset);
        break;
      default:
    }
  }

  override _read(): void {
    this.link.resume();
  }

  override _write(bytes: Buffer, _: BufferEncoding, done: Callback): void {
    this.pending = { bytes, done };
    this.sendPending();
  }

  override _final(done: Callback): void {
    this.send({ type: RelayedMessageType.relayEnd, isReset: false });
    done();
  }

  override _destroy(err: Error | null, done: (err: Error | null) => void): void {
    this.link.destroy();
    done(err);
  }

  private handleEnd(isReset: boolean): void {
    this.hasEnded = true;
    if (isReset) this.destroy(new Error('connection reset by the backend server'));
    else this.push(null);
  }

  private handleLinkClosed(): void {
    if (this.hasEnded || this.destroyed) return;
    this.isLost = true;
    this.destroy(new Error(`connection to the peer ${this.peer} was lost`));
  }

  private sendPending(): void {
    while (this.pending !== null && this.window > 0) {
      const { bytes, done } = this.pending;
      const piece = bytes.subarray(0, Math.min(MAX_PIECE_BYTES, this.window));
      this.window -= piece.length;
      this.send({ type: RelayedMessageType.relayData, bytes: piece });
      const left = bytes.subarray(piece.length);
      this.pending = left.length === 0 ? null : { bytes: left, done };
      if (left.length === 0) done();
    }
  }

  private send(message: RelayMessage): void {
    if (this.link.writable) this.link.write(frames.encodeBody(message));
  }
}
