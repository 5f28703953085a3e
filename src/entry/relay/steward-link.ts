/** The connection from an entry VM to the steward. The steward also connects to itself. */
import * as net from 'node:net';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import { MessageLink, readMessages } from './message-link.js';
import { type RelayMessage, RelayMessageType } from './messages.js';
import type { SharedMessage } from './packed-messages.js';
import type { ActiveSteward } from '../../decisions/leases/index.js';

const CONNECT_TIMEOUT_MS = 500;
/**
 * Time without a message after which the steward counts as disconnected, ms. A steward sends a
 * message at least every 250 ms.
 */
export const STEWARD_TIMEOUT_MS = 800;
/** Pause between two connection attempts to the same steward, ms. */
const RECONNECT_MS = 100;

export interface LinkEvents {
  message(message: RelayMessage): void;
  /** A new connection is established. Messages from earlier connections no longer apply. */
  connected(steward: ActiveSteward): void;
  /** The steward has named the message types that it understands. */
  welcomed(): void;
  /**
   * The VM of `steward` replied that it is certainly not the active steward.
   * @param newest Highest fencing token that the VM has seen.
   */
  gone(steward: ActiveSteward, newest: number): void;
}

export class StewardLink {
  private socket: net.Socket | null = null;

  private link: MessageLink | null = null;

  private steward: ActiveSteward | null = null;

  private receivedAtMs = -Infinity;

  private hasWelcome = false;

  private connectedAtMs = -Infinity;

  private nextConnectAtMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly events: LinkEvents,
  ) {}

  /** Whether the steward is connected: a message from it arrived within the timeout. */
  get isStewardConnected(): boolean {
    return this.clock.steadyMs() - this.receivedAtMs < STEWARD_TIMEOUT_MS;
  }

  /** Whether the steward has welcomed this VM on the current connection. */
  get isWelcomed(): boolean {
    return this.hasWelcome;
  }

  /** Fencing token of the steward that this link is for; 0 before the first connection. */
  get fence(): number {
    return this.steward?.fence ?? 0;
  }

  /** Keeps a connection to `steward`, and closes a connection to any other steward. */
  connectTo(steward: ActiveSteward): void {
    const nowMs = this.clock.steadyMs();
    const isOther = this.steward !== null && steward.vm !== this.steward.vm;
    if (isOther) {
      this.close();
      this.nextConnectAtMs = nowMs;
    }
    if (this.socket !== null) this.steward = steward;
    if (this.isUnresponsive) this.closeIfUnresponsive(this.socket);
    if (this.socket !== null || nowMs < this.nextConnectAtMs) return;
    this.connect(steward, nowMs);
  }

  private get isUnresponsive(): boolean {
    const sinceMs = this.clock.steadyMs() - this.connectedAtMs;
    return this.socket !== null && !this.isStewardConnected && sinceMs > STEWARD_TIMEOUT_MS;
  }

  /** Closes the connection unless a message has arrived that this VM, after a standstill, had not read. */
  private closeIfUnresponsive(socket: net.Socket | null): void {
    setImmediate(() => {
      if (this.socket === socket && this.isUnresponsive) this.close();
    });
  }

  send(message: RelayMessage): boolean {
    return this.link?.send(message) === true;
  }

  /** Sends a message deflated, if the steward understands that; returns its bytes, 0 if not sent. */
  sendPacked(message: SharedMessage): number {
    return this.link?.sendShared(message) === true ? message.packed.length : 0;
  }

  /** Whether the steward understands a type of message, as far as is known. */
  understands(type: RelayMessage['type']): boolean {
    return this.link?.understands(type) === true;
  }

  close(): void {
    this.socket?.destroy();
    this.forgetSocket();
  }

  private forgetSocket(): void {
    this.socket = null;
    this.link = null;
    this.hasWelcome = false;
    this.receivedAtMs = -Infinity;
  }

  private connect(steward: ActiveSteward, nowMs: number): void {
    const [host = '', port = '0'] = steward.address.split(':');
    const socket = net.connect({ host, port: Number(port), noDelay: true });
    this.socket = socket;
    this.link = new MessageLink(socket);
    this.steward = steward;
    this.connectedAtMs = nowMs;
    this.nextConnectAtMs = nowMs + RECONNECT_MS;
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(timer);
      this.events.connected(steward);
    });
    socket.on('error', (err) => {
      this.logger.debug('steward-link-failed', { peer: steward.vm, reason: err.message });
    });
    let isFound = false;
    socket.on('close', () => {
      clearTimeout(timer);
      if (isFound) this.logger.info('steward-lost', { peer: steward.vm, fence: steward.fence });
      if (this.socket !== socket) return;
      this.forgetSocket();
    });
    const noteFound = () => {
      if (!isFound) this.logger.info('steward-found', { peer: steward.vm, fence: steward.fence });
      isFound = true;
    };
    readMessages(socket, {
      logger: this.logger,
      peerName: () => steward.vm,
      handle: (message) => {
        if (this.socket === socket) this.handle(steward, message, noteFound);
      },
    });
  }

  private handle(steward: ActiveSteward, message: RelayMessage, noteFound: () => void): void {
    if (message.type === RelayMessageType.noOffice) {
      if (message.isIdle) this.events.gone(steward, message.newestFence);
      return;
    }
    this.receivedAtMs = this.clock.steadyMs();
    noteFound();
    if (message.type === RelayMessageType.welcome) {
      this.link?.noteTypes(message.knownTypes, message.issuesSlots);
      this.hasWelcome = true;
      if (message.fence >= steward.fence) this.events.message(message);
      this.events.welcomed();
      return;
    }
    this.events.message(message);
  }
}
