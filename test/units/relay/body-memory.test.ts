/** The memory for the bodies of callers' requests. */
import { expect, test } from 'vitest';
import { BodyMemory } from '../../../src/entry/relay/body-memory.js';

const BYTES = 100_000;

// A refused body is released before its request ends, and the end releases it again.
test('memory that is released twice is not lent to more bodies than it holds', () => {
  const memory = new BodyMemory(BYTES);
  const refused = memory.open();
  expect(refused.take(BYTES)).toBe(true);
  refused.release();
  const kept = memory.open();
  expect(kept.take(BYTES)).toBe(true);
  refused.release();
  expect(memory.open().take(BYTES)).toBe(false);
});
