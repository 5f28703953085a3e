/** Deaths are counted once each, however many saw them and however soon the engine is back. */
import { describe, expect, test } from 'vitest';
import { SuspectTable } from '../../../src/decisions/suspects/index.js';

const death = (ranMs: number) => ({ fingerprint: 'f', engineId: 'e', ranMs, agoMs: 0 });

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

  test('an entry VM that comes later is told all deaths, and counts none of them twice', () => {
    const before = new SuspectTable();
    before.note(1_000, death(50));
    before.note(1_400, death(30));
    const late = new SuspectTable();
    const tell = (to: SuspectTable, nowMs: number) =>
      before.known(nowMs).forEach((one) => to.note(nowMs, one));
    tell(late, 5_000);
    tell(late, 6_000);
    expect(late.deaths(6_000, 'f')).toBe(2);
    expect(late.isBlocked(6_000, 'f')).toBe(true);
  });

  test('one death that several tell at slightly different times counts once', () => {
    const [one, other] = [new SuspectTable(), new SuspectTable()];
    one.note(1_000, death(50));
    other.note(1_020, death(60));
    other.known(3_000).forEach((told) => one.note(3_000, told));
    expect(one.deaths(3_000, 'f')).toBe(1);
  });
});
