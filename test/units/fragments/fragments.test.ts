/** When a message is given up for the number of its pieces. */
import { describe, expect, test } from 'vitest';
import { PieceCount } from '../../../src/decisions/fragments/index.js';

/** Whether a message with a piece of `bytes` each `intervalMs` is accepted. */
function isAccepted(count: number, bytes: number, intervalMs = 0): boolean {
  const pieces = new PieceCount();
  return Array.from({ length: count }, (_, at) => pieces.add(at * intervalMs, bytes)).every(
    (accepted) => accepted,
  );
}

describe('a message', () => {
  test('is given up if it arrives in many pieces of a few bytes at once', () => {
    expect(isAccepted(5_000, 1)).toBe(false);
    expect(isAccepted(5_000, 7)).toBe(false);
  });

  test('may have some small pieces, and any number of events', () => {
    expect(isAccepted(1_000, 1)).toBe(true);
    expect(isAccepted(100_000, 'data:x\n\n'.length)).toBe(true);
  });

  // A stream of tokens in small chunks was given up at its 1,025th piece, however slow it was.
  test('is not given up for small pieces that arrive over a long time', () => {
    expect(isAccepted(100_000, 5, 1)).toBe(true);
  });
});
