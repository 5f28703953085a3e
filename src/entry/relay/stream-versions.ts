/**
 * Keeps the software versions of recent streams, and shares them with the other entry VMs while
 * servers of several versions serve.
 */
import * as clocks from '../../core/clock/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import {
  type BegunStream,
  type SeenVersion,
  StreamVersions,
} from '../../decisions/stream-versions/index.js';
import { type RelayMessage, type RelayMessageOf, RelayMessageType } from './messages.js';

/** Interval at which newly begun streams are sent, ms. */
const SEND_INTERVAL_MS = 25;
/** Time in which the version of a stream may still arrive from another entry VM, ms. */
const LOOKUP_WAIT_MS = 300;
const LOOKUP_POLL_MS = 25;

export interface StreamVersionsOptions {
  readonly clock: clocks.Clock;
  /** Sends a message to the steward; false if it could not be sent. */
  send(message: RelayMessage): boolean;
  /** Whether all that other entry VMs stored of streams is known here. */
  isLoaded(): boolean;
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
    if (this.isMixed) this.unsent.push(stream);
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
    const untilMs = this.opts.clock.steadyMs() + LOOKUP_WAIT_MS;
    let version = this.find(id, service);
    while (version === null && this.opts.clock.steadyMs() < untilMs) {
      await clocks.sleep(LOOKUP_POLL_MS);
      version = this.find(id, service);
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

  private find(id: string | null, service: string): string | null {
    const begun = id === null ? undefined : this.streams.find(id);
    if (begun !== undefined) return begun.version;
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
