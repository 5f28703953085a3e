/** Requests that arrive while an entry VM shuts down. */
import { describe, expect, test } from 'vitest';
import * as stopping from '../../../src/decisions/stopping/index.js';

const GRACE_MS = 8_000;
const STREAM = { isStream: true, timeLimitMs: 12_000 };
const SHORT = { isStream: false, timeLimitMs: 1_500 };

describe('an entry VM that shuts down', () => {
  test('accepts every request until the load balancer can have detected the shutdown', () => {
    expect(stopping.acceptsRequest(0, GRACE_MS, STREAM)).toBe(true);
    expect(stopping.acceptsRequest(2_000, GRACE_MS, STREAM)).toBe(true);
  });

  // A stream accepted 4.8 s after SIGTERM was truncated when the process exited.
  test('rejects a stream that the exit of the process would truncate', () => {
    expect(stopping.acceptsRequest(4_800, GRACE_MS, STREAM)).toBe(false);
  });

  test('accepts short requests as long as they finish before the exit', () => {
    expect(stopping.acceptsRequest(4_800, GRACE_MS, SHORT)).toBe(true);
    expect(stopping.acceptsRequest(7_000, GRACE_MS, SHORT)).toBe(false);
  });

  test('rejects a request that may last until after the exit if its server is slow', () => {
    const order = { isStream: false, timeLimitMs: 4_000 };
    expect(stopping.acceptsRequest(3_900, GRACE_MS, order)).toBe(true);
    expect(stopping.acceptsRequest(4_100, GRACE_MS, order)).toBe(false);
  });
});
