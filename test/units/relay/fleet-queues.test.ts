/** What entry VMs know of each other's queues. */
import { describe, expect, test } from 'vitest';
import {
  FleetQueues,
  type ModelQueue,
  QueuePublisher,
  sumQueues,
} from '../../../src/entry/relay/fleet-queues.js';

const TARGET = { service: 'chat', model: 'm', adapter: null };
const wait = (byPriority?: Record<string, number>) => ({
  ...TARGET,
  version: null,
  waiting: 9,
  dueInMs: 0,
  byPriority,
});
const queue = (byPriority: Record<string, number>): ModelQueue => ({ ...TARGET, byPriority });

describe('queues over all entry VMs', () => {
  test('are summed by priority; earlier builds, which tell none, are left out', () => {
    expect(sumQueues([wait({ 0: 2 }), wait({ 0: 1, 3: 4 }), wait()])).toEqual([
      queue({ 0: 3, 3: 4 }),
    ]);
    expect(sumQueues([wait()])).toEqual([]);
  });

  test('do not count the own requests of an entry VM twice', () => {
    const queues = new FleetQueues(() => true);
    queues.noteReported([wait({ 0: 2, 3: 1 })]);
    queues.applyView({ whole: true, queues: [queue({ 0: 5, 3: 5 })] });
    expect(queues.moreUrgent(TARGET, 3)).toBe(3);
    expect(queues.ahead(TARGET, 3)).toBe(5);
    expect(queues.moreUrgent(TARGET, 0)).toBe(0);
    expect(queues.moreUrgent({ ...TARGET, adapter: 'a' }, 3)).toBe(0);
  });

  // Less urgent requests were held although servers were idle, until a new steward told its queues.
  test('do not count while no steward tells their changes', () => {
    const state = { isConnected: true };
    const queues = new FleetQueues(() => state.isConnected);
    queues.applyView({ whole: true, queues: [queue({ 0: 5 })] });
    state.isConnected = false;
    expect([queues.moreUrgent(TARGET, 3), queues.ahead(TARGET, 3)]).toEqual([0, 0]);
  });

  test('leave out requests that only a part of the servers may run', () => {
    const confined = { ...wait({ 0: 50 }), dataCentres: ['a'] };
    const bound = { ...wait({ 0: 50 }), version: 'v1' };
    expect(sumQueues([confined, bound, wait({ 1: 2 })])).toEqual([queue({ 1: 2 })]);
  });

  test('are told when they change and when they are empty, at most every 250 ms', () => {
    const publisher = new QueuePublisher();
    const queues = new FleetQueues(() => true);
    const tell = (nowMs: number, all: readonly ModelQueue[]) => {
      const changed = publisher.changes(nowMs, all);
      publisher.noteSent(nowMs, changed);
      queues.applyView({ whole: false, queues: changed });
      return changed.length;
    };
    expect(tell(0, [queue({ 0: 2 })])).toBe(1);
    expect(tell(100, [queue({ 0: 3 })])).toBe(0);
    expect(tell(300, [queue({ 0: 2 })])).toBe(0);
    expect(tell(350, [])).toBe(1);
    expect(queues.moreUrgent(TARGET, 1)).toBe(0);
  });
});
