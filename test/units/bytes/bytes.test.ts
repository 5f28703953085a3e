import fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { ByteCollector } from '../../../src/core/bytes/index.js';

const FIRST_BLOCK_BYTES = 1_024;

describe('ByteCollector', () => {
  test('returns the bytes of all pieces in order, and holds at most twice as many', () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({ maxLength: 5_000 }), { maxLength: 40 }),
        fc.integer({ min: 0, max: 40 }),
        (parts, takeAt) => {
          const pieces = parts.map((part) => Buffer.from(part));
          const collector = new ByteCollector();
          const out: Buffer[] = [];
          pieces.forEach((piece, at) => {
            if (at === takeAt) out.push(collector.take());
            collector.push(piece);
            expect(collector.heldBytes).toBeGreaterThanOrEqual(collector.length);
            expect(collector.heldBytes).toBeLessThanOrEqual(
              2 * collector.length + FIRST_BLOCK_BYTES,
            );
          });
          out.push(collector.take());
          expect(Buffer.concat(out)).toEqual(Buffer.concat(pieces));
          expect([collector.length, collector.heldBytes]).toEqual([0, 0]);
        },
      ),
      { seed: 38, numRuns: 200 },
    );
  });

  test('keeps no piece, whose buffer may be larger', () => {
    const piece = Buffer.from('abc');
    const collector = new ByteCollector();
    collector.push(piece);
    piece.fill('x');
    expect(collector.take().toString()).toBe('abc');
  });
});
