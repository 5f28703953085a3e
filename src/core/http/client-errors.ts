/** Refuses malformed and slow requests behind the responses to the requests before them. */
import type * as http from 'node:http';
import type { Socket } from 'node:net';

/**
 * Calls `refuse` for what a caller has sent in place of a whole request, once the requests before it on
 * the connection are answered: until then, a refusal would be taken for the answer to one of them. A
 * slow request that has come whole by then is not refused.
 */
export function refuseClientErrors(
  server: http.Server,
  refuse: (err: NodeJS.ErrnoException, socket: Socket) => void,
): void {
  /** The open responses of each connection, in the order of their requests. */
  const open = new WeakMap<Socket, Set<http.ServerResponse>>();
  /** Connections with a refusal that waits for a response. */
  const waiting = new WeakSet<Socket>();
  /** The latest open response to a whole request; the error is about what came behind that request. */
  const latestOf = (socket: Socket) =>
    [...(open.get(socket) ?? [])].filter(({ req }) => req.complete).at(-1);
  server.prependListener('request', ({ socket }, res) => {
    const responses = open.get(socket) ?? new Set();
    open.set(socket, responses.add(res));
    res.once('close', () => responses.delete(res));
  });
  server.on('clientError', (err: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    const res = latestOf(socket);
    // A caller that has closed its side counts as gone, so that its requests are given up.
    const isGone = err.code === 'ECONNRESET' || (res !== undefined && socket.readableEnded);
    if (isGone || !socket.writable) {
      socket.destroy();
    } else if (res === undefined) {
      refuse(err, socket);
    } else if (!waiting.has(socket)) {
      waiting.add(socket);
      res.once('close', () => {
        waiting.delete(socket);
        if (socket.writable && latestOf(socket) === undefined) refuse(err, socket);
      });
    }
  });
}
