/**
 * Backend server that speaks the platform's protocol and records violations of the guarantees: a
 * model engine, or the server of a plain service if it has no models.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import type { Socket } from 'node:net';
import * as clocks from '../../src/core/clock/index.js';
import * as httpServers from '../../src/core/http/index.js';
import { BrittleRoom } from './brittle-room.js';
import { RequestLimitRecord } from './request-limit.js';
import { StatementRecord } from './statement-record.js';

export const STREAM_EVENTS = 8;
const MS_PER_S = 1_000;
const WORK_MS = 15;
const EVENT_INTERVAL_MS = 12;
const LOAD_MS = 150;
const HEARTBEAT_MS = 250;
/** Time from a crash until the server's entry is removed from the store. */
const REGISTRATION_EXPIRY_MS = 750;
/** A request with this header crashes the server that runs it; its value names the request. */
export const CRASH_HEADER = 'x-crash';
/** A request whose prompt has a segment of this prefix, not as its last, crashes the server too. */
export const CRASHING_SEGMENT_PREFIX = 'dead';
/** Events that a stream sends before its server crashes. */
const EVENTS_BEFORE_CRASH = 2;
export const DEFAULT_VERSION = 'v1';
export const MODEL_MB = 10;
/** Adapters that an engine can hold, over all of its models. */
export const ADAPTER_SLOTS = 8;

export interface EngineSpec {
  readonly name: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly memoryMb: number;
  readonly models: readonly string[];
  /** Version of its software, by default `DEFAULT_VERSION`; any other one is named in each event. */
  readonly version?: string;
  /** By default, `HEARTBEAT_MS` and `REGISTRATION_EXPIRY_MS`. */
  readonly registration?: RegistrationTimes;
  /** Without it, crashing requests run normally. */
  readonly crash?: CrashRule;
}

/** Times of a server's entry in the store. */
export interface RegistrationTimes {
  readonly heartbeatMs: number;
  /** Time from a crash until the entry is removed, ms. */
  readonly expiryMs: number;
}

/** How a server crashes under a crashing request. */
export interface CrashRule {
  /** Time that the crashing request runs before the server is affected, ms. */
  readonly delayMs: number;
  /** Time from the crash until the server is started again, ms. */
  readonly downMs: number;
  /** Whether the restarted server has the same id. */
  readonly keepsId: boolean;
  /** Time that the server is unresponsive before it crashes, ms. */
  readonly unresponsiveMs: number;
  /** What a stream has sent before its server crashes. */
  readonly streamSends: 'nothing' | 'head' | 'events';
}

/** Where a server writes its entry. */
export interface EntryStore {
  put(kind: string, name: string, spec: unknown): unknown;
  remove(kind: string, name: string): void;
}

/** Brittleness that a server names in its answers. */
export interface Brittleness {
  /** Requests that it may turn away in a second without a crash. */
  readonly perS: number;
  /** Time until it is started again after a crash, ms. */
  readonly downMs: number;
}

/** Writes raw bytes in place of the response to the request `id`. */
export type ResponseFault = (socket: Socket, id: string) => void;

export const DEFAULT_CRASH: CrashRule = {
  delayMs: 15,
  downMs: 2_000,
  keepsId: false,
  unresponsiveMs: 0,
  streamSends: 'events',
};

/**
 * The platform's `stable_window_ms`: arrivals of a crashing request are late if they come more than
 * this after the third crash. In the soak test, they count only if their VM and the store were
 * undisturbed for as long before.
 */
export const STABLE_WINDOW_MS = 3_000;
/** Maximum number of late arrivals of one crashing request. */
export const MAX_LATE_ARRIVALS = 3;

/** A run of a crashing request that began at a server. */
export interface Arrival {
  readonly atMs: number;
  readonly serverId: string;
  readonly requestId: string;
  /** Name of the crashing request, which its retries share, or the crashing segment. */
  readonly name: string;
}

/** What the servers of a test observe, and the violations that servers and callers find. */
export interface Observations {
  /** Number of runs by the request's id. */
  readonly runs: Map<string, number>;
  /** Arrivals of crashing requests. */
  readonly arrivals: Arrival[];
  /** Times at which servers crashed under crashing requests, with the names of the requests. */
  readonly crashes: { readonly atMs: number; readonly name: string }[];
  /** Descriptions of the violated guarantees. */
  readonly violations: string[];
}

/**
 * Number of arrivals of a crashing request more than `STABLE_WINDOW_MS` after its third crash, or
 * of the requests with a crashing segment after their fifth.
 * @param isCounted Whether an arrival counts; by default all do.
 */
export function lateArrivals(
  { crashes, arrivals }: Observations,
  name: string,
  isCounted: (arrival: Arrival) => boolean = () => true,
): number {
  const allowedCrashes = name.startsWith(CRASHING_SEGMENT_PREFIX) ? 5 : 3;
  const lastAllowedAtMs = crashes
    .filter((crash) => crash.name === name)
    .map(({ atMs }) => atMs)
    .sort((a, b) => a - b)[allowedCrashes - 1];
  if (lastAllowedAtMs === undefined) return 0;
  return arrivals.filter(
    (arrival) =>
      arrival.name === name &&
      arrival.atMs > lastAllowedAtMs + STABLE_WINDOW_MS &&
      isCounted(arrival),
  ).length;
}

interface OrderBody {
  readonly operation: string;
  readonly model: string;
  readonly adapter?: string;
  readonly expected: number;
  readonly holder: string;
  readonly fence: number;
}

function header(req: http.IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

/** Name of a crashing request or the crashing segment of its prompt; empty for any other request. */
function crashNameOf(req: http.IncomingMessage): string {
  const segments = header(req, 'prompt-prefix').split(',').slice(0, -1);
  const crashing = segments.find((segment) => segment.startsWith(CRASHING_SEGMENT_PREFIX));
  return crashing?.split(':', 1)[0] ?? header(req, CRASH_HEADER);
}

function isReport(req: http.IncomingMessage): boolean {
  return req.url === '/v1/report';
}

export class SoakEngine {
  private id = '';

  private bornMs = 0;

  private acceptedOrders = 0;

  private busy = false;

  /** Loaded models with their adapters. */
  private loadedModels = new Map<string, Set<string>>();

  private running = 0;

  private isUnresponsive = false;

  /** End of the time in which the server sends nothing. */
  private silence: Promise<void> = Promise.resolve();

  private isRetired = false;

  private slowdownFactor = 1;

  private dropsResponses = false;

  private failsHalf = false;

  private statesLeaving = false;

  /** Pause that the server asks for, and its end once a request has come; null for none. */
  private pause: { readonly ms: number; untilMs: number | null } | null = null;

  /** The server's statements that it leaves or wants a pause; null if it made none. */
  private statements: StatementRecord | null = null;

  private fault: ResponseFault | null = null;

  /** Null unless the server is brittle. */
  private brittleness: Brittleness | null = null;

  /** Slots that run no requests. */
  private blockedSlots = 0;

  /** The requests that wait for a slot, and those that were turned away. */
  readonly room = new BrittleRoom(STABLE_WINDOW_MS);

  /** The limit that the server names in its responses, and its requests. */
  readonly requestLimit = new RequestLimitRecord(STABLE_WINDOW_MS);

  private incarnation = 0;

  /** When requests arrived, with reports and orders, from `performance.now()`. */
  readonly received: number[] = [];

  private fence = 0;

  private readonly holderByFence = new Map<number, string>();

  private server: http.Server | null = null;

  private address = '';

  private readonly sockets = new Set<Socket>();

  private heartbeat: NodeJS.Timeout | null = null;

  constructor(
    private readonly spec: EngineSpec,
    private readonly store: EntryStore,
    private readonly observations: Observations,
  ) {}

  async start(): Promise<void> {
    this.incarnation += 1;
    this.nameLimit(null);
    this.id =
      this.spec.crash?.keepsId === true ? this.spec.name : `${this.spec.name}-${this.incarnation}`;
    this.bornMs = Date.now();
    this.acceptedOrders = 0;
    this.busy = false;
    this.loadedModels = new Map(this.spec.models.map((name) => [name, new Set<string>()]));
    this.running = 0;
    this.room.clear();
    const server = http.createServer((req, res) => {
      void this.handleRequest(req, res, this.incarnation);
    });
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.server = server;
    this.address = await httpServers.listen(server, '127.0.0.1:0');
    this.register();
    const { heartbeatMs } = this.spec.registration ?? { heartbeatMs: HEARTBEAT_MS };
    this.heartbeat = setInterval(() => this.register(), heartbeatMs);
  }

  /** Ends the process immediately; its entry is removed later. */
  crash(): void {
    const { id, bornMs } = this;
    this.incarnation += 1;
    if (this.heartbeat !== null) clearInterval(this.heartbeat);
    this.server?.close();
    this.sockets.forEach((socket) => socket.destroy());
    const { expiryMs } = this.spec.registration ?? { expiryMs: REGISTRATION_EXPIRY_MS };
    setTimeout(() => {
      // A server that was restarted under the same id has registered again; its entry stays.
      if (this.id !== id || this.bornMs === bornMs) this.store.remove('servers', id);
    }, expiryMs);
  }

  /** Crashes the server for good: a restart that is pending does not take place. */
  retire(): void {
    this.isRetired = true;
    this.crash();
  }

  /** Crashes the server under a crashing request and restarts it. */
  private async crashAndRestart(
    name: string,
    { delayMs, downMs, unresponsiveMs }: CrashRule,
    incarnation: number,
  ): Promise<void> {
    await clocks.sleep(delayMs);
    if (incarnation !== this.incarnation) return;
    this.isUnresponsive = true;
    await clocks.sleep(unresponsiveMs);
    if (incarnation !== this.incarnation) return;
    this.observations.crashes.push({ atMs: performance.now(), name });
    this.crash();
    await clocks.sleep(downMs);
    this.isUnresponsive = false;
    if (!this.isRetired) await this.start();
  }

  /** Accepts connections but sends no response for `ms`. */
  stopResponding(ms: number): void {
    this.isUnresponsive = true;
    setTimeout(() => {
      this.isUnresponsive = false;
    }, ms);
  }

  /** Sends nothing but reports for `ms`, and then goes on with all requests. */
  fallSilent(ms: number): void {
    this.silence = clocks.sleep(ms);
  }

  /** Refuses new connections for `ms`; those that are open live on. */
  refuseConnections(ms: number): void {
    const { server, incarnation } = this;
    if (server === null) return;
    const [host, port] = this.address.split(':');
    // Not that of the HTTP server, which also closes idle connections.
    net.Server.prototype.close.call(server);
    setTimeout(() => {
      if (incarnation === this.incarnation) server.listen(Number(port), host);
    }, ms);
  }

  /** Executes requests but resets their connections for `ms`. */
  dropResponses(ms: number): void {
    this.dropsResponses = true;
    setTimeout(() => {
      this.dropsResponses = false;
    }, ms);
  }

  /** Multiplies the durations of requests by `factor` for `ms`. */
  slowDown(ms: number, factor: number): void {
    this.slowdownFactor = factor;
    setTimeout(() => {
      this.slowdownFactor = 1;
    }, ms);
  }

  /** Fails every second request for `ms`, after having run it. */
  failHalf(ms: number): void {
    this.failsHalf = true;
    setTimeout(() => {
      this.failsHalf = false;
    }, ms);
  }

  /** States in all responses that the server is leaving; its entry does not tell. */
  stateLeaving(): StatementRecord {
    this.statesLeaving = true;
    this.statements = new StatementRecord();
    return this.statements;
  }

  /** Turns requests away for `ms` from the first one on, and asks for none as long. */
  turnAway(ms: number): StatementRecord {
    this.pause = { ms, untilMs: null };
    this.statements = new StatementRecord();
    return this.statements;
  }

  /** The `Retry-After` of the answer to request `id` if it comes in the pause, else null. */
  private retryAfter(id: string): string | null {
    if (this.pause === null) return null;
    const nowMs = performance.now();
    this.pause.untilMs ??= nowMs + this.pause.ms;
    const leftMs = this.pause.untilMs - nowMs;
    if (leftMs <= 0) return null;
    const seconds = (leftMs / MS_PER_S).toFixed(3);
    this.statements?.noteStatement(id, nowMs + Number(seconds) * MS_PER_S);
    return seconds;
  }

  /** Answers requests by `fault` from now on, after having begun to run them; null to stop. */
  setFault(fault: ResponseFault | null): void {
    this.fault = fault;
  }

  /** Names a request limit in all responses from now on; null to name none. */
  nameLimit(perS: number | null): void {
    this.requestLimit.change(perS);
  }

  /** Names brittleness in all responses from now on, also after a restart; null to name none. */
  nameBrittle(brittleness: Brittleness | null): void {
    this.brittleness = brittleness;
    this.room.setBrittle(brittleness?.perS ?? null);
  }

  /** Runs so many requests fewer at once than its entry tells. */
  blockSlots(count: number): void {
    this.blockedSlots = count;
  }

  /** Takes a slot, at once or after a wait; false if the request is turned away. */
  private async takeSlot(): Promise<boolean> {
    if (this.running < this.spec.slots - this.blockedSlots) {
      this.running += 1;
      return true;
    }
    return this.room.wait();
  }

  /** Gives the slot to the first request that waits, or frees it. */
  private freeSlot(incarnation: number): void {
    if (incarnation !== this.incarnation) return;
    if (!this.room.admitNext()) this.running -= 1;
  }

  /** Crashes the server if it has turned too many requests away, and restarts it. */
  private async fallOver(): Promise<void> {
    const { downMs } = this.brittleness ?? {};
    if (downMs === undefined || !this.room.noteTurnedAway()) return;
    this.crash();
    await clocks.sleep(downMs);
    if (!this.isRetired) await this.start();
  }

  private writeHead(
    res: http.ServerResponse,
    status: number,
    headers: http.OutgoingHttpHeaders = {},
  ): http.ServerResponse {
    const perS = this.requestLimit.nameInResponse();
    const id = headers['Attempt-Id'];
    if (this.statesLeaving && typeof id === 'string') this.statements?.noteStatement(id, Infinity);
    return res.writeHead(status, {
      ...(perS === null ? {} : { 'Server-Limit': String(perS) }),
      ...(this.brittleness === null ? {} : { 'Server-Brittle': String(this.brittleness.perS) }),
      ...(this.statesLeaving ? { 'Server-Leaving': '1' } : {}),
      ...headers,
    });
  }

  private register(): void {
    if (this.isUnresponsive || this.server === null) return;
    this.store.put('servers', this.id, {
      service: this.spec.service,
      address: this.address,
      zone: this.spec.dataCentre,
      version: this.spec.version ?? DEFAULT_VERSION,
      engine_slots: this.spec.slots,
      state: 'ready',
      ...this.state(),
    });
  }

  private state() {
    return {
      seq: this.acceptedOrders,
      born: this.bornMs,
      busy: this.busy,
      models: [...this.loadedModels].map(([name, adapters]) => ({
        name,
        version: 1,
        adapters: [...adapters],
      })),
      at_hand: { in_memory: [], on_disk: [] },
    };
  }

  private async handleRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    incarnation: number,
  ) {
    const parts: Buffer[] = [];
    req.on('data', (bytes: Buffer) => parts.push(bytes));
    await new Promise((resolve) => {
      req.on('end', resolve);
    });
    if (this.isUnresponsive) return;
    if (!isReport(req)) await this.silence;
    this.requestLimit.noteArrival();
    this.received.push(performance.now());
    if (isReport(req)) {
      this.writeHead(res, 200, { 'content-type': 'application/json' }).end(
        JSON.stringify(this.state()),
      );
    } else if (req.url === '/v1/order') {
      this.writeHead(
        res,
        this.order(JSON.parse(Buffer.concat(parts).toString()) as OrderBody),
      ).end();
    } else {
      await this.execute(req, res, incarnation);
    }
  }

  private order(body: OrderBody): number {
    const { operation, model, expected, holder, fence } = body;
    if (fence < this.fence) return 412;
    const knownHolder = this.holderByFence.get(fence);
    if (knownHolder !== undefined && knownHolder !== holder) {
      this.observations.violations.push(
        `ONE: ${knownHolder} and ${holder} both sent engine orders with fencing token ${fence}`,
      );
    }
    this.holderByFence.set(fence, holder);
    this.fence = fence;
    const isAdapterOrder = body.adapter !== undefined;
    if ((this.busy && !isAdapterOrder) || expected !== this.acceptedOrders) return 409;
    this.acceptedOrders += 1;
    if (isAdapterOrder) return this.adapterOrder(body);
    if (operation === 'model_unload') {
      this.loadedModels.delete(model);
      return 200;
    }
    if (
      (this.loadedModels.size + 1) * MODEL_MB > this.spec.memoryMb &&
      !this.loadedModels.has(model)
    ) {
      this.observations.violations.push(
        `LIMIT: ${this.id} received an order to load ${model} beyond its memory`,
      );
    }
    this.busy = true;
    const { incarnation } = this;
    setTimeout(() => {
      if (incarnation !== this.incarnation) return;
      this.busy = false;
      this.loadedModels.set(model, new Set());
    }, LOAD_MS);
    return 202;
  }

  /** Whether a model, or an adapter named MODEL/ADAPTER, is loaded. */
  private hasLoaded(name: string): boolean {
    const [model = '', adapter] = name.split('/');
    const adapters = this.loadedModels.get(model);
    return adapters !== undefined && (adapter === undefined || adapters.has(adapter));
  }

  private adapterOrder({ operation, model, adapter = '' }: OrderBody): number {
    const adapters = this.loadedModels.get(model);
    if (adapters === undefined) return 421;
    if (operation === 'model_unload') {
      adapters.delete(adapter);
      return 200;
    }
    adapters.add(adapter);
    const count = [...this.loadedModels.values()].reduce((sum, { size }) => sum + size, 0);
    if (count > ADAPTER_SLOTS) {
      this.observations.violations.push(
        `LIMIT: ${this.id} received an order to load ${model}/${adapter} beyond its adapter slots`,
      );
    }
    return 202;
  }

  private async execute(req: http.IncomingMessage, res: http.ServerResponse, incarnation: number) {
    const id = header(req, 'attempt-id');
    const model = header(req, 'model');
    const reject = (status: number, headers: http.OutgoingHttpHeaders = {}) =>
      this.writeHead(res, status, { 'Attempt-Id': id, 'Not-Executed': '1', ...headers }).end();
    this.statements?.noteArrival(id);
    const retryAfter = this.retryAfter(id);
    if (retryAfter !== null) return reject(503, { 'Retry-After': retryAfter });
    if (header(req, 'target-instance') !== this.id) return reject(421);
    if (model !== '' && !this.hasLoaded(model)) return reject(421);
    if (!(await this.takeSlot())) {
      reject(503);
      return this.fallOver();
    }
    if (incarnation !== this.incarnation) return res;
    if (header(req, 'tenant') === '' || req.headers.authorization !== undefined) {
      this.observations.violations.push(
        `UNASKED: ${id} arrived without its customer or with its key`,
      );
    }
    this.observations.runs.set(id, (this.observations.runs.get(id) ?? 0) + 1);
    if (this.fault !== null && !req.socket.destroyed) {
      this.freeSlot(incarnation);
      // Not the socket of the response: it has none behind a request that was answered so before.
      return this.fault(req.socket, id);
    }
    const { crash } = this.spec;
    const crashName = crashNameOf(req);
    if (crash !== undefined && crashName !== '') {
      this.observations.arrivals.push({
        atMs: performance.now(),
        serverId: this.id,
        requestId: id,
        name: crashName,
      });
      if (req.url?.startsWith('/stream/') === true) {
        this.sendBeforeCrash(req, res, id, crash.streamSends);
      }
      await this.crashAndRestart(crashName, crash, incarnation);
      return res;
    }
    await clocks.sleep(WORK_MS * this.slowdownFactor);
    if (this.failsHalf && this.observations.runs.size % 2 === 0) {
      this.freeSlot(incarnation);
      return this.writeHead(res, 500, { 'Attempt-Id': id, 'Response-Seal': 'seal' }).end();
    }
    await this.silence;
    if (model === '') this.respond(res, id);
    else await this.stream(req, res, id, incarnation);
    this.freeSlot(incarnation);
    return res;
  }

  private respond(res: http.ServerResponse, id: string): void {
    if (this.isUnresponsive) return;
    if (this.dropsResponses) {
      res.socket?.resetAndDestroy();
      return;
    }
    this.writeHead(res, 200, { 'Attempt-Id': id, 'Response-Seal': 'seal' }).end(`whole ${id}`);
  }

  private sendBeforeCrash(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    id: string,
    sends: CrashRule['streamSends'],
  ): void {
    if (sends === 'nothing') return;
    const first = Number(header(req, 'last-event-id') || '0') + 1;
    this.writeHead(res, 200, {
      'Attempt-Id': id,
      'Response-Seal': 'seal',
      'Content-Type': 'text/event-stream',
    });
    if (sends === 'head') {
      res.flushHeaders();
      return;
    }
    for (let at = first; at < first + EVENTS_BEFORE_CRASH; at += 1) {
      res.write(`id: ${at}\ndata: ${id} ${at}\n\n`);
    }
  }

  private async stream(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    id: string,
    incarnation: number,
  ): Promise<void> {
    const first = Number(header(req, 'last-event-id') || '0') + 1;
    this.writeHead(res, 200, {
      'Attempt-Id': id,
      'Response-Seal': 'seal',
      'Content-Type': 'text/event-stream',
    });
    for (let at = first; at <= STREAM_EVENTS; at += 1) {
      await clocks.sleep(EVENT_INTERVAL_MS * this.slowdownFactor);
      while (this.isUnresponsive) await clocks.sleep(EVENT_INTERVAL_MS);
      await this.silence;
      if (incarnation !== this.incarnation || res.destroyed) return;
      if (this.dropsResponses && at === STREAM_EVENTS / 2) res.socket?.resetAndDestroy();
      const { version } = this.spec;
      res.write(`id: ${at}\ndata: ${id} ${at}${version === undefined ? '' : ` ${version}`}\n\n`);
    }
    res.end();
  }
}
