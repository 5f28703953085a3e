/**
 * Packs recent streams into stored objects, each of which holds the streams that became known in
 * one time span. Each write then holds few streams, so that writes can follow each other quickly.
 *
 * The objects are slots of a ring. A slot is used again once all of its streams have expired.
 */
import { type BegunStream, STREAM_TTL_MS } from '../stream-versions/index.js';

/** Number of slots: more than a span for each second in which streams can be resumed. */
export const SLOTS = 64;
/** Time for which streams are added to one slot, ms. */
export const SPAN_MS = 1_000;
/** Maximum number of streams in a slot; keeps it below the store's limit for values. */
export const MAX_SLOT_STREAMS = 5_000;

/** A slot as it is stored, with the version of its object. */
export interface StoredSpan {
  readonly slot: number;
  readonly version: number;
  readonly streams: readonly BegunStream[];
}

function lastAtMs({ streams }: StoredSpan): number {
  return streams.reduce((lastMs, { atMs }) => Math.max(lastMs, atMs), -Infinity);
}

export class StreamSpans {
  private readonly slots: StoredSpan[];

  /** Ids of the streams in all slots. */
  private readonly stored: Set<string>;

  /** The slot that new streams are added to. */
  private open: { readonly slot: number; readonly sinceMs: number } | null = null;

  /**
   * @param spans All slots that are stored.
   * @param absentVersion Version of a slot that is not.
   */
  constructor(spans: readonly StoredSpan[], absentVersion: number) {
    const bySlot = new Map(spans.map((span) => [span.slot, span]));
    this.slots = Array.from(
      { length: SLOTS },
      (_, slot) => bySlot.get(slot) ?? { slot, version: absentVersion, streams: [] },
    );
    this.stored = new Set(spans.flatMap(({ streams }) => streams.map(({ id }) => id)));
  }

  /**
   * The slot to write next and what it is to hold, with the version that it replaces; null if all
   * recent streams are stored.
   */
  next(nowMs: number, recent: readonly BegunStream[]): StoredSpan | null {
    const missing = recent.filter(({ id }) => !this.stored.has(id));
    if (missing.length === 0) return null;
    const open = this.openSlot(nowMs);
    const streams = [...open.streams, ...missing].slice(0, MAX_SLOT_STREAMS);
    return { ...open, streams };
  }

  /** Records that a slot was written, which now has this version. */
  noteWritten(span: StoredSpan, version: number): void {
    this.slots[span.slot]?.streams.forEach(({ id }) => this.stored.delete(id));
    span.streams.forEach(({ id }) => this.stored.add(id));
    this.slots[span.slot] = { ...span, version };
  }

  /** The slot that new streams are added to, without what expires as it is opened. */
  private openSlot(nowMs: number): StoredSpan {
    const current = this.open === null ? undefined : this.slots[this.open.slot];
    const isOpen =
      this.open !== null &&
      current !== undefined &&
      nowMs - this.open.sinceMs < SPAN_MS &&
      current.streams.length < MAX_SLOT_STREAMS;
    if (isOpen) return current;
    const free = this.freeSlot(nowMs);
    this.open = { slot: free.slot, sinceMs: nowMs };
    return { ...free, streams: [] };
  }

  /** A slot whose streams have all expired; if there is none, the one with the oldest streams. */
  private freeSlot(nowMs: number): StoredSpan {
    const byAge = this.slots.map((span) => ({ span, lastMs: lastAtMs(span) }));
    const oldest = byAge.reduce((a, b) => (b.lastMs < a.lastMs ? b : a));
    const free = byAge.find(({ lastMs }) => nowMs - lastMs > STREAM_TTL_MS) ?? oldest;
    return free.span;
  }
}
