/** Requests that servers die under are held back at once, and sound ones are let go again. */
import { describe, expect, test } from 'vitest';
import {
  IncidentTable,
  type KnownServers,
  RequestIdentity,
} from '../../../src/decisions/suspects/index.js';

const VERDICT_MS = 6_000;
const TTL_MS = 600_000;

const at = (serverId: string, fingerprint = 'f', bornMs = 100) => ({
  fingerprint,
  serverId,
  bornMs,
});

/** A list that has been confirmed all the time up to `confirmedAtMs`. */
function list(
  bornMs: Readonly<Record<string, number>>,
  confirmedAtMs: number,
  fields: Partial<KnownServers> & { readonly leaving?: boolean } = {},
): KnownServers {
  const { leaving = false, ...rest } = fields;
  return {
    servers: new Map(Object.entries(bornMs).map(([id, born]) => [id, { bornMs: born, leaving }])),
    missing: new Set(),
    confirmedAtMs,
    steadySinceMs: 0,
    ...rest,
  };
}

function withThree(): IncidentTable {
  const table = new IncidentTable();
  ['a', 'b', 'c'].forEach((id) => table.note(0, at(id)));
  return table;
}

describe('a request that servers die under', () => {
  test('is refused from its third incident on, before the list shows any death', () => {
    const table = new IncidentTable();
    table.note(0, at('a'));
    table.note(10, at('b'));
    expect(table.isRefused(20, ['f'])).toBe(false);
    table.note(20, at('c'));
    expect(table.isRefused(20, ['f'])).toBe(true);
    expect(table.isRefused(20, ['g'])).toBe(false);
  });

  test('is refused on while a store that is out of reach can tell nothing', () => {
    const table = withThree();
    const stale = list({ a: 100, b: 100, c: 100 }, -1);
    table.judge(60_000, stale);
    expect(table.isRefused(60_000, ['f'])).toBe(true);
  });

  test('is refused for ten minutes once its servers are gone or were started anew', () => {
    const table = withThree();
    const { died } = table.judge(4_000, list({ a: 200 }, 4_000));
    expect(died.map(({ serverId }) => serverId)).toEqual(['a', 'b', 'c']);
    expect(table.isRefused(TTL_MS - 1, ['f'])).toBe(true);
    expect(table.retryAfterMs(4_000, ['f'])).toBe(TTL_MS - 4_000);
    expect(table.isRefused(TTL_MS, ['f'])).toBe(false);
  });

  test('counts a server once for each start of it', () => {
    const table = new IncidentTable();
    table.note(0, at('a'));
    table.note(5, at('a'));
    expect(table.count(5, 'f')).toBe(1);
    table.note(10, at('a', 'f', 200));
    expect(table.count(10, 'f')).toBe(2);
  });

  test('is not blamed while its server lives on', () => {
    const table = new IncidentTable();
    table.note(0, at('a'));
    const { died, cleared } = table.judge(1_000, list({ a: 100 }, 1_000));
    expect({ died, cleared }).toEqual({ died: [], cleared: [] });
  });

  test('is blamed once when its server restarts under the same id', () => {
    const table = new IncidentTable();
    table.note(0, at('a'));
    expect(table.judge(2_000, list({ a: 200 }, 2_000)).died).toEqual([at('a')]);
    expect(table.judge(2_100, list({ a: 200 }, 2_100)).died).toEqual([]);
  });

  test('is blamed when its server vanishes, but not after the server has outlived it', () => {
    const table = new IncidentTable();
    table.note(0, at('a'));
    expect(table.judge(3_900, list({}, 3_900)).died).toHaveLength(1);
    table.note(10_000, at('a', 'g'));
    expect(table.judge(16_000, list({ a: 100 }, 16_000)).cleared).toEqual([at('a', 'g')]);
    expect(table.judge(20_000, list({}, 20_000)).died).toEqual([]);
  });
});

describe('a request whose servers live on', () => {
  test('is let go once the list had time to show a death', () => {
    const table = withThree();
    const alive = { a: 100, b: 100, c: 100 };
    table.judge(VERDICT_MS - 1, list(alive, VERDICT_MS - 1));
    expect(table.isRefused(VERDICT_MS - 1, ['f'])).toBe(true);
    table.judge(VERDICT_MS, list(alive, VERDICT_MS));
    expect(table.isRefused(VERDICT_MS, ['f'])).toBe(false);
  });

  test('is not let go by an entry that an outage of the store kept in the list', () => {
    const table = withThree();
    const kept = { a: 100, b: 100, c: 100 };
    table.judge(20_000, list(kept, 20_000, { steadySinceMs: 19_000 }));
    expect(table.isRefused(20_000, ['f'])).toBe(true);
    const missing = new Set(['a', 'b', 'c']);
    table.judge(30_000, list(kept, 30_000, { missing }));
    expect(table.isRefused(30_000, ['f'])).toBe(true);
  });

  test('is not blamed for a server that leaves by plan', () => {
    const table = withThree();
    table.judge(100, list({ a: 100, b: 100, c: 100 }, 100, { leaving: true }));
    table.judge(5_000, list({}, 5_000));
    expect(table.isRefused(5_000, ['f'])).toBe(false);
  });

  test('is not blamed by a list that is older than the incident', () => {
    const table = new IncidentTable();
    table.note(1_000, at('new'));
    expect(table.judge(1_100, list({}, 900)).died).toEqual([]);
  });

  test('is not blamed again by a late word of what was cleared', () => {
    const table = new IncidentTable();
    table.note(0, at('a'));
    table.judge(VERDICT_MS, list({ a: 100 }, VERDICT_MS));
    expect(table.note(VERDICT_MS + 10, at('a'))).toBe(false);
  });
});

describe('a request that ran to its end', () => {
  test('is sound, whatever its servers died of before', () => {
    const table = withThree();
    table.judge(4_000, list({}, 4_000));
    expect(table.noteWhole(4_000, 'f')).toBe(3);
    expect(table.isRefused(4_000, ['f'])).toBe(false);
  });

  test('is refused all the same once servers die under it afterwards', () => {
    const table = new IncidentTable();
    table.noteWhole(0, 'f');
    ['a', 'b', 'c'].forEach((id) => table.note(1_000, at(id)));
    expect(table.isRefused(1_000, ['f'])).toBe(true);
  });

  test('is not blamed by a late word of what happened before', () => {
    const table = new IncidentTable();
    table.noteWhole(2_000, 'f');
    expect(table.note(2_500, at('a'), 1_000)).toBe(false);
    expect(table.ranWholeSince(2_500, 'f', 1_000)).toBe(true);
    expect(table.note(2_500, at('a'), 100)).toBe(true);
    expect(table.ranWholeSince(2_500, 'f', 100)).toBe(false);
  });

  test('does not speak for others', () => {
    const table = withThree();
    expect(table.noteWhole(100, 'g')).toBe(0);
    expect(table.isRefused(100, ['f'])).toBe(true);
  });
});

describe('what identifies a request', () => {
  const identity = (asked: string, body = 'body') =>
    new RequestIdentity('acme /x', body, () => asked);

  test('is broad over all attempts, and exact by what its headers ask', () => {
    expect(identity('a').broad).toBe(identity('b').broad);
    expect(identity('a').exact).not.toBe(identity('b').exact);
    expect(identity('a').exact).toBe(identity('a').exact);
    expect(identity('a', 'other').broad).not.toBe(identity('a').broad);
  });
});

describe('the table of incidents', () => {
  test('keeps a bounded number, and forgets the oldest', () => {
    const table = new IncidentTable();
    Array.from({ length: 5_000 }, (_, n) => table.note(n, at('a', `f${n}`)));
    expect(table.all(5_000)).toHaveLength(4_096);
    expect(table.count(5_000, 'f0')).toBe(0);
    expect(table.count(5_000, 'f4999')).toBe(1);
  });

  test('tells a change of what is shared, and only that', () => {
    const table = new IncidentTable();
    table.note(0, at('a'));
    table.note(0, at('a', 'g'));
    table.noteWhole(0, 'g');
    expect(table.sharedVersion).toBe(0);
    table.note(0, at('b'));
    const withTwo = table.sharedVersion;
    expect(withTwo).toBeGreaterThan(0);
    table.noteWhole(0, 'f');
    expect(table.sharedVersion).toBeGreaterThan(withTwo);
  });

  test('shares what has several incidents, with their ages', () => {
    const table = new IncidentTable();
    table.note(0, at('a', 'g'));
    table.note(0, at('a'));
    table.note(40, at('b'), 10);
    expect(table.shared(100)).toEqual([
      { ...at('a'), ageMs: 100 },
      { ...at('b'), ageMs: 70 },
    ]);
  });
});
