/**
 * Decides whether a message arrives in too small pieces. Each piece takes about the same time, so
 * that a sender of a few bytes at a time can keep the process from all other requests.
 */

/** Pieces that any message may have. */
const MAX_SMALL_PIECES = 1_024;
/** Minimum mean length of the pieces of a message that has more, bytes. */
const MIN_MEAN_PIECE_BYTES = 8;

export class PieceCount {
  private pieces = 0;

  private bytes = 0;

  /** Counts a piece; false if the message is to be given up. */
  add(bytes: number): boolean {
    this.pieces += 1;
    this.bytes += bytes;
    return this.pieces <= MAX_SMALL_PIECES || this.bytes >= this.pieces * MIN_MEAN_PIECE_BYTES;
  }
}
