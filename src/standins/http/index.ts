/** HTTP server of the stand-ins, with control endpoints for their faults and counters. */
import * as http from 'node:http';
import * as httpServers from '../../core/http/index.js';

/** A request whose body has been read completely. */
export interface StandinRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

export type StandinHandler = (req: StandinRequest, res: http.ServerResponse) => Promise<void>;

/** A running stand-in. */
export interface Standin {
  /** IPv4 address and port. */
  readonly address: string;
  close(): Promise<void>;
}

/** A running stand-in that can simulate a crash. */
export interface StandinServer extends Standin {
  /** Closes all connections and accepts no new ones for `downMs`. */
  crash(downMs: number): Promise<void>;
}

export function sendJson(res: http.ServerResponse, status: number, value: unknown): void {
  if (res.destroyed) return;
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(value));
}

async function readBody(req: http.IncomingMessage): Promise<Buffer> {
  const chunks = await req.toArray();
  return Buffer.concat(chunks as Buffer[]);
}

async function dispatch(
  handler: StandinHandler,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  try {
    const body = await readBody(req);
    const url = new URL(req.url ?? '/', 'http://standin');
    await handler({ method: req.method ?? 'GET', url, headers: req.headers, body }, res);
  } catch (err) {
    sendJson(res, 400, { error: String(err) });
  }
}

/** Serves `handler` at `listen`, such as `127.0.0.1:0`. */
export async function serve(listen: string, handler: StandinHandler): Promise<StandinServer> {
  const create = () => {
    const server = http.createServer((req, res) => {
      void dispatch(handler, req, res);
    });
    server.keepAliveTimeout = 60_000;
    return server;
  };
  let server = create();
  let isClosed = false;
  const address = await httpServers.listen(server, listen);
  return {
    address,
    async close() {
      isClosed = true;
      await httpServers.close(server);
    },
    async crash(downMs) {
      await httpServers.close(server);
      setTimeout(() => {
        if (isClosed) return;
        server = create();
        void httpServers.listen(server, address);
      }, downMs);
    },
  };
}

/**
 * Handles `GET /_counters`, `GET /_faults` and `POST /_faults` of a stand-in.
 * @returns Whether the request was for one of these and has been answered.
 */
export function handleControl<F extends object>(
  req: StandinRequest,
  res: http.ServerResponse,
  faults: F,
  counters: () => unknown,
): boolean {
  if (req.url.pathname === '/_counters') {
    sendJson(res, 200, counters());
    return true;
  }
  if (req.url.pathname !== '/_faults') return false;
  if (req.method === 'POST') Object.assign(faults, JSON.parse(req.body.toString('utf8')));
  sendJson(res, 200, faults);
  return true;
}
