import { describe, expect, test } from 'vitest';
import * as clocks from '../../../src/core/clock/index.js';
import { RequestTurns } from '../../../src/entry/relay/request-turns.js';

function setUp() {
  const state = { nowMs: 0, cpuMs: 0, waits: 0 };
  const scheduled: (() => void)[] = [];
  const begun: string[] = [];
  const turns = new RequestTurns({
    nowMs: () => state.nowMs,
    cpuMs: () => state.cpuMs,
    schedule: (handler) => scheduled.push(handler),
    onWait: () => {
      state.waits += 1;
    },
  });
  const waitToBegin = async (name: string, tookMs: number, limitMs: number, cpuMs: number) => {
    await turns.whenNext(limitMs);
    state.nowMs += tookMs;
    state.cpuMs += cpuMs;
    begun.push(name);
  };
  const arrive = (name: string, tookMs: number, limitMs = 1_000, cpuMs = tookMs) => {
    waitToBegin(name, tookMs, limitMs, cpuMs).catch(() => undefined);
  };
  /** As in Node.js, what a handler has deferred runs before the next handler. */
  const nextTurn = async () => {
    await scheduled.splice(0).reduce(async (before, handler) => {
      await before;
      handler();
      await clocks.sleep(0);
    }, Promise.resolve());
    return begun.splice(0);
  };
  return { turns, state, arrive, nextTurn, scheduled };
}

// A turn once began the requests of hundreds of callers, while those behind them were not accepted.
describe('requests that come at once', () => {
  test('begin in several turns if they take long, first come first served', async () => {
    const { arrive, nextTurn, scheduled, state } = setUp();
    ['a', 'b', 'c', 'd', 'e'].forEach((name) => arrive(name, 2));
    expect(await nextTurn()).toEqual(['a', 'b', 'c']);
    expect(state.waits).toBe(1);
    expect(await nextTurn()).toEqual(['d', 'e']);
    expect(state.waits).toBe(1);
    expect(scheduled).toEqual([]);
  });

  // Callers got no answer from a VM that waited for a CPU in each turn and began one of them in it.
  test('begin in one turn if they are short, although the process waits for a CPU meanwhile', async () => {
    const { arrive, nextTurn } = setUp();
    ['a', 'b', 'c', 'd', 'e'].forEach((name) => arrive(name, 40, 1_000, 0.4));
    expect(await nextTurn()).toEqual(['a', 'b', 'c', 'd', 'e']);
  });

  test('begin in several turns if they are many', async () => {
    const { arrive, nextTurn } = setUp();
    const names = Array.from({ length: 50 }, (_, at) => `r${at}`);
    names.forEach((name) => arrive(name, 0));
    expect(await nextTurn()).toEqual(names.slice(0, 32));
    expect(await nextTurn()).toEqual(names.slice(32));
  });

  test('begin in the order of their time limits, so that the short ones are not late', async () => {
    const { arrive, nextTurn } = setUp();
    arrive('long', 6, 3_000);
    arrive('longer', 6, 4_000);
    arrive('short', 6, 1_000);
    expect(await nextTurn()).toEqual(['short']);
    arrive('another', 6, 1_000);
    expect(await nextTurn()).toEqual(['another']);
    expect(await nextTurn()).toEqual(['long']);
    expect(await nextTurn()).toEqual(['longer']);
  });

  test('begin although others with shorter limits go on arriving', async () => {
    const { arrive, nextTurn } = setUp();
    arrive('long', 6, 20_000);
    const begun: string[] = [];
    for (let at = 0; at < 8; at += 1) {
      arrive(`short ${at}`, 6, 1_000);
      begun.push(...(await nextTurn()));
    }
    expect(begun).toContain('long');
  });

  // Hundreds of streams whose time was over were once refused before orders that could be served.
  test('begin before others whose time is over if they are due sooner', async () => {
    const { arrive, nextTurn, state } = setUp();
    arrive('over', 6, 3_000);
    state.nowMs = 3_000;
    arrive('short', 6, 1_000);
    expect(await nextTurn()).toEqual(['short', 'over']);
  });

  test('do not wait unanswered once their time is over, whatever else arrives', async () => {
    const { arrive, nextTurn, state } = setUp();
    Array.from({ length: 200 }, (_, at) => arrive(`stream ${at}`, 0.4, 3_000));
    state.nowMs = 3_000;
    const begun: string[] = [];
    while (state.nowMs < 3_250) {
      arrive('order', 8, 1_000);
      begun.push(...(await nextTurn()));
    }
    expect(begun.filter((name) => name.startsWith('stream'))).toHaveLength(200);
  });

  test('begin at once when the process exits', async () => {
    const { turns, arrive, nextTurn } = setUp();
    ['a', 'b'].forEach((name) => arrive(name, 6));
    turns.beginAll();
    expect(await nextTurn()).toEqual(['a', 'b']);
  });

  test('wait for the next turn while a caller connects', async () => {
    const { turns, arrive, nextTurn } = setUp();
    arrive('a', 1);
    turns.hold();
    expect(await nextTurn()).toEqual([]);
    expect(await nextTurn()).toEqual(['a']);
  });
});
