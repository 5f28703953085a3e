/** A platform's store in memory, on the platform's wire, that can be made to fail. */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import * as clocks from '../../src/core/clock/index.js';
import * as httpServers from '../../src/core/http/index.js';

/** How the store treats a call. */
export const StoreMood = {
  well: 'well',
  /** Turns calls away: nothing is done. */
  busy: 'busy',
  /** Does nothing and answers nothing. */
  silent: 'silent',
  slow: 'slow',
  /** Does what is asked and does not answer. */
  lost: 'lost',
} as const;
export type StoreMood = (typeof StoreMood)[keyof typeof StoreMood];

interface StoredObject {
  readonly kind: string;
  readonly metadata: { readonly name: string; readonly revision: number };
  readonly spec: unknown;
}

interface Change {
  readonly revision: number;
  readonly kind: string;
  readonly object: StoredObject;
  readonly deleted: boolean;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

const SLOW_MS = 300;
const OBJECTS = /^\/v1\/objects\/([^/?]+)(?:\/([^/?]+))?$/;

export class SoakStore {
  mood: StoreMood = StoreMood.well;

  /** Spans in which the store did not behave well. */
  private readonly unrest: { readonly fromMs: number; readonly toMs: number }[] = [];

  private revision = 1;

  private readonly objects = new Map<string, StoredObject>();

  private history: Change[] = [];

  private forgottenUpTo = 0;

  private readonly refused = new Set<string>();

  private readonly watchers = new Set<() => void>();

  private readonly sockets = new Set<Socket>();

  private readonly server = http.createServer((req, res) => {
    void this.answer(req, res);
  });

  /** The store behaves otherwise for `ms`; resolves once it behaves well again. */
  async beMoody(mood: StoreMood, ms: number): Promise<void> {
    const fromMs = performance.now();
    this.mood = mood;
    await clocks.sleep(ms);
    this.mood = StoreMood.well;
    this.unrest.push({ fromMs, toMs: performance.now() });
  }

  /** Whether the store behaved well between two moments. */
  wasCalm(fromMs: number, toMs: number): boolean {
    return !this.unrest.some((span) => span.fromMs <= toMs && span.toMs >= fromMs);
  }

  async start(): Promise<string> {
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    return httpServers.listen(this.server, '127.0.0.1:0');
  }

  stop(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Drops the history: watches are told that it is gone. */
  compact(): void {
    this.history = [];
    this.forgottenUpTo = this.revision;
    this.wake();
  }

  /** Turns calls for this object away, KIND/NAME. */
  refuse(key: string): void {
    this.refused.add(key);
  }

  put(kind: string, name: string, spec: unknown): StoredObject {
    this.revision += 1;
    const object = { kind, metadata: { name, revision: this.revision }, spec };
    this.objects.set(`${kind}/${name}`, object);
    this.note({ revision: this.revision, kind, object, deleted: false });
    return object;
  }

  remove(kind: string, name: string): void {
    const object = this.objects.get(`${kind}/${name}`);
    if (object === undefined) return;
    this.objects.delete(`${kind}/${name}`);
    this.revision += 1;
    this.note({ revision: this.revision, kind, object, deleted: true });
  }

  private note(change: Change): void {
    this.history.push(change);
    this.wake();
  }

  private wake(): void {
    [...this.watchers].forEach((watcher) => watcher());
  }

  private async answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { mood } = this;
    if (mood === StoreMood.silent) return;
    if (mood === StoreMood.busy) {
      res.writeHead(503).end();
      return;
    }
    const parts: Buffer[] = [];
    req.on('data', (bytes: Buffer) => parts.push(bytes));
    await new Promise((resolve) => {
      req.on('end', resolve);
    });
    if (mood === StoreMood.slow) {
      await clocks.sleep(SLOW_MS);
    }
    const { status, body } = await this.handle(req, Buffer.concat(parts).toString());
    if (mood === StoreMood.lost && req.method !== 'GET') {
      req.socket.destroy();
      return;
    }
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }

  private async handle(req: http.IncomingMessage, text: string): Promise<Answer> {
    const url = new URL(req.url ?? '/', 'http://store');
    const [, kind = '', name] = OBJECTS.exec(url.pathname) ?? [];
    const since = url.searchParams.get('watch');
    if (this.refused.has(`${kind}/${name}`)) return { status: 503, body: {} };
    if (req.method === 'GET' && since !== null) {
      return this.watch(kind, Number(since), Number(url.searchParams.get('wait_ms') ?? 0));
    }
    if (req.method === 'GET' && name === undefined) {
      const items = [...this.objects.values()].filter((object) => object.kind === kind);
      return { status: 200, body: { items, has_more: false, current_rev: this.revision } };
    }
    if (req.method === 'GET') {
      const object = this.objects.get(`${kind}/${name}`);
      return object === undefined ? { status: 404, body: {} } : { status: 200, body: object };
    }
    return this.write(kind, name, text);
  }

  private write(kind: string, name: string | undefined, text: string): Answer {
    const { metadata, spec } = JSON.parse(text) as StoredObject;
    const known = this.objects.get(`${kind}/${name ?? metadata.name}`);
    const fits = name === undefined ? known === undefined : known !== undefined;
    const current = name === undefined || known?.metadata.revision === metadata.revision;
    if (!fits || !current) return { status: 409, body: known ?? {} };
    return { status: 200, body: this.put(kind, name ?? metadata.name, spec) };
  }

  private async watch(kind: string, since: number, waitMs: number): Promise<Answer> {
    const untilMs = performance.now() + waitMs;
    const events = () =>
      this.history.filter((change) => change.kind === kind && change.revision > since);
    const isOver = () =>
      since < this.forgottenUpTo || events().length > 0 || performance.now() >= untilMs;
    while (!isOver()) await this.nextChange(untilMs);
    if (since < this.forgottenUpTo) return { status: 410, body: {} };
    return { status: 200, body: { events: events(), current_rev: this.revision } };
  }

  private nextChange(untilMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        this.watchers.delete(done);
        resolve();
      };
      this.watchers.add(done);
      setTimeout(done, Math.max(1, untilMs - performance.now()));
    });
  }
}
