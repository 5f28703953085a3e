/** Which request limit is in force for a server after responses with and without one. */
import { describe, expect, test } from 'vitest';
import { MergeResult, ThrottleTable } from '../../../src/decisions/throttling/index.js';

const SERVER = { id: 's1', bornMs: 5 };

describe('a request limit that a server names', () => {
  test('is in force until a response to a later request withdraws it, and a second longer', () => {
    const table = new ThrottleTable();
    expect(table.observe(100, SERVER, 2.3, 90)).toBe(true);
    expect(table.observe(110, SERVER, 2.3, 95)).toBe(false);
    expect(table.observe(120, SERVER, null, 105)).toBe(false);
    expect(table.requestsPerS(130, SERVER)).toBe(2.3);
    expect(table.observe(200, SERVER, null, 150)).toBe(true);
    expect(table.requestsPerS(1_199, SERVER)).toBe(2.3);
    expect(table.requestsPerS(1_200, SERVER)).toBeNull();
  });

  test('is replaced by a lower or higher one at once', () => {
    const table = new ThrottleTable();
    table.observe(100, SERVER, 12, 90);
    expect(table.observe(200, SERVER, 0.4, 90)).toBe(true);
    expect(table.requestsPerS(200, SERVER)).toBe(0.4);
    table.observe(300, SERVER, 5, 90);
    expect(table.requestsPerS(300, SERVER)).toBe(5);
  });

  test('does not apply to a new process of the server, nor is it lifted by an old one', () => {
    const table = new ThrottleTable();
    table.observe(100, SERVER, 2, 90);
    expect(table.requestsPerS(110, { id: 's1', bornMs: 6 })).toBeNull();
    expect(table.observe(120, { id: 's1', bornMs: 4 }, null, 115)).toBe(false);
    expect(table.requestsPerS(130, SERVER)).toBe(2);
  });

  test('is kept while the entry of its server lapses', () => {
    const table = new ThrottleTable();
    table.observe(100, SERVER, 2, 90);
    table.retain(5_000, new Map());
    expect(table.requestsPerS(5_000, SERVER)).toBe(2);
    table.retain(60_101, new Map());
    expect(table.requestsPerS(60_101, SERVER)).toBeNull();
  });
});

describe('a request limit that another entry VM observed', () => {
  const told = (requestsPerS: number | null, ageMs: number) => ({
    serverId: 's1',
    bornMs: 5,
    requestsPerS,
    ageMs,
  });

  test('is taken over if it is newer, and reported as outdated if it is not', () => {
    const table = new ThrottleTable();
    expect(table.merge(100, told(2, 10))).toBe(MergeResult.changed);
    expect(table.merge(100, told(2, 50))).toBe(MergeResult.unchanged);
    expect(table.merge(110, told(7, 60))).toBe(MergeResult.outdated);
    expect(table.requestsPerS(110, SERVER)).toBe(2);
    expect(table.merge(200, told(1, 20))).toBe(MergeResult.changed);
    expect(table.all(200)).toEqual([told(1, 20)]);
  });

  test('is withdrawn by a newer observation, and stays in force for a second', () => {
    const table = new ThrottleTable();
    table.merge(100, told(2, 0));
    expect(table.merge(200, told(null, 0))).toBe(MergeResult.changed);
    expect(table.requestsPerS(1_100, SERVER)).toBe(2);
    expect(table.requestsPerS(1_200, SERVER)).toBeNull();
  });

  test('does not hold here if it was withdrawn before this entry VM learned of it', () => {
    const table = new ThrottleTable();
    table.merge(100, told(null, 50));
    expect(table.requestsPerS(110, SERVER)).toBeNull();
    table.merge(120, told(2, 0));
    table.merge(130, { ...told(null, 0), bornMs: 6 });
    expect(table.requestsPerS(140, { id: 's1', bornMs: 6 })).toBeNull();
  });

  test('is not lifted by a response to a request that was sent before it was learned', () => {
    const table = new ThrottleTable();
    table.merge(100, told(2, 0));
    expect(table.observe(120, SERVER, null, 90)).toBe(false);
    expect(table.requestsPerS(2_000, SERVER)).toBe(2);
  });
});
