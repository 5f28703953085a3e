/** VMs with slow links become stewards only without better ones, and a steward without the store hands over. */
import { describe, expect, test } from 'vitest';
import {
  findHandover,
  HandoverReason,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
  LeaseManager,
  type SuccessorCandidate,
  SuccessorSelector,
} from '../../../src/decisions/leases/index.js';
import { createManager, DURATION_MS } from './manager-fixture.js';

const WAIT_MS = 500;
const SLOW = { acquireWaitMs: () => WAIT_MS };
const TICK: LeaseEvent = { type: LeaseEventType.tick };

/** Whether the manager writes the lease after it has read it at this time. */
function acquiresAt(manager: LeaseManager, nowMs: number, read: LeaseEvent): boolean {
  manager.handle(nowMs, TICK);
  return manager.handle(nowMs, read).some(({ type }) => type === LeaseEffectType.write);
}

function candidate(vm: string, fields: Partial<SuccessorCandidate> = {}): SuccessorCandidate {
  return { vm, address: `${vm}:1`, sinceMs: 0, leaving: false, partitions: 0, ...fields };
}

describe('a VM with a slow link', () => {
  test('leaves a lease that was never held to others, for its wait only', () => {
    const read: LeaseEvent = { type: LeaseEventType.read, lease: null, version: 0 };
    expect(acquiresAt(createManager('vm-0'), 0, read)).toBe(true);
    const manager = createManager('vm-0', null, SLOW);
    expect([0, 400, WAIT_MS].map((ms) => acquiresAt(manager, ms, read))).toEqual([
      false,
      false,
      true,
    ]);
  });

  test('leaves an expired lease to others, for its wait only', () => {
    const lease = { holder: 'vm-1', epoch: 1, durationMs: DURATION_MS, renewal: 1 };
    const read: LeaseEvent = { type: LeaseEventType.read, lease, version: 1 };
    const [fast, slow] = [createManager('vm-0'), createManager('vm-2', null, SLOW)];
    [fast, slow].forEach((manager) => acquiresAt(manager, 0, read));
    expect([fast, slow].map((manager) => acquiresAt(manager, 2_300, read))).toEqual([true, false]);
    expect(acquiresAt(slow, 2_300 + WAIT_MS, read)).toBe(true);
  });
});

describe('a VM that was sent the lease without its note', () => {
  test('acquires it with the stored note, from which rate shares of the last steward are known', () => {
    const lease = { holder: 'vm-1', epoch: 1, durationMs: DURATION_MS, renewal: 1 };
    const note = { 'vm-1': 0.2 };
    const manager = createManager('vm-0');
    const sent = { lease: { ...lease, note: null }, version: 1, leftMs: DURATION_MS };
    manager.handle(0, { type: LeaseEventType.sent, ...sent });
    const read: LeaseEvent = { type: LeaseEventType.read, lease: { ...lease, note }, version: 1 };
    expect(acquiresAt(manager, 2_300, read)).toBe(true);
    const [acquired] = manager.handle(2_320, { type: LeaseEventType.written, version: 2 });
    expect(acquired).toMatchObject({ type: LeaseEffectType.acquired, note });
  });
});

describe('a steward that cannot reach the store', () => {
  /** A holder with a renewal in flight, whose result is not known. */
  function createHolder(): LeaseManager {
    const holder = createManager('vm-0', 'vm-1');
    holder.handle(0, TICK);
    holder.handle(0, { type: LeaseEventType.read, lease: null, version: 0 });
    holder.handle(0, { type: LeaseEventType.written, version: 1 });
    holder.handle(700, TICK);
    return holder;
  }

  const handOver: LeaseEvent = { type: LeaseEventType.handOver, isStoreLost: true };

  test('hands over while a renewal is in flight, and does not hold the lease if that succeeds', () => {
    const holder = createHolder();
    holder.handle(710, handOver);
    expect(holder.holds(710)).toBe(false);
    const effects = holder.handle(900, { type: LeaseEventType.written, version: 2 });
    expect(effects.map(({ type }) => type)).not.toContain(LeaseEffectType.write);
    expect(holder.holds(900)).toBe(false);
  });

  test('does not hand over if the renewal in flight may name another successor', () => {
    let heir = 'vm-1';
    const holder = new LeaseManager({
      self: 'vm-0',
      address: 'vm-0:1',
      durationMs: DURATION_MS,
      marginMs: 300,
      heir: () => ({ vm: heir, address: `${heir}:1` }),
    });
    holder.handle(0, TICK);
    holder.handle(0, { type: LeaseEventType.read, lease: null, version: 0 });
    holder.handle(0, { type: LeaseEventType.written, version: 1 });
    heir = 'vm-2';
    holder.handle(700, TICK);
    holder.handle(710, handOver);
    expect(holder.holds(710)).toBe(true);
  });
});

describe('the handover to a better member', () => {
  const own = { partitions: 0, isStoreLost: false, hasSlowLink: false };
  const slow = { ...own, hasSlowLink: true };
  const reasonOf = (...args: Parameters<typeof findHandover>) =>
    findHandover(...args)?.reason ?? null;

  test('is not due in a fleet of equal or unknown links', () => {
    const others = [candidate('a', { reachesStore: true }), candidate('b')];
    expect(reasonOf(9_000, own, others, true)).toBeNull();
    const slowOthers = [candidate('a', { reachesStore: true, hasSlowLink: true })];
    expect(reasonOf(9_000, slow, slowOthers, true)).toBeNull();
  });

  test('is due to a stable member with a better link that is known to reach the store', () => {
    const better = candidate('a', { reachesStore: true });
    expect(reasonOf(9_000, slow, [better])).toBe(HandoverReason.link);
    expect(reasonOf(1_000, slow, [better])).toBeNull();
    expect(reasonOf(9_000, slow, [candidate('a')])).toBeNull();
    // The member is asked to call the store.
    expect(reasonOf(9_000, slow, [candidate('a')], true)).toBe(HandoverReason.link);
    expect(reasonOf(9_000, slow, [{ ...better, partitions: 1 }])).toBeNull();
    expect(reasonOf(9_000, slow, [{ ...better, leaving: true }])).toBeNull();
  });

  test('is due to any member that reaches the store if the steward does not', () => {
    const lost = { ...own, isStoreLost: true };
    expect(reasonOf(0, lost, [candidate('a')])).toBeNull();
    const reaching = candidate('a', { reachesStore: true, hasSlowLink: true });
    expect(reasonOf(0, lost, [reaching])).toBe(HandoverReason.store);
  });
});

describe('the successor', () => {
  test('has a slow link only if no better member stays', () => {
    const slow = (vm: string) => candidate(vm, { hasSlowLink: true });
    const choice = new SuccessorSelector(DURATION_MS);
    expect(choice.choose(0, [slow('a')])?.vm).toBe('a');
    // A member that has just connected may leave again.
    const joined = candidate('b', { sinceMs: 100 });
    expect(choice.choose(1_000, [slow('a'), joined])?.vm).toBe('a');
    expect(choice.choose(3_000, [slow('a'), joined])?.vm).toBe('b');
    expect(choice.choose(4_000, [slow('a'), { ...joined, leaving: true }])?.vm).toBe('a');
  });
});
