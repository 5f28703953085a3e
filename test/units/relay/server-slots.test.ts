/** How an entry VM learns of brittle servers, shares it, and obtains slots from the steward. */
import { describe, expect, test } from 'vitest';
import { createMetrics } from '../../../src/core/metrics/index.js';
import type { Logger } from '../../../src/core/logger/index.js';
import { createRandom } from '../../../src/core/random/index.js';
import {
  type RelayMessage,
  type RelayMessageOf,
  RelayMessageType,
} from '../../../src/entry/relay/messages.js';
import { ServerSlotsTask } from '../../../src/entry/relay/server-slots.js';
import type { ResponseMetadata } from '../../../src/entry/relay/types.js';
import { createBackendServer } from './backend-server.js';

const SERVER = createBackendServer('s1', { bornMs: 5 });
const OTHER = createBackendServer('s2', { bornMs: 5 });
const HEAD: ResponseMetadata = {
  id: 'r1',
  signed: true,
  notRun: false,
  encoded: false,
  leaving: false,
  requestsPerS: null,
  rejectionsPerS: 1,
  retryAfterMs: null,
};
const WELCOME = { type: RelayMessageType.welcome, vm: 'vm-0', fence: 1 } as const;

function setUp(issuesSlots = true) {
  const times = { nowMs: 1_000 };
  const sent: RelayMessage[] = [];
  const clock = {
    steadyMs: () => times.nowMs,
    nowMs: () => times.nowMs,
    onJump: () => undefined,
  };
  const slots = new ServerSlotsTask({
    clock,
    random: createRandom(1),
    logger: { info: () => undefined } as unknown as Logger,
    metrics: createMetrics(),
    servers: () => new Map([SERVER, OTHER].map((server) => [server.id, server])),
    members: () => 4,
    isStewardConnected: () => true,
    send: (message) => sent.push(message) > 0,
  });
  slots.handleConnected();
  slots.handleWelcome({ ...WELCOME, issuesSlots, knownTypes: null });
  const answer = (head: Partial<ResponseMetadata> = {}, status = 200) =>
    slots.noteResponse(SERVER, { ...HEAD, ...head }, status, times.nowMs);
  const receive = (fields: Partial<RelayMessageOf<'slots'>>) =>
    slots.handleSlots({
      type: RelayMessageType.slots,
      answered: [],
      brittle: [],
      issued: {},
      pauses: {},
      ...fields,
    });
  return { times, sent, slots, answer, receive };
}

describe('a server that says that it is brittle', () => {
  test('gets a request only with a slot, like the others of its service', () => {
    const { slots, answer, receive } = setUp();
    expect(slots.allows(SERVER)).toBe(true);
    answer();
    expect([slots.allows(SERVER), slots.allows(OTHER)]).toEqual([false, false]);
    receive({ issued: { s2: 1 } });
    expect([slots.allows(SERVER), slots.allows(OTHER)]).toEqual([false, true]);
  });

  test('is told to the steward with the slots of the requests in flight', () => {
    const { sent, slots, answer } = setUp();
    slots.noteStarted(SERVER);
    answer();
    expect(sent).toContainEqual(
      expect.objectContaining({ type: 'slot-needs', held: { s1: 1, s2: 0 } }),
    );
    expect(sent).toContainEqual(
      expect.objectContaining({
        brittle: [{ serverId: 's1', bornMs: 5, requestsPerS: 1, ageMs: 0 }],
      }),
    );
  });

  test('is known from the steward before any answer of it', () => {
    const { slots, receive } = setUp();
    receive({ brittle: [{ serverId: 's1', bornMs: 5, requestsPerS: 3, ageMs: 10 }] });
    expect(slots.allows(SERVER)).toBe(false);
  });

  test('is like any other some time after its first answer without it', () => {
    const { times, slots, answer } = setUp();
    answer();
    times.nowMs += 10;
    answer({ rejectionsPerS: null });
    expect(slots.allows(SERVER)).toBe(false);
    times.nowMs += 1_100;
    slots.retain(new Map([SERVER, OTHER].map((server) => [server.id, server])));
    expect([slots.allows(SERVER), slots.allows(OTHER)]).toEqual([true, true]);
  });

  test('that turns a request away is told at once, and gets no other', () => {
    const { sent, slots, answer, receive } = setUp();
    answer();
    receive({ issued: { s1: 2 } });
    slots.noteStarted(SERVER);
    answer({ notRun: true }, 503);
    slots.noteEnded(SERVER);
    expect(sent.at(-1)).toMatchObject({ turnedAway: { s1: 1 }, returned: { s1: 1 }, received: 2 });
    expect(slots.allows(SERVER)).toBe(false);
  });

  test('that asks for a pause has not turned the request away for want of room', () => {
    const { sent, slots, answer, receive } = setUp();
    answer();
    receive({ issued: { s1: 1 } });
    slots.noteStarted(SERVER);
    const before = sent.length;
    answer({ notRun: true, retryAfterMs: 500 }, 503);
    slots.noteEnded(SERVER);
    expect(sent.slice(before)).toEqual([]);
    expect(slots.allows(SERVER)).toBe(true);
  });

  test('gets none where the steward issues no slots and has named no number of entry VMs', () => {
    const { sent, slots, answer } = setUp(false);
    answer();
    expect(slots.allows(SERVER)).toBe(false);
    expect(sent).toEqual([]);
  });

  test('gets an equal part of its slots from each entry VM where an older steward issues none', () => {
    const { times, sent, slots, answer } = setUp(false);
    slots.noteMembers(3);
    answer();
    times.nowMs += 60_000;
    const send = () => slots.allows(SERVER) && slots.noteStarted(SERVER);
    // Two of eight slots, and a request beside them in a time that depends on the phase.
    Array.from({ length: 8 }, send);
    expect(slots.allows(SERVER)).toBe(false);
    slots.noteEnded(SERVER);
    slots.noteEnded(SERVER);
    expect(slots.allows(SERVER)).toBe(true);
    answer({ notRun: true }, 503);
    expect(slots.allows(SERVER)).toBe(false);
    expect(sent).toEqual([]);
  });

  test('gets requests by issued slots only once a steward that issues them is connected', () => {
    const { times, slots, answer } = setUp(false);
    slots.noteMembers(3);
    answer();
    times.nowMs += 3_000;
    expect(slots.allows(SERVER)).toBe(true);
    slots.handleConnected();
    slots.handleWelcome({ ...WELCOME, issuesSlots: true, knownTypes: null });
    slots.noteMembers(3);
    expect(slots.allows(SERVER)).toBe(false);
  });
});

test('servers that are not brittle get requests without slots and without a message', () => {
  const { sent, slots, answer } = setUp();
  answer({ rejectionsPerS: null });
  const before = sent.length;
  Array.from({ length: 100 }, () => slots.noteStarted(SERVER));
  expect(slots.allows(SERVER)).toBe(true);
  slots.requestSlots([new Map([['s1', 0]])], true);
  slots.requestProbe('s1');
  expect(sent).toHaveLength(before);
});
