/** Kept connections to backend servers. */
import * as http from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';

/** A kept connection may have been dropped by its server; what may not be repeated uses a fresh one. */
const FRESH_IDLE_MS = 1_000;
const LONGEST_IDLE_MS = 10_000;
/** The server's own limit is left this long before it ends, ms. */
const IDLE_MARGIN_MS = 1_000;
const MOST_IDLE = 32;

const KEEP_ALIVE_SECONDS = /timeout=(\d+)/i;

/** Time that an idle connection is kept, by what the server said of it. */
function idleMs(socket: Socket & { keepAliveHint?: string }, longestMs: number): number {
  const seconds = KEEP_ALIVE_SECONDS.exec(socket.keepAliveHint ?? '')?.[1];
  if (seconds === undefined) return longestMs;
  return Math.min(longestMs, Math.max(0, Number(seconds) * 1000 - IDLE_MARGIN_MS));
}

/** Ends an idle connection; kept with it, so that just this listener is taken off again. */
const idleListeners = new WeakMap<Socket, () => void>();

const IDLE_EVENTS = ['timeout', 'data', 'end'] as const;

/** Closes idle connections in time, and those on which bytes arrive that belong to no request. */
class IdleAgent extends http.Agent {
  constructor(private readonly longestMs: number) {
    super({ keepAlive: true, maxFreeSockets: MOST_IDLE, scheduling: 'lifo' });
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket;
    const keptMs = idleMs(socket, this.longestMs);
    if (socket.destroyed || keptMs === 0) return false;
    const drop = () => socket.destroy();
    idleListeners.set(socket, drop);
    socket.setTimeout(keptMs);
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

export class Connections {
  private readonly kept = new Map<string, IdleAgent>();

  private readonly fresh = new Map<string, IdleAgent>();

  /** The connections to a server; `repeatable` ones may have been idle for longer. */
  agentFor(server: BackendServer, repeatable: boolean): http.Agent {
    const agents = repeatable ? this.kept : this.fresh;
    const key = `${server.id} ${server.address}`;
    const known = agents.get(key);
    if (known !== undefined) return known;
    const agent = new IdleAgent(repeatable ? LONGEST_IDLE_MS : FRESH_IDLE_MS);
    agents.set(key, agent);
    return agent;
  }

  /** Closes what is kept for servers that are gone. */
  retain(servers: ReadonlyMap<string, BackendServer>): void {
    const live = new Set([...servers.values()].map(({ id, address }) => `${id} ${address}`));
    [this.kept, this.fresh].forEach((agents) =>
      agents.forEach((agent, key) => {
        if (live.has(key)) return;
        agents.delete(key);
        Connections.closeIdle(agent);
      }),
    );
  }

  close(): void {
    [this.kept, this.fresh].forEach((agents) => agents.forEach((agent) => agent.destroy()));
  }

  /** Running requests keep their connections. */
  private static closeIdle(agent: http.Agent): void {
    Object.values(agent.freeSockets).forEach((sockets) =>
      sockets?.forEach((socket) => socket.destroy()),
    );
  }
}
