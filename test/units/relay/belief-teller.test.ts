/** What the steward tells each entry VM of the list of backend servers. */
import { describe, expect, test } from 'vitest';
import type { BackendServer } from '../../../src/decisions/fleet-plan/index.js';
import { BeliefTeller, ToldLists } from '../../../src/entry/relay/belief-teller.js';
import type { RelayMessageOf } from '../../../src/entry/relay/messages.js';
import { backendServer } from './backend-server.js';

const NONE: ReadonlySet<string> = new Set();
const listOf = (...servers: BackendServer[]) => ({
  backends: new Map(servers.map((one) => [one.id, one])),
  missing: NONE,
});

describe('the list told to an entry VM', () => {
  test('is whole at first, then only what changed and what is gone', () => {
    const lists = new ToldLists();
    const teller = new BeliefTeller();
    const first = listOf(backendServer('s1'), backendServer('s2'));
    const whole = teller.listChange(lists.at(first), 5);
    expect(whole).toMatchObject({ whole: true, revision: 5, gone: [] });
    const next = listOf(backendServer('s2', { leaving: true }), backendServer('s3'));
    expect(teller.listChange(lists.at(next), 9)).toMatchObject({
      whole: false,
      revision: 9,
      servers: [{ id: 's2', leaving: true }, { id: 's3' }],
      gone: ['s1'],
    });
  });

  test('says nothing where a heartbeat changed only what servers hold', () => {
    const lists = new ToldLists();
    const teller = new BeliefTeller();
    const first = listOf(backendServer('s1'));
    teller.listChange(lists.at(first), 5);
    const next = listOf(backendServer('s1', { orderCount: 7 }));
    expect(teller.listChange(lists.at(next), 6)).toBeNull();
  });

  test('says which servers are kept only since an outage', () => {
    const lists = new ToldLists();
    const teller = new BeliefTeller();
    const list = listOf(backendServer('s1'));
    teller.listChange(lists.at(list), 5);
    const kept = { ...list, missing: new Set(['s1']) };
    expect(teller.listChange(lists.at(kept), 6)).toMatchObject({
      servers: [{ id: 's1', isMissing: true }],
    });
  });

  test('is told whole again after a message that could not be sent', () => {
    const lists = new ToldLists();
    const teller = new BeliefTeller();
    const list = listOf(backendServer('s1'));
    teller.listChange(lists.at(list), 5);
    teller.forget();
    expect(teller.listChange(lists.at(list), 5)).toMatchObject({ whole: true });
  });

  test('comes with the plan only for a VM that stays behind', () => {
    const teller = new BeliefTeller();
    const report = (planRevision: number) => ({ planRevision }) as RelayMessageOf<'report'>;
    expect(teller.lacksPlan(report(3), 4)).toBe(false);
    expect(teller.lacksPlan(report(4), 4)).toBe(false);
    const late = [3, 3, 3, 3].map((revision) => teller.lacksPlan(report(revision), 4));
    expect(late).toEqual([false, false, true, true]);
  });
});
