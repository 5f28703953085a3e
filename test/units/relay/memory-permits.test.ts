/** Permits of the steward for requests that could exceed a server's memory. */
import { describe, expect, test } from 'vitest';
import { createMetrics } from '../../../src/core/metrics/index.js';
import { MemoryPermits } from '../../../src/entry/relay/memory-permits.js';
import { type MemoryMember, MemoryService } from '../../../src/entry/relay/memory-service.js';
import {
  type RelayMessage,
  type RelayMessageOf,
  RelayMessageType,
} from '../../../src/entry/relay/messages.js';

const EMPTY = { capacityTokens: 1_000, usedTokens: 0 };

function setUp(understands = true) {
  const state = { nowMs: 0, isConnected: true };
  const sent: RelayMessage[] = [];
  const placed: string[] = [];
  const permits = new MemoryPermits({
    clock: { steadyMs: () => state.nowMs } as never,
    metrics: createMetrics(),
    isStewardConnected: () => state.isConnected,
    send: (message) => {
      if (understands) sent.push(message);
      return understands;
    },
    place: (id, serverId) => placed.push(`${id} ${serverId}`),
  });
  const reply = (askId: number, isGranted: boolean) =>
    permits.handleReply({
      type: RelayMessageType.memoryReply,
      askId,
      serverId: 's1',
      tokens: 500,
      isGranted,
    });
  return { state, sent, placed, permits, reply };
}

describe('a request that could fill a server', () => {
  test('is sent when the steward permits it, and asks once until then', () => {
    const { sent, placed, permits, reply } = setUp();
    expect(permits.mustWait('r1', 's1', 500, EMPTY)).toBe(true);
    expect(permits.mustWait('r1', 's1', 500, EMPTY)).toBe(true);
    expect(sent).toHaveLength(1);
    reply(1, true);
    expect(placed).toEqual(['r1 s1']);
    expect(permits.seen).toBe(1);
  });

  test('asks again when an answer is lost, and uses a late answer once', () => {
    const { state, sent, placed, permits, reply } = setUp();
    permits.mustWait('r1', 's1', 500, EMPTY);
    state.nowMs = 1_000;
    permits.mustWait('r1', 's1', 500, EMPTY);
    expect(sent).toHaveLength(2);
    reply(1, true);
    expect(placed).toEqual(['r1 s1']);
    reply(2, true);
    expect(placed).toEqual(['r1 s1']);
  });

  test('is not placed by an answer that is later than two seconds', () => {
    const { state, placed, permits, reply } = setUp();
    permits.mustWait('r1', 's1', 500, EMPTY);
    state.nowMs = 2_100;
    permits.mustWait('r1', 's1', 500, EMPTY);
    reply(1, true);
    expect(placed).toEqual([]);
  });

  test('leaves a server that refused it for a while, but smaller ones may try', () => {
    const { state, permits, reply } = setUp();
    permits.mustWait('r1', 's1', 500, EMPTY);
    reply(1, false);
    expect(permits.isRefused('s1', 500)).toBe(true);
    expect(permits.isRefused('s1', 100)).toBe(false);
    state.nowMs = 500;
    expect(permits.isRefused('s1', 500)).toBe(false);
  });

  test('does not wait for an earlier build, or without a steward', () => {
    const earlier = setUp(false);
    expect(earlier.permits.mustWait('r1', 's1', 500, EMPTY)).toBe(false);
    expect(earlier.permits.areIssued).toBe(false);
    const { state, permits } = setUp();
    state.isConnected = false;
    expect(permits.mustWait('r1', 's1', 500, EMPTY)).toBe(false);
  });

  test('needs no permit if it is small and the server has much free memory', () => {
    const { permits } = setUp();
    expect(permits.mustWait('r1', 's1', 50, { ...EMPTY, usedTokens: 450 })).toBe(false);
    expect(permits.mustWait('r1', 's1', 50, { ...EMPTY, usedTokens: 451 })).toBe(true);
    expect(permits.mustWait('r2', 's1', 51, EMPTY)).toBe(true);
  });
});

describe('the steward', () => {
  const createService = () => {
    const replies: boolean[] = [];
    const send = (message: RelayMessage) => {
      replies.push((message as RelayMessageOf<'memory-reply'>).isGranted);
      return true;
    };
    const members = ['a', 'b'].map((): MemoryMember => ({ link: { send }, report: null }));
    const service = new MemoryService(0, {
      members: new Set(members),
      servers: () => new Map([['s1', { service: 'chat' }]]),
      memoryTokens: () => 1_000,
    });
    const ask = (nowMs: number, member: number, askId: number, serverId = 's1') =>
      service.handleAsk(nowMs, members[member] as MemoryMember, {
        type: RelayMessageType.memoryAsk,
        askId,
        serverId,
        tokens: 500,
      });
    return { service, members, replies, ask };
  };

  test('permits no more than fits, whatever is not reported yet', () => {
    const { replies, ask } = createService();
    ask(1_000, 0, 1);
    ask(1_010, 1, 1);
    expect(replies).toEqual([true, false]);
  });

  test('counts a permit until a report that was sent after it arrived', () => {
    const { service, members, replies, ask } = createService();
    const report = (memorySeen: number) =>
      service.handleReport(
        members[0] as MemoryMember,
        {
          memorySeen,
        } as RelayMessageOf<'report'>,
      );
    ask(1_000, 0, 7);
    report(6);
    ask(1_010, 1, 1);
    report(7);
    ask(1_020, 1, 2);
    expect(replies).toEqual([true, false, true]);
  });

  test('permits nothing before its members have reported, or for an unknown server', () => {
    const { replies, ask } = createService();
    ask(100, 0, 1);
    ask(1_000, 0, 2, 's9');
    expect(replies).toEqual([false, false]);
  });
});
