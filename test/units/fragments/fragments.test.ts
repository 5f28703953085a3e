import { describe, expect, test } from 'vitest';
import { PieceCount } from '../../../src/decisions/fragments/index.js';

const addAll = (count: number, bytes: number) => {
  const pieces = new PieceCount();
  return Array.from({ length: count }, () => pieces.add(bytes)).every((isAccepted) => isAccepted);
};

describe('a message', () => {
  test('is given up if it arrives in many pieces of a few bytes', () => {
    expect(addAll(5_000, 1)).toBe(false);
    expect(addAll(5_000, 7)).toBe(false);
  });

  test('may have some small pieces, and any number of events', () => {
    expect(addAll(1_000, 1)).toBe(true);
    expect(addAll(100_000, 'data:x\n\n'.length)).toBe(true);
  });
});
