/**
 * Relays connections of peers that can't reach backend servers themselves. The server is always
 * connected to directly, so that a request passes one peer at most.
 */
import * as net from 'node:net';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import * as frames from '../../core/messages/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { PeerFailure } from '../../decisions/peer-choice/index.js';
import { readMessages } from './message-link.js';
import type { RelayMessage, RelayMessageOf } from './messages.js';
import { MAX_PIECE_BYTES, RelayedMessageType, SEND_WINDOW_BYTES } from './relayed-messages.js';

/** Maximum number of connections that an entry VM relays at once, for all peers together. */
export const MAX_RELAYED_CONNECTIONS = 128;
/** Maximum time for connecting to a server, ms. */
const MAX_CONNECT_MS = 400;

type Statement = Omit<RelayMessageOf<'relay-statement'>, 'type'>;

export interface PeerRelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** The server of this id; undefined if it is not listed. */
  serverOf(id: string): BackendServer | undefined;
  /** Whether the server has asked this VM for a pause. */
  isPaused(server: BackendServer): boolean;
  /** Whether this VM can't connect to the server at the moment. */
  isUnreachable(server: BackendServer): boolean;
  isStopping(): boolean;
  noteConnectFailure(server: BackendServer, startedAtMs: number): void;
  /**
   * Records what a server states in a response to a request that this VM has relayed.
   * @param sentAtMs When the connection for the request was made.
   */
  noteStatement(server: BackendServer, statement: Statement, sentAtMs: number): void;
}

/** One connection of a peer to a server. */
export class RelayedConnection {
  private backend: net.Socket | null = null;

  private isOpen = false;

  private startedAtMs = -Infinity;

  private openedAtMs = -Infinity;

  /** Bytes that the peer has sent and the server's connection has not taken. */
  private heldBytes = 0;

  private hasEnded = false;

  constructor(
    private readonly opts: PeerRelayOptions,
    private readonly link: net.Socket,
    private readonly server: BackendServer,
  ) {}

  start(timeoutMs: number): void {
    const { link, server } = this;
    this.startedAtMs = this.opts.clock.steadyMs();
    const [host = '', port = '0'] = server.address.split(':');
    const backend = net.connect({ host, port: Number(port), noDelay: true });
    this.backend = backend;
    let reason = `connect timed out after ${timeoutMs} ms`;
    const timer = setTimeout(() => setImmediate(() => this.expire()), timeoutMs);
    backend.on('connect', () => {
      clearTimeout(timer);
      this.handleConnected();
    });
    backend.on('error', ({ message }) => {
      reason = message;
    });
    backend.on('data', (bytes) => this.handleData(bytes));
    backend.on('end', () => this.sendEnd(backend.remoteAddress === undefined));
    backend.on('close', (hadError) => {
      clearTimeout(timer);
      if (this.isOpen) this.sendEnd(hadError);
      else this.refuse(reason);
      link.end();
    });
    link.on('drain', () => backend.resume());
    link.on('close', () => backend.destroy());
  }

  handleMessage(message: RelayMessage): void {
    switch (message.type) {
      case RelayedMessageType.relayData:
        this.write(message.bytes);
        break;
      case RelayedMessageType.relayStatement:
        this.opts.noteStatement(this.server, message, this.openedAtMs);
        break;
      case RelayedMessageType.relayEnd:
        this.backend?.end();
        break;
      default:
    }
  }

  /** Closes the connection at once. */
  close(): void {
    this.link.destroy();
  }

  private expire(): void {
    if (!this.isOpen) this.backend?.destroy();
  }

  private handleConnected(): void {
    if (this.link.destroyed) return;
    this.isOpen = true;
    this.openedAtMs = this.opts.clock.steadyMs();
    this.send({ type: RelayedMessageType.relayOpened });
  }

  private refuse(reason: string): void {
    if (this.link.destroyed) return;
    this.opts.noteConnectFailure(this.server, this.startedAtMs);
    this.send({
      type: RelayedMessageType.relayRefused,
      failure: PeerFailure.unreachable,
      reason,
    });
  }

  private write(bytes: Uint8Array): void {
    if (this.backend === null || !this.isOpen || this.backend.destroyed) return;
    this.heldBytes += bytes.length;
    if (this.heldBytes > SEND_WINDOW_BYTES) {
      this.opts.logger.warn('relay-window-exceeded', { server: this.server.id });
      this.close();
      return;
    }
    this.backend.write(bytes, () => {
      this.heldBytes -= bytes.length;
      this.send({ type: RelayedMessageType.relayTaken, bytes: bytes.length });
    });
  }

  private handleData(bytes: Buffer): void {
    let hasRoom = true;
    for (let at = 0; at < bytes.length; at += MAX_PIECE_BYTES) {
      const piece = bytes.subarray(at, at + MAX_PIECE_BYTES);
      hasRoom = this.send({ type: RelayedMessageType.relayData, bytes: piece });
    }
    if (!hasRoom) this.backend?.pause();
  }

  private sendEnd(isReset: boolean): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.send({ type: RelayedMessageType.relayEnd, isReset });
  }

  /** Sends a message; returns whether the link takes more at the moment. */
  private send(message: RelayMessage): boolean {
    if (this.link.destroyed) return true;
    return this.link.write(frames.encodeBody(message));
  }
}

export class PeerRelay {
  private readonly connections = new Set<RelayedConnection>();

  constructor(private readonly opts: PeerRelayOptions) {}

  /** Number of connections that this VM relays. */
  get activeCount(): number {
    return this.connections.size;
  }

  /**
   * Reads a connection that another entry VM has made, possibly for one to a server.
   * @param handle Called with each message if the connection is not relayed.
   * @param onRelayed Called once if it is.
   */
  read(link: net.Socket, handle: (message: RelayMessage) => void, onRelayed: () => void): void {
    let connection: RelayedConnection | null = null;
    let peer = 'member';
    const handleMessage = (message: RelayMessage) => {
      if ('vm' in message) peer = message.vm;
      if (connection !== null) {
        connection.handleMessage(message);
      } else if (message.type === RelayedMessageType.relayOpen) {
        onRelayed();
        connection = this.accept(link, message);
      } else {
        handle(message);
      }
    };
    readMessages(link, {
      logger: this.opts.logger,
      peerName: () => peer,
      handle: handleMessage,
    });
  }

  /** Handles the first message on a peer's connection; null if the connection is refused. */
  private accept(link: net.Socket, open: RelayMessageOf<'relay-open'>): RelayedConnection | null {
    const { opts } = this;
    const server = opts.serverOf(open.serverId);
    const refusal = this.refusal(server, open);
    if (server === undefined || refusal !== null) {
      const failure = refusal ?? PeerFailure.unavailable;
      PeerRelay.refuse(link, failure);
      opts.metrics.count('relay_connections_relayed_total', { outcome: failure });
      opts.logger.debug('relay-refused', { peer: open.vm, server: open.serverId, failure });
      return null;
    }
    const connection = new RelayedConnection(opts, link, server);
    this.connections.add(connection);
    link.on('close', () => this.connections.delete(connection));
    connection.start(Math.min(MAX_CONNECT_MS, open.timeoutMs));
    opts.metrics.count('relay_connections_relayed_total', { outcome: 'accepted' });
    return connection;
  }

  /** Closes all connections. */
  close(): void {
    this.connections.forEach((connection) => connection.close());
  }

  private refusal(
    server: BackendServer | undefined,
    { bornMs }: RelayMessageOf<'relay-open'>,
  ): PeerFailure | null {
    const { opts } = this;
    if (opts.isStopping()) return PeerFailure.stopping;
    if (server === undefined || server.bornMs !== bornMs) return PeerFailure.unavailable;
    if (server.leaving || opts.isPaused(server)) return PeerFailure.unavailable;
    if (opts.isUnreachable(server)) return PeerFailure.unreachable;
    return this.activeCount < MAX_RELAYED_CONNECTIONS ? null : PeerFailure.busy;
  }

  private static refuse(link: net.Socket, failure: PeerFailure): void {
    link.end(
      frames.encodeBody({ type: RelayedMessageType.relayRefused, failure, reason: 'not relayed' }),
    );
  }
}
