/** Splits an event stream into events and checks their order, also if another server resumes. */
import { ByteCollector } from '../../core/bytes/index.js';

const ID_FIELD = Buffer.from('id:');
const SPACE = 0x20;
const CR = 0x0d;
const LF = 0x0a;
const DIGIT_0 = 0x30;
const DIGIT_9 = 0x39;

/** Maximum length of an event, bytes; bounds the buffer for an incomplete event. */
const MAX_EVENT_BYTES = 1_048_576;

/** Result of adding bytes to the splitter. */
export interface SplitResult {
  /** The events that are now complete, up to the first one that is out of order. */
  readonly bytes: Buffer;
  /** Whether the event ids are consecutive and no event exceeds the maximum length. */
  readonly isInOrder: boolean;
}

/** Earlier bytes that may begin the end of an event. */
const MAX_SPLIT_END_BYTES = 3;

const isLineEnd = (byte: number | undefined) => byte === CR || byte === LF;

/** Whether the line feed at `at` ends an event: an empty line that begins at `from` or later. */
function endsEvent(bytes: Buffer, at: number, from: number): boolean {
  if (at > from && bytes[at - 1] === LF) return true;
  return (
    at >= from + MAX_SPLIT_END_BYTES &&
    bytes[at - 1] === CR &&
    bytes[at - 2] === LF &&
    bytes[at - 3] === CR
  );
}

/** Position after the first end of an event that begins at `from` or later; -1 if there is none. */
function eventEnd(bytes: Buffer, from: number): number {
  let at = bytes.indexOf(LF, from);
  while (at >= 0 && !endsEvent(bytes, at, from)) at = bytes.indexOf(LF, at + 1);
  return at < 0 ? -1 : at + 1;
}

/** Positions after the events in `bytes` whose ends begin at `from` or later. */
function eventEnds(bytes: Buffer, from: number): readonly number[] {
  const ends: number[] = [];
  let end = eventEnd(bytes, from);
  while (end >= 0) {
    ends.push(end);
    end = eventEnd(bytes, end);
  }
  return ends;
}

/** Value of the `id` field at `at`; null if the rest of its line is no number. */
function idAt(bytes: Buffer, at: number): number | null {
  const field = at + ID_FIELD.length;
  const start = bytes[field] === SPACE ? field + 1 : field;
  let end = start;
  while ((bytes[end] ?? 0) >= DIGIT_0 && (bytes[end] ?? 0) <= DIGIT_9) end += 1;
  if (end === start || !isLineEnd(bytes[end])) return null;
  return Number(bytes.toString('latin1', start, end));
}

/** Whether an `id` field stands at the start of the event; most servers send it there. */
function startsWithId(bytes: Buffer, start: number): boolean {
  return ID_FIELD.every((byte, index) => bytes[start + index] === byte);
}

/** Value of the first `id` line of the complete event from `start` to `end`; null if it has none. */
function idOf(bytes: Buffer, start: number, end: number): number | null {
  const first = startsWithId(bytes, start) ? idAt(bytes, start) : null;
  if (first !== null) return first;
  const event = bytes.subarray(start, end);
  let at = event.indexOf(ID_FIELD, 1);
  while (at >= 0) {
    const id = isLineEnd(event[at - 1]) ? idAt(event, at) : null;
    if (id !== null) return id;
    at = event.indexOf(ID_FIELD, at + ID_FIELD.length);
  }
  return null;
}

export class EventSplitter {
  /** Bytes of the incomplete event. */
  private readonly partial = new ByteCollector();

  /** Last bytes of the incomplete event. */
  private tail: Buffer = Buffer.alloc(0);

  /** Id of the last complete event that has one; null before the first. */
  lastId: number | null;

  /** @param resumeAfter Id of the last event that the caller received in an earlier attempt. */
  constructor(resumeAfter: string | null) {
    this.lastId = resumeAfter === null || !/^\d+$/.test(resumeAfter) ? null : Number(resumeAfter);
  }

  /** Length of the incomplete event that is buffered, bytes; 0 if there is none. */
  get partialBytes(): number {
    return this.partial.length;
  }

  /** Bytes of memory that the incomplete event takes. */
  get heldBytes(): number {
    return this.partial.heldBytes;
  }

  /** Discards the incomplete event of the previous server before another one resumes the stream. */
  discardPartialEvent(): void {
    this.partial.clear();
    this.tail = Buffer.alloc(0);
  }

  /** Adds bytes of the stream; returns the events that they complete. */
  push(bytes: Buffer): SplitResult {
    const border = Buffer.concat([this.tail, bytes.subarray(0, MAX_SPLIT_END_BYTES)]);
    // Only an event that ends is assembled, so that a long one is not copied for each of its parts.
    if (eventEnd(border, 0) >= 0 || eventEnd(bytes, 0) >= 0) return this.assemble(bytes);
    this.partial.push(bytes);
    this.setTail(bytes.length < MAX_SPLIT_END_BYTES ? border : bytes);
    return { bytes: Buffer.alloc(0), isInOrder: this.partial.length <= MAX_EVENT_BYTES };
  }

  /** Splits what is buffered with the bytes that end an event. */
  private assemble(bytes: Buffer): SplitResult {
    const scannedBytes = this.partial.length - this.tail.length;
    if (this.partial.length === 0) return this.split(bytes, 0);
    this.partial.push(bytes);
    return this.split(this.partial.take(), scannedBytes);
  }

  /** @param scannedBytes Bytes at the start of `buffered` in which no end of an event begins. */
  private split(buffered: Buffer, scannedBytes: number): SplitResult {
    const ends = eventEnds(buffered, scannedBytes);
    const wrongAt = ends.findIndex(
      (end, index) => !this.isNextId(idOf(buffered, ends[index - 1] ?? 0, end)),
    );
    const inOrder = wrongAt < 0 ? ends : ends.slice(0, wrongAt);
    this.setPartial(buffered.subarray(ends.at(-1) ?? 0));
    return {
      bytes: buffered.subarray(0, inOrder.at(-1) ?? 0),
      isInOrder: wrongAt < 0 && this.partial.length <= MAX_EVENT_BYTES,
    };
  }

  private setPartial(bytes: Buffer): void {
    this.partial.push(bytes);
    this.setTail(bytes);
  }

  /** Copies the last bytes, which would keep the whole buffer that they were read into. */
  private setTail(bytes: Buffer): void {
    this.tail = Buffer.from(bytes.subarray(-MAX_SPLIT_END_BYTES));
  }

  /** Whether an event's id is the next one. An event without an id is accepted at any position. */
  private isNextId(next: number | null): boolean {
    if (next === null) return true;
    const isNext = this.lastId === null || next === this.lastId + 1;
    if (isNext) this.lastId = next;
    return isNext;
  }
}
