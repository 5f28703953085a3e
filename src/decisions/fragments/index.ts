/**
 * Decides whether a message arrives in too many small pieces at once. Each piece takes about the same
 * time, so that a sender of a few bytes at a time can keep the process from all other requests.
 */

/** Span in which small pieces are counted, ms. */
const SPAN_MS = 1_000;
/** Pieces that any message may have in a span: a sound message of that many bytes passes at once. */
const MAX_SMALL_PIECES = 1_024;
/** Minimum mean length of the pieces of a span that has more, bytes. */
const MIN_MEAN_PIECE_BYTES = 8;

export class PieceCount {
  private spanAtMs = -Infinity;

  private pieces = 0;

  private bytes = 0;

  /** Counts a piece; false if the message is to be given up. */
  add(nowMs: number, bytes: number): boolean {
    if (nowMs - this.spanAtMs >= SPAN_MS) {
      this.spanAtMs = nowMs;
      this.pieces = 0;
      this.bytes = 0;
    }
    this.pieces += 1;
    this.bytes += bytes;
    return this.pieces <= MAX_SMALL_PIECES || this.bytes >= this.pieces * MIN_MEAN_PIECE_BYTES;
  }
}
