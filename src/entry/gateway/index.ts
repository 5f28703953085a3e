/** Task that serves callers over HTTP. */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import type { Channel, Unsubscribe } from '../../core/channels/index.js';
import * as clock from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import { refuseClientErrors } from '../../core/http/client-errors.js';
import { spareBusyConnections, acceptWaitingConnections } from '../../core/http/connections.js';
import * as httpServers from '../../core/http/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Catalog } from '../../decisions/catalog/index.js';
import { digestOf, keyOf, refuseKeyInUrl } from './authenticate.js';
import { ModelHandler } from './model-handler.js';
import { createRefusal, sendJson, sendRefusal } from './reply.js';
import { ServiceHandler } from './service-handler.js';
import { type GatewayDeps, type RequestContext, RequestPhase } from './types.js';

export { RequestTraces } from './request-traces.js';
export type { GatewayDeps } from './types.js';

const CLOSE_IDLE_INTERVAL_MS = 100;
const STARTUP_RETRY_AFTER_MS = 1_000;
/** Idle time after which a caller's connection is closed, ms. */
const KEEP_ALIVE_MS = 30_000;

/** Status lines for errors of the HTTP parser; 400 for all others. */
const PARSER_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

export interface GatewaySettings {
  readonly listen: string;
}

export class GatewayTask implements Task {
  readonly name = 'gateway';

  private readonly models: ModelHandler;

  private readonly services: ServiceHandler;

  private readonly active = new Map<string, RequestContext>();

  private server: http.Server | null = null;

  private boundAddress = '';

  private unsubscribe: Unsubscribe = () => undefined;

  private lastId = 0;

  private draining = false;

  constructor(
    private readonly cfg: GatewaySettings,
    private readonly deps: GatewayDeps,
    private readonly applied: Channel<Catalog>,
  ) {
    this.models = new ModelHandler(deps);
    this.services = new ServiceHandler(deps);
  }

  /** Address that the server is bound to. */
  get address(): string {
    return this.boundAddress;
  }

  /** Number of requests in progress. */
  get activeCount(): number {
    return this.active.size;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    this.unsubscribe = this.applied.subscribe((current) => this.cancelRevoked(current));
    const { headerBytes, slowSenderMs } = this.deps.limits;
    const server = http.createServer(
      {
        maxHeaderSize: headerBytes,
        headersTimeout: slowSenderMs,
        requestTimeout: slowSenderMs,
        connectionsCheckingInterval: Math.min(1_000, slowSenderMs),
        keepAliveTimeout: KEEP_ALIVE_MS,
      },
      (req, res) => {
        void this.handle(req, res);
      },
    );
    spareBusyConnections(server);
    refuseClientErrors(server, (err, socket) => GatewayTask.rejectMalformed(err, socket));
    this.server = server;
    this.boundAddress = await httpServers.listen(server, this.boundAddress || this.cfg.listen);
    server.on('error', fail);
  }

  async stop(): Promise<void> {
    this.unsubscribe();
    const { server } = this;
    this.server = null;
    await httpServers.close(server);
  }

  /**
   * Stops accepting connections, waits at most `graceMs` for the requests in progress, and then for
   * the outcomes of claims to be recorded.
   */
  async drain(graceMs: number): Promise<void> {
    this.draining = true;
    if (this.server !== null) await acceptWaitingConnections(this.server);
    this.server?.close();
    const untilMs = this.deps.clock.nowMs() + graceMs;
    while (this.active.size > 0 && this.deps.clock.nowMs() < untilMs) {
      this.server?.closeIdleConnections();
      await clock.sleep(CLOSE_IDLE_INTERVAL_MS);
    }
    await this.services.waitForRecords();
  }

  private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    this.lastId += 1;
    const id = `${this.deps.vm}-${Date.now().toString(36)}-${this.lastId}`;
    res.setHeader('x-request-id', id);
    if (this.draining) res.setHeader('connection', 'close');
    const ctx = this.createContext(id, req, res);
    if (ctx === null) return;
    this.active.set(id, ctx);
    const done = new Promise<void>((resolve) => {
      res.once('close', resolve);
    });
    res.once('close', () => {
      if (!res.writableFinished) ctx.abort.abort();
      this.active.delete(id);
      this.logResponse(ctx);
    });
    try {
      await this.routeRequest(ctx);
    } catch (err) {
      this.deps.logger.error('request-failed', { id, reason: errors.describe(err) });
      const failure = errors.createFailure(errors.data.Internal, 'serve request', this.deps.vm);
      sendRefusal(res, { failure, ran: errors.Ran.unknown, retryAfterMs: 0 });
    }
    await done;
  }

  private createContext(
    id: string,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): RequestContext | null {
    const catalog = this.deps.currentCatalog();
    const { vm } = this.deps;
    if (catalog === null) {
      const detail = 'the settings have not been loaded yet';
      sendRefusal(
        res,
        createRefusal(errors.data.NoCapacity, 'start', vm, detail, STARTUP_RETRY_AFTER_MS),
      );
      return null;
    }
    let url: URL;
    try {
      url = new URL(req.url ?? '/', 'http://entry');
      decodeURIComponent(url.href);
    } catch {
      sendRefusal(
        res,
        createRefusal(errors.data.BadRequest, 'read request', 'caller', 'The path is not valid.'),
      );
      return null;
    }
    const key = keyOf(req);
    return {
      id,
      req,
      res,
      url,
      catalog,
      arrivedAtMs: this.deps.clock.nowMs(),
      keyDigest: key === null ? null : digestOf(key),
      phase: RequestPhase.waiting,
      abort: new AbortController(),
      cancellation: null,
    };
  }

  private async routeRequest(ctx: RequestContext): Promise<void> {
    const { pathname } = ctx.url;
    const method = ctx.req.method ?? 'GET';
    const keyInUrl = refuseKeyInUrl(ctx.url);
    this.deps.traces.note(ctx.id, 'arrived', { method, path: pathname });
    if (keyInUrl !== null) sendRefusal(ctx.res, keyInUrl);
    else if (method === 'POST' && pathname === '/v1/chat/completions') {
      await this.models.handle(ctx, true);
    } else if (method === 'POST' && pathname === '/v1/completions') {
      await this.models.handle(ctx, false);
    } else if (method === 'GET' && pathname === '/v1/models') this.listModels(ctx);
    else if (pathname.startsWith('/services/')) await this.services.handle(ctx);
    else
      sendRefusal(ctx.res, createRefusal(errors.data.UnknownRoute, 'route', 'settings', pathname));
  }

  private listModels(ctx: RequestContext): void {
    const isValid = ctx.keyDigest !== null && ctx.catalog.customerByKey.has(ctx.keyDigest);
    if (ctx.keyDigest === null || !isValid) {
      const def = ctx.keyDigest === null ? errors.data.MissingKey : errors.data.KeyRefused;
      sendRefusal(ctx.res, createRefusal(def, 'check key', 'caller'));
      return;
    }
    const data = [...ctx.catalog.targets.values()].map(({ name, service }) => ({
      id: name,
      object: 'model',
      owned_by: service,
    }));
    sendJson(ctx.res, 200, { object: 'list', data });
  }

  /** Cancels queued requests whose key has been revoked. */
  private cancelRevoked(current: Catalog): void {
    [...this.active.values()]
      .filter(({ phase }) => phase === RequestPhase.waiting)
      .filter(({ keyDigest }) => keyDigest !== null && !current.customerByKey.has(keyDigest))
      .forEach((ctx) => {
        ctx.cancellation = createRefusal(errors.data.KeyRefused, 'check key', 'caller');
        ctx.abort.abort();
      });
  }

  private logResponse({ id, res, arrivedAtMs, url }: RequestContext): void {
    const ms = Math.round(this.deps.clock.nowMs() - arrivedAtMs);
    const complete = res.writableFinished;
    this.deps.metrics.count('answers', { status: String(res.statusCode), whole: String(complete) });
    const { pathname: path } = url;
    this.deps.logger.info('request', { id, path, status: res.statusCode, whole: complete, ms });
  }

  private static rejectMalformed(err: NodeJS.ErrnoException, socket: Socket): void {
    const status = PARSER_STATUS[err.code ?? ''] ?? '400 Bad Request';
    const failure = errors.createFailure(
      errors.data.BadRequest,
      'parse request',
      'caller',
      'The request is not valid HTTP.',
    );
    const { name, title, message, hint } = failure;
    const body = JSON.stringify({
      error: { type: name, title, message, hint, ran: errors.Ran.no },
    });
    const lines = [
      `HTTP/1.1 ${status}`,
      'content-type: application/json',
      `content-length: ${Buffer.byteLength(body)}`,
      'x-bilberrystand-ran: no',
      'connection: close',
      '',
      body,
    ];
    socket.end(lines.join('\r\n'));
  }
}
