import { describe, expect, test } from 'vitest';
import { ConnectHold } from '../../../src/entry/relay/connect-hold.js';

function setUp() {
  let nowMs = 0;
  const scheduled: (() => void)[] = [];
  const hold = new ConnectHold({
    nowMs: () => nowMs,
    schedule: (handler) => scheduled.push(handler),
  });
  /** One turn of the event loop with so many new connections; returns whether other work waits. */
  const turn = (tookMs: number, connections = 1): boolean => {
    const held = Array.from({ length: connections }, () => hold.noteConnection());
    scheduled.splice(0).forEach((handler) => handler());
    nowMs += tookMs;
    return held.includes(true);
  };
  const turns = (count: number, tookMs: number) =>
    Array.from({ length: count }, () => turn(tookMs));
  return { turn, turns };
}

describe('other work, while callers connect,', () => {
  test('waits for turns of 100 ms in all, and then has one', () => {
    const { turns } = setUp();
    expect(turns(11, 10)).toEqual([...Array(10).fill(true), false]);
    expect(turns(11, 10)).toEqual([...Array(10).fill(true), false]);
  });

  // Callers of a VM that got a CPU once in 50 to 200 ms waited unserved until all had connected.
  test('has turns among those that take longer than it may wait', () => {
    const { turns } = setUp();
    expect(turns(6, 150)).toEqual([true, false, true, false, true, false]);
  });

  test('has turns although several callers connect in each', () => {
    const { turn } = setUp();
    const held = Array.from({ length: 6 }, () => turn(60, 3));
    expect(held).toEqual([true, true, false, true, true, false]);
  });

  test('waits as long again after a turn in which nobody connects', () => {
    const { turn, turns } = setUp();
    expect(turns(10, 10)).toEqual(Array(10).fill(true));
    turn(10, 0);
    expect(turns(11, 10)).toEqual([...Array(10).fill(true), false]);
  });
});
