/** Relays the event stream of a backend server to its caller. */
import type * as http from 'node:http';
import { ByteCollector } from '../../core/bytes/index.js';
import { contain } from '../../core/contain/index.js';
import { PieceCount } from '../../decisions/fragments/index.js';
import type { IdleDetector } from './idle-detector.js';
import type { HeldResponse } from './response-memory.js';
import { ResponsePause } from './response-pause.js';
import type { WorkTurns } from './work-turns.js';

export const TOO_SMALL_PIECES = 'response arrives in too small pieces';

/** Result of writing bytes to a stream sink. */
export const WriteResult = {
  /** At least one event was completed. */
  event: 'event',
  /** No event was completed. */
  part: 'part',
  /** An event is out of order or too long. */
  refused: 'refused',
} as const;
export type WriteResult = (typeof WriteResult)[keyof typeof WriteResult];

/** Receives an event stream chunk by chunk. */
export interface StreamSink {
  /** Starts a stream with its response head; false to buffer the response instead. */
  begin(res: http.IncomingMessage): boolean;
  write(bytes: Buffer): WriteResult;
  /** Whether the stream may end here, without an incomplete event. */
  isComplete(): boolean;
  /** Bytes that are held for the stream: an incomplete event, and events that wait for the caller. */
  heldBytes(): number;
  /** Whether the caller takes no more events at the moment. */
  isBlocked(): boolean;
  /** Calls `handler` once when the caller takes events again. */
  onWritable(handler: () => void): void;
}

/** The attempt that the stream belongs to. */
export interface StreamEnding {
  /** Whether the attempt has ended. */
  readonly isSettled: boolean;
  /** Closes the connection; the attempt is broken. */
  fail(reason: string): void;
  /** Ends the attempt after an exception in a handler. */
  onException(err: unknown): void;
}

/**
 * Relays an event stream: no more than its caller takes, and than a turn of the event loop has time
 * for. What was read at once is relayed at once, as each write takes memory until the caller has it.
 */
export class StreamRelay {
  /** Bytes that have been read and not been relayed. */
  private readonly gathered = new ByteCollector();

  private readonly pieces = new PieceCount();

  private withdraw: () => void = () => undefined;

  private readonly pausing: ResponsePause;

  private hasEvents = false;

  constructor(
    private readonly res: http.IncomingMessage,
    private readonly sink: StreamSink,
    private readonly idleDetector: IdleDetector | null,
    private readonly held: HeldResponse,
    private readonly turns: Pick<WorkTurns, 'isOpen' | 'run' | 'whenNext'>,
    private readonly ending: StreamEnding,
  ) {
    this.pausing = new ResponsePause(res, idleDetector);
  }

  /** Whether an event was relayed. */
  get hasRelayedEvent(): boolean {
    return this.hasEvents;
  }

  /** Takes bytes; they are relayed once all that was read with them has been taken. */
  handleData(bytes: Buffer): void {
    const { pieces, gathered, ending } = this;
    if (!pieces.add(performance.now(), bytes.length)) {
      gathered.clear();
      ending.fail(TOO_SMALL_PIECES);
      return;
    }
    if (gathered.length === 0) process.nextTick(() => this.contained(() => this.relayInTurn()));
    gathered.push(bytes);
  }

  /** Relays the bytes that wait, before the attempt ends or reads more. */
  relayPending(): void {
    this.withdraw();
    if (this.gathered.length === 0 || this.ending.isSettled) return;
    this.relay();
    if (!this.sink.isBlocked()) this.pausing.resume();
  }

  /** Relays the bytes that wait at once, or in a later turn if this one has spent its time. */
  private relayInTurn(): void {
    const { turns, held, sink, gathered } = this;
    if (gathered.length === 0 || this.ending.isSettled) return;
    if (turns.isOpen) {
      turns.run(() => this.relay());
      return;
    }
    held.hold(sink.heldBytes() + gathered.heldBytes);
    this.pausing.pause();
    this.withdraw = turns.whenNext(() => this.contained(() => this.relayPending()));
  }

  private relay(): void {
    const { sink, res, idleDetector, ending, held } = this;
    const written = sink.write(this.gathered.take());
    this.hasEvents ||= written === WriteResult.event;
    // Bytes that complete no event, such as keep-alive comments, do not reset the idle time.
    if (written === WriteResult.event) idleDetector?.noteActivity();
    if (written === WriteResult.refused) ending.fail('events out of order or event too long');
    held.hold(sink.heldBytes());
    if (!sink.isBlocked()) return;
    if (!res.isPaused()) this.pausing.pause();
    sink.onWritable(() => this.pausing.resume());
  }

  private contained(handler: () => void): void {
    contain(handler, (err) => this.ending.onException(err))();
  }
}
