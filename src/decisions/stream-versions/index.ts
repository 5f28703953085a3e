/**
 * Knows which software version of a service began each recent stream.
 *
 * What two versions write does not fit together, so that a stream may only be resumed at the version
 * that began it. A stream that is not known here can still be resumed if only one version has served
 * its service for as long as streams last.
 */
import type { BackendServer } from '../fleet-plan/index.js';

/** Time after its first event in which a stream can be resumed, ms: longer than callers' deadlines. */
export const STREAM_TTL_MS = 30_000;
/** Maximum number of streams; the oldest ones are dropped. */
const MAX_STREAMS = 20_000;

/** A stream by the id of the attempt that brought its first event. */
export interface BegunStream {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly atMs: number;
}

/** A software version that has servers, or had some until `atMs`. */
export interface SeenVersion {
  readonly service: string;
  readonly version: string;
  readonly atMs: number;
}

type ServedVersion = Pick<BackendServer, 'service' | 'version'>;

function keyOf({ service, version }: ServedVersion): string {
  return JSON.stringify([service, version]);
}

export class StreamVersions {
  /** Recent streams, in the order in which they were noted. */
  private readonly streams = new Map<string, BegunStream>();

  /** When servers of each version were last listed. */
  private readonly seen = new Map<string, SeenVersion>();

  /** Versions in the current list of servers. */
  private listed: readonly ServedVersion[] = [];

  /** Applies the list of backend servers. */
  noteServers(nowMs: number, servers: Iterable<ServedVersion>): void {
    const before = this.listed;
    const byKey = new Map(
      [...servers].map(({ service, version }) => {
        const served = { service, version };
        return [keyOf(served), served];
      }),
    );
    this.listed = [...byKey.values()];
    [...before, ...this.listed].forEach(({ service, version }) =>
      this.noteSeen({ service, version, atMs: nowMs }),
    );
  }

  noteSeen({ service, version, atMs }: SeenVersion): void {
    const key = keyOf({ service, version });
    if ((this.seen.get(key)?.atMs ?? -Infinity) >= atMs) return;
    this.seen.set(key, { service, version, atMs });
  }

  /** Records a stream's first event. Returns true if the stream was not known. */
  noteBegun(stream: BegunStream): boolean {
    this.noteSeen(stream);
    if (this.streams.has(stream.id)) return false;
    this.streams.set(stream.id, stream);
    this.dropOldest(stream.atMs);
    return true;
  }

  /** Drops the oldest streams that have expired, or that are too many. */
  private dropOldest(nowMs: number): void {
    let [oldest] = this.streams.values();
    while (oldest !== undefined && this.isDropped(nowMs, oldest)) {
      this.streams.delete(oldest.id);
      [oldest] = this.streams.values();
    }
  }

  private isDropped(nowMs: number, { atMs }: BegunStream): boolean {
    return nowMs - atMs > STREAM_TTL_MS || this.streams.size > MAX_STREAMS;
  }

  find(id: string): BegunStream | undefined {
    return this.streams.get(id);
  }

  /** Versions that may have begun a stream of the service that its caller still resumes. */
  versionsOf(nowMs: number, service: string): readonly string[] {
    return this.seenVersions(nowMs)
      .filter((seen) => seen.service === service)
      .map(({ version }) => version);
  }

  /** Whether several versions may have begun the recent streams of any service. */
  isMixed(nowMs: number): boolean {
    const services = this.seenVersions(nowMs).map(({ service }) => service);
    return new Set(services).size < services.length;
  }

  /** Versions that are listed or were listed recently. */
  seenVersions(nowMs: number): readonly SeenVersion[] {
    this.noteServers(nowMs, this.listed);
    this.seen.forEach(({ atMs }, key) => {
      if (nowMs - atMs > STREAM_TTL_MS) this.seen.delete(key);
    });
    return [...this.seen.values()];
  }

  recentStreams(nowMs: number): readonly BegunStream[] {
    this.streams.forEach(({ atMs }, id) => {
      if (nowMs - atMs > STREAM_TTL_MS) this.streams.delete(id);
    });
    return [...this.streams.values()];
  }
}
