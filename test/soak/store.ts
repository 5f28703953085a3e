/** In-memory platform store that speaks the platform's protocol and can be made to fail. */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import * as clocks from '../../src/core/clock/index.js';
import * as httpServers from '../../src/core/http/index.js';

/** How the store handles calls. */
export const StoreMode = {
  normal: 'well',
  /** Rejects calls with 503 and does not execute them. */
  busy: 'busy',
  /** Neither executes nor answers calls. */
  silent: 'silent',
  /** Answers after `SLOW_RESPONSE_MS`. */
  slow: 'slow',
  /** Executes writes and closes their connections without a response. */
  responseLost: 'lost',
} as const;
export type StoreMode = (typeof StoreMode)[keyof typeof StoreMode];

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

/** What a store holds at one moment. */
export interface StoreCopy {
  readonly revision: number;
  readonly objects: ReadonlyMap<string, StoredObject>;
}

interface StoreResponse {
  readonly status: number;
  readonly body: unknown;
}

const SLOW_RESPONSE_MS = 300;
/** A page of a list holds about this much at most. */
const MAX_PAGE_OBJECTS = 500;
const MAX_PAGE_BYTES = 1_048_576;
/** Key of the object that holds the lease. */
const STEWARD_LEASE = 'bilberrystand/steward';
const OBJECT_PATH = /^\/v1\/objects\/([^/?]+)(?:\/([^/?]+))?$/;

/** Address of a server in its entry. */
const SERVER_ADDRESS = /(?<="address":")127\.0\.0\.1:\d+/g;

export class SoakStore {
  mode: StoreMode = StoreMode.normal;

  /** Time spans in which the store was not in its normal mode. */
  private readonly disturbances: { readonly fromMs: number; readonly toMs: number }[] = [];

  private revision = 1;

  /** Increases by one when the store returns from a copy. */
  private era = 1;

  private readonly objects = new Map<string, StoredObject>();

  private history: Change[] = [];

  private compactedRevision = 0;

  /** Objects whose calls are rejected, KIND/NAME. */
  private readonly refused = new Set<string>();

  private replaced = { text: '', by: '' };

  private readonly watchers = new Set<() => void>();

  private readonly sockets = new Set<Socket>();

  private readonly server = http.createServer((req, res) => {
    void this.handleRequest(req, res);
  });

  /** Switches to `mode` for `ms`; resolves once the store is in its normal mode again. */
  async runInMode(mode: StoreMode, ms: number): Promise<void> {
    const fromMs = performance.now();
    this.mode = mode;
    await clocks.sleep(ms);
    this.mode = StoreMode.normal;
    this.disturbances.push({ fromMs, toMs: performance.now() });
  }

  /** Whether the store was in its normal mode between two times. */
  wasUndisturbed(fromMs: number, toMs: number): boolean {
    return !this.disturbances.some((span) => span.fromMs <= toMs && span.toMs >= fromMs);
  }

  /** @param beforeServers Called before a server's entry with this address can be read. */
  constructor(
    private readonly beforeServers: (address: string) => Promise<void> = async () => {},
  ) {}

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

  /** Drops the change history: watches from older revisions get status 410. */
  compact(): void {
    this.history = [];
    this.compactedRevision = this.revision;
    this.notifyWatchers();
  }

  copy(): StoreCopy {
    return { revision: this.revision, objects: new Map(this.objects) };
  }

  /** Returns from a copy: later writes are lost, and their revisions are assigned again. */
  restore({ revision, objects }: StoreCopy): void {
    this.era += 1;
    this.revision = revision;
    this.objects.clear();
    objects.forEach((object, key) => this.objects.set(key, object));
    this.history = this.history.filter((change) => change.revision <= revision);
    this.compactedRevision = Math.min(this.compactedRevision, revision);
    this.notifyWatchers();
  }

  /** Writes the configuration again that a restore has lost, and removes the servers that had left. */
  rewrite({ objects }: StoreCopy): void {
    [...objects.values()]
      .filter(({ kind }) => kind === 'config')
      .forEach(({ kind, metadata, spec }) => this.put(kind, metadata.name, spec));
    [...this.objects]
      .filter(([key, { kind }]) => kind === 'servers' && !objects.has(key))
      .forEach(([, { kind, metadata }]) => this.remove(kind, metadata.name));
  }

  /** Replaces a text in all bodies, for values that `JSON.stringify` can't write. */
  replaceInBodies(text: string, by: string): void {
    this.replaced = { text, by };
  }

  /** Rejects all calls for an object; `key` is KIND/NAME. */
  rejectCallsFor(key: string): void {
    this.refused.add(key);
  }

  /** VM that holds the steward lease; null if there is none. */
  leaseHolder(): string | null {
    const stored = this.objects.get(STEWARD_LEASE)?.spec as { holder?: string } | undefined;
    return stored?.holder ?? null;
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
    this.notifyWatchers();
  }

  private notifyWatchers(): void {
    [...this.watchers].forEach((watcher) => watcher());
  }

  private async handleRequest(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { mode } = this;
    if (mode === StoreMode.silent) return;
    if (mode === StoreMode.busy) {
      res.writeHead(503, this.eraHeader()).end();
      return;
    }
    const parts: Buffer[] = [];
    req.on('data', (bytes: Buffer) => parts.push(bytes));
    await new Promise((resolve) => {
      req.on('end', resolve);
    });
    if (mode === StoreMode.slow) {
      await clocks.sleep(SLOW_RESPONSE_MS);
    }
    const { status, body } = await this.process(req, Buffer.concat(parts).toString());
    if (mode === StoreMode.responseLost && req.method !== 'GET') {
      req.socket.destroy();
      return;
    }
    const text = JSON.stringify(body);
    const servers = new Set(text.match(SERVER_ADDRESS) ?? []);
    await Promise.all([...servers].map((address) => this.beforeServers(address)));
    res
      .writeHead(status, { 'content-type': 'application/json', ...this.eraHeader() })
      .end(text.replace(this.replaced.text, this.replaced.by));
  }

  private eraHeader(): Readonly<Record<string, string>> {
    return { 'store-era': String(this.era) };
  }

  private async process(req: http.IncomingMessage, text: string): Promise<StoreResponse> {
    const url = new URL(req.url ?? '/', 'http://store');
    const [, kind = '', name] = OBJECT_PATH.exec(url.pathname) ?? [];
    const since = url.searchParams.get('watch');
    if (this.refused.has(`${kind}/${name}`)) return { status: 503, body: {} };
    if (req.method === 'GET' && since !== null) {
      return this.watch(kind, Number(since), Number(url.searchParams.get('wait_ms') ?? 0));
    }
    if (req.method === 'GET' && name === undefined) {
      return this.list(kind, url.searchParams.get('after') ?? '');
    }
    if (req.method === 'GET') {
      const object = this.objects.get(`${kind}/${name}`);
      return object === undefined ? { status: 404, body: {} } : { status: 200, body: object };
    }
    return this.write(kind, name, text);
  }

  /** A page of the objects of a kind, by name; it ends with the object that fills it. */
  private list(kind: string, after: string): StoreResponse {
    const left = [...this.objects.values()]
      .filter((object) => object.kind === kind && object.metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    const items: StoredObject[] = [];
    let bytes = 0;
    while (items.length < Math.min(left.length, MAX_PAGE_OBJECTS) && bytes < MAX_PAGE_BYTES) {
      const object = left[items.length] as StoredObject;
      bytes += Buffer.byteLength(JSON.stringify(object));
      items.push(object);
    }
    const hasMore = items.length < left.length;
    return { status: 200, body: { items, has_more: hasMore, current_rev: this.revision } };
  }

  private write(kind: string, name: string | undefined, text: string): StoreResponse {
    const { metadata, spec } = JSON.parse(text) as StoredObject;
    const stored = this.objects.get(`${kind}/${name ?? metadata.name}`);
    const existsAsExpected = name === undefined ? stored === undefined : stored !== undefined;
    const current = name === undefined || stored?.metadata.revision === metadata.revision;
    if (!existsAsExpected || !current) return { status: 409, body: stored ?? {} };
    return { status: 200, body: this.put(kind, name ?? metadata.name, spec) };
  }

  private async watch(kind: string, since: number, waitMs: number): Promise<StoreResponse> {
    const untilMs = performance.now() + waitMs;
    const events = () =>
      this.history.filter((change) => change.kind === kind && change.revision > since);
    const isGone = () => since < this.compactedRevision || since > this.revision;
    const isOver = () => isGone() || events().length > 0 || performance.now() >= untilMs;
    while (!isOver()) await this.waitForChange(untilMs);
    if (isGone()) return { status: 410, body: {} };
    return { status: 200, body: { events: events(), current_rev: this.revision } };
  }

  private waitForChange(untilMs: number): Promise<void> {
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
