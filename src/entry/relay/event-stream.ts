/** Cuts an event stream into whole events and keeps their order over several servers. */

const EVENT_END = /\r\n\r\n|\n\n/g;
const ID_LINE = /^id:[ ]?(\d+)\r?$/m;

/** Longest event that is held until it is whole, bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/** What came of bytes that were added. */
export interface StreamStep {
  /** Whole events that may go to the caller. */
  readonly bytes: Buffer;
  /** Whether the events follow on those before them, and none goes on without end. */
  readonly inOrder: boolean;
}

export class EventCutter {
  private rest: Buffer = Buffer.alloc(0);

  /** Id of the last event that went on; null before the first. */
  lastId: number | null;

  /** @param resumeAfter Last event that the caller has of an earlier attempt. */
  constructor(resumeAfter: string | null) {
    this.lastId = resumeAfter === null || !/^\d+$/.test(resumeAfter) ? null : Number(resumeAfter);
  }

  /** Whether bytes of an event are there that has not ended. */
  get hasRest(): boolean {
    return this.rest.length > 0;
  }

  /** Another server goes on: what the one before left unfinished is dropped. */
  restart(): void {
    this.rest = Buffer.alloc(0);
  }

  push(bytes: Buffer): StreamStep {
    this.rest = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const text = this.rest.toString('latin1');
    const ends = [...text.matchAll(EVENT_END)].map((match) => match.index + match[0].length);
    const cut = ends.at(-1) ?? 0;
    const starts = [0, ...ends.slice(0, -1)];
    const follow = ends.every((end, at) => this.follows(text.slice(starts[at], end)));
    const whole = this.rest.subarray(0, cut);
    this.rest = this.rest.subarray(cut);
    return { bytes: whole, inOrder: follow && this.rest.length <= MAX_EVENT_BYTES };
  }

  /** Events without an id follow on anything. */
  private follows(event: string): boolean {
    const id = ID_LINE.exec(event)?.[1];
    if (id === undefined) return true;
    const next = Number(id);
    const fits = this.lastId === null || next === this.lastId + 1;
    if (fits) this.lastId = next;
    return fits;
  }
}
