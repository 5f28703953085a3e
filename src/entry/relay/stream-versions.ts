/**
 * Keeps the software versions of recent streams, and shares them with the other entry VMs while
 * servers of several versions serve.
 */
import * as clocks from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import {
  type BegunStream,
  type SeenVersion,
  STREAM_TTL_MS,
  StreamVersions,
} from '../../decisions/stream-versions/index.js';
import { type RelayMessage, type RelayMessageOf, RelayMessageType } from './messages.js';

/** Interval at which newly begun streams are sent, ms. */
const SEND_INTERVAL_MS = 25;
/** Time in which the version of a stream may still arrive from another entry VM, ms. */
const LOOKUP_WAIT_MS = 300;
/** Time in which the list of servers may still be confirmed, ms: about half of a caller's patience. */
const CONFIRM_WAIT_MS = 1_000;
const LOOKUP_POLL_MS = 25;

export interface StreamVersionsOptions {
  readonly clock: clocks.Clock;
  readonly logger: Logger;
  /** Sends a message to the steward; false if it could not be sent. */
  send(message: RelayMessage): boolean;
  /** Whether all that other entry VMs stored of streams is known here. */
  isLoaded(): boolean;
  /** Whether the list of servers includes all that joined before `sinceMs`; may call the store. */
  confirmServers(sinceMs: number): Promise<boolean>;
}

export class StreamVersionsTask implements Task {
  readonly name = 'stream-versions';

  private readonly streams = new StreamVersions();

  /** Streams that have not been sent to the steward. */
  private unsent: BegunStream[] = [];

  private wasMixed = false;

  private timer: NodeJS.Timeout | null = null;

  /** Increases when a stream is added. */
  changes = 0;

  /** Increases when this VM begins a stream. */
  ownChanges = 0;

  /** Recent streams that this VM has begun, the oldest first. */
  private readonly own: BegunStream[] = [];

  constructor(private readonly opts: StreamVersionsOptions) {}

  async start(): Promise<void> {
    this.timer = setInterval(() => this.sendNew(), SEND_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  noteServers(servers: ReadonlyMap<string, BackendServer>): void {
    this.streams.noteServers(this.opts.clock.nowMs(), servers.values());
  }

  /** Records that a server has begun a stream. */
  noteBegun(id: string, { service, version }: BackendServer): void {
    const stream = { id, service, version, atMs: this.opts.clock.nowMs() };
    if (!this.streams.noteBegun(stream)) return;
    this.changes += 1;
    this.ownChanges += 1;
    this.own.push(stream);
    this.dropExpiredOwn(stream.atMs);
    if (this.isMixed) this.unsent.push(stream);
  }

  /** Recent streams that this VM has begun. */
  ownStreams(): readonly BegunStream[] {
    this.dropExpiredOwn(this.opts.clock.nowMs());
    return this.own;
  }

  private dropExpiredOwn(nowMs: number): void {
    const kept = this.own.findIndex(({ atMs }) => nowMs - atMs <= STREAM_TTL_MS);
    this.own.splice(0, kept < 0 ? this.own.length : kept);
  }

  /** Records streams that another entry VM has sent or stored. */
  addStreams(streams: readonly BegunStream[]): void {
    const added = streams.filter((stream) => this.streams.noteBegun(stream));
    this.changes += added.length;
  }

  addSeenVersions(versions: readonly SeenVersion[]): void {
    versions.forEach((seen) => this.streams.noteSeen(seen));
  }

  addReceived({ streams }: RelayMessageOf<'streams'>): void {
    const nowMs = this.opts.clock.nowMs();
    this.addStreams(streams.map(({ ageMs, ...stream }) => ({ ...stream, atMs: nowMs - ageMs })));
  }

  /** Service that began a stream; undefined if the stream is not known. */
  serviceOf(id: string | null): string | undefined {
    return id === null ? undefined : this.streams.find(id)?.service;
  }

  /** Version at which a stream of the service may be resumed; null if that is not known. */
  async versionFor(id: string | null, service: string): Promise<string | null> {
    const { clock } = this.opts;
    const begun = this.beginVersion(id);
    if (begun !== null) return begun;
    // A server of another version may have joined and begun the stream before the caller took it up.
    const isComplete = await this.confirmServers(clock.nowMs());
    const find = () => this.beginVersion(id) ?? (isComplete ? this.onlyVersion(service) : null);
    const untilMs = clock.steadyMs() + LOOKUP_WAIT_MS;
    let version = find();
    while (version === null && clock.steadyMs() < untilMs) {
      await clocks.sleep(LOOKUP_POLL_MS);
      version = find();
    }
    if (version === null) {
      const versions = this.streams.versionsOf(clock.nowMs(), service);
      const isLoaded = this.opts.isLoaded();
      this.opts.logger.info('version-unknown', { id, service, versions, isComplete, isLoaded });
    }
    return version;
  }

  /** Whether several versions may have begun the recent streams. */
  get isMixed(): boolean {
    return this.streams.isMixed(this.opts.clock.nowMs());
  }

  recentStreams(): readonly BegunStream[] {
    return this.streams.recentStreams(this.opts.clock.nowMs());
  }

  seenVersions(): readonly SeenVersion[] {
    return this.streams.seenVersions(this.opts.clock.nowMs());
  }

  /** Makes the next message name all recent streams, as a new steward does not know them. */
  sendAll(): void {
    this.unsent = [...this.recentStreams()];
  }

  /** A message with all recent streams; null while only one version serves. */
  fullMessage(): RelayMessage | null {
    return this.isMixed ? this.messageOf(this.recentStreams()) : null;
  }

  private confirmServers(sinceMs: number): Promise<boolean> {
    const timeout = clocks.sleep(CONFIRM_WAIT_MS).then(() => false);
    return Promise.race([this.opts.confirmServers(sinceMs), timeout]);
  }

  /** Version that is known to have begun the stream; null if none is. */
  private beginVersion(id: string | null): string | null {
    return (id === null ? undefined : this.streams.find(id)?.version) ?? null;
  }

  /** The only version that may have begun recent streams of the service; null if there are several. */
  private onlyVersion(service: string): string | null {
    const [only, ...others] = this.streams.versionsOf(this.opts.clock.nowMs(), service);
    const isOnly = only !== undefined && others.length === 0;
    return isOnly && this.opts.isLoaded() ? only : null;
  }

  private sendNew(): void {
    const { isMixed } = this;
    if (isMixed && !this.wasMixed) this.sendAll();
    this.wasMixed = isMixed;
    if (!isMixed || this.unsent.length === 0) return;
    if (this.opts.send(this.messageOf(this.unsent))) this.unsent = [];
  }

  private messageOf(streams: readonly BegunStream[]): RelayMessage {
    const nowMs = this.opts.clock.nowMs();
    return {
      type: RelayMessageType.streams,
      streams: streams.map(({ atMs, ...stream }) => ({
        ...stream,
        ageMs: Math.max(0, nowMs - atMs),
      })),
    };
  }
}
