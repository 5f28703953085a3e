/** Splits an event stream into events and checks their order, also if another server resumes. */

const EVENT_END = /\r\n\r\n|\n\n/g;
const ID_LINE = /^id:[ ]?(\d+)\r?$/m;

/** Maximum length of an event, bytes; bounds the buffer for an incomplete event. */
const MAX_EVENT_BYTES = 1_048_576;

/** Result of adding bytes to the splitter. */
export interface SplitResult {
  /** The events that are now complete; they may be sent to the caller if `isInOrder`. */
  readonly bytes: Buffer;
  /** Whether the event ids are consecutive and no event exceeds the maximum length. */
  readonly isInOrder: boolean;
}

export class EventSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  /** Id of the last complete event that has one; null before the first. */
  lastId: number | null;

  /** @param resumeAfter Id of the last event that the caller received in an earlier attempt. */
  constructor(resumeAfter: string | null) {
    this.lastId = resumeAfter === null || !/^\d+$/.test(resumeAfter) ? null : Number(resumeAfter);
  }

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.buffered.length > 0;
  }

  /** Discards the incomplete event of the previous server before another one resumes the stream. */
  discardPartialEvent(): void {
    this.buffered = Buffer.alloc(0);
  }

  /** Adds bytes of the stream; returns the events that they complete. */
  push(bytes: Buffer): SplitResult {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
    const text = this.buffered.toString('latin1');
    const ends = [...text.matchAll(EVENT_END)].map((match) => match.index + match[0].length);
    const completeLength = ends.at(-1) ?? 0;
    const starts = [0, ...ends.slice(0, -1)];
    const areConsecutive = ends.every((end, index) =>
      this.isNextEvent(text.slice(starts[index], end)),
    );
    const complete = this.buffered.subarray(0, completeLength);
    this.buffered = this.buffered.subarray(completeLength);
    return {
      bytes: complete,
      isInOrder: areConsecutive && this.buffered.length <= MAX_EVENT_BYTES,
    };
  }

  /** Whether an event has the next id. An event without an id is accepted at any position. */
  private isNextEvent(event: string): boolean {
    const id = ID_LINE.exec(event)?.[1];
    if (id === undefined) return true;
    const next = Number(id);
    const isNext = this.lastId === null || next === this.lastId + 1;
    if (isNext) this.lastId = next;
    return isNext;
  }
}
