/** Outgoing connection to a peer, which reconnects with exponential backoff. */
import * as net from 'node:net';
import type { Random } from '../../core/random/index.js';

const CONNECT_TIMEOUT_MS = 2_000;
const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;
/** A connection that stays up for this long is stable: the peer did not close it on acceptance. */
const STABLE_AFTER_MS = 500;
/**
 * Unsent bytes above which the peer is assumed to have stopped reading, and messages to it are
 * dropped. Each message is either repeated later or dispensable.
 */
const MAX_BUFFERED_BYTES = 4_194_304;

export interface PeerConnectionEvents {
  onConnect(connection: PeerConnection): void;
  onSent(bytes: number): void;
}

export class PeerConnection {
  private socket: net.Socket | null = null;

  private connected = false;

  private connectedAtMs = 0;

  private disconnectedAtMs = performance.now();

  private backoffMs = INITIAL_BACKOFF_MS;

  private retryTimer: NodeJS.Timeout | null = null;

  private closed = false;

  constructor(
    readonly address: string,
    private readonly random: Random,
    private readonly events: PeerConnectionEvents,
  ) {
    this.connect();
  }

  /** Since when the connection is down, ms on the monotonic clock; null while it is stable. */
  get disconnectedSinceMs(): number | null {
    return this.isStable() ? null : this.disconnectedAtMs;
  }

  /** Sends an encoded frame; returns false if it is dropped. */
  send(bytes: Buffer): boolean {
    const { socket } = this;
    if (socket === null || !this.connected) return false;
    if (socket.writableLength > MAX_BUFFERED_BYTES) return false;
    this.events.onSent(bytes.length);
    socket.write(bytes);
    return true;
  }

  /** Flushes sent frames and closes the connection permanently. */
  close(): void {
    this.closed = true;
    if (this.retryTimer !== null) clearTimeout(this.retryTimer);
    this.socket?.end();
    this.socket?.destroySoon();
  }

  private isStable(): boolean {
    return this.connected && performance.now() - this.connectedAtMs >= STABLE_AFTER_MS;
  }

  private connect(): void {
    const [host, port] = this.address.split(':');
    const socket = net.connect({ host, port: Number(port), noDelay: true });
    this.socket = socket;
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (!this.connected) socket.destroy();
    });
    socket.on('connect', () => {
      this.connected = true;
      this.connectedAtMs = performance.now();
      this.events.onConnect(this);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => this.reconnect());
    socket.resume();
  }

  private reconnect(): void {
    if (this.isStable()) {
      this.disconnectedAtMs = performance.now();
      this.backoffMs = INITIAL_BACKOFF_MS;
    }
    this.connected = false;
    this.socket = null;
    if (this.closed) return;
    const delayMs = this.backoffMs * (0.5 + this.random.real());
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    this.retryTimer = setTimeout(() => this.connect(), delayMs);
    this.retryTimer.unref();
  }
}
