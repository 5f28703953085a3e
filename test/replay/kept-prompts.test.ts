/** What the choice by kept prompts and by learnt paces saves, replayed on virtual time. */
import { describe, expect, test } from 'vitest';
import { type FleetOptions, replayFleet } from './first-token-fleet.js';

const FLEET: FleetOptions = {
  vms: 4,
  servers: 6,
  slots: 16,
  memoryTokens: 59_960,
  requestsPerS: 40,
  seconds: 60,
  streamMs: 1_300,
  documents: 30,
  sharedTokens: 172,
  ownTokens: 371,
  ratioOf: () => 1,
  usesPrompts: false,
  usesPaces: true,
};

function compare(opts: Partial<FleetOptions>, change: Partial<FleetOptions>) {
  const before = replayFleet({ ...FLEET, ...opts });
  const after = replayFleet({ ...FLEET, ...opts, ...change });
  return { before, after };
}

describe('the choice by kept prompts', () => {
  test('saves much for shared beginnings of thousands of tokens on busy servers', () => {
    const long = { sharedTokens: 4_000, ownTokens: 300, documents: 30 };
    const { before, after } = compare(long, { usesPrompts: true });
    expect(after.meanMs).toBeLessThan(before.meanMs * 0.8);
    expect(after.refused).toBeLessThanOrEqual(before.refused);
  });

  test('changes little for 172 shared tokens, and does not crowd servers', () => {
    const { before, after } = compare({}, { usesPrompts: true });
    expect(Math.abs(after.meanMs - before.meanMs)).toBeLessThan(4.5);
    expect(after.largestRunning).toBeLessThanOrEqual(before.largestRunning + 2);
    expect(after.refused).toBeLessThanOrEqual(before.refused);
  });
});

describe('the choice by learnt paces', () => {
  test('serves sooner when a third of the servers are 1.3 times as slow', () => {
    const unequal = { ratioOf: (server: number) => (server % 3 === 0 ? 1.3 : 1) };
    const { before, after } = compare({ ...unequal, usesPaces: false }, { usesPaces: true });
    expect(after.meanMs).toBeLessThan(before.meanMs);
    expect(after.refused).toBeLessThanOrEqual(before.refused);
  });
});
