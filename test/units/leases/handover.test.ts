/** A lease whose holder stops or ends while the store is slow, silent or loses answers. */
import { describe, expect, test } from 'vitest';
import {
  type HeirCandidate,
  HeirChoice,
  type LeaseEffect,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
  LeaseKeeper,
  type ToldLease,
} from '../../../src/decisions/leases/index.js';

const DURATION_MS = 2_000;

function createKeeper(self: string, heir: string | null = null): LeaseKeeper {
  return new LeaseKeeper({
    self,
    address: `${self}:1`,
    durationMs: DURATION_MS,
    marginMs: 300,
    heir: () => (heir === null ? null : { vm: heir, address: `${heir}:1` }),
  });
}

function typesOf(effects: readonly LeaseEffect[]): readonly string[] {
  return effects.map(({ type }) => type);
}

function writeOf(effects: readonly LeaseEffect[]) {
  const write = effects.find((effect) => effect.type === LeaseEffectType.write);
  if (write?.type !== LeaseEffectType.write) throw new Error('no write');
  return write;
}

/** Takes a free lease at 0 ms, which the store confirms as version 1. */
function takeLease(keeper: LeaseKeeper): void {
  keeper.handle(0, { type: LeaseEventType.tick });
  keeper.handle(0, { type: LeaseEventType.read, lease: null, version: 0 });
  keeper.handle(0, { type: LeaseEventType.written, version: 1 });
}

/** What the holder tells its heir at `nowMs`, in answer to a report of that moment. */
function tellHeir(nowMs: number, holder: LeaseKeeper): LeaseEvent & ToldLease {
  const told = holder.held(nowMs);
  if (told === null) throw new Error('not held');
  const heirTerm = { fromMs: nowMs, untilMs: nowMs + told.leftMs };
  return { type: LeaseEventType.told, ...told, heirTerm };
}

function createPair() {
  const holder = createKeeper('vm-0', 'vm-1');
  const heir = createKeeper('vm-1');
  takeLease(holder);
  heir.handle(100, tellHeir(100, holder));
  return { holder, heir };
}

const GONE: LeaseEvent = { type: LeaseEventType.holderGone, epoch: 1, newest: 1 };

describe('a holder that stops', () => {
  test('gains no office when its renewal is answered after the stop', () => {
    const keeper = createKeeper('vm-0');
    takeLease(keeper);
    keeper.handle(700, { type: LeaseEventType.tick });
    keeper.handle(800, { type: LeaseEventType.release });
    const effects = keeper.handle(1_300, { type: LeaseEventType.written, version: 2 });
    expect(typesOf(effects)).not.toContain(LeaseEffectType.acquired);
    expect(keeper.holds(1_300)).toBe(false);
    // Nobody is named: the lease is free for anybody at once.
    expect(writeOf(effects)).toMatchObject({ version: 2, lease: { holder: null } });
  });

  test('tells its heir of a renewal that took effect after the stop', () => {
    const keeper = createKeeper('vm-0', 'vm-1');
    takeLease(keeper);
    keeper.handle(700, { type: LeaseEventType.tick });
    keeper.handle(800, { type: LeaseEventType.release });
    const effects = keeper.handle(1_300, { type: LeaseEventType.written, version: 2 });
    expect(effects).toMatchObject([
      { type: LeaseEffectType.landed, version: 2, untilMs: 700 + DURATION_MS },
    ]);
  });

  test('takes no lease while it stops, also a free one', () => {
    const keeper = createKeeper('vm-0');
    keeper.handle(0, { type: LeaseEventType.release });
    keeper.handle(10, { type: LeaseEventType.tick });
    const effects = keeper.handle(20, { type: LeaseEventType.read, lease: null, version: 0 });
    expect(effects).toEqual([]);
  });
});

describe('an heir', () => {
  test('goes on at once under its own number, before the store has answered', () => {
    const { holder, heir } = createPair();
    holder.handle(800, { type: LeaseEventType.release });
    const effects = heir.handle(801, GONE);
    expect(effects).toMatchObject([{ type: LeaseEffectType.acquired, epoch: 2 }, {}]);
    expect([heir.holds(801), heir.epoch]).toEqual([true, 2]);
    // It holds no longer than the holder would have.
    expect(heir.holds(DURATION_MS)).toBe(false);
  });

  test('confirms the lease on the version of a renewal that came between', () => {
    const { holder, heir } = createPair();
    const renewal = writeOf(holder.handle(700, { type: LeaseEventType.tick }));
    holder.handle(800, { type: LeaseEventType.release });
    heir.handle(801, GONE);
    expect(writeOf(heir.handle(810, { type: LeaseEventType.tick })).version).toBe(1);
    expect(typesOf(heir.handle(1_400, { type: LeaseEventType.conflict }))).toEqual(['read']);
    const read = { type: LeaseEventType.read, lease: renewal.lease, version: 2 };
    const again = writeOf(heir.handle(1_450, read));
    expect(again).toMatchObject({ version: 2, lease: { holder: 'vm-1', epoch: 2 } });
    heir.handle(1_500, { type: LeaseEventType.written, version: 3 });
    expect(heir.holds(3_400)).toBe(true);
  });

  test('writes at once where it was told of that renewal, and holds for longer', () => {
    const { holder, heir } = createPair();
    const { lease } = writeOf(holder.handle(700, { type: LeaseEventType.tick }));
    heir.handle(801, GONE);
    heir.handle(810, { type: LeaseEventType.tick });
    const heirTerm = { fromMs: 790, untilMs: 2_690 };
    heir.handle(1_300, { type: LeaseEventType.told, lease, version: 2, leftMs: 1_400, heirTerm });
    expect(writeOf(heir.handle(1_400, { type: LeaseEventType.conflict })).version).toBe(2);
    expect(heir.holds(2_600)).toBe(true);
  });

  test('does not go on once it has said that it will not', () => {
    const { holder } = createPair();
    const late = createKeeper('vm-1');
    expect(late.renounce(200)).toBe(true);
    late.handle(300, tellHeir(100, holder));
    expect(late.handle(310, GONE)).toEqual([]);
  });

  test('does not go on with a lease that its holder has lost to another VM', () => {
    const { holder, heir } = createPair();
    holder.handle(700, { type: LeaseEventType.tick });
    holder.handle(800, { type: LeaseEventType.conflict });
    // Who holds the lease now is not known until it is read.
    expect(holder.renounce(801)).toBe(false);
    const taken = { holder: 'vm-3', epoch: 3, durationMs: DURATION_MS, renewal: 9 };
    holder.handle(900, { type: LeaseEventType.read, lease: taken, version: 7 });
    expect([holder.renounce(901), holder.newest]).toEqual([true, 3]);
    const { newest } = holder;
    const gone: LeaseEvent = { type: LeaseEventType.holderGone, epoch: 1, newest };
    expect(heir.handle(902, gone)).toEqual([]);
    expect(heir.holds(902)).toBe(false);
  });

  test('does not go on when its time was over while it was paused', () => {
    const { heir } = createPair();
    expect(heir.handle(DURATION_MS + 1, GONE)).toEqual([]);
  });

  test('keeps others from the lease until it has run out', () => {
    const { holder } = createPair();
    const third = createKeeper('vm-2');
    const told = holder.held(100);
    if (told === null) throw new Error('not held');
    third.handle(100, { type: LeaseEventType.told, ...told });
    third.handle(800, GONE);
    expect(third.post).toEqual({ vm: 'vm-1', address: 'vm-1:1', fence: 2 });
    third.handle(810, { type: LeaseEventType.tick });
    const read: LeaseEvent = { type: LeaseEventType.read, lease: told.lease, version: 1 };
    expect(third.handle(820, read)).toEqual([]);
    // Once the heir has ended too, anybody may take it, under a number that nobody had.
    third.handle(830, { type: LeaseEventType.holderGone, epoch: 2, newest: 2 });
    third.handle(840, { type: LeaseEventType.tick });
    expect(writeOf(third.handle(850, read)).lease).toMatchObject({ holder: 'vm-2', epoch: 3 });
  });
});

describe('the choice of an heir', () => {
  const candidate = (vm: string, sinceMs: number, leaving = false): HeirCandidate => ({
    vm,
    address: `${vm}:1`,
    sinceMs,
    leaving,
  });

  test('goes to who came last and has settled, and stays', () => {
    const choice = new HeirChoice(DURATION_MS);
    const first = [candidate('a', 0), candidate('b', 1_000), candidate('c', 9_000)];
    expect(choice.choose(10_000, first)?.vm).toBe('b');
    expect(choice.choose(20_000, first)?.vm).toBe('b');
  });

  test('passes on at once from who leaves, and only after its time from who is out of sight', () => {
    const choice = new HeirChoice(DURATION_MS);
    choice.choose(10_000, [candidate('a', 0)]);
    const leaves = [candidate('a', 0, true), candidate('b', 0)];
    expect(choice.choose(10_100, leaves)?.vm).toBe('b');
    expect(choice.choose(10_200, [candidate('c', 0)])).toBeNull();
    expect(choice.choose(10_100 + DURATION_MS, [candidate('c', 0)])?.vm).toBe('c');
  });
});
