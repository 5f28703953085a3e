/**
 * Persists the software versions of recent streams in the platform store, so that callers can take
 * their streams up after all entry VMs have exited.
 *
 * The steward writes for all entry VMs, and a VM without a connected steward for itself. Both write
 * only while servers of several versions serve: otherwise the list of servers tells which version
 * began a stream.
 */
import { z } from 'zod';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Task } from '../../core/supervisor/index.js';
import * as storeVersions from '../../decisions/store-versions/index.js';
import {
  MAX_SLOT_STREAMS,
  type StoredSpan,
  StreamSpans,
} from '../../decisions/stream-spans/index.js';
import type { BegunStream, SeenVersion } from '../../decisions/stream-versions/index.js';
import { PlatformOutcome } from '../platform/index.js';
import { ownWriteIntervalMs } from './intervals.js';
import { FeedOutcome, type FeedObject, type RelayStore } from './types.js';

/** Kind of all objects of the relay, among them the spans of `stream-spans`. */
export const RELAY_KIND = 'bilberrystand';
/** Object in which earlier releases stored all recent streams; only read. */
export const EARLIER_NAME = 'streams';
const TICK_MS = 25;
/** Minimum time between two writes, ms: each call is billed. */
const WRITE_INTERVAL_MS = 50;
/** Minimum time between two failed calls, ms. */
const RETRY_MS = 250;
/** Streams whose first events came in the same time span share one entry, ms. */
const ENTRY_SPAN_MS = 1_000;
const SLOT_NAME = /^streams-(\d{1,4})$/;
/** Prefix of the objects in which VMs without a connected steward store their own streams. */
const OWN_PREFIX = 'streams-of-';

const recordSchema = z.object({
  versions: z.array(z.object({ service: z.string(), version: z.string(), atUnixMs: z.number() })),
  streams: z.array(
    z.object({
      service: z.string(),
      version: z.string(),
      atUnixMs: z.number(),
      /** Ids, separated by spaces. */
      ids: z.string(),
    }),
  ),
});
type StreamRecord = z.infer<typeof recordSchema>;

/** The streams of this VM and those that other VMs have sent to it. */
export interface SharedStreams {
  readonly isMixed: boolean;
  readonly changes: number;
  /** Increases when this VM begins a stream. */
  readonly ownChanges: number;
  /** Recent streams that this VM has begun. */
  ownStreams(): readonly BegunStream[];
  recentStreams(): readonly BegunStream[];
  seenVersions(): readonly SeenVersion[];
  addStreams(streams: readonly BegunStream[]): void;
  addSeenVersions(versions: readonly SeenVersion[]): void;
}

/** The stored record, as far as it matters to a writer. */
interface StoredRecord {
  readonly era: number;
  readonly spans: StreamSpans;
  /** Version of the object with this VM's own streams. */
  readonly ownVersion: number;
}

/** An object that is due to be written, and what follows from the write. */
interface DueWrite {
  readonly name: string;
  readonly version: number;
  readonly streams: readonly BegunStream[];
  readonly pauseMs: number;
  noteWritten(version: number): void;
}

export interface StreamRecordOptions {
  readonly vm: string;
  readonly store: Pick<RelayStore, 'list' | 'write' | 'era'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly streams: SharedStreams;
  isSteward(): boolean;
  isStewardConnected(): boolean;
  /** Number of entry VMs, as last known. */
  members(): number;
  unixMs(): number;
}

export class StreamRecordTask implements Task {
  readonly name = 'stream-record';

  private timer: NodeJS.Timeout | null = null;

  private calling = false;

  private nextCallAtMs = -Infinity;

  /** Null if the record must be read before the next write. */
  private stored: StoredRecord | null = null;

  private wasSteward = false;

  /** `changes` of the streams when they were last stored; -1 for never. */
  private storedChanges = -1;

  private storedOwnChanges = -1;

  private hasRead = false;

  /** Outages of the store for this VM, and how many of them preceded the last read of the record. */
  private outages = 0;

  private outagesRead = 0;

  constructor(private readonly opts: StreamRecordOptions) {}

  /** Whether the record has been read in this process. */
  get isLoaded(): boolean {
    return this.hasRead;
  }

  /**
   * Whether the record must be read again, because this VM was out of touch: servers of another
   * version may have joined, begun streams and left meanwhile.
   */
  get isStale(): boolean {
    return this.outages !== this.outagesRead;
  }

  /** Called after this VM was out of touch with the store and the steward. */
  noteOutage(): void {
    this.outages += 1;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    this.timer = setInterval(() => {
      this.tick().catch(fail);
    }, TICK_MS);
    this.tick().catch(fail);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  /** Reads or writes the record if either is due, one at a time. */
  async tick(): Promise<void> {
    const nowMs = this.opts.clock.steadyMs();
    this.noteChanges();
    if (this.calling || nowMs < this.nextCallAtMs) return;
    const isReadDue = !this.hasRead || this.isStale;
    const { stored } = this;
    const isReadForWrite = stored === null && this.isChanged;
    this.calling = true;
    try {
      if (isReadDue || isReadForWrite) await this.read(nowMs);
      else if (stored !== null && this.isChanged) await this.writeDue(nowMs, stored);
    } finally {
      this.calling = false;
    }
  }

  /** Makes the record be read before the next write, if another steward or a copy may have changed it. */
  private noteChanges(): void {
    const isSteward = this.opts.isSteward();
    const isNewSteward = isSteward && !this.wasSteward;
    this.wasSteward = isSteward;
    const isReturned = this.stored !== null && this.stored.era < this.opts.store.era;
    if (isNewSteward || isReturned) this.forgetStored();
  }

  private forgetStored(): void {
    this.stored = null;
    this.storedChanges = -1;
    this.storedOwnChanges = -1;
  }

  /** Whether this VM writes to the record, and streams have been added since. */
  private get isChanged(): boolean {
    const { isSteward, isStewardConnected, streams } = this.opts;
    if (!streams.isMixed) return false;
    if (isSteward()) return streams.changes !== this.storedChanges;
    return !isStewardConnected() && streams.ownChanges !== this.storedOwnChanges;
  }

  private async read(nowMs: number): Promise<void> {
    const { store, logger, vm } = this.opts;
    const { outages } = this;
    this.nextCallAtMs = nowMs + RETRY_MS;
    const listed = await store.list(RELAY_KIND);
    if (listed.type !== FeedOutcome.ok) {
      const reason = listed.type === FeedOutcome.failed ? listed.reason : listed.type;
      logger.debug('record-not-read', { key: RELAY_KIND, reason });
      return;
    }
    this.hasRead = true;
    this.outagesRead = outages;
    this.nextCallAtMs = -Infinity;
    const spans = listed.items.flatMap((item) => this.addObject(item));
    const era = storeVersions.eraOf(listed.revision);
    const absentVersion = storeVersions.versionOf(era, 0);
    const own = listed.items.find(({ name }) => name === `${OWN_PREFIX}${vm}`);
    this.stored = {
      era,
      spans: new StreamSpans(spans, absentVersion),
      ownVersion: own?.revision ?? absentVersion,
    };
  }

  /** Adds the streams of a stored object, if it holds any; returns it if it is a slot. */
  private addObject({ name, revision, value }: FeedObject): StoredSpan[] {
    const slot = SLOT_NAME.exec(name)?.[1];
    const isRecord = slot !== undefined || name === EARLIER_NAME || name.startsWith(OWN_PREFIX);
    if (!isRecord) return [];
    const streams = this.addRecord(`${RELAY_KIND}/${name}`, value);
    return slot === undefined ? [] : [{ slot: Number(slot), version: revision, streams }];
  }

  /** Adds the streams of a stored object, and returns them. */
  private addRecord(key: string, value: unknown): readonly BegunStream[] {
    const { logger, clock, streams, unixMs } = this.opts;
    const record = recordSchema.safeParse(value);
    if (!record.success) {
      logger.warn('record-unreadable', { key });
      return [];
    }
    const nowMs = clock.nowMs();
    const nowUnixMs = unixMs();
    const toAtMs = (atUnixMs: number) => nowMs - Math.max(0, nowUnixMs - atUnixMs);
    const versions = record.data.versions.map(({ atUnixMs, ...seen }) => ({
      ...seen,
      atMs: toAtMs(atUnixMs),
    }));
    const begun = record.data.streams.flatMap(({ ids, atUnixMs, ...stream }) =>
      ids.split(' ').map((id) => ({ ...stream, id, atMs: toAtMs(atUnixMs) })),
    );
    streams.addSeenVersions(versions);
    streams.addStreams(begun);
    return begun;
  }

  private async writeDue(nowMs: number, stored: StoredRecord): Promise<void> {
    const { changes, ownChanges } = this.opts.streams;
    const isSteward = this.opts.isSteward();
    const due = isSteward ? this.nextSpan(stored) : this.ownObject(stored);
    if (due !== null && !(await this.write(nowMs, due))) return;
    if (!isSteward) this.storedOwnChanges = ownChanges;
    else if (due === null) this.storedChanges = changes;
  }

  private nextSpan({ spans }: StoredRecord): DueWrite | null {
    const { clock, streams } = this.opts;
    const span = spans.next(clock.nowMs(), streams.recentStreams());
    if (span === null) return null;
    return {
      name: `streams-${span.slot}`,
      version: span.version,
      streams: span.streams,
      pauseMs: WRITE_INTERVAL_MS,
      noteWritten: (version) => spans.noteWritten(span, version),
    };
  }

  /** The streams that this VM has begun, which no steward may know; null if there are none. */
  private ownObject(stored: StoredRecord): DueWrite | null {
    const { vm, streams, members } = this.opts;
    const own = streams.ownStreams().slice(-MAX_SLOT_STREAMS);
    if (own.length === 0) return null;
    return {
      name: `${OWN_PREFIX}${vm}`,
      version: stored.ownVersion,
      streams: own,
      pauseMs: ownWriteIntervalMs(members()),
      noteWritten: (ownVersion) => {
        this.stored = { ...stored, ownVersion };
      },
    };
  }

  /** Writes an object; false if that failed, so that the record must be read again. */
  private async write(nowMs: number, due: DueWrite): Promise<boolean> {
    const { store, logger } = this.opts;
    const key = `${RELAY_KIND}/${due.name}`;
    const answer = await store.write(key, this.record(due.streams), due.version);
    if (answer.type === PlatformOutcome.ok) {
      // The timer is inexact: a tick may come half a tick early.
      this.nextCallAtMs = nowMs + due.pauseMs - TICK_MS / 2;
      due.noteWritten(answer.version);
      return true;
    }
    const isConflict = answer.type === PlatformOutcome.conflict;
    this.nextCallAtMs = nowMs + (isConflict ? due.pauseMs : RETRY_MS);
    logger.info('record-not-written', { key, outcome: answer.type });
    this.forgetStored();
    return false;
  }

  private record(begun: readonly BegunStream[]): StreamRecord {
    const { clock, unixMs, streams } = this.opts;
    const toUnixMs = (atMs: number) => Math.round(unixMs() - (clock.nowMs() - atMs));
    const groups = new Map<string, BegunStream[]>();
    begun.forEach((stream) => {
      const { service, version, atMs } = stream;
      const key = JSON.stringify([service, version, Math.floor(atMs / ENTRY_SPAN_MS)]);
      const group = groups.get(key) ?? [];
      group.push(stream);
      groups.set(key, group);
    });
    return {
      versions: streams
        .seenVersions()
        .map(({ atMs, ...seen }) => ({ ...seen, atUnixMs: toUnixMs(atMs) })),
      streams: [...groups.values()].flatMap((group) => {
        const [first] = group;
        if (first === undefined) return [];
        const { service, version, atMs } = first;
        const ids = group.map(({ id }) => id).join(' ');
        return [{ service, version, atUnixMs: toUnixMs(atMs), ids }];
      }),
    };
  }
}
