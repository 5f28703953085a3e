/** Closes only those connections of an HTTP server that are idle. */
import type * as http from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';

interface Connection {
  /** Requests whose responses have not been written out to the connection. */
  pending: number;
  /** Bytes received when the last response had been written out: more belong to the next request. */
  readBytes: number;
}

/**
 * Resolves once the event loop has read what had reached the process before, also from connections
 * that it had not accepted yet. Timers run before that: after a standstill, requests may wait.
 */
export async function waitUntilInputRead(): Promise<void> {
  // The first pass accepts connections, the second one reads from them.
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
  server.prependListener('request', ({ socket }, res) => {
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
