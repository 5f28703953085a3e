import { describe, expect, test } from 'vitest';
import { WorkTurns } from '../../../src/entry/relay/work-turns.js';

function setUp() {
  const state = { nowMs: 0 };
  const scheduled: (() => void)[] = [];
  const deferred: (() => void)[] = [];
  const done: string[] = [];
  const turns = new WorkTurns({
    nowMs: () => state.nowMs,
    schedule: (handler) => scheduled.push(handler),
    defer: (handler) => deferred.push(handler),
  });
  const work = (name: string, ms: number) => () => {
    state.nowMs += ms;
    done.push(name);
  };
  const runDeferred = () => {
    while (deferred.length > 0) deferred.shift()?.();
  };
  const nextTurn = () => {
    scheduled.splice(0).forEach((handler) => handler());
    runDeferred();
  };
  const runNow = (handler: () => void) => {
    turns.run(handler);
    runDeferred();
  };
  return { runNow, runDeferred, deferred, turns, work, done, nextTurn, scheduled };
}

describe('work of many streams', () => {
  test('runs at once until the time of a turn is spent, and then first come first served', () => {
    const { turns, runNow, work, done, nextTurn, scheduled } = setUp();
    expect(turns.isOpen).toBe(true);
    runNow(work('a', 4));
    expect(turns.isOpen).toBe(true);
    runNow(work('b', 4));
    expect(turns.isOpen).toBe(false);
    ['c', 'd', 'e', 'f'].forEach((name) => turns.whenNext(work(name, 3)));
    nextTurn();
    expect(done).toEqual(['a', 'b', 'c', 'd']);
    expect(turns.isOpen).toBe(false);
    nextTurn();
    expect(done).toEqual(['a', 'b', 'c', 'd', 'e', 'f']);
    nextTurn();
    expect(turns.isOpen).toBe(true);
    expect(scheduled).toEqual([]);
  });

  test('waits when the turn has spent its time on reading responses', () => {
    const { turns, work, nextTurn } = setUp();
    turns.noteRead();
    expect(turns.isOpen).toBe(true);
    work('read', 3)();
    turns.noteRead();
    work('read', 3)();
    expect(turns.isOpen).toBe(false);
    nextTurn();
    expect(turns.isOpen).toBe(true);
  });

  // After the deadlines of hundreds of requests, sound streams waited until all were aborted.
  test('does not wait for work without a caller, of which some runs in each turn', () => {
    const { turns, runNow, work, done, nextTurn, scheduled } = setUp();
    Array.from({ length: 40 }, (_, at) => turns.cleanUpLater(work(`abort ${at}`, 1)));
    expect(turns.isOpen).toBe(true);
    runNow(work('a', 1));
    turns.whenNext(work('b', 1));
    nextTurn();
    expect(done.slice(0, 3)).toEqual(['a', 'b', 'abort 0']);
    expect(done).toHaveLength(2 + 16);
    nextTurn();
    nextTurn();
    expect(done).toHaveLength(2 + 40);
    nextTurn();
    expect(scheduled).toEqual([]);
  });

  test('that is withdrawn does not run', () => {
    const { turns, work, done, nextTurn } = setUp();
    const withdraw = turns.whenNext(work('a', 1));
    turns.whenNext(work('b', 1));
    withdraw();
    nextTurn();
    expect(done).toEqual(['b']);
  });

  test('takes less of a turn in which requests wait to begin', () => {
    const { turns, work, done, nextTurn } = setUp();
    ['a', 'b', 'c', 'd'].forEach((name) => turns.whenNext(work(name, 1)));
    turns.shorten();
    nextTurn();
    expect(done).toEqual(['a']);
    nextTurn();
    expect(done).toEqual(['a', 'b', 'c', 'd']);
  });

  test('takes nothing of a turn in which a caller connects, and goes on in the next', () => {
    const { turns, work, done, nextTurn, scheduled } = setUp();
    turns.hold();
    expect(turns.isOpen).toBe(false);
    ['a', 'b'].forEach((name) => turns.whenNext(work(name, 1)));
    turns.shorten();
    nextTurn();
    expect(done).toEqual([]);
    nextTurn();
    expect(done).toEqual(['a', 'b']);
    nextTurn();
    expect(turns.isOpen).toBe(true);
    expect(scheduled).toEqual([]);
  });

  test('counts with what it has deferred', () => {
    const { turns, work, deferred, runDeferred } = setUp();
    turns.run(() => deferred.push(work('write', 9)));
    runDeferred();
    expect(turns.isOpen).toBe(false);
  });

  test('that throws still counts for its turn', () => {
    const { turns, work, runDeferred } = setUp();
    const failing = () => {
      work('a', 9)();
      throw new Error('failed');
    };
    expect(() => turns.run(failing)).toThrow('failed');
    runDeferred();
    expect(turns.isOpen).toBe(false);
  });
});
