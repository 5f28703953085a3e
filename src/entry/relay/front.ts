/** Takes callers' requests, checks them, and hands each to its exchange. */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import * as clocks from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
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
  RepeatRule,
  type Route,
} from '../../decisions/fleet-plan/index.js';
import { readBody } from '../gateway/read-body.js';
import { errorBody } from '../gateway/reply.js';
import type { RelayContext } from './context.js';
import { Exchange } from './exchange.js';
import type { FollowerTask } from './follower.js';
import type { RequestFacts } from './types.js';

/** Slow senders are looked for this often, ms. */
const CHECK_CONNECTIONS_MS = 500;
/** Connections that have become idle are closed this often while stopping, ms. */
const DRAIN_POLL_MS = 10;
/** Longest body while no plan is known, bytes. */
const FIRST_MAX_BODY_BYTES = 1_048_576;
const MS_PER_S = 1000;
/** Return time where another entry VM serves the request, ms. */
const LEAVING_RETURN_MS = 50;
/** Return time where this entry VM does not know enough to serve, ms. */
const UNREADY_RETURN_MS = 500;

export interface FrontOptions {
  readonly listen: string;
  readonly ctx: RelayContext;
  readonly follower: FollowerTask;
  readonly random: Random;
  readonly logger: Logger;
  /** Age of the plan beyond which an unknown route or key may just be unheard of, ms. */
  readonly staleAfterMs: number;
}

interface Refused {
  readonly def: errors.ErrorDefinition;
  readonly retryAfterMs: number | null;
}

function refused(def: errors.ErrorDefinition, retryAfterMs: number | null = null): Refused {
  return { def, retryAfterMs };
}

/** Formats a time to return as seconds with fractions. */
export function formatRetryAfter(ms: number): string {
  return (Math.ceil(ms) / MS_PER_S).toString();
}

/** Writes an answer of our own, with the time to return where the request did not run. */
export function replyOwn(
  res: http.ServerResponse,
  ownHeaders: readonly string[],
  failure: errors.Failure,
  retryAfterMs: number | null,
  closes: boolean,
): void {
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  const mayHaveRun = failure.status === 502 || failure.status === 504;
  const ran = mayHaveRun ? errors.Ran.unknown : errors.Ran.no;
  const body = JSON.stringify(errorBody({ failure, ran, retryAfterMs: retryAfterMs ?? 0 }));
  const headers = [
    ...ownHeaders,
    'Content-Type',
    'application/json',
    'Content-Length',
    String(Buffer.byteLength(body)),
  ];
  if (retryAfterMs !== null) headers.push('Retry-After', formatRetryAfter(retryAfterMs));
  if (closes || !res.req.complete) headers.push('Connection', 'close');
  res.writeHead(failure.status, headers);
  res.end(body);
}

export class FrontTask implements Task {
  readonly name = 'front';

  private server: http.Server | null = null;

  private active = 0;

  constructor(private readonly opts: FrontOptions) {}

  get activeCount(): number {
    return this.active;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    const server = http.createServer({
      connectionsCheckingInterval: CHECK_CONNECTIONS_MS,
      keepAlive: true,
      noDelay: true,
      requireHostHeader: true,
    });
    this.server = server;
    server.requestTimeout = 0;
    server.on('request', (req, res) => {
      void this.take(req, res);
    });
    server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.answerBroken(err, socket as Socket),
    );
    await https.listen(server, this.opts.listen);
    server.on('error', fail);
    this.applyLimits();
  }

  async stop(): Promise<void> {
    await https.close(this.server);
  }

  /** Applies the operator's limits to new connections and requests. */
  applyLimits(): void {
    const { plan } = this.opts.follower;
    if (this.server === null || plan === null) return;
    const { limits } = plan;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    Object.assign(this.server, { maxHeaderSize: limits.maxHeaderBytes });
  }

  /** Closes connections on which no request is under way. */
  closeIdle(): void {
    this.server?.closeIdleConnections();
  }

  /**
   * Takes no new connections, and resolves once all that are open have ended by themselves: whoever
   * was accepted last is answered like all others.
   */
  async drain(untilMs: number): Promise<void> {
    const { clock } = this.opts.ctx;
    let isOver = false;
    this.server?.close(() => {
      isOver = true;
    });
    while (!isOver && clock.steadyMs() < untilMs) {
      this.closeIdle();
      await clocks.sleep(DRAIN_POLL_MS);
    }
  }

  private async take(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    this.active += 1;
    res.on('error', (err) => this.opts.logger.debug('caller-lost', { reason: err.message }));
    try {
      await this.serve(req, res);
    } catch (err) {
      this.opts.logger.error('request-failed', { reason: errors.describe(err) });
      this.reply(res, null, refused(errors.data.BackendFailed));
    } finally {
      this.active -= 1;
    }
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { clock, wire } = this.opts.ctx;
    const arrivedAtMs = clock.steadyMs();
    const facts = wire.decodeRequest(req.rawHeaders);
    const first = facts === null ? refused(errors.data.BadRequest) : this.check(req, facts);
    if ('def' in first) {
      this.reply(res, facts?.id ?? null, first);
      return;
    }
    const maxBytes = this.opts.follower.plan?.limits.maxBodyBytes ?? FIRST_MAX_BODY_BYTES;
    const body = await readBody(req, maxBytes);
    if (body.isErr) {
      if (!req.destroyed || req.complete) {
        this.reply(res, facts?.id ?? null, refused(errors.data.BodyTooLarge));
      }
      return;
    }
    // Looked at again: the plan may have changed while the body came in.
    const checked = facts === null ? first : this.check(req, facts);
    if ('def' in checked || facts === null) {
      this.reply(res, facts?.id ?? null, checked as Refused);
      return;
    }
    const service = pickTarget(checked.route.targets, this.opts.random.real());
    if (service === undefined) {
      this.reply(res, facts.id, refused(errors.data.NoCapacity, UNREADY_RETURN_MS));
      return;
    }
    await new Exchange(this.opts.ctx, {
      req,
      res,
      facts,
      ...checked,
      service,
      body: body.value,
      arrivedAtMs,
    }).serve();
  }

  /** The route and customer of a request, or why it is not served. */
  private check(
    req: http.IncomingMessage,
    facts: RequestFacts,
  ): { plan: FleetPlan; route: Route; customer: Customer | null } | Refused {
    const { follower, ctx } = this.opts;
    const { plan } = follower;
    if (plan === null) return refused(errors.data.PlatformDown, UNREADY_RETURN_MS);
    const stale = follower.planAgeMs() > this.opts.staleAfterMs;
    const unheardOf = (def: errors.ErrorDefinition) =>
      stale ? refused(errors.data.PlatformDown, UNREADY_RETURN_MS) : refused(def);
    const route = findRoute(plan, req.headers.host ?? '', req.url ?? '/');
    if (route === undefined) return unheardOf(errors.data.UnknownRoute);
    if (!ctx.takesRequest(route.repeat === RepeatRule.stream)) {
      return refused(errors.data.Leaving, LEAVING_RETURN_MS);
    }
    if (route.isPublic || !plan.needsKeys) return { plan, route, customer: null };
    if (facts.key === null) return refused(errors.data.MissingKey);
    const name = plan.customerByKeyHash.get(hashKey(facts.key));
    const customer = name === undefined ? undefined : plan.customers.get(name);
    if (customer === undefined) return unheardOf(errors.data.KeyRefused);
    if (!ctx.mayRun(customer)) return refused(errors.data.KeysUnconfirmed, UNREADY_RETURN_MS);
    return { plan, route, customer };
  }

  private reply(res: http.ServerResponse, id: string | null, { def, retryAfterMs }: Refused): void {
    const failure = errors.createFailure(def, 'check request', 'caller');
    const fields: LogFields = { reason: def.name, retryAfterMs };
    if (id !== null) this.opts.ctx.log('refused', id, fields);
    this.opts.ctx.replyOwn(res, id, failure, retryAfterMs);
  }

  /** Bytes that are no proper request, or that came too slowly. */
  private answerBroken(err: NodeJS.ErrnoException, socket: Socket): void {
    const status =
      {
        HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
        ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
      }[err.code ?? ''] ?? '400 Bad Request';
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}
