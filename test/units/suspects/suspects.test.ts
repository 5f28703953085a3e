/** Deaths are counted once each, however many saw them and however soon the engine is back. */
import { describe, expect, test } from 'vitest';
import { SuspectTable } from '../../../src/decisions/suspects/index.js';

const death = (ranMs: number) => ({ fingerprint: 'f', engineId: 'e', ranMs });

describe('suspects', () => {
  test('two reports of one death count once', () => {
    const table = new SuspectTable();
    table.note(1_000, death(50));
    table.note(1_003, death(40));
    expect(table.isBlocked(1_003, 'f')).toBe(false);
    expect(table.isSuspect(1_003, 'f')).toBe(true);
  });

  test('an engine that is back within a second and dies again counts twice', () => {
    const table = new SuspectTable();
    table.note(1_000, death(50));
    table.note(1_400, death(30));
    expect(table.isBlocked(1_400, 'f')).toBe(true);
  });
});
