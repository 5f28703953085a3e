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
