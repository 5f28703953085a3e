/**
 * Connects to backend servers over peers while this entry VM can't reach them directly, and checks
 * whether it can again.
 */
import * as net from 'node:net';
import type { Clock } from '../../core/clock/index.js';
import * as frames from '../../core/messages/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Random } from '../../core/random/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import type { Homes } from '../../decisions/homes/index.js';
import type { ConnectFailure } from '../../decisions/server-health/index.js';
import {
  type Peer,
  PeerChoice,
  PeerFailure,
  type ServerKey,
} from '../../decisions/peer-choice/index.js';
import type { RelayMessage } from './messages.js';
import { RelayedMessageType } from './relayed-messages.js';
import { RelayedStream } from './relayed-stream.js';
import { readMessages } from './message-link.js';

/** Time in which a peer connects to a server, ms. */
const PEER_CONNECT_TIMEOUT_MS = 400;
/** Time in which a peer answers, its own connection to the server included, ms. */
export const OPEN_TIMEOUT_MS = 500;
/** Number of peers that are asked for one connection. */
const MAX_PEERS = 3;
/** Interval at which one unreachable server is tried directly, ms: new connections are billed. */
const PROBE_INTERVAL_MS = 1_000;

type MayRelay = (dataCentre: string) => boolean;

/** The ways to one backend server. */
export interface ServerWays {
  /** Whether to connect over a peer: this VM can't connect to the server, and a peer may. */
  isRelayed(): boolean;
  /** Connects to the server over a peer; null if no peer has. */
  open(signal: AbortSignal): Promise<RelayedStream | null>;
  /** Records that the attempt couldn't connect to the server directly. */
  noteUnreachable(): void;
  /** Records that the server responded on a direct connection. */
  noteAnswer(): void;
}

type Opening =
  | { readonly stream: RelayedStream }
  | { readonly stream: null; readonly failure: PeerFailure; readonly reason: string };

export interface PeerConnectorOptions {
  readonly vm: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Limits the VMs to which requests are sent. */
  readonly homes?: Pick<Homes, 'mayRelay'>;
  /** The listed servers, by id. */
  servers(): ReadonlyMap<string, BackendServer>;
  /** Whether this VM is partitioned from the servers of a service. */
  isPartitioned(service: string): boolean;
  /** Records that a direct connection attempt, begun at `startedAtMs`, failed. */
  noteConnectFailure(server: BackendServer, startedAtMs: number): void;
}

export class PeerConnector implements Task {
  readonly name = 'peer-connector';

  private readonly choice: PeerChoice;

  /** Processes of servers that this VM can't reach directly, by id, with the last failure. */
  private readonly unreachable = new Map<string, { bornMs: number; failedAtMs: number }>();

  /** When a partition from a service ended; attempts begun before say nothing. */
  private readonly reachableAtMs = new Map<string, number>();

  private probes = 0;

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly opts: PeerConnectorOptions) {
    this.choice = new PeerChoice(opts);
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.probeNext(), PROBE_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  setPeers(peers: readonly Peer[]): void {
    this.choice.setPeers(peers);
  }

  /** Whether a peer may be able to connect to a server that is not reachable directly. */
  canReach(server: ServerKey, mayRelay?: MayRelay): boolean {
    return this.choice.canReach(this.opts.clock.steadyMs(), server, mayRelay);
  }

  /** Whether this VM can't connect to the server itself. */
  isUnreachable({ id, service, bornMs }: BackendServer): boolean {
    return this.opts.isPartitioned(service) || this.unreachable.get(id)?.bornMs === bornMs;
  }

  /** Servers that this VM can't connect to itself, each with the time of the last failure. */
  unreachableServers(): readonly ConnectFailure[] {
    return [...this.unreachable].map(([id, { failedAtMs }]) => ({ id, atMs: failedAtMs }));
  }

  /**
   * The ways to a server for an attempt that begins now.
   * @param dataCentres Data centres whose servers the request may reach; null or undefined for all.
   */
  waysTo(server: BackendServer, dataCentres?: readonly string[] | null): ServerWays {
    const mayRelay = (dataCentre: string) =>
      this.opts.homes?.mayRelay(dataCentre, dataCentres ?? null) !== false;
    const startedAtMs = this.opts.clock.steadyMs();
    return {
      isRelayed: () => this.isUnreachable(server) && this.canReach(server, mayRelay),
      open: (signal) => this.open(server, signal, mayRelay),
      noteUnreachable: () => this.noteUnreachable(server, startedAtMs),
      noteAnswer: () => this.noteReachable(server),
    };
  }

  /** Records that the servers of a service can be connected to again. */
  noteServiceReachable(service: string): void {
    this.reachableAtMs.set(service, this.opts.clock.steadyMs());
    this.opts.servers().forEach((server) => {
      if (server.service === service) this.noteReachable(server);
    });
  }

  /** Forgets the servers that are no longer listed. */
  retain(listed: ReadonlyMap<string, BackendServer>): void {
    this.unreachable.forEach(({ bornMs }, id) => {
      if (listed.get(id)?.bornMs !== bornMs) this.unreachable.delete(id);
    });
  }

  private noteUnreachable(server: BackendServer, startedAtMs: number): void {
    const { id, bornMs, service } = server;
    if (startedAtMs < (this.reachableAtMs.get(service) ?? -Infinity)) return;
    if (this.unreachable.get(id)?.bornMs !== bornMs) {
      this.opts.logger.info('server-unreachable', { server: id });
    }
    this.unreachable.set(id, { bornMs, failedAtMs: this.opts.clock.steadyMs() });
    this.opts.noteConnectFailure(server, startedAtMs);
  }

  private noteReachable({ id }: BackendServer): void {
    if (this.unreachable.delete(id)) this.opts.logger.info('server-reachable', { server: id });
  }

  /** Tries one unreachable server directly, each in turn; those of a partition are tried as such. */
  private probeNext(): void {
    const servers = [...this.opts.servers().values()].filter(
      ({ id, service }) => this.unreachable.has(id) && !this.opts.isPartitioned(service),
    );
    const server = servers[this.probes % servers.length];
    this.probes += 1;
    if (server !== undefined) this.probe(server);
  }

  private probe(server: BackendServer): void {
    const startedAtMs = this.opts.clock.steadyMs();
    const [host = '', port = '0'] = server.address.split(':');
    const socket = net.connect({ host, port: Number(port) });
    let isConnected = false;
    // The connection may have been made while this process was busy, and not been noticed yet.
    const timer = setTimeout(() => setImmediate(() => socket.destroy()), PEER_CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      isConnected = true;
      socket.destroy();
    });
    socket.on('error', ({ message }) => {
      this.opts.logger.debug('probe-failed', { server: server.id, reason: message });
    });
    socket.on('close', () => {
      clearTimeout(timer);
      if (isConnected) this.noteReachable(server);
      else if (this.unreachable.has(server.id)) this.noteUnreachable(server, startedAtMs);
    });
  }

  private async open(
    server: BackendServer,
    signal: AbortSignal,
    mayRelay: MayRelay,
  ): Promise<RelayedStream | null> {
    const tried = new Set<string>();
    while (tried.size < MAX_PEERS && !signal.aborted) {
      const query = { server, tried, random: this.opts.random, mayRelay };
      const peer = this.choice.choose(this.opts.clock.steadyMs(), query);
      if (peer === null) return null;
      tried.add(peer.vm);
      const opening = await this.openOver(peer, server, signal);
      if (opening.stream !== null) return opening.stream;
      if (!signal.aborted) this.noteFailure(peer, server, opening.failure, opening.reason);
    }
    return null;
  }

  private noteFailure(
    peer: Peer,
    server: BackendServer,
    failure: PeerFailure,
    reason: string,
  ): void {
    this.choice.noteFailure(this.opts.clock.steadyMs(), peer.vm, server.id, failure);
    this.opts.metrics.count('relay_peer_connections_total', { outcome: failure });
    this.opts.logger.info('peer-refused', { peer: peer.vm, server: server.id, failure, reason });
  }

  private openOver(peer: Peer, server: BackendServer, signal: AbortSignal): Promise<Opening> {
    const [host = '', port = '0'] = peer.address.split(':');
    const link = net.connect({ host, port: Number(port), noDelay: true });
    let stream: RelayedStream | null = null;
    this.choice.noteOpened(peer.vm);
    link.on('close', () => this.choice.noteClosed(peer.vm));
    return new Promise((resolve) => {
      let error = 'connection closed';
      const abort = () => link.destroy();
      const expire = () => {
        error = `no answer within ${OPEN_TIMEOUT_MS} ms`;
        link.destroy();
      };
      // The answer may have arrived while this process was busy, and not been read yet.
      const timer = setTimeout(
        () => setImmediate(() => stream === null && expire()),
        OPEN_TIMEOUT_MS,
      );
      const settle = (opening: Opening) => {
        clearTimeout(timer);
        signal.removeEventListener('abort', abort);
        resolve(opening);
      };
      signal.addEventListener('abort', abort, { once: true });
      if (signal.aborted) abort();
      link.on('error', ({ message }) => {
        error = message;
      });
      link.on('close', () => {
        settle({ stream: null, failure: PeerFailure.peerLost, reason: error });
      });
      link.on('connect', () => {
        const open: RelayMessage = {
          type: RelayedMessageType.relayOpen,
          vm: this.opts.vm,
          serverId: server.id,
          bornMs: server.bornMs,
          timeoutMs: PEER_CONNECT_TIMEOUT_MS,
        };
        link.write(frames.encodeBody(open));
      });
      const handle = (message: RelayMessage) => {
        if (stream !== null) {
          stream.handleMessage(message);
        } else if (message.type === RelayedMessageType.relayOpened) {
          stream = new RelayedStream(link, peer.vm);
          this.choice.noteReached(peer.vm, server.id);
          this.opts.metrics.count('relay_peer_connections_total', { outcome: 'opened' });
          settle({ stream });
        } else if (message.type === RelayedMessageType.relayRefused) {
          settle({ stream: null, failure: message.failure, reason: message.reason });
          link.destroy();
        }
      };
      const { logger } = this.opts;
      readMessages(link, {
        logger,
        peerName: () => peer.vm,
        handle,
      });
    });
  }
}
