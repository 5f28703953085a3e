import { describe, expect, test } from 'vitest';
import * as stopping from '../../../src/decisions/stopping/index.js';

const GRACE_MS = 8_000;

describe('an entry VM that stops', () => {
  test('serves all that comes before the balancer can have noticed', () => {
    expect(stopping.takesRequest(0, GRACE_MS, true)).toBe(true);
    expect(stopping.takesRequest(2_000, GRACE_MS, true)).toBe(true);
  });

  // Seen on a drawn day: a stream taken 4.8 s after SIGTERM was cut when the process ended.
  test('does not begin a stream that its end would cut', () => {
    expect(stopping.takesRequest(4_800, GRACE_MS, true)).toBe(false);
  });

  test('serves short requests while they end in time', () => {
    expect(stopping.takesRequest(4_800, GRACE_MS, false)).toBe(true);
    expect(stopping.takesRequest(7_000, GRACE_MS, false)).toBe(false);
  });
});
