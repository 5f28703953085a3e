/** Task that serves the admin port: health, metrics, status and request traces. */
import * as http from 'node:http';
import * as httpServers from '../../core/http/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { RequestTraces } from '../gateway/index.js';

export interface AdminDeps {
  readonly listen: string;
  readonly metrics: Metrics;
  readonly traces: RequestTraces;
  /** Whether the load balancer may send new requests here. */
  isReady(): boolean;
  status(): unknown;
}

const EXPLAIN_PATH = '/explain/';

function send(res: http.ServerResponse, status: number, type: string, body: string): void {
  res.writeHead(status, { 'content-type': type });
  res.end(body);
}

export class AdminTask implements Task {
  readonly name = 'admin';

  private server: http.Server | null = null;

  private boundAddress = '';

  constructor(private readonly deps: AdminDeps) {}

  get address(): string {
    return this.boundAddress;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    const server = http.createServer((req, res) => this.handle(req, res));
    this.server = server;
    this.boundAddress = await httpServers.listen(server, this.boundAddress || this.deps.listen);
    server.on('error', fail);
  }

  async stop(): Promise<void> {
    const { server } = this;
    this.server = null;
    await httpServers.close(server);
  }

  private handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    const path = req.url ?? '/';
    if (path === '/healthz') send(res, 200, 'text/plain', 'ok\n');
    else if (path === '/readyz') {
      const ready = this.deps.isReady();
      send(res, ready ? 200 : 503, 'text/plain', ready ? 'ready\n' : 'not ready\n');
    } else if (path === '/metrics') {
      send(res, 200, 'text/plain; version=0.0.4', this.deps.metrics.render());
    } else if (path === '/status') {
      send(res, 200, 'application/json', JSON.stringify(this.deps.status()));
    } else if (path.startsWith(EXPLAIN_PATH)) this.explain(path, res);
    else send(res, 404, 'text/plain', 'no such path\n');
  }

  private explain(path: string, res: http.ServerResponse): void {
    const id = decodeURIComponent(path.slice(EXPLAIN_PATH.length));
    const steps = this.deps.traces.of(id);
    const body = JSON.stringify({ id, steps: steps ?? [] });
    send(res, steps === null ? 404 : 200, 'application/json', body);
  }
}
