/** A steward with a slow link sends what keeps the fleet in service at once, and full lists as its link allows. */
import { describe, expect, test } from 'vitest';
import { createLogger } from '../../../src/core/logger/index.js';
import { createMetrics } from '../../../src/core/metrics/index.js';
import { ControlTraffic } from '../../../src/entry/relay/control-traffic.js';
import { OWN_TYPES } from '../../../src/entry/relay/known-types.js';
import { leaseMessageFor } from '../../../src/entry/relay/lease-messages.js';
import {
  MemberUpdates,
  type MemberUpdatesOptions,
} from '../../../src/entry/relay/member-updates.js';
import { type RelayMessage, RelayMessageType } from '../../../src/entry/relay/messages.js';
import { createMember, FullList, type Member } from '../../../src/entry/relay/steward-member.js';
import { samples } from '../../fixtures/builds/samples.js';

const MEMBERS = 84;
const PASS_MS = 40;
const FAST_MBPS = 140;
const SLOW_MBPS = 7;
const LEASE = {
  lease: { ...samples.lease.lease, note: { 'vm-1': 0.2 } },
  version: 3,
  leftMs: 1_900,
};

class FakeSocket {
  bytesRead = 0;

  bytesWritten = 0;

  writableLength = 0;

  readonly destroyed = false;

  write(bytes: Buffer): void {
    this.bytesWritten += bytes.length;
  }
}

/** A steward's sender with members that have reported, at a virtual time. */
function createSteward(linkMbps: number | null) {
  const state = { nowMs: 0 };
  const clock = { steadyMs: () => state.nowMs, nowMs: () => state.nowMs, onJump: () => undefined };
  const metrics = createMetrics();
  const logger = createLogger('test', 'silent');
  const traffic = new ControlTraffic({ vm: 'vm-0', linkMbps, clock, logger, metrics });
  const backends = new Map(
    Array.from({ length: 63 }, (_, at) => {
      const [server] = samples.beliefs.servers;
      return [`engine-${at}`, { ...server, id: `engine-${at}` }];
    }),
  );
  const sockets = Array.from({ length: MEMBERS }, () => new FakeSocket());
  const members = new Set<Member>(
    sockets.map((socket, at) => {
      const link = traffic.createLink(socket as never);
      link.noteTypes(OWN_TYPES, true);
      const report = { ...samples.report, vm: `vm-${at + 1}`, linkMbps: SLOW_MBPS };
      return Object.assign(createMember(0, link), { vm: report.vm, report, reportedAtMs: 0 });
    }),
  );
  const opts = {
    vm: 'vm-0',
    members,
    traffic,
    clock,
    storeWatcher: {
      backends,
      missing: new Set(),
      freshness: () => ({ backends: { revision: 1, ageMs: 0 } }),
    },
    incidents: { sharedVersion: 0, shared: () => [] },
    streams: { fullMessage: () => null },
    lease: { heldLease: () => LEASE },
    reachability: { partitionedServices: () => [] },
  } as unknown as MemberUpdatesOptions;
  const updates = new MemberUpdates(opts);
  return {
    members: [...members],
    sockets,
    metrics,
    sentBytes: () => sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0),
    /** @param beforePass Called before each pass. */
    passUntil(untilMs: number, seeksSuccessor = false, beforePass = () => {}): void {
      for (; state.nowMs <= untilMs; state.nowMs += PASS_MS) {
        beforePass();
        updates.sendUpdates(state.nowMs, null, seeksSuccessor);
      }
    },
  };
}

const withLists = (members: readonly Member[]) =>
  members.filter(({ pendingLists }) => pendingLists.size === 0).length;

describe('a steward whose members have just joined', () => {
  test('sends all of them the lease at once, and full lists within its budget', () => {
    const steward = createSteward(SLOW_MBPS);
    steward.passUntil(0);
    expect(steward.members.every(({ sentLeaseVersion }) => sentLeaseVersion === 3)).toBe(true);
    expect(withLists(steward.members)).toBeLessThan(MEMBERS);
    expect(steward.metrics.render()).toMatch(/relay_deferred_lists [1-9]/u);
    steward.passUntil(960);
    // Half of the link rate is 437,500 bytes a second.
    expect(steward.sentBytes()).toBeLessThan(437_500);
    steward.passUntil(3_000);
    expect(withLists(steward.members)).toBe(MEMBERS);
    expect(steward.members.every(({ sentPeers }) => sentPeers !== '')).toBe(true);
    expect(steward.metrics.render()).toContain('relay_deferred_lists 0');
  });

  test('sends everything at once on a link of unknown rate', () => {
    const steward = createSteward(null);
    steward.passUntil(0);
    expect(withLists(steward.members)).toBe(MEMBERS);
  });

  test('holds back lists, but not the lease, from a member whose messages are queued', () => {
    const steward = createSteward(SLOW_MBPS);
    const [first] = steward.sockets;
    if (first === undefined) throw new Error('no members');
    first.writableLength = 100_000;
    steward.passUntil(3_000);
    expect(steward.members[0]).toMatchObject({ sentLeaseVersion: 3, sentPeers: '' });
    expect([...(steward.members[0]?.pendingLists ?? [])]).toContain(FullList.view);
  });

  // Members give up a steward after 800 ms without a message.
  test.each([
    ['a slow link', SLOW_MBPS, 400],
    ['a fast link', FAST_MBPS, 250],
  ])('sends each member a message in time over %s', (_, mbps, pauseMs) => {
    const steward = createSteward(mbps);
    steward.passUntil(4_000);
    const before = steward.sockets.map(({ bytesWritten }) => bytesWritten);
    steward.passUntil(4_000 + pauseMs + PASS_MS);
    expect(steward.sockets.filter((socket, at) => socket.bytesWritten === before[at])).toEqual([]);
  });
});

describe('a steward that seeks a successor', () => {
  test('tells the successor within 250 ms, although other messages are sent all the time', () => {
    const steward = createSteward(SLOW_MBPS);
    const reply = () => steward.members.forEach(({ link }) => link.send(samples.lent));
    steward.passUntil(4_000, false, reply);
    const isTold = ({ sentAtMs }: Member) => sentAtMs > 4_000;
    steward.passUntil(4_000 + 250 + PASS_MS, true, reply);
    const told = steward.members.filter(isTold).map(({ vm }) => vm);
    expect(told).toEqual([LEASE.lease.heir?.vm]);
  });
});

describe('the lease message', () => {
  const member = (vm: string) => {
    const { members } = createSteward(null);
    return Object.assign(members[0] as Member, { vm });
  };
  const leaseOf = (message: RelayMessage) =>
    message.type === RelayMessageType.lease ? message : null;

  test('has the note and the term for the successor only', () => {
    const heir = leaseMessageFor(member(LEASE.lease.heir?.vm ?? ''), LEASE, false, 100);
    expect(leaseOf(heir)?.lease.note).toEqual(LEASE.lease.note);
    expect(leaseOf(heir)?.heirTerm).toBeDefined();
    // Null, as a VM that acquires the lease without its note must take all shares for granted.
    const other = leaseMessageFor(member('vm-9'), LEASE, false, 100);
    expect(leaseOf(other)?.lease.note).toBeNull();
    expect(leaseOf(other)?.heirTerm).toBeUndefined();
  });
});
