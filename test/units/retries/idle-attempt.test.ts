/** Idle attempts in a burst, at a slow or unresponsive server, and after a lost response. */
import { describe, expect, test } from 'vitest';
import { shouldReplaceAttempt, type IdleAttempt } from '../../../src/decisions/retries/index.js';

const idleAttempt = (fields: Partial<IdleAttempt>): IdleAttempt => ({
  requestIdleMs: 800,
  serverIdleMs: 800,
  callerTimeoutMs: 2_000,
  utilisationElsewhere: 0.8,
  ...fields,
});

describe('an idle attempt', () => {
  test('continues while its server responds to other requests and the other servers are busy', () => {
    expect(shouldReplaceAttempt(idleAttempt({ serverIdleMs: 15 }))).toBe(false);
  });

  test('is abandoned at a slow server if another server is idle', () => {
    expect(shouldReplaceAttempt(idleAttempt({ serverIdleMs: 15, utilisationElsewhere: 0.2 }))).toBe(
      true,
    );
  });

  test('is abandoned at a server that responds to no request', () => {
    expect(shouldReplaceAttempt(idleAttempt({}))).toBe(true);
  });

  test('continues if all other servers are fully utilised, as in a burst', () => {
    expect(shouldReplaceAttempt(idleAttempt({ utilisationElsewhere: 1 }))).toBe(false);
    const almostTimedOut = idleAttempt({
      requestIdleMs: 1_900,
      serverIdleMs: 1_900,
      utilisationElsewhere: 1,
    });
    expect(shouldReplaceAttempt(almostTimedOut)).toBe(false);
  });

  test('is abandoned when its response counts as lost, before the caller timeout', () => {
    expect(shouldReplaceAttempt(idleAttempt({ requestIdleMs: 1_300, serverIdleMs: 15 }))).toBe(
      true,
    );
  });
});
