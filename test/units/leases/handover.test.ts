/** Handover of a lease when its holder stops while the store responds slowly or loses responses. */
import { describe, expect, test } from 'vitest';
import {
  type SuccessorCandidate,
  SuccessorSelector,
  type LeaseEffect,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
  LeaseManager,
  type SentLease,
} from '../../../src/decisions/leases/index.js';
import { createManager, DURATION_MS } from './manager-fixture.js';

function typesOf(effects: readonly LeaseEffect[]): readonly string[] {
  return effects.map(({ type }) => type);
}

function writeOf(effects: readonly LeaseEffect[]) {
  const write = effects.find((effect) => effect.type === LeaseEffectType.write);
  if (write?.type !== LeaseEffectType.write) throw new Error('no write');
  return write;
}

/** Acquires a free lease at 0 ms, which the store confirms as version 1. */
function acquireLease(manager: LeaseManager): void {
  manager.handle(0, { type: LeaseEventType.tick });
  manager.handle(0, { type: LeaseEventType.read, lease: null, version: 0 });
  manager.handle(0, { type: LeaseEventType.written, version: 1 });
}

/** The lease that the holder sends to its successor at `nowMs`, in response to a report. */
function publishedLeaseAt(nowMs: number, holder: LeaseManager): LeaseEvent & SentLease {
  const published = holder.heldLease(nowMs);
  if (published === null) throw new Error('the lease is not held');
  const heirTerm = { fromMs: nowMs, untilMs: nowMs + published.leftMs };
  return { type: LeaseEventType.sent, ...published, heirTerm };
}

function createPair() {
  const holder = createManager('vm-0', 'vm-1');
  const successor = createManager('vm-1');
  acquireLease(holder);
  successor.handle(100, publishedLeaseAt(100, holder));
  return { holder, heir: successor };
}

const EPOCH_1_RETIRED: LeaseEvent = { type: LeaseEventType.epochRetired, epoch: 1, newestEpoch: 1 };

describe('a lease holder that stops', () => {
  test('does not reacquire the lease when its renewal succeeds after the release', () => {
    const manager = createManager('vm-0');
    acquireLease(manager);
    manager.handle(700, { type: LeaseEventType.tick });
    manager.handle(800, { type: LeaseEventType.release });
    const effects = manager.handle(1_300, { type: LeaseEventType.written, version: 2 });
    expect(typesOf(effects)).not.toContain(LeaseEffectType.acquired);
    expect(manager.holds(1_300)).toBe(false);
    // No successor is named, so the lease is marked as free.
    expect(writeOf(effects)).toMatchObject({ version: 2, lease: { holder: null } });
  });

  test('reports a renewal that took effect after the release to its successor', () => {
    const manager = createManager('vm-0', 'vm-1');
    acquireLease(manager);
    manager.handle(700, { type: LeaseEventType.tick });
    manager.handle(800, { type: LeaseEventType.release });
    const effects = manager.handle(1_300, { type: LeaseEventType.written, version: 2 });
    expect(effects).toMatchObject([
      { type: LeaseEffectType.lateRenewal, version: 2, untilMs: 700 + DURATION_MS },
    ]);
  });

  test('does not acquire a free lease', () => {
    const manager = createManager('vm-0');
    manager.handle(0, { type: LeaseEventType.release });
    manager.handle(10, { type: LeaseEventType.tick });
    const effects = manager.handle(20, { type: LeaseEventType.read, lease: null, version: 0 });
    expect(effects).toEqual([]);
  });
});

describe('a designated successor', () => {
  test('takes over immediately under its own epoch, before the store has responded', () => {
    const { holder, heir: successor } = createPair();
    holder.handle(800, { type: LeaseEventType.release });
    const effects = successor.handle(801, EPOCH_1_RETIRED);
    expect(effects).toMatchObject([{ type: LeaseEffectType.acquired, epoch: 2 }, {}]);
    expect([successor.holds(801), successor.epoch]).toEqual([true, 2]);
    // It holds the lease no longer than the holder could have.
    expect(successor.holds(DURATION_MS)).toBe(false);
  });

  test('confirms the takeover on top of a renewal that took effect in between', () => {
    const { holder, heir: successor } = createPair();
    const renewal = writeOf(holder.handle(700, { type: LeaseEventType.tick }));
    holder.handle(800, { type: LeaseEventType.release });
    successor.handle(801, EPOCH_1_RETIRED);
    expect(writeOf(successor.handle(810, { type: LeaseEventType.tick })).version).toBe(1);
    expect(typesOf(successor.handle(1_400, { type: LeaseEventType.conflict }))).toEqual(['read']);
    const read = { type: LeaseEventType.read, lease: renewal.lease, version: 2 };
    const retried = writeOf(successor.handle(1_450, read));
    expect(retried).toMatchObject({ version: 2, lease: { holder: 'vm-1', epoch: 2 } });
    successor.handle(1_500, { type: LeaseEventType.written, version: 3 });
    expect(successor.holds(3_400)).toBe(true);
  });

  test('needs no read and holds the lease longer if the late renewal was reported to it', () => {
    const { holder, heir: successor } = createPair();
    const { lease } = writeOf(holder.handle(700, { type: LeaseEventType.tick }));
    successor.handle(801, EPOCH_1_RETIRED);
    successor.handle(810, { type: LeaseEventType.tick });
    const heirTerm = { fromMs: 790, untilMs: 2_690 };
    successor.handle(1_300, {
      type: LeaseEventType.sent,
      lease,
      version: 2,
      leftMs: 1_400,
      heirTerm,
    });
    expect(writeOf(successor.handle(1_400, { type: LeaseEventType.conflict })).version).toBe(2);
    expect(successor.holds(2_600)).toBe(true);
  });

  test('does not take over after it has confirmed that it is inactive', () => {
    const { holder } = createPair();
    const restarted = createManager('vm-1');
    expect(restarted.confirmInactive(200)).toBe(true);
    restarted.handle(300, publishedLeaseAt(100, holder));
    expect(restarted.handle(310, EPOCH_1_RETIRED)).toEqual([]);
  });

  test('does not take over a lease that its holder has lost to another VM', () => {
    const { holder, heir: successor } = createPair();
    holder.handle(700, { type: LeaseEventType.tick });
    holder.handle(800, { type: LeaseEventType.conflict });
    // The new holder is unknown until the lease is read.
    expect(holder.confirmInactive(801)).toBe(false);
    const taken = { holder: 'vm-3', epoch: 3, durationMs: DURATION_MS, renewal: 9 };
    holder.handle(900, { type: LeaseEventType.read, lease: taken, version: 7 });
    expect([holder.confirmInactive(901), holder.newestEpoch]).toEqual([true, 3]);
    const { newestEpoch } = holder;
    const retired: LeaseEvent = {
      type: LeaseEventType.epochRetired,
      epoch: 1,
      newestEpoch,
    };
    expect(successor.handle(902, retired)).toEqual([]);
    expect(successor.holds(902)).toBe(false);
  });

  test('does not take over a lease that expired while the successor was paused', () => {
    const { heir: successor } = createPair();
    expect(successor.handle(DURATION_MS + 1, EPOCH_1_RETIRED)).toEqual([]);
  });

  test('prevents other VMs from acquiring the lease until it has expired', () => {
    const { holder } = createPair();
    const third = createManager('vm-2');
    const published = holder.heldLease(100);
    if (published === null) throw new Error('the lease is not held');
    third.handle(100, { type: LeaseEventType.sent, ...published });
    third.handle(800, EPOCH_1_RETIRED);
    expect(third.activeSteward).toEqual({ vm: 'vm-1', address: 'vm-1:1', fence: 2 });
    third.handle(810, { type: LeaseEventType.tick });
    const read: LeaseEvent = { type: LeaseEventType.read, lease: published.lease, version: 1 };
    expect(third.handle(820, read)).toEqual([]);
    // Once the successor is inactive too, any VM may acquire the lease, under an unused epoch.
    third.handle(830, { type: LeaseEventType.epochRetired, epoch: 2, newestEpoch: 2 });
    third.handle(840, { type: LeaseEventType.tick });
    expect(writeOf(third.handle(850, read)).lease).toMatchObject({ holder: 'vm-2', epoch: 3 });
  });
});

describe('a lease holder that hands over its office and goes on running', () => {
  test('does not acquire the lease again while its successor may hold it', () => {
    const { holder, heir } = createPair();
    const published = publishedLeaseAt(200, holder);
    holder.handle(200, { type: LeaseEventType.handOver });
    expect(holder.holds(200)).toBe(false);
    expect(holder.activeSteward).toMatchObject({ vm: 'vm-1', fence: 2 });
    heir.handle(210, published);
    expect(typesOf(heir.handle(210, EPOCH_1_RETIRED))).toContain(LeaseEffectType.acquired);
    const stored = { ...published.lease };
    const read = { type: LeaseEventType.read, lease: stored, version: 1 } as const;
    expect(typesOf(holder.handle(250, read))).not.toContain(LeaseEffectType.write);
    holder.handle(2_400, { type: LeaseEventType.tick });
    expect(writeOf(holder.handle(2_400, read)).lease).toMatchObject({ holder: 'vm-0', epoch: 3 });
  });

  test('is not succeeded by the VM that it had named before', () => {
    const { holder, heir } = createPair();
    const published = publishedLeaseAt(200, holder);
    const renamed = { vm: 'vm-2', address: 'vm-2:1', epoch: 3 };
    const lease = { ...published.lease, heir: renamed, renewal: 2 };
    const renewed = { type: LeaseEventType.sent, lease, version: 2, leftMs: published.leftMs };
    heir.handle(300, renewed);
    expect(typesOf(heir.handle(310, EPOCH_1_RETIRED))).not.toContain(LeaseEffectType.acquired);
  });

  test('does not do so while a renewal is in flight', () => {
    const { holder } = createPair();
    holder.handle(700, { type: LeaseEventType.tick });
    holder.handle(710, { type: LeaseEventType.handOver });
    expect(holder.holds(710)).toBe(true);
  });
});

describe('the selection of a successor', () => {
  const candidate = (
    vm: string,
    sinceMs: number,
    leaving = false,
    partitions = 0,
  ): SuccessorCandidate => ({ vm, address: `${vm}:1`, sinceMs, leaving, partitions });

  test('prefers the most recently connected stable member and keeps it', () => {
    const choice = new SuccessorSelector(DURATION_MS);
    const candidates = [candidate('a', 0), candidate('b', 1_000), candidate('c', 9_000)];
    expect(choice.choose(10_000, candidates)?.vm).toBe('b');
    expect(choice.choose(20_000, candidates)?.vm).toBe('b');
  });

  test('replaces a member that is partitioned from the servers by one that is not', () => {
    const choice = new SuccessorSelector(DURATION_MS);
    choice.choose(10_000, [candidate('a', 0), candidate('b', 0)]);
    const withPartition = [candidate('a', 0, false, 1), candidate('b', 0)];
    expect(choice.choose(10_100, withPartition)?.vm).toBe('b');
    expect(choice.choose(10_200, [candidate('a', 0), candidate('b', 0)])?.vm).toBe('b');
    const bothPartitioned = [candidate('a', 0, false, 1), candidate('b', 0, false, 1)];
    expect(choice.choose(10_300, bothPartitioned)?.vm).toBe('b');
  });

  test('replaces a draining member at once, a disconnected one only after its term', () => {
    const choice = new SuccessorSelector(DURATION_MS);
    choice.choose(10_000, [candidate('a', 0)]);
    const withLeaving = [candidate('a', 0, true), candidate('b', 0)];
    expect(choice.choose(10_100, withLeaving)?.vm).toBe('b');
    expect(choice.choose(10_200, [candidate('c', 0)])).toBeNull();
    expect(choice.choose(10_100 + DURATION_MS, [candidate('c', 0)])?.vm).toBe('c');
  });
});
