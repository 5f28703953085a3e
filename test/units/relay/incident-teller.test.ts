/** What the steward tells of requests that servers die under. */
import { describe, expect, test } from 'vitest';
import { IncidentTable } from '../../../src/decisions/suspects/index.js';
import { IncidentTeller } from '../../../src/entry/relay/incident-teller.js';

const incident = (serverId: string) => ({ fingerprint: 'f', serverId, bornMs: 1 });

function sharedOf(table: IncidentTable) {
  return {
    get sharedVersion() {
      return table.sharedVersion;
    },
    shared: () => table.shared(0),
  };
}

function toldServers(teller: IncidentTeller, table: IncidentTable): readonly string[] {
  const news = teller.news(sharedOf(table));
  return news?.type === 'incidents' ? news.incidents.map(({ serverId }) => serverId) : [];
}

describe('an entry VM that comes after the incidents', () => {
  test('is told all of a request that has several, and each later one once', () => {
    const table = new IncidentTable();
    table.note(0, incident('a'));
    table.note(0, incident('b'));
    const teller = new IncidentTeller();
    expect(toldServers(teller, table)).toEqual(['a', 'b']);
    expect(toldServers(teller, table)).toEqual([]);
    table.note(0, incident('c'));
    expect(toldServers(teller, table)).toEqual(['c']);
  });

  test('is told again what could not be sent', () => {
    const table = new IncidentTable();
    table.note(0, incident('a'));
    table.note(0, incident('b'));
    const teller = new IncidentTeller();
    teller.news(sharedOf(table));
    teller.forget();
    expect(toldServers(teller, table)).toEqual(['a', 'b']);
  });

  test('is spared requests with a single incident', () => {
    const table = new IncidentTable();
    table.note(0, incident('a'));
    expect(toldServers(new IncidentTeller(), table)).toEqual([]);
  });
});
