/** The list of backend servers with store outages, unreadable entries and outdated entries. */
import { describe, expect, test } from 'vitest';
import { BackendList, type ListedEntry } from '../../../src/decisions/backend-list/index.js';
import type { BackendServer } from '../../../src/decisions/fleet-plan/index.js';

function server(id: string, fields: Partial<BackendServer> = {}): BackendServer {
  return {
    id,
    service: 'desk',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    leaving: false,
    slots: 4,
    orderCount: 0,
    bornMs: 100,
    models: [],
    copies: { inMemory: [], onDisk: [] },
    ...fields,
  };
}

const listed = (revision: number, entry: BackendServer): ListedEntry => ({
  id: entry.id,
  revision,
  server: entry,
  deleted: false,
});
const removed = (revision: number, id: string): ListedEntry => ({
  id,
  revision,
  server: null,
  deleted: true,
});

describe('the list of backend servers', () => {
  test('removes a server at once when its entry is deleted', () => {
    const list = new BackendList();
    list.applyEntries(0, [listed(1, server('e1'))], true);
    expect(list.applyEntries(10, [removed(2, 'e1')], false)).toBe(true);
    expect(list.servers.has('e1')).toBe(false);
  });

  test('retains servers whose entries expired in an outage for a grace period', () => {
    const list = new BackendList();
    list.applyEntries(0, [listed(1, server('e1')), listed(2, server('e2'))], true);
    list.startGracePeriod(10_000);
    list.applyEntries(10_000, [], true);
    expect(list.servers.size).toBe(2);
    list.applyEntries(11_000, [listed(9, server('e1'))], false);
    list.expireMissing(12_000);
    expect(list.servers.size).toBe(2);
    list.expireMissing(12_400);
    expect([...list.servers.keys()]).toEqual(['e1']);
  });

  test('ignores an unreadable entry', () => {
    const list = new BackendList();
    list.applyEntries(0, [listed(1, server('e1'))], true);
    list.applyEntries(1, [{ id: 'e1', revision: 2, server: null, deleted: false }], false);
    expect(list.servers.has('e1')).toBe(true);
  });

  test('ignores entries of an earlier process, order count or revision', () => {
    const list = new BackendList();
    list.applyEntries(
      0,
      [listed(5, server('e1', { bornMs: 200, orderCount: 7, leaving: true }))],
      true,
    );
    list.applyEntries(1, [listed(6, server('e1', { bornMs: 100 }))], false);
    list.applyEntries(2, [listed(7, server('e1', { bornMs: 200, orderCount: 3 }))], false);
    list.applyEntries(3, [listed(4, server('e1', { bornMs: 300 }))], false);
    expect(list.servers.get('e1')).toMatchObject({ bornMs: 200, orderCount: 7, leaving: true });
  });

  test('replaces a server that restarted under the same id', () => {
    const list = new BackendList();
    list.applyEntries(0, [listed(5, server('e1', { bornMs: 200, orderCount: 7 }))], true);
    list.applyEntries(1, [listed(6, server('e1', { bornMs: 300, orderCount: 0 }))], false);
    expect(list.servers.get('e1')?.bornMs).toBe(300);
  });
});
