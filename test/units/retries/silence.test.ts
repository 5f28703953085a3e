/** Idle attempts in a burst, at a slow or unresponsive server, and after a lost response. */
import { describe, expect, test } from 'vitest';
import { leavesSilentServer, type Silence } from '../../../src/decisions/retries/index.js';

const idleAttempt = (fields: Partial<Silence>): Silence => ({
  requestMs: 800,
  serverMs: 800,
  patienceMs: 2_000,
  fillElsewhere: 0.8,
  ...fields,
});

describe('an idle attempt', () => {
  test('continues while its server answers other requests and the other servers are busy', () => {
    expect(leavesSilentServer(idleAttempt({ serverMs: 15 }))).toBe(false);
  });

  test('is abandoned at a slow server if another server is idle', () => {
    expect(leavesSilentServer(idleAttempt({ serverMs: 15, fillElsewhere: 0.2 }))).toBe(true);
  });

  test('is abandoned at a server that answers no request', () => {
    expect(leavesSilentServer(idleAttempt({}))).toBe(true);
  });

  test('continues if all other servers are fully utilised, as in a burst', () => {
    expect(leavesSilentServer(idleAttempt({ fillElsewhere: 1 }))).toBe(false);
    const almostTimedOut = idleAttempt({ requestMs: 1_900, serverMs: 1_900, fillElsewhere: 1 });
    expect(leavesSilentServer(almostTimedOut)).toBe(false);
  });

  test('is abandoned when its response counts as lost, before the caller timeout', () => {
    expect(leavesSilentServer(idleAttempt({ requestMs: 1_300, serverMs: 15 }))).toBe(true);
  });
});
