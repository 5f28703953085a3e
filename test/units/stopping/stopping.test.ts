/** Requests that arrive while an entry VM shuts down. */
import { describe, expect, test } from 'vitest';
import * as stopping from '../../../src/decisions/stopping/index.js';

const GRACE_MS = 8_000;

describe('an entry VM that shuts down', () => {
  test('accepts every request until the load balancer can have detected the shutdown', () => {
    expect(stopping.acceptsRequest(0, GRACE_MS, true)).toBe(true);
    expect(stopping.acceptsRequest(2_000, GRACE_MS, true)).toBe(true);
  });

  // A stream accepted 4.8 s after SIGTERM was truncated when the process exited.
  test('rejects a stream that the exit of the process would truncate', () => {
    expect(stopping.acceptsRequest(4_800, GRACE_MS, true)).toBe(false);
  });

  test('accepts short requests as long as they finish before the exit', () => {
    expect(stopping.acceptsRequest(4_800, GRACE_MS, false)).toBe(true);
    expect(stopping.acceptsRequest(7_000, GRACE_MS, false)).toBe(false);
  });
});
