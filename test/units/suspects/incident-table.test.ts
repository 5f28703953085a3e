/** Requests that crash servers are refused at once; requests that do not are accepted again. */
import { describe, expect, test } from 'vitest';
import {
  IncidentTable,
  type KnownServers,
  RequestIdentity,
} from '../../../src/decisions/suspects/index.js';

const CRASH_VISIBLE_MS = 6_000;
const TTL_MS = 600_000;

const incidentAt = (serverId: string, fingerprint = 'f', bornMs = 100) => ({
  fingerprint,
  serverId,
  bornMs,
});

/** A server list that was confirmed without interruption until `confirmedAtMs`. */
function serverList(
  bornMs: Readonly<Record<string, number>>,
  confirmedAtMs: number,
  fields: Partial<KnownServers> & { readonly leaving?: boolean } = {},
): KnownServers {
  const { leaving = false, ...rest } = fields;
  return {
    servers: new Map(Object.entries(bornMs).map(([id, born]) => [id, { bornMs: born, leaving }])),
    missing: new Set(),
    confirmedAtMs,
    confirmedSinceMs: 0,
    ...rest,
  };
}

function tableWithThreeIncidents(): IncidentTable {
  const table = new IncidentTable();
  ['a', 'b', 'c'].forEach((id) => table.note(0, incidentAt(id)));
  return table;
}

describe('a request that crashes servers', () => {
  test('is refused after its third incident, before the list shows a crash', () => {
    const table = new IncidentTable();
    table.note(0, incidentAt('a'));
    table.note(10, incidentAt('b'));
    expect(table.isRefused(20, ['f'])).toBe(false);
    table.note(20, incidentAt('c'));
    expect(table.isRefused(20, ['f'])).toBe(true);
    expect(table.isRefused(20, ['g'])).toBe(false);
  });

  test('remains refused while the store is unreachable', () => {
    const table = tableWithThreeIncidents();
    const stale = serverList({ a: 100, b: 100, c: 100 }, -1);
    table.resolve(60_000, stale);
    expect(table.isRefused(60_000, ['f'])).toBe(true);
  });

  test('is refused for ten minutes once its servers are missing or have restarted', () => {
    const table = tableWithThreeIncidents();
    const { died } = table.resolve(4_000, serverList({ a: 200 }, 4_000));
    expect(died.map(({ serverId }) => serverId)).toEqual(['a', 'b', 'c']);
    expect(table.isRefused(TTL_MS - 1, ['f'])).toBe(true);
    expect(table.retryAfterMs(4_000, ['f'])).toBe(TTL_MS - 4_000);
    expect(table.isRefused(TTL_MS, ['f'])).toBe(false);
  });

  test('has one incident for each process of a server', () => {
    const table = new IncidentTable();
    table.note(0, incidentAt('a'));
    table.note(5, incidentAt('a'));
    expect(table.count(5, 'f')).toBe(1);
    table.note(10, incidentAt('a', 'f', 200));
    expect(table.count(10, 'f')).toBe(2);
  });

  test('has no confirmed crash while its server keeps running', () => {
    const table = new IncidentTable();
    table.note(0, incidentAt('a'));
    const { died, cleared } = table.resolve(1_000, serverList({ a: 100 }, 1_000));
    expect({ died, cleared }).toEqual({ died: [], cleared: [] });
  });

  test('has one confirmed crash when its server restarts under the same id', () => {
    const table = new IncidentTable();
    table.note(0, incidentAt('a'));
    expect(table.resolve(2_000, serverList({ a: 200 }, 2_000)).died).toEqual([incidentAt('a')]);
    expect(table.resolve(2_100, serverList({ a: 200 }, 2_100)).died).toEqual([]);
  });

  test('has a confirmed crash when its server disappears, but not after the incident was cleared', () => {
    const table = new IncidentTable();
    table.note(0, incidentAt('a'));
    expect(table.resolve(3_900, serverList({}, 3_900)).died).toHaveLength(1);
    table.note(10_000, incidentAt('a', 'g'));
    expect(table.resolve(16_000, serverList({ a: 100 }, 16_000)).cleared).toEqual([
      incidentAt('a', 'g'),
    ]);
    expect(table.resolve(20_000, serverList({}, 20_000)).died).toEqual([]);
  });
});

describe('a request whose servers keep running', () => {
  test('is accepted again once a crash would be visible in the list', () => {
    const table = tableWithThreeIncidents();
    const running = { a: 100, b: 100, c: 100 };
    table.resolve(CRASH_VISIBLE_MS - 1, serverList(running, CRASH_VISIBLE_MS - 1));
    expect(table.isRefused(CRASH_VISIBLE_MS - 1, ['f'])).toBe(true);
    table.resolve(CRASH_VISIBLE_MS, serverList(running, CRASH_VISIBLE_MS));
    expect(table.isRefused(CRASH_VISIBLE_MS, ['f'])).toBe(false);
  });

  test('remains refused while its servers are only retained in the list after an outage', () => {
    const table = tableWithThreeIncidents();
    const retained = { a: 100, b: 100, c: 100 };
    table.resolve(20_000, serverList(retained, 20_000, { confirmedSinceMs: 19_000 }));
    expect(table.isRefused(20_000, ['f'])).toBe(true);
    const missing = new Set(['a', 'b', 'c']);
    table.resolve(30_000, serverList(retained, 30_000, { missing }));
    expect(table.isRefused(30_000, ['f'])).toBe(true);
  });

  test('is accepted again when its servers are draining', () => {
    const table = tableWithThreeIncidents();
    table.resolve(100, serverList({ a: 100, b: 100, c: 100 }, 100, { leaving: true }));
    table.resolve(5_000, serverList({}, 5_000));
    expect(table.isRefused(5_000, ['f'])).toBe(false);
  });

  test('has no crash confirmed by a list that is older than the incident', () => {
    const table = new IncidentTable();
    table.note(1_000, incidentAt('new'));
    expect(table.resolve(1_100, serverList({}, 900)).died).toEqual([]);
  });

  test('ignores a late report of a cleared incident', () => {
    const table = new IncidentTable();
    table.note(0, incidentAt('a'));
    table.resolve(CRASH_VISIBLE_MS, serverList({ a: 100 }, CRASH_VISIBLE_MS));
    expect(table.note(CRASH_VISIBLE_MS + 10, incidentAt('a'))).toBe(false);
  });
});

describe('a request that ran to completion', () => {
  test('has its earlier incidents cleared', () => {
    const table = tableWithThreeIncidents();
    table.resolve(4_000, serverList({}, 4_000));
    expect(table.noteCompleted(4_000, 'f')).toBe(3);
    expect(table.isRefused(4_000, ['f'])).toBe(false);
  });

  test('is refused if it has new incidents afterwards', () => {
    const table = new IncidentTable();
    table.noteCompleted(0, 'f');
    ['a', 'b', 'c'].forEach((id) => table.note(1_000, incidentAt(id)));
    expect(table.isRefused(1_000, ['f'])).toBe(true);
  });

  test('ignores a late report of an earlier incident', () => {
    const table = new IncidentTable();
    table.noteCompleted(2_000, 'f');
    expect(table.note(2_500, incidentAt('a'), 1_000)).toBe(false);
    expect(table.hasCompletedSince(2_500, 'f', 1_000)).toBe(true);
    expect(table.note(2_500, incidentAt('a'), 100)).toBe(true);
    expect(table.hasCompletedSince(2_500, 'f', 100)).toBe(false);
  });

  test('does not clear the incidents of other requests', () => {
    const table = tableWithThreeIncidents();
    expect(table.noteCompleted(100, 'g')).toBe(0);
    expect(table.isRefused(100, ['f'])).toBe(true);
  });
});

describe('the identity of a request', () => {
  const identity = (headers: string, body = 'body') =>
    new RequestIdentity('acme /x', body, () => headers);

  test('has a broad fingerprint without its headers and an exact one with them', () => {
    expect(identity('a').broad).toBe(identity('b').broad);
    expect(identity('a').exact).not.toBe(identity('b').exact);
    expect(identity('a').exact).toBe(identity('a').exact);
    expect(identity('a', 'other').broad).not.toBe(identity('a').broad);
  });
});

describe('the incident table', () => {
  test('evicts the oldest incidents above its limit', () => {
    const table = new IncidentTable();
    Array.from({ length: 5_000 }, (_, n) => table.note(n, incidentAt('a', `f${n}`)));
    expect(table.all(5_000)).toHaveLength(4_096);
    expect(table.count(5_000, 'f0')).toBe(0);
    expect(table.count(5_000, 'f4999')).toBe(1);
  });

  test('increases its shared version only when shared incidents change', () => {
    const table = new IncidentTable();
    table.note(0, incidentAt('a'));
    table.note(0, incidentAt('a', 'g'));
    table.noteCompleted(0, 'g');
    expect(table.sharedVersion).toBe(0);
    table.note(0, incidentAt('b'));
    const before = table.sharedVersion;
    expect(before).toBeGreaterThan(0);
    table.noteCompleted(0, 'f');
    expect(table.sharedVersion).toBeGreaterThan(before);
  });

  test('shares the incidents of requests with several, including their ages', () => {
    const table = new IncidentTable();
    table.note(0, incidentAt('a', 'g'));
    table.note(0, incidentAt('a'));
    table.note(40, incidentAt('b'), 10);
    expect(table.shared(100)).toEqual([
      { ...incidentAt('a'), ageMs: 100 },
      { ...incidentAt('b'), ageMs: 70 },
    ]);
  });
});
