import { describe, expect, test } from 'vitest';
import { ServerHealth } from '../../../src/decisions/server-health/index.js';

const SERVERS = ['a', 'b', 'c', 'd'].map((id) => ({ id }));
const ids = (servers: readonly { id: string }[]) => servers.map(({ id }) => id);

describe('the health of backend servers', () => {
  test('leaves a server out that fails in a row, and takes it back', () => {
    const health = new ServerHealth();
    health.noteFailure(0, 'a');
    expect(ids(health.sound(1, SERVERS))).toContain('a');
    health.noteFailure(2, 'a');
    expect(ids(health.sound(3, SERVERS))).toEqual(['b', 'c', 'd']);
    expect(ids(health.sound(1_100, SERVERS))).toContain('a');
  });

  test('leaves a server out longer when it fails again', () => {
    const health = new ServerHealth();
    health.noteFailure(0, 'a', 2);
    health.noteFailure(1_100, 'a', 2);
    expect(ids(health.sound(2_500, SERVERS))).not.toContain('a');
  });

  test('never leaves out more than half of a set', () => {
    const health = new ServerHealth();
    ['a', 'b', 'c'].forEach((id) => health.noteFailure(0, id, 2));
    expect(ids(health.sound(1, SERVERS))).toEqual(['a', 'b', 'c', 'd']);
  });

  test('tells a slow server from its peers, and forgets', () => {
    const health = new ServerHealth();
    const peers = ids(SERVERS);
    peers.forEach((id) => health.noteAnswer(0, id, id === 'a' ? 8 : 1));
    expect(health.slowness(1, 'a', peers)).toBe(8);
    expect(health.slowness(1, 'b', peers)).toBe(1);
    expect(health.slowness(10_000, 'a', peers)).toBe(1);
  });
});

describe('servers behind a cut', () => {
  const [sole] = SERVERS;

  test('are not asked again at once, also where nobody else holds what is needed', () => {
    const health = new ServerHealth();
    health.noteUnreached(0, 'a');
    expect(sole && ids(health.sound(1, [sole]))).toEqual([]);
    expect(ids(health.sound(1, SERVERS))).toEqual(['b', 'c', 'd']);
  });

  test('are tried again after a while, later each time, and count as before once they answer', () => {
    const health = new ServerHealth();
    const isLeftOut = (nowMs: number) => !ids(health.sound(nowMs, SERVERS)).includes('a');
    health.noteUnreached(0, 'a');
    expect(isLeftOut(600)).toBe(false);
    health.noteUnreached(600, 'a');
    expect(isLeftOut(1_200)).toBe(true);
    expect(isLeftOut(1_700)).toBe(false);
    health.noteAnswer(1_700, 'a', 1);
    health.noteUnreached(1_800, 'a');
    expect(isLeftOut(2_400)).toBe(false);
  });

  test('stay in reach of a probe within two seconds, however long the cut lasts', () => {
    const health = new ServerHealth();
    Array.from({ length: 9 }).forEach((_, step) => health.noteUnreached(step * 2_000, 'a'));
    expect(ids(health.sound(18_000, SERVERS))).toContain('a');
  });

  test('are left out once, however many requests were on their way', () => {
    const health = new ServerHealth();
    Array.from({ length: 20 }).forEach(() => health.noteUnreached(0, 'a'));
    expect(ids(health.sound(600, SERVERS))).toContain('a');
  });
});

describe('what is heard of a server', () => {
  test('is the last byte of any answer, also of a stream under way', () => {
    const health = new ServerHealth();
    expect(health.heardAtMs('a')).toBe(-Infinity);
    health.noteAnswer(100, 'a', 1);
    health.noteHeard(250, 'a');
    expect(health.heardAtMs('a')).toBe(250);
  });
});
