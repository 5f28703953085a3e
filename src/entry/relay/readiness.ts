/** HTTP server for the load balancer's readiness checks and for metrics. */
import * as http from 'node:http';
import * as https from '../../core/http/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';

const METRICS_PATH = '/metrics';

export interface ReadinessOptions {
  readonly listen: string;
  readonly path: string;
  readonly metrics: Metrics;
  isReady(): boolean;
}

export class ReadinessTask implements Task {
  readonly name = 'ready';

  private server: http.Server | null = null;

  constructor(private readonly opts: ReadinessOptions) {}

  async start(fail: (err: unknown) => void): Promise<void> {
    const server = http.createServer((req, res) => this.handle(req, res));
    this.server = server;
    await https.listen(server, this.opts.listen);
    server.on('error', fail);
  }

  async stop(): Promise<void> {
    await https.close(this.server);
  }

  private handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (req.url === this.opts.path) {
      res.writeHead(this.opts.isReady() ? 200 : 503).end();
    } else if (req.url === METRICS_PATH) {
      res.writeHead(200, { 'content-type': 'text/plain' }).end(this.opts.metrics.render());
    } else {
      res.writeHead(404).end();
    }
  }
}
