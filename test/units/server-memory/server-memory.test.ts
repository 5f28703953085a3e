/** Requests that need more memory than a server has left, or more than any server has. */
import { describe, expect, test } from 'vitest';
import { fits, serversWithRoom } from '../../../src/decisions/server-memory/index.js';
import type { FleetPlan } from '../../../src/decisions/fleet-plan/index.js';
import type { RelayMessageOf } from '../../../src/entry/relay/messages.js';
import { isTooLarge, memoryTokens, tokensOf } from '../../../src/entry/relay/server-tokens.js';
import { UsageTracker } from '../../../src/entry/relay/usage-tracker.js';

const state = (usedTokens: number, sharers = 1) => ({
  capacityTokens: 1_000,
  usedTokens,
  sharers,
});

describe('a request', () => {
  test('fits while the server has memory for it and a reserve', () => {
    expect(fits(state(500), 400)).toBe(true);
    expect(fits(state(500), 401)).toBe(false);
    expect(fits(state(500), 300, 300)).toBe(false);
  });

  test('may fill an empty server, but not exceed it', () => {
    expect(fits(state(0), 1_000)).toBe(true);
    expect(fits(state(0), 1_001)).toBe(false);
  });

  test('is bounded by a part of the memory without a steward', () => {
    expect(fits(state(100, 4), 125)).toBe(true);
    expect(fits(state(100, 4), 126)).toBe(false);
  });

  test('is not bounded by a memory that is unknown', () => {
    expect(fits({ ...state(5_000), capacityTokens: 0 }, 5_000)).toBe(true);
  });

  test('finds less room the more requests may be on their way to the same server', () => {
    const servers = [450, 850];
    const withRoom = (count: number) =>
      serversWithRoom(servers, 100, { count, tokens: 100 }, (used) => state(used));
    expect(withRoom(0)).toEqual([450]);
    expect(withRoom(6)).toEqual([]);
  });

  test('is too large if it needs more than any server of its service has', () => {
    const engine = { kvTokens: 1_000 };
    const plan = { services: new Map([['chat', { engine }]]) } as unknown as FleetPlan;
    expect(isTooLarge(plan, 'chat', { prompt: 1_000, output: 1 })).toBe(true);
    expect(isTooLarge(plan, 'chat', { prompt: 900, output: 100 })).toBe(false);
    expect(isTooLarge(plan, 'chat', null)).toBe(false);
    expect(isTooLarge(plan, 'other', { prompt: 1_000, output: 1 })).toBe(false);
  });

  // The platform's configuration may omit the memory, which then is decoded as Infinity.
  test('is not bounded by a memory that the configuration omits', () => {
    const engine = { kvTokens: Infinity };
    const plan = { services: new Map([['chat', { engine }]]) } as unknown as FleetPlan;
    expect(memoryTokens(plan, 'chat')).toBe(0);
    expect(isTooLarge(plan, 'chat', { prompt: 1e9, output: 0 })).toBe(false);
  });

  test('without a declared size counts with the units of its customer, if these are tokens', () => {
    const customer = { countsTokens: true, defaultUnits: 90 } as never;
    expect(tokensOf({ model: 'm', tokens: null }, customer)).toBe(90);
    expect(tokensOf({ model: 'm', tokens: null }, null)).toBeUndefined();
    expect(tokensOf({ model: 'm', tokens: { prompt: 5, output: 7 } }, customer)).toBe(12);
  });
});

describe('the tokens at a server over all entry VMs', () => {
  test('include requests of earlier builds, which tell none, with the average of the others', () => {
    const tracker = new UsageTracker();
    const entry = { server: 's1', model: 'm', adapter: null };
    const reports = [
      { running: [{ ...entry, running: 2, tokens: 300 }] },
      { running: [{ ...entry, running: 4 }] },
      { running: [{ ...entry, server: 's2', running: 1, tokens: 150 }] },
    ] as unknown as RelayMessageOf<'report'>[];
    tracker.sumRunning(0, reports);
    expect(tracker.tokensAt('s1')).toBe(900);
    expect(tracker.tokensAt('s2')).toBe(150);
  });
});
