/** How an entry VM shares request limits and uses the permits of the steward. */
import { describe, expect, test } from 'vitest';
import { createMetrics } from '../../../src/core/metrics/index.js';
import type { Logger } from '../../../src/core/logger/index.js';
import type { FleetPlan } from '../../../src/decisions/fleet-plan/index.js';
import { type RelayMessage, RelayMessageType } from '../../../src/entry/relay/messages.js';
import { PermitService } from '../../../src/entry/relay/permit-service.js';
import type { StoreWatcherTask } from '../../../src/entry/relay/store-watcher.js';
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

describe('a cold server', () => {
  const PLAN = {
    services: new Map([[SERVER.service, { cold: { startMs: 0, perS: 4 } }]]),
  } as unknown as FleetPlan;
  const list = (throttling: ThrottlingTask, coldMs: number) =>
    throttling.noteServers(new Map([['s1', { ...SERVER, coldMs }]]), PLAN);

  test('gets no request without a permit, and its answers without a limit do not end that', () => {
    const { throttling, name, permit } = setUp();
    list(throttling, 5_000);
    name(null);
    expect([throttling.isAnyKnown, throttling.allows(SERVER)]).toEqual([true, false]);
    permit();
    expect(throttling.allows(SERVER)).toBe(true);
    throttling.take(SERVER);
    expect(throttling.allows(SERVER)).toBe(false);
    list(throttling, 0);
    expect(throttling.allows(SERVER)).toBe(true);
  });

  test('is told to the members by the steward once, and to the steward by a VM that sees it', () => {
    const { throttling, sent, times } = setUp();
    list(throttling, 5_000);
    const cold = [{ serverId: 's1', bornMs: 5, forMs: 5_000 }];
    expect(sent).toEqual([{ type: RelayMessageType.throttles, throttles: [], cold }]);
    const toMember: RelayMessage[] = [];
    const member = {
      link: { send: (message: RelayMessage) => toMember.push(message) > 0 },
      vm: 'b',
      sentThrottles: new Map<string, string>(),
    };
    const service = new PermitService({
      storeWatcher: { backends: new Map([['s1', SERVER]]) } as unknown as StoreWatcherTask,
      throttling,
      members: new Set([member]),
    });
    service.tick(times.steadyMs);
    service.tick(times.steadyMs + 20);
    expect(toMember).toEqual([{ type: RelayMessageType.throttles, throttles: [], cold }]);
    expect(service.issuer.requestsPerS('s1')).toBeGreaterThan(2);
  });
});
