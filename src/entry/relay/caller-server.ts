/** HTTP server for callers: checks each request and passes it to its exchange. */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import type { Result } from 'true-myth';
import * as clocks from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import { refuseClientErrors } from '../../core/http/client-errors.js';
import {
  acceptWaitingConnections,
  latestRequest,
  spareBusyConnections,
} from '../../core/http/connections.js';
import * as https from '../../core/http/index.js';
import type { LogFields, Logger } from '../../core/logger/index.js';
import type { Random } from '../../core/random/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type Customer,
  findRoute,
  type FleetPlan,
  hashKey,
  pickTarget,
  RetrySafety,
  type Route,
} from '../../decisions/fleet-plan/index.js';
import { discardBody, readBody } from '../gateway/read-body.js';
import { errorBody } from '../gateway/reply.js';
import type { BodyClaim, BodyMemory } from './body-memory.js';
import type { Homes } from '../../decisions/homes/index.js';
import { ConnectHold } from './connect-hold.js';
import type { RelayContext } from './context.js';
import { Exchange } from './exchange.js';
import { RequestTurns } from './request-turns.js';
import { type RoutedRequest, timeLimitMs } from './routed-request.js';
import { isTooLarge } from './server-tokens.js';
import type { StoreWatcherTask } from './store-watcher.js';
import type { RequestMetadata } from './types.js';

/** Interval at which connections are checked for slow senders, ms. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Interval at which idle connections are closed during shutdown, ms. */
const DRAIN_POLL_MS = 10;
/** Maximum request body while no plan is loaded, bytes. */
const DEFAULT_MAX_BODY_BYTES = 1_048_576;
/** Requests that may wait on a connection until no more are read from it. */
const MAX_WAITING_REQUESTS = 16;
const MS_PER_S = 1000;
/** Retry-After while this entry VM shuts down, ms; another entry VM can serve the request. */
const STOPPING_RETRY_MS = 50;
/** Retry-After when cached state is missing or too old, or a route has no target, ms. */
const UNREADY_RETRY_MS = 500;

export interface CallerServerOptions {
  readonly listen: string;
  readonly ctx: RelayContext;
  readonly storeWatcher: StoreWatcherTask;
  readonly random: Random;
  readonly homes: Homes;
  readonly logger: Logger;
  /** Bounds the bytes of the bodies that are being received or served. */
  readonly bodies: BodyMemory;
  /** Age of the cached plan beyond which it may lack newly added routes and keys, ms. */
  readonly staleAfterMs: number;
}

type ReceivedRequest = Pick<RoutedRequest, 'req' | 'res' | 'metadata' | 'body' | 'arrivedAtMs'>;

/** The requests of a connection, which are handled one after another. */
interface ConnectionTurns {
  /** The end of the latest request. */
  end: Promise<void>;
  /** Requests that wait for the end of those before them. */
  waiting: number;
}

interface Refusal {
  readonly def: errors.ErrorDefinition;
  readonly retryAfterMs: number | null;
}

function refusal(def: errors.ErrorDefinition, retryAfterMs: number | null = null): Refusal {
  return { def, retryAfterMs };
}

/** Formats a Retry-After value as seconds, with fractions down to 1 ms. */
export function formatRetryAfter(ms: number): string {
  return (Math.ceil(ms) / MS_PER_S).toString();
}

/**
 * Whether to close the connection after a response. Later requests of it that have been received are
 * answered first.
 */
export function closesConnection(res: http.ServerResponse, isStopping: boolean): boolean {
  return isStopping && latestRequest(res.req.socket) === res.req;
}

/** Sends a local response with a failure, and a Retry-After header if `retryAfterMs` is set. */
export function sendLocalResponse(
  res: http.ServerResponse,
  platformHeaders: readonly string[],
  failure: errors.Failure,
  retryAfterMs: number | null,
  isStopping: boolean,
): void {
  // An answer that is handed over is written out.
  if (res.writableEnded) return;
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  const mayHaveRun = failure.status === 502 || failure.status === 504;
  const ran = mayHaveRun ? errors.Ran.unknown : errors.Ran.no;
  const body = JSON.stringify(errorBody({ failure, ran, retryAfterMs: retryAfterMs ?? 0 }));
  const headers = [
    ...platformHeaders,
    'Content-Type',
    'application/json',
    'Content-Length',
    String(Buffer.byteLength(body)),
  ];
  if (retryAfterMs !== null) headers.push('Retry-After', formatRetryAfter(retryAfterMs));
  if (closesConnection(res, isStopping) || !res.req.complete) headers.push('Connection', 'close');
  res.writeHead(failure.status, headers);
  res.end(body);
}

export class CallerServerTask implements Task {
  readonly name = 'front';

  private server: http.Server | null = null;

  private active = 0;

  private readonly connectionTurns = new WeakMap<Socket, ConnectionTurns>();

  private readonly requestTurns = new RequestTurns({
    onWait: () => this.opts.ctx.turns.shorten(),
  });

  private readonly connectHold = new ConnectHold();

  /** Requests that are being served. */
  private readonly exchanges = new Set<Exchange>();

  constructor(private readonly opts: CallerServerOptions) {}

  get activeCount(): number {
    return this.active;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    const server = http.createServer({
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      keepAlive: true,
      noDelay: true,
      requireHostHeader: true,
    });
    this.server = server;
    spareBusyConnections(server);
    server.requestTimeout = 0;
    server.on('connection', () => this.holdTurn());
    server.on('request', (req, res) => {
      void this.handleInTurn(req, res);
    });
    refuseClientErrors(server, (err, socket) => this.refuseClientError(err, socket));
    await https.listen(server, this.opts.listen);
    server.on('error', fail);
    this.applyLimits();
  }

  async stop(): Promise<void> {
    await https.close(this.server);
  }

  /** Applies the plan's limits to new connections and requests. */
  applyLimits(): void {
    const { plan } = this.opts.storeWatcher;
    if (this.server === null || plan === null) return;
    const { limits } = plan;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    Object.assign(this.server, { maxHeaderSize: limits.maxHeaderBytes });
  }

  /** Closes connections without a request in progress. */
  closeIdle(): void {
    this.server?.closeIdleConnections();
  }

  /**
   * Stops accepting connections and resolves once all open ones are closed or `untilMs` is reached.
   * Requests on connections that were already accepted are still served.
   */
  async drain(untilMs: number): Promise<void> {
    const { clock } = this.opts.ctx;
    let isOver = false;
    // Connections that have not been accepted yet are reset when the server stops accepting.
    if (this.server !== null) await acceptWaitingConnections(this.server);
    this.server?.close(() => {
      isOver = true;
    });
    while (!isOver && clock.steadyMs() < untilMs) {
      this.closeIdle();
      await clocks.sleep(DRAIN_POLL_MS);
    }
  }

  /** Answers the requests that are still open when the process is about to exit. */
  endOpenRequests(): void {
    this.requestTurns.beginAll();
    this.exchanges.forEach((exchange) => exchange.endForShutdown());
  }

  /**
   * Handles a request once the requests before it on its connection are answered. It is not handled
   * if one of them has closed the connection.
   */
  private async handleInTurn(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { socket } = req;
    const arrivedAtMs = this.opts.ctx.clock.steadyMs();
    const turns = this.connectionTurns.get(socket) ?? { end: Promise.resolve(), waiting: 0 };
    this.connectionTurns.set(socket, turns);
    const before = turns.end;
    turns.end = new Promise((resolve) => {
      res.once('close', resolve);
    });
    turns.waiting += 1;
    // Node.js resumes the connection after each request that it has read.
    if (turns.waiting === MAX_WAITING_REQUESTS) process.nextTick(() => socket.pause());
    await before;
    if (turns.waiting === MAX_WAITING_REQUESTS) socket.resume();
    turns.waiting -= 1;
    if (socket.writable) await this.handle(req, res, arrivedAtMs);
  }

  /** Lets other work wait for the next turn, as more callers may be about to connect. */
  private holdTurn(): void {
    if (!this.connectHold.noteConnection()) return;
    this.opts.ctx.turns.hold();
    this.requestTurns.hold();
  }

  private async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    arrivedAtMs: number,
  ): Promise<void> {
    this.active += 1;
    res.on('error', (err) => this.opts.logger.debug('caller-lost', { reason: err.message }));
    try {
      await this.serve(req, res, arrivedAtMs);
    } catch (err) {
      this.opts.logger.error('request-failed', { reason: errors.describe(err) });
      this.sendRefusal(res, null, refusal(errors.data.BackendFailed));
    } finally {
      this.active -= 1;
    }
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    arrivedAtMs: number,
  ): Promise<void> {
    const metadata = this.opts.ctx.wire.decodeRequest(req.rawHeaders);
    if (metadata === null) {
      await this.refuseWhenRead(res, null, refusal(errors.data.BadRequest));
      return;
    }
    const preliminary = this.check(req, metadata);
    if ('def' in preliminary) {
      await this.refuseWhenRead(res, metadata.id, preliminary);
      return;
    }
    const claim = this.opts.bodies.open();
    try {
      const body = await this.readBody(req, claim);
      if (body.isErr) {
        // Its memory is for others while the rest is read.
        claim.release();
        await this.refuseBody(res, metadata.id, body.error);
        return;
      }
      // Only now: a body that nobody reads takes memory that is not counted.
      await this.requestTurns.whenNext(timeLimitMs(preliminary.route, metadata));
      if (!req.socket.writable) return;
      await this.serveWithBody({ req, res, metadata, arrivedAtMs, body: body.value });
    } finally {
      claim.release();
    }
  }

  /** Reads the body of a request, if the memory for bodies suffices. */
  private async readBody(
    req: http.IncomingMessage,
    claim: BodyClaim,
  ): Promise<Result<Buffer, Refusal>> {
    const body = await readBody(req, this.maxBodyBytes, claim.take);
    return body.mapErr(({ failure: { name } }) => {
      const { MemoryFull, BodyTooLarge, BadRequest } = errors.data;
      if (name === MemoryFull.name) return refusal(MemoryFull, UNREADY_RETRY_MS);
      return refusal(name === BodyTooLarge.name ? BodyTooLarge : BadRequest);
    });
  }

  private get maxBodyBytes(): number {
    return this.opts.storeWatcher.plan?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  }

  /** Refuses a request once its body was read; does nothing if its caller has disconnected before. */
  private async refuseWhenRead(
    res: http.ServerResponse,
    id: string | null,
    reason: Refusal,
  ): Promise<void> {
    await discardBody(res.req);
    this.refuseIfConnected(res, id, reason);
  }

  /** Refuses a request for its body. One that is malformed costs too much time to read on. */
  private async refuseBody(res: http.ServerResponse, id: string, reason: Refusal): Promise<void> {
    if (reason.def !== errors.data.BadRequest) await discardBody(res.req);
    this.refuseIfConnected(res, id, reason);
  }

  private refuseIfConnected(res: http.ServerResponse, id: string | null, reason: Refusal): void {
    if (!res.req.destroyed || res.req.complete) this.sendRefusal(res, id, reason);
  }

  private async serveWithBody(received: ReceivedRequest): Promise<void> {
    const { req, res, metadata } = received;
    // Checked again, because the plan may have changed while the body was being received.
    const checked = this.check(req, metadata);
    if ('def' in checked) {
      this.sendRefusal(res, metadata.id, checked);
      return;
    }
    const service = this.pickService(checked.route, metadata);
    if (service === undefined) {
      this.sendRefusal(res, metadata.id, refusal(errors.data.NoCapacity, UNREADY_RETRY_MS));
      return;
    }
    if (isTooLarge(checked.plan, service, metadata.tokens)) {
      this.sendRefusal(res, metadata.id, refusal(errors.data.RequestTooLarge));
      return;
    }
    const dataCentres = this.opts.homes.dataCentresFor(checked.route, checked.customer);
    const exchange = new Exchange(this.opts.ctx, { ...received, ...checked, service, dataCentres });
    this.exchanges.add(exchange);
    try {
      await exchange.serve();
    } finally {
      this.exchanges.delete(exchange);
    }
  }

  /** A stream that its caller takes up goes to the service that began it. */
  private pickService({ targets }: Route, metadata: RequestMetadata): string | undefined {
    const { ctx, random } = this.opts;
    const begunAt =
      metadata.lastEventId === null ? undefined : ctx.streams.serviceOf(metadata.begunBy);
    if (begunAt === undefined) return pickTarget(targets, random.real());
    return targets.find(({ service }) => service === begunAt)?.service;
  }

  /** Finds the route and customer of a request, or the reason to refuse it. */
  private check(
    req: http.IncomingMessage,
    metadata: RequestMetadata,
  ): { plan: FleetPlan; route: Route; customer: Customer | null } | Refusal {
    const { storeWatcher, ctx } = this.opts;
    const { plan } = storeWatcher;
    if (plan === null) return refusal(errors.data.PlatformDown, UNREADY_RETRY_MS);
    const isStale = storeWatcher.planAgeMs() > this.opts.staleAfterMs;
    // A route or key that a stale plan lacks may exist by now.
    const unknownOrStale = (def: errors.ErrorDefinition) =>
      isStale ? refusal(errors.data.PlatformDown, UNREADY_RETRY_MS) : refusal(def);
    const route = findRoute(plan, req.headers.host ?? '', req.url ?? '/');
    if (route === undefined) return unknownOrStale(errors.data.UnknownRoute);
    const isStream = route.retrySafety === RetrySafety.stream;
    if (!ctx.acceptsRequest({ isStream, timeLimitMs: timeLimitMs(route, metadata) })) {
      return refusal(errors.data.Leaving, STOPPING_RETRY_MS);
    }
    if (route.isPublic || !plan.needsKeys) return { plan, route, customer: null };
    if (metadata.key === null) return refusal(errors.data.MissingKey);
    const name = plan.customerByKeyHash.get(hashKey(metadata.key));
    const customer = name === undefined ? undefined : plan.customers.get(name);
    if (customer === undefined) return unknownOrStale(errors.data.KeyRefused);
    if (!ctx.hasFreshKeys(customer)) return refusal(errors.data.KeysUnconfirmed, UNREADY_RETRY_MS);
    return { plan, route, customer };
  }

  private sendRefusal(
    res: http.ServerResponse,
    id: string | null,
    { def, retryAfterMs }: Refusal,
  ): void {
    const failure = errors.createFailure(def, 'check request', 'caller');
    const fields: LogFields = { reason: def.name, retryAfterMs };
    if (id !== null) this.opts.ctx.log('refused', id, fields);
    this.opts.ctx.sendLocalResponse(res, id, failure, retryAfterMs);
  }

  /** Responds to a malformed request, or one whose headers are too large or arrive too slowly. */
  private refuseClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    const status =
      {
        HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
        ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
      }[err.code ?? ''] ?? '400 Bad Request';
    this.opts.logger.debug('caller-refused', { status, reason: err.code ?? err.message });
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}
