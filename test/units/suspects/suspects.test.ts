/** Each crash counts once, however often it is reported and however soon the engine restarts. */
import { describe, expect, test } from 'vitest';
import { SuspectTable } from '../../../src/decisions/suspects/index.js';

const crash = (ranMs: number) => ({
  fingerprint: 'f',
  engineId: 'e',
  ranMs,
  agoMs: 0,
  segments: [],
});

describe('the suspect table', () => {
  test('counts two reports of one crash once', () => {
    const table = new SuspectTable();
    table.note(1_000, crash(50));
    table.note(1_003, crash(40));
    expect(table.isBlocked(1_003, 'f')).toBe(false);
    expect(table.isSuspect(1_003, 'f')).toBe(true);
  });

  test('counts two crashes of an engine that restarts within a second', () => {
    const table = new SuspectTable();
    table.note(1_000, crash(50));
    table.note(1_400, crash(30));
    expect(table.isBlocked(1_400, 'f')).toBe(true);
  });

  test('counts each known crash once when it is sent to a new entry VM repeatedly', () => {
    const source = new SuspectTable();
    source.note(1_000, crash(50));
    source.note(1_400, crash(30));
    const late = new SuspectTable();
    const send = (to: SuspectTable, nowMs: number) =>
      source.knownCrashes(nowMs).forEach((one) => to.note(nowMs, one));
    send(late, 5_000);
    send(late, 6_000);
    expect(late.crashCount(6_000, 'f')).toBe(2);
    expect(late.isBlocked(6_000, 'f')).toBe(true);
  });

  test('counts one crash once when several entry VMs report slightly different times', () => {
    const [one, other] = [new SuspectTable(), new SuspectTable()];
    one.note(1_000, crash(50));
    other.note(1_020, crash(60));
    other.knownCrashes(3_000).forEach((report) => one.note(3_000, report));
    expect(one.crashCount(3_000, 'f')).toBe(1);
  });
});
