/** An outgoing connection to a peer; it is dialled again whenever it ends. */
import * as net from 'node:net';
import type { Random } from '../../core/random/index.js';

const CONNECT_TIMEOUT_MS = 2_000;
const FIRST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 5_000;
const STABLE_AFTER_MS = 500;
/** Beyond this the peer does not read, and messages are dropped; each can be repeated or missed. */
const MAX_BUFFERED_BYTES = 4_194_304;

export interface LinkEvents {
  onConnect(link: Link): void;
  onSent(bytes: number): void;
}

export class Link {
  private socket: net.Socket | null = null;

  private connected = false;

  private connectedAtMs = 0;

  private lostAtMs = performance.now();

  private retryMs = FIRST_RETRY_MS;

  private retryTimer: NodeJS.Timeout | null = null;

  private closed = false;

  constructor(
    readonly address: string,
    private readonly random: Random,
    private readonly events: LinkEvents,
  ) {
    this.dial();
  }

  /** Since when there is no connection, ms of the monotonic clock; null while there is one. */
  get downSinceMs(): number | null {
    return this.isStable() ? null : this.lostAtMs;
  }

  /** Sends an encoded frame; false where there is no connection that takes it. */
  send(bytes: Buffer): boolean {
    const { socket } = this;
    if (socket === null || !this.connected) return false;
    if (socket.writableLength > MAX_BUFFERED_BYTES) return false;
    this.events.onSent(bytes.length);
    socket.write(bytes);
    return true;
  }

  /** Ends the connection once what was sent is out. */
  close(): void {
    this.closed = true;
    if (this.retryTimer !== null) clearTimeout(this.retryTimer);
    this.socket?.end();
    this.socket?.destroySoon();
  }

  /** Whether the connection holds; one that is closed right after it was taken does not count. */
  private isStable(): boolean {
    return this.connected && performance.now() - this.connectedAtMs >= STABLE_AFTER_MS;
  }

  private dial(): void {
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
    socket.on('close', () => this.redial());
    socket.resume();
  }

  private redial(): void {
    if (this.isStable()) {
      this.lostAtMs = performance.now();
      this.retryMs = FIRST_RETRY_MS;
    }
    this.connected = false;
    this.socket = null;
    if (this.closed) return;
    const pauseMs = this.retryMs * (0.5 + this.random.real());
    this.retryMs = Math.min(LONGEST_RETRY_MS, this.retryMs * 2);
    this.retryTimer = setTimeout(() => this.dial(), pauseMs);
    this.retryTimer.unref();
  }
}
