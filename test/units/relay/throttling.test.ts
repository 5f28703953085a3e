/** How an entry VM shares request limits and uses the permits of the steward. */
import { describe, expect, test } from 'vitest';
import { createMetrics } from '../../../src/core/metrics/index.js';
import type { Logger } from '../../../src/core/logger/index.js';
import { type RelayMessage, RelayMessageType } from '../../../src/entry/relay/messages.js';
import { ThrottlingTask } from '../../../src/entry/relay/throttling.js';
import { createBackendServer } from './backend-server.js';

const SERVER = createBackendServer('s1', { bornMs: 5 });

function setUp() {
  const times = { steadyMs: 1_000, suspendedMs: 0 };
  const sent: RelayMessage[] = [];
  const throttling = new ThrottlingTask({
    clock: {
      steadyMs: () => times.steadyMs,
      nowMs: () => times.steadyMs + times.suspendedMs,
      onJump: () => undefined,
    },
    logger: { info: () => undefined } as unknown as Logger,
    metrics: createMetrics(),
    members: () => 1,
    isStewardConnected: () => true,
    send: (message) => sent.push(message) > 0,
  });
  const name = (requestsPerS: number | null, notRun = false) =>
    throttling.noteResponse(SERVER, { requestsPerS, notRun }, times.steadyMs);
  const permit = () =>
    throttling.handlePermits({
      type: RelayMessageType.permits,
      serverId: 's1',
      permits: 1,
      intervalMs: 500,
    });
  return { times, sent, throttling, name, permit };
}

describe('a server that names a limit', () => {
  test('gets no request without a permit, and one with it', () => {
    const { throttling, name, permit } = setUp();
    expect(throttling.allows(SERVER)).toBe(true);
    name(2);
    expect(throttling.allows(SERVER)).toBe(false);
    permit();
    expect(throttling.allows(SERVER)).toBe(true);
    throttling.take(SERVER);
    expect(throttling.allows(SERVER)).toBe(false);
  });

  test('gets no request on a permit that expired while the entry VM was suspended', () => {
    const { throttling, times, name, permit } = setUp();
    name(2);
    permit();
    times.suspendedMs = 5_000;
    expect(throttling.allows(SERVER)).toBe(false);
  });

  test('does not withdraw it by a response that another server at its address may have sent', () => {
    const { throttling, times, name } = setUp();
    name(2);
    times.steadyMs += 100;
    name(null, true);
    times.steadyMs += 5_000;
    expect(throttling.requestsPerS(SERVER)).toBe(2);
    name(null);
    times.steadyMs += 5_000;
    expect(throttling.requestsPerS(SERVER)).toBeNull();
  });

  test('is reported to the steward once for each change, and to each new steward', () => {
    const { throttling, times, sent, name } = setUp();
    const throttle = { serverId: 's1', bornMs: 5, requestsPerS: 2, ageMs: 0 };
    name(2);
    name(2);
    expect(sent).toEqual([{ type: RelayMessageType.throttles, throttles: [throttle] }]);
    times.steadyMs += 40;
    throttling.sendAll();
    expect(sent.at(-1)).toEqual({
      type: RelayMessageType.throttles,
      throttles: [{ ...throttle, ageMs: 40 }],
    });
  });

  test('is reported again to a steward with an older limit', () => {
    const { throttling, sent, name } = setUp();
    name(2);
    const older = { serverId: 's1', bornMs: 5, requestsPerS: 9, ageMs: 500 };
    throttling.handleStewardThrottles({ type: RelayMessageType.throttles, throttles: [older] });
    expect(sent).toHaveLength(2);
    expect(sent[1]).toEqual(sent[0]);
    expect(throttling.requestsPerS(SERVER)).toBe(2);
  });
});
