/** Writes log lines to a stream that may fail or stop being read, without affecting the process. */
import type { Writable } from 'node:stream';

/** Unwritten bytes above which lines are dropped: the reader has stopped or is too slow. */
const MAX_BUFFERED_BYTES = 1_048_576;

export class LineWriter {
  private dropped = 0;

  constructor(private readonly stream: Writable) {
    // Without a handler, an error of the stream (a full disk, a reader that has ended) would end the
    // process. The lines are lost; the next one that is written tells how many.
    stream.on('error', () => {
      this.dropped += 1;
    });
  }

  write(line: string): void {
    if (this.stream.writableLength > MAX_BUFFERED_BYTES) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) {
      const note = { time: new Date().toISOString(), event: 'lines-dropped', count: this.dropped };
      this.dropped = 0;
      this.stream.write(`${JSON.stringify(note)}\n`);
    }
    this.stream.write(`${line}\n`);
  }
}

const writers = new WeakMap<Writable, LineWriter>();

/** The only writer of a stream, for all loggers that write to it. */
export function lineWriterFor(stream: Writable): LineWriter {
  const writer = writers.get(stream) ?? new LineWriter(stream);
  writers.set(stream, writer);
  return writer;
}
