/** Keep-alive connection pools for backend servers. */
import * as http from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import { maxIdleConnections } from '../../decisions/connection-limits/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import type { RelayedStream } from './relayed-stream.js';

/**
 * Maximum idle time of connections for requests that are not retry-safe, ms. It is short, because
 * a request fails if the server has dropped the connection, and such a request can't be sent again.
 */
const MAX_IDLE_RETRY_UNSAFE_MS = 1_000;
/** Maximum idle time of connections for retry-safe requests, ms. */
const MAX_IDLE_RETRY_SAFE_MS = 10_000;
/** Idle connections are closed this long before the server's own keep-alive timeout, ms. */
const IDLE_MARGIN_MS = 1_000;
/** Number of entry VMs that is assumed until the actual number is known. */
const ASSUMED_MEMBERS = 8;

const KEEP_ALIVE_SECONDS = /timeout=(\d+)/i;

/** Time that an idle connection is kept, ms; honours the server's Keep-Alive header. */
function idleTimeoutMs(socket: Socket & { keepAliveHint?: string }, maxMs: number): number {
  const seconds = KEEP_ALIVE_SECONDS.exec(socket.keepAliveHint ?? '')?.[1];
  if (seconds === undefined) return maxMs;
  return Math.min(maxMs, Math.max(0, Number(seconds) * 1000 - IDLE_MARGIN_MS));
}

/** Close listeners of idle connections. A listener is removed when its connection is reused. */
const idleListeners = new WeakMap<Socket, () => void>();

const IDLE_EVENTS = ['timeout', 'data', 'end'] as const;

/** Closes idle connections before the server does, or when unsolicited bytes arrive on them. */
class IdleAgent extends http.Agent {
  constructor(private readonly maxIdleMs: number) {
    super({ keepAlive: true, scheduling: 'lifo' });
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket;
    const timeoutMs = idleTimeoutMs(socket, this.maxIdleMs);
    if (socket.destroyed || timeoutMs === 0) return false;
    const drop = () => socket.destroy();
    idleListeners.set(socket, drop);
    socket.setTimeout(timeoutMs);
    IDLE_EVENTS.forEach((event) => socket.on(event, drop));
    socket.unref();
    return true;
  }

  override reuseSocket(stream: Duplex, req: http.ClientRequest): void {
    const socket = stream as Socket;
    const drop = idleListeners.get(socket);
    if (drop !== undefined) IDLE_EVENTS.forEach((event) => socket.off(event, drop));
    socket.setTimeout(0);
    super.reuseSocket(stream, req);
  }
}

/** Agent for one request over a peer; its connection serves no other. */
export class RelayedAgent extends http.Agent {
  private readonly aborter = new AbortController();

  private opened: RelayedStream | null = null;

  constructor(private readonly open: (signal: AbortSignal) => Promise<RelayedStream | null>) {
    super({ keepAlive: false });
  }

  /** The connection; null until it is made. */
  get stream(): RelayedStream | null {
    return this.opened;
  }

  /** Gives up the connection if it is not made yet. */
  cancel(): void {
    this.aborter.abort();
  }

  override createConnection(
    _: http.ClientRequestArgs,
    callback: (err: Error | null, stream: Duplex) => void,
  ): undefined {
    void this.connect(callback);
  }

  private async connect(callback: (err: Error | null, stream: Duplex) => void): Promise<void> {
    const { signal } = this.aborter;
    const stream = await this.open(signal);
    this.opened = stream;
    if (signal.aborted) stream?.destroy();
    // A connection that has ended already gives the request no event any more.
    if (stream === null || stream.destroyed)
      callback(new Error('no peer reaches the backend server'), null as never);
    else callback(null, stream);
  }
}

export class ConnectionPool {
  private readonly retrySafeAgents = new Map<string, IdleAgent>();

  private readonly retryUnsafeAgents = new Map<string, IdleAgent>();

  private members = ASSUMED_MEMBERS;

  /** Sets the number of entry VMs, which share the connections that a server accepts. */
  noteMembers(count: number): void {
    this.members = count;
  }

  /**
   * Agent for a server's connections. Those of retry-safe requests may be idle for longer.
   * @param maxConnections Connections that the server accepts from all entry VMs together.
   */
  agentFor(server: BackendServer, isRetrySafe: boolean, maxConnections: number): http.Agent {
    const agents = isRetrySafe ? this.retrySafeAgents : this.retryUnsafeAgents;
    const key = `${server.id} ${server.address}`;
    const maxIdleMs = isRetrySafe ? MAX_IDLE_RETRY_SAFE_MS : MAX_IDLE_RETRY_UNSAFE_MS;
    const agent = agents.get(key) ?? new IdleAgent(maxIdleMs);
    const { slots } = server;
    agent.maxFreeSockets = maxIdleConnections({ maxConnections, slots, members: this.members });
    agents.set(key, agent);
    return agent;
  }

  /** Closes the idle connections of servers that are no longer listed. */
  retain(servers: ReadonlyMap<string, BackendServer>): void {
    const listed = new Set([...servers.values()].map(({ id, address }) => `${id} ${address}`));
    [this.retrySafeAgents, this.retryUnsafeAgents].forEach((agents) =>
      agents.forEach((agent, key) => {
        if (listed.has(key)) return;
        agents.delete(key);
        ConnectionPool.closeIdle(agent);
      }),
    );
  }

  /** Closes the idle connections to a server, as after a partition that may have broken them. */
  closeIdleTo({ id, address }: BackendServer): void {
    [this.retrySafeAgents, this.retryUnsafeAgents].forEach((agents) => {
      const agent = agents.get(`${id} ${address}`);
      if (agent !== undefined) ConnectionPool.closeIdle(agent);
    });
  }

  close(): void {
    [this.retrySafeAgents, this.retryUnsafeAgents].forEach((agents) =>
      agents.forEach((agent) => agent.destroy()),
    );
  }

  /** Closes idle connections only; connections of running requests stay open. */
  private static closeIdle(agent: http.Agent): void {
    Object.values(agent.freeSockets).forEach((sockets) =>
      sockets?.forEach((socket) => socket.destroy()),
    );
  }
}
