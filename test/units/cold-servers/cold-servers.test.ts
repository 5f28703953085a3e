/** A server counts as cold by its start, its entry, an evacuation and the word of other VMs. */
import { describe, expect, test } from 'vitest';
import { ColdServers, LINGER_MS } from '../../../src/decisions/cold-servers/index.js';

const TERMS = { startMs: 10_000, perS: 4 };
const START_UNIX_MS = 1_000_000;

function setUp() {
  const cold = new ColdServers({ overage: 1.5, slack: 5 });
  const server = (fields: { readonly coldMs?: number; readonly bornMs?: number } = {}) => ({
    id: 's1',
    service: 'desk',
    bornMs: START_UNIX_MS,
    ...fields,
  });
  const note = (nowMs: number, unixMs: number, listed = server()) =>
    cold.noteServers(nowMs, unixMs, [listed], () => TERMS);
  const isCold = (nowMs: number, lingerMs = 0) =>
    cold.requestsPerS(nowMs, server(), lingerMs) !== null;
  return { cold, server, note, isCold };
}

const WARM_UNIX_MS = START_UNIX_MS + 60_000;

describe('a server is cold', () => {
  test('for the time after its start, whenever it is first seen', () => {
    const { note, isCold } = setUp();
    note(0, START_UNIX_MS + 4_000);
    note(5_000, START_UNIX_MS + 9_000);
    expect([isCold(6_400), isCold(6_600), isCold(6_600, LINGER_MS)]).toEqual([true, false, true]);
  });

  test('again while its entry states it, and no longer once a newer entry states none', () => {
    const { note, server, isCold } = setUp();
    note(0, WARM_UNIX_MS);
    expect(isCold(1)).toBe(false);
    const shared = note(1_000, WARM_UNIX_MS, server({ coldMs: 5_000 }));
    expect(shared).toEqual([{ serverId: 's1', bornMs: START_UNIX_MS, forMs: 5_000 }]);
    expect([isCold(5_900), isCold(6_100)]).toEqual([true, false]);
    note(2_000, WARM_UNIX_MS, server({ coldMs: 0 }));
    expect(isCold(2_001)).toBe(false);
  });

  test('if its entry is unreadable', () => {
    const { note, server, isCold } = setUp();
    note(0, WARM_UNIX_MS, server({ coldMs: Infinity }));
    expect(isCold(9_000)).toBe(true);
  });

  test('after an evacuation, until an entry can have stated it', () => {
    const { cold, note, server, isCold } = setUp();
    note(0, WARM_UNIX_MS);
    cold.presume(1_000, [server()]);
    expect([isCold(1_001), isCold(5_000)]).toEqual([true, false]);
  });

  test('if the steward tells it, also before the server is listed, until the steward ends it', () => {
    const { cold, note, isCold } = setUp();
    const told = { serverId: 's1', bornMs: START_UNIX_MS, forMs: 5_000 };
    cold.merge(0, told, true);
    note(100, WARM_UNIX_MS);
    expect(isCold(4_000)).toBe(true);
    cold.merge(4_000, { ...told, forMs: 0 }, true);
    expect(isCold(4_001)).toBe(false);
  });

  test('but not its next process, and not one of a service without such limits', () => {
    const { cold, note, server } = setUp();
    note(0, START_UNIX_MS);
    expect(cold.requestsPerS(1, server({ bornMs: START_UNIX_MS + 1 }))).toBeNull();
    cold.noteServers(2, START_UNIX_MS, [server()], () => null);
    expect(cold.requestsPerS(3, server())).toBeNull();
  });
});
