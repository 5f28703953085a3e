/** The connection from an entry VM to the steward, which may be itself. */
import * as net from 'node:net';
import * as errors from '../../core/errors/index.js';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import * as frames from '../../core/messages/index.js';
import { type RelayMessage, RelayMessageType, relayMessageSchema } from './messages.js';
import type { LeasePost } from '../../decisions/leases/index.js';

const CONNECT_TIMEOUT_MS = 500;
/** A steward that said nothing for this long is not heard, ms: it speaks every 250 ms. */
export const SILENCE_MS = 800;
/** Pause before the same steward is dialled again, ms. */
const REDIAL_MS = 100;
const MAX_BUFFERED_BYTES = 1_048_576;
export const MAX_FRAME_BYTES = 4_194_304;

export interface LinkEvents {
  message(message: RelayMessage): void;
  /** A new connection holds: nothing that was said before counts. */
  connected(post: LeasePost): void;
  /** Who was dialled has no office, and knows of fencing numbers up to `newest`. */
  gone(post: LeasePost, newest: number): void;
}

/** Reads frames from a socket; a frame that can't be read ends the connection. */
export function readMessages(
  socket: net.Socket,
  peer: string,
  logger: Logger,
  take: (message: RelayMessage) => void,
): void {
  const splitter = new frames.FrameSplitter(MAX_FRAME_BYTES);
  const drop = (failure: errors.Failure) => {
    logger.warn('bad-frame', { peer, reason: errors.formatFailure(failure) });
    socket.destroy();
  };
  socket.on('data', (bytes: Buffer) => {
    const bodies = splitter.push(bytes, peer);
    if (bodies.isErr) {
      drop(bodies.error);
      return;
    }
    bodies.value.forEach((body) => {
      const message = frames.decodeBody(relayMessageSchema, body, peer);
      if (message.isErr) drop(message.error);
      else take(message.value);
    });
  });
}

/** Sends a message unless the peer does not read; every message may be missed. */
export function writeMessage(socket: net.Socket, message: RelayMessage): boolean {
  if (socket.destroyed || socket.writableLength > MAX_BUFFERED_BYTES) return false;
  socket.write(frames.encodeBody(message));
  return true;
}

export class StewardLink {
  private socket: net.Socket | null = null;

  private post: LeasePost | null = null;

  private heardAtMs = -Infinity;

  private connectedAtMs = -Infinity;

  private nextDialAtMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly events: LinkEvents,
  ) {}

  /** Whether the steward speaks. */
  get isHeard(): boolean {
    return this.clock.steadyMs() - this.heardAtMs < SILENCE_MS;
  }

  /** Fencing number of the steward that speaks. */
  get fence(): number {
    return this.post?.fence ?? 0;
  }

  /** Keeps a connection to `post`; another steward replaces the present one. */
  follow(post: LeasePost): void {
    const nowMs = this.clock.steadyMs();
    const isOther = this.post !== null && post.vm !== this.post.vm;
    if (isOther) {
      this.close();
      this.nextDialAtMs = nowMs;
    }
    if (this.socket !== null) this.post = post;
    const isStuck =
      this.socket !== null && !this.isHeard && nowMs - this.connectedAtMs > SILENCE_MS;
    if (isStuck) this.close();
    if (this.socket !== null || nowMs < this.nextDialAtMs) return;
    this.dial(post, nowMs);
  }

  send(message: RelayMessage): boolean {
    return this.socket !== null && writeMessage(this.socket, message);
  }

  close(): void {
    this.socket?.destroy();
    this.socket = null;
    this.heardAtMs = -Infinity;
  }

  private dial(post: LeasePost, nowMs: number): void {
    const [host = '', port = '0'] = post.address.split(':');
    const socket = net.connect({ host, port: Number(port), noDelay: true });
    this.socket = socket;
    this.post = post;
    this.connectedAtMs = nowMs;
    this.nextDialAtMs = nowMs + REDIAL_MS;
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(timer);
      this.events.connected(post);
    });
    socket.on('error', (err) => {
      this.logger.debug('steward-link-failed', { peer: post.vm, reason: err.message });
    });
    let isFound = false;
    socket.on('close', () => {
      clearTimeout(timer);
      if (isFound) this.logger.info('steward-lost', { peer: post.vm, fence: post.fence });
      if (this.socket !== socket) return;
      this.socket = null;
      this.heardAtMs = -Infinity;
    });
    readMessages(socket, post.vm, this.logger, (message) => {
      if (this.socket !== socket) return;
      if (message.type === RelayMessageType.noOffice) {
        if (message.isIdle) this.events.gone(post, message.newestFence);
        return;
      }
      this.heardAtMs = this.clock.steadyMs();
      if (!isFound) this.logger.info('steward-found', { peer: post.vm, fence: post.fence });
      isFound = true;
      if (message.type !== RelayMessageType.welcome || message.fence >= post.fence) {
        this.events.message(message);
      }
    });
  }
}
