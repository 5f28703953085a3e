import { describe, expect, test } from 'vitest';
import { Reachability } from '../../../src/decisions/reachability/index.js';

function serversOf(service: string, count: number) {
  return Array.from({ length: count }, (_, at) => ({
    id: `${service}-${at}`,
    service,
    leaving: false,
  }));
}

function setUp(count: number) {
  const reachability = new Reachability();
  reachability.setServers([...serversOf('desk', count), ...serversOf('other', 2)]);
  /** Connects to the servers that are due at a time; returns their number. */
  const probe = (nowMs: number, isReached: (id: string) => boolean) => {
    const ids = reachability.nextProbes(nowMs);
    ids.forEach((id) => {
      if (isReached(id)) reachability.noteConnected(nowMs, id);
      else reachability.noteConnectFailure(nowMs, id, nowMs);
    });
    return ids.length;
  };
  return { reachability, probe };
}

describe('a VM that is partitioned from all servers of a service', () => {
  test.each([2, 3, 8, 55])('knows it after one round of probes: %i servers', (count) => {
    const { reachability, probe } = setUp(count);
    reachability.noteConnectFailure(1_000, 'desk-0', 600);
    expect(reachability.isPartitioned('desk')).toBe(false);
    expect(reachability.isUndecided(1_000, 'desk')).toBe(true);
    probe(1_000, () => false);
    expect(reachability.sinceMs('desk')).toBe(600);
    expect(reachability.isPartitioned('other')).toBe(false);
    expect(reachability.takeChanges()).toEqual([
      { service: 'desk', isPartitioned: true, sinceMs: 600 },
    ]);
  });

  test('knows it although no connection has failed yet, from a mere suspicion', () => {
    const { reachability, probe } = setUp(8);
    reachability.noteSuspicion('desk');
    expect(probe(1_000, () => false)).toBe(5);
    expect(reachability.isPartitioned('desk')).toBe(true);
  });

  test('probes on, and knows at the first connection that the partition is over', () => {
    const { reachability, probe } = setUp(8);
    reachability.noteSuspicion('desk');
    probe(1_000, () => false);
    const probed = Array.from({ length: 8 }, (_, at) => probe(1_100 + at * 100, () => false));
    expect(probed.reduce((sum, count) => sum + count, 0)).toBeGreaterThanOrEqual(4);
    probe(2_500, () => true);
    expect(reachability.isPartitioned('desk')).toBe(false);
    expect(reachability.takeChanges().at(-1)?.isPartitioned).toBe(false);
  });

  test('knows it soon after a connection broke, also if one was made just before', () => {
    const { reachability, probe } = setUp(8);
    reachability.noteConnected(990, 'desk-0');
    reachability.noteSuspicion('desk', true);
    expect(probe(1_000, () => false)).toBe(1);
    expect(reachability.isUndecided(1_000, 'desk')).toBe(true);
    expect(probe(1_000, () => false)).toBe(4);
    expect(reachability.isPartitioned('desk')).toBe(true);
  });

  test('is no longer so once the service has no servers that stay', () => {
    const { reachability, probe } = setUp(3);
    reachability.noteSuspicion('desk');
    probe(1_000, () => false);
    reachability.setServers(serversOf('desk', 3).map((server) => ({ ...server, leaving: true })));
    expect(reachability.isPartitioned('desk')).toBe(false);
  });
});

describe('a VM that reaches a service', () => {
  test('is not taken for partitioned while one or two servers are down', () => {
    const { reachability, probe } = setUp(8);
    Array.from({ length: 50 }, (_, at) => at * 200).forEach((nowMs) => {
      reachability.noteConnectFailure(nowMs, 'desk-0', nowMs - 100);
      reachability.noteConnectFailure(nowMs, 'desk-1', nowMs - 100);
      probe(nowMs, (id) => id !== 'desk-0' && id !== 'desk-1');
      expect(reachability.isPartitioned('desk')).toBe(false);
    });
  });

  // A crashed engine counted as up for as long as the steward was undecided.
  test('is not undecided again by further failures of a server that has crashed', () => {
    const { reachability, probe } = setUp(8);
    reachability.noteSuspicion('desk', true);
    expect(reachability.isUndecided(1_000, 'desk')).toBe(true);
    probe(1_000, (id) => id !== 'desk-7');
    reachability.noteSuspicion('desk');
    expect(reachability.isUndecided(1_060, 'desk')).toBe(false);
  });

  test('is not taken for partitioned if servers leave or the only server is down', () => {
    const { reachability, probe } = setUp(1);
    reachability.noteConnectFailure(0, 'desk-0', 0);
    probe(0, () => false);
    expect(reachability.isPartitioned('desk')).toBe(false);
    const leaving = serversOf('desk', 3).map((server) => ({ ...server, leaving: true }));
    reachability.setServers(leaving);
    leaving.forEach(({ id }) => reachability.noteConnectFailure(100, id, 100));
    expect(reachability.isPartitioned('desk')).toBe(false);
  });

  test('is not taken for partitioned if the servers end one after another', () => {
    const { reachability, probe } = setUp(8);
    for (let at = 0; at < 7; at += 1) {
      const isUp = (id: string) => Number(id.split('-')[1]) > at;
      reachability.noteConnectFailure(at * 1_500, `desk-${at}`, at * 1_500);
      probe(at * 1_500, isUp);
      expect(reachability.isPartitioned('desk')).toBe(false);
    }
  });

  test('is not taken for partitioned if half of the servers hang', () => {
    const { reachability } = setUp(10);
    for (let nowMs = 0; nowMs < 10_000; nowMs += 500) {
      const ids = reachability.nextProbes(nowMs);
      const isUp = (id: string) => Number(id.split('-')[1]) % 2 === 0;
      ids.filter(isUp).forEach((id) => reachability.noteConnected(nowMs, id));
      // Their attempts time out later than the others succeed.
      const down = ['desk-1', 'desk-3', ...ids.filter((id) => !isUp(id))];
      down.forEach((id) => reachability.noteConnectFailure(nowMs + 400, id, nowMs));
      expect(reachability.isPartitioned('desk')).toBe(false);
    }
  });

  test('makes one round of probes a second at most while a server is silent', () => {
    const { reachability, probe } = setUp(8);
    const probed = Array.from({ length: 100 }, (_, at) => {
      reachability.noteSuspicion('desk');
      return probe(at * 50, () => true);
    }).reduce((sum, count) => sum + count, 0);
    expect(probed).toBeLessThanOrEqual(5 * 5);
  });
});
