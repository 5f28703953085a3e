/** The messages in which the steward sends shared incidents to an entry VM. */
import { describe, expect, test } from 'vitest';
import { IncidentTable } from '../../../src/decisions/suspects/index.js';
import { IncidentPublisher } from '../../../src/entry/relay/incident-publisher.js';

const incident = (serverId: string) => ({ fingerprint: 'f', serverId, bornMs: 1 });

function sharedOf(table: IncidentTable) {
  return {
    get sharedVersion() {
      return table.sharedVersion;
    },
    shared: () => table.shared(0),
  };
}

function sentServers(publisher: IncidentPublisher, table: IncidentTable): readonly string[] {
  const message = publisher.nextMessage(sharedOf(table));
  return message?.type === 'incidents' ? message.incidents.map(({ serverId }) => serverId) : [];
}

describe('an entry VM that connects after the incidents', () => {
  test('is sent all incidents of a request that has several, and each later one once', () => {
    const table = new IncidentTable();
    table.note(0, incident('a'));
    table.note(0, incident('b'));
    const publisher = new IncidentPublisher();
    expect(sentServers(publisher, table)).toEqual(['a', 'b']);
    expect(sentServers(publisher, table)).toEqual([]);
    table.note(0, incident('c'));
    expect(sentServers(publisher, table)).toEqual(['c']);
  });

  test('is sent incidents again if a message could not be sent', () => {
    const table = new IncidentTable();
    table.note(0, incident('a'));
    table.note(0, incident('b'));
    const publisher = new IncidentPublisher();
    publisher.nextMessage(sharedOf(table));
    publisher.resendAll();
    expect(sentServers(publisher, table)).toEqual(['a', 'b']);
  });

  test('is not sent the incident of a request that has only one', () => {
    const table = new IncidentTable();
    table.note(0, incident('a'));
    expect(sentServers(new IncidentPublisher(), table)).toEqual([]);
  });
});
