/** Ejection of failing and unreachable backend servers, and detection of slow ones. */
import { describe, expect, test } from 'vitest';
import { ServerHealth } from '../../../src/decisions/server-health/index.js';

const SERVERS = ['a', 'b', 'c', 'd'].map((id) => ({ id }));
const ids = (servers: readonly { id: string }[]) => servers.map(({ id }) => id);

describe('the health of backend servers', () => {
  test('ejects a server after consecutive failures and readmits it', () => {
    const health = new ServerHealth();
    health.noteFailure(0, 'a');
    expect(ids(health.eligible(1, SERVERS))).toContain('a');
    health.noteFailure(2, 'a');
    expect(ids(health.eligible(3, SERVERS))).toEqual(['b', 'c', 'd']);
    expect(ids(health.eligible(1_100, SERVERS))).toContain('a');
  });

  test('ejects a server for longer when it fails again', () => {
    const health = new ServerHealth();
    health.noteFailure(0, 'a', 2);
    health.noteFailure(1_100, 'a', 2);
    expect(ids(health.eligible(2_500, SERVERS))).not.toContain('a');
  });

  // Answers without a measured time counted as just in time, which is slow beside fast streams.
  test('does not take a server for slow by answers whose time was not measured', () => {
    const health = new ServerHealth();
    health.noteAnswer(0, 'a', null);
    health.noteAnswer(0, 'b', 0.1);
    expect(health.slowness(1, 'a', ['a', 'b'])).toBe(1);
  });

  // Sound servers were taken for slow beside one that begins responses at once and breaks them off.
  test('does not compare servers with one whose response broke off', () => {
    const health = new ServerHealth();
    health.noteAnswer(0, 'a', 1);
    health.noteAnswer(0, 'b', 0.1);
    expect(health.slowness(1, 'a', ['a', 'b'])).toBe(10);
    health.noteFailure(2, 'b');
    expect(health.slowness(3, 'a', ['a', 'b'])).toBe(1);
  });

  test('names the servers that can not be reached, until they are tried again', () => {
    const health = new ServerHealth();
    health.noteFailure(0, 'a', 2);
    health.noteConnectFailure(100, 'b');
    health.noteConnectFailure(200, 'b');
    expect(health.unreachable(300)).toEqual([{ id: 'b', atMs: 100 }]);
    expect(health.unreachable(700)).toEqual([]);
  });

  test('never ejects more than half of a set', () => {
    const health = new ServerHealth();
    ['a', 'b', 'c'].forEach((id) => health.noteFailure(0, id, 2));
    expect(ids(health.eligible(1, SERVERS))).toEqual(['a', 'b', 'c', 'd']);
  });

  test('detects a slow server among its peers until its average expires', () => {
    const health = new ServerHealth();
    const peers = ids(SERVERS);
    peers.forEach((id) => health.noteAnswer(0, id, id === 'a' ? 8 : 1));
    expect(health.slowness(1, 'a', peers)).toBe(8);
    expect(health.slowness(1, 'b', peers)).toBe(1);
    expect(health.slowness(10_000, 'a', peers)).toBe(1);
  });
});

describe('unreachable servers', () => {
  const [onlyServer] = SERVERS;

  test('are ejected at once, even if there is no other server', () => {
    const health = new ServerHealth();
    health.noteConnectFailure(0, 'a');
    expect(onlyServer && ids(health.eligible(1, [onlyServer]))).toEqual([]);
    expect(ids(health.eligible(1, SERVERS))).toEqual(['b', 'c', 'd']);
  });

  test('are retried with exponential backoff, which a response resets', () => {
    const health = new ServerHealth();
    const isEjected = (nowMs: number) => !ids(health.eligible(nowMs, SERVERS)).includes('a');
    health.noteConnectFailure(0, 'a');
    expect(isEjected(600)).toBe(false);
    health.noteConnectFailure(600, 'a');
    expect(isEjected(1_200)).toBe(true);
    expect(isEjected(1_700)).toBe(false);
    health.noteAnswer(1_700, 'a', 1);
    health.noteConnectFailure(1_800, 'a');
    expect(isEjected(2_400)).toBe(false);
  });

  test('are retried at least every two seconds, however long they are unreachable', () => {
    const health = new ServerHealth();
    Array.from({ length: 9 }).forEach((_, step) => health.noteConnectFailure(step * 2_000, 'a'));
    expect(ids(health.eligible(18_000, SERVERS))).toContain('a');
  });

  test('have their backoff increased only once by concurrent failures', () => {
    const health = new ServerHealth();
    Array.from({ length: 20 }).forEach(() => health.noteConnectFailure(0, 'a'));
    expect(ids(health.eligible(600, SERVERS))).toContain('a');
  });
});

describe('the time of the last data from a server', () => {
  test('is updated by every response and by bytes of a running stream', () => {
    const health = new ServerHealth();
    expect(health.lastReceivedAtMs('a')).toBe(-Infinity);
    health.noteAnswer(100, 'a', 1);
    health.noteDataReceived(250, 'a');
    expect(health.lastReceivedAtMs('a')).toBe(250);
  });

  // Requests were refused for up to two more seconds after a partition from all servers.
  test('uses servers at once after a partition, also if an attempt from before fails late', () => {
    const health = new ServerHealth();
    SERVERS.forEach(({ id }) => {
      [0, 600, 1_700].forEach((atMs) => health.noteConnectFailure(atMs, id));
      health.noteFailure(1_700, id, 2);
    });
    expect(health.eligible(2_000, SERVERS)).toEqual([]);
    health.forgetFailures(
      2_000,
      SERVERS.map(({ id }) => id),
    );
    health.noteConnectFailure(2_100, 'a', 1_900);
    expect(ids(health.eligible(2_100, SERVERS))).toEqual(['a', 'b', 'c', 'd']);
    expect(health.unreachable(2_100)).toEqual([]);
    health.noteConnectFailure(2_200, 'a', 2_100);
    expect(ids(health.eligible(2_300, SERVERS))).toEqual(['b', 'c', 'd']);
  });
});
