/** Silences as they come in a burst, on a slow server, from a dark one and from a lost answer. */
import { describe, expect, test } from 'vitest';
import { leavesSilentServer, type Silence } from '../../../src/decisions/retries/index.js';

const silence = (fields: Partial<Silence>): Silence => ({
  requestMs: 800,
  serverMs: 800,
  patienceMs: 2_000,
  fillElsewhere: 0.8,
  ...fields,
});

describe('a request whose server is silent', () => {
  test('stays while the server answers others and these are busy too', () => {
    expect(leavesSilentServer(silence({ serverMs: 15 }))).toBe(false);
  });

  test('leaves a slow server for an idle one', () => {
    expect(leavesSilentServer(silence({ serverMs: 15, fillElsewhere: 0.2 }))).toBe(true);
  });

  test('leaves a server that answers nobody', () => {
    expect(leavesSilentServer(silence({}))).toBe(true);
  });

  test('stays where every other server is full: a burst leaves no room anywhere', () => {
    expect(leavesSilentServer(silence({ fillElsewhere: 1 }))).toBe(false);
    const long = silence({ requestMs: 1_900, serverMs: 1_900, fillElsewhere: 1 });
    expect(leavesSilentServer(long)).toBe(false);
  });

  test('leaves once its answer must be lost, before the caller does', () => {
    expect(leavesSilentServer(silence({ requestMs: 1_300, serverMs: 15 }))).toBe(true);
  });
});
