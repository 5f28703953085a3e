/** Request rates of models, those included that were not requested yet. */
import { describe, expect, test } from 'vitest';
import type { RelayMessageOf } from '../../../src/entry/relay/messages.js';
import { UsageTracker } from '../../../src/entry/relay/usage-tracker.js';

const SERVER = 's1';
const STEP_MS = 100;

/** A tracker that has seen `perS` requests a second for `hot` for a time, and a loaded `idle`. */
function observe(perS: number, durationMs: number): { tracker: UsageTracker; nowMs: number } {
  const tracker = new UsageTracker();
  ['hot', 'idle'].forEach((model) => tracker.replica(0, SERVER, model, new Set()));
  const requests = (perS * STEP_MS) / 1_000;
  const usage = [{ model: 'hot', requests }];
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    tracker.note(nowMs, { usage } as unknown as RelayMessageOf<'report'>);
  }
  return { tracker, nowMs: durationMs };
}

describe('the rate that is expected of a model', () => {
  // It was 0, so that a new steward unloaded models whose demand it had not seen.
  test('is not 0 soon after the first requests, though the model had none', () => {
    const { tracker, nowMs } = observe(10, 1_000);
    const expected = tracker.expectedRates(nowMs);
    expect(expected.get('idle')).toBeGreaterThan(0.5);
    expect(expected.get('idle')).toBeLessThan(expected.get('hot') ?? 0);
  });

  test('falls to one request in the window while the model has none', () => {
    const { tracker, nowMs } = observe(10, 120_000);
    const expected = tracker.expectedRates(nowMs);
    expect(expected.get('idle')).toBeLessThan(1 / 25);
    expect(expected.get('idle')).toBeGreaterThan(1 / 35);
    expect(expected.get('hot')).toBeGreaterThan(9);
  });

  test('is 0 before any request, and unknown for a model that was never loaded', () => {
    const { tracker } = observe(0, 0);
    const expected = tracker.expectedRates(0);
    expect([...expected]).toEqual([
      ['hot', 0],
      ['idle', 0],
    ]);
  });
});
