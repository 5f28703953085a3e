/** What the steward tells each entry VM of the list of backend servers. */
import { describe, expect, test } from 'vitest';
import type { BackendServer } from '../../../src/decisions/fleet-plan/index.js';
import { BeliefTeller, ListedTexts } from '../../../src/entry/relay/belief-teller.js';
import type { RelayMessageOf } from '../../../src/entry/relay/messages.js';

function server(id: string, fields: Partial<BackendServer> = {}): BackendServer {
  return {
    id,
    service: 'drafting',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    leaving: false,
    slots: 8,
    orderCount: 0,
    bornMs: 1,
    models: [],
    copies: { inMemory: [], onDisk: [] },
    ...fields,
  };
}

const listOf = (...servers: BackendServer[]) => new Map(servers.map((one) => [one.id, one]));

describe('the list told to an entry VM', () => {
  test('is whole at first, then only what changed and what is gone', () => {
    const texts = new ListedTexts();
    const teller = new BeliefTeller();
    const first = listOf(server('s1'), server('s2'));
    const whole = teller.listChange(first, texts.of(first), 5);
    expect(whole).toMatchObject({ whole: true, revision: 5, gone: [] });
    const next = listOf(server('s2', { leaving: true }), server('s3'));
    expect(teller.listChange(next, texts.of(next), 9)).toMatchObject({
      whole: false,
      revision: 9,
      servers: [{ id: 's2', leaving: true }, { id: 's3' }],
      gone: ['s1'],
    });
  });

  test('says nothing where a heartbeat changed only what servers hold', () => {
    const texts = new ListedTexts();
    const teller = new BeliefTeller();
    const first = listOf(server('s1'));
    teller.listChange(first, texts.of(first), 5);
    const next = listOf(server('s1', { orderCount: 7 }));
    expect(teller.listChange(next, texts.of(next), 6)).toBeNull();
  });

  test('is told whole again after a message that could not be sent', () => {
    const texts = new ListedTexts();
    const teller = new BeliefTeller();
    const list = listOf(server('s1'));
    teller.listChange(list, texts.of(list), 5);
    teller.forget();
    expect(teller.listChange(list, texts.of(list), 5)).toMatchObject({ whole: true });
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
