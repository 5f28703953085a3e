/** Tells which connections of an HTTP server are in use, and closes only those that are idle. */
import type * as http from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';

/** Connections that wait for a server at most, by the default of Node.js. */
const MAX_WAITING_CONNECTIONS = 511;
/** Maximum time for accepting them, ms: callers may go on connecting. */
const MAX_ACCEPT_MS = 200;

interface Connection {
  /** Requests whose responses have not been written out to the connection. */
  pending: number;
  /** Bytes received when the last response had been written out: more belong to the next request. */
  readBytes: number;
}

/** The latest request of each connection. */
const latestRequests = new WeakMap<Socket, http.IncomingMessage>();

/** The latest request that was received on a connection; undefined if there was none. */
export function latestRequest(socket: Socket): http.IncomingMessage | undefined {
  return latestRequests.get(socket);
}

/**
 * Resolves right after the event loop has accepted the connections that were waiting; it accepts one
 * in each pass. Timers run before that: after a standstill, many may wait.
 */
export async function acceptWaitingConnections(server: http.Server): Promise<void> {
  const untilMs = performance.now() + MAX_ACCEPT_MS;
  let accepted = 0;
  let idlePasses = 0;
  const noteConnection = () => {
    accepted += 1;
    idlePasses = 0;
  };
  server.on('connection', noteConnection);
  // The first pass may be over before the event loop looks for connections.
  const isOver = () => accepted >= MAX_WAITING_CONNECTIONS || performance.now() >= untilMs;
  while (idlePasses < 2 && !isOver()) {
    idlePasses += 1;
    await setImmediate();
  }
  server.off('connection', noteConnection);
}

/** Resolves once the event loop has read what had come before on the connections that it knows. */
async function waitUntilInputRead(): Promise<void> {
  await setImmediate();
  await setImmediate();
}

/**
 * Makes the idle timeout and `closeIdleConnections`, which a server also calls when it stops
 * accepting connections, spare those with a response that is still being written or a request that
 * is still to be read. For Node.js, a connection is idle as soon as its response was ended, although
 * a slow caller has not received it yet, and as long as its next request was not read.
 */
export function spareBusyConnections(server: http.Server): void {
  const connections = new Map<Socket, Connection>();
  server.on('connection', (socket: Socket) => {
    connections.set(socket, { pending: 0, readBytes: 0 });
    socket.on('close', () => connections.delete(socket));
  });
  server.prependListener('request', (req, res) => {
    const { socket } = req;
    latestRequests.set(socket, req);
    const connection = connections.get(socket);
    if (connection === undefined) return;
    connection.pending += 1;
    res.on('close', () => {
      connection.pending -= 1;
      connection.readBytes = socket.bytesRead;
    });
  });
  /** Closes a connection unless it has received anything by the time that its input was read. */
  const closeUnlessUsed = async (socket: Socket): Promise<void> => {
    const { bytesRead } = socket;
    await waitUntilInputRead();
    const isUnused = connections.get(socket)?.pending === 0 && socket.bytesRead === bytesRead;
    if (isUnused) socket.destroy();
  };
  const closeIdleConnections = () =>
    connections.forEach(({ pending, readBytes }, socket) => {
      const isIdle = pending === 0 && socket.bytesRead === readBytes && socket.writableLength === 0;
      if (isIdle) void closeUnlessUsed(socket);
    });
  Object.assign(server, { closeIdleConnections });
  // With a listener, Node.js leaves it to the listener to close the connection.
  server.on('timeout', (socket) => {
    void closeUnlessUsed(socket);
  });
}
