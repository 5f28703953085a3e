/**
 * Details of the handover note name the customers of whose rate no VM holds a share. A stored lease with
 * details that are older than the shares would let the next steward lend the same rate again.
 */
import { describe, expect, test } from 'vitest';
import {
  type LeaseEffect,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
  LeaseManager,
} from '../../../src/decisions/leases/index.js';
import { createManager, DURATION_MS } from './manager-fixture.js';

const TICK: LeaseEvent = { type: LeaseEventType.tick };
const PREVIOUS = { lentOnly: ['old'] };
const OWN = { lentOnly: ['new'] };

const SETTINGS = { note: () => ({}), noteDetails: () => OWN };

function writtenDetails(effects: readonly LeaseEffect[]): unknown {
  const write = effects.find(({ type }) => type === LeaseEffectType.write);
  if (write?.type !== LeaseEffectType.write) throw new Error('no write');
  return write.lease.noteDetails;
}

/** Acquires a lease of vm-9 that has expired; returns the effects of the read and of the write. */
function acquire(manager: LeaseManager, noteDetails: unknown) {
  const lease = { holder: 'vm-9', epoch: 1, durationMs: DURATION_MS, renewal: 1, noteDetails };
  const read: LeaseEvent = { type: LeaseEventType.read, lease, version: 1 };
  manager.handle(0, TICK);
  manager.handle(0, read);
  manager.handle(2_400, TICK);
  const onRead = manager.handle(2_400, read);
  return { onRead, onWritten: manager.handle(2_410, { type: LeaseEventType.written, version: 2 }) };
}

describe('the details of a handover note', () => {
  test('are kept by an acquisition, and replaced by the next renewal', () => {
    const manager = createManager('vm-0', null, SETTINGS);
    const { onRead, onWritten } = acquire(manager, PREVIOUS);
    expect(writtenDetails(onRead)).toEqual(PREVIOUS);
    expect(onWritten).toMatchObject([
      { type: LeaseEffectType.acquired, noteDetails: PREVIOUS },
      { type: LeaseEffectType.notePersisted, noteDetails: PREVIOUS },
    ]);
    expect(writtenDetails(manager.handle(3_200, TICK))).toEqual(OWN);
  });

  test('are none after an earlier build, which drops them', () => {
    const [acquired] = acquire(createManager('vm-0', null, SETTINGS), undefined).onWritten;
    expect(acquired).toMatchObject({ type: LeaseEffectType.acquired, noteDetails: undefined });
  });

  test('are unknown after a takeover until the successor has renewed the lease', () => {
    const holder = createManager('vm-0', 'vm-1', SETTINGS);
    acquire(holder, PREVIOUS);
    const sent = holder.heldLease(2_500);
    if (sent === null) throw new Error('the lease is not held');
    const successor = createManager('vm-1', null, SETTINGS);
    const heirTerm = { fromMs: 2_500, untilMs: 2_500 + sent.leftMs };
    successor.handle(2_500, { type: LeaseEventType.sent, ...sent, heirTerm });
    const { epoch } = sent.lease;
    const effects = successor.handle(2_600, {
      type: LeaseEventType.epochRetired,
      epoch,
      newestEpoch: epoch,
    });
    const [acquired, persisted] = effects;
    expect(acquired).toMatchObject({ type: LeaseEffectType.acquired, isTakeover: true });
    expect(acquired).not.toHaveProperty('noteDetails', PREVIOUS);
    expect(persisted).toMatchObject({ noteDetails: null });
    // Not those of the lease that it was sent: the store may hold newer ones.
    expect(writtenDetails(successor.handle(2_610, TICK))).toBeUndefined();
    const renewed = successor.handle(2_620, { type: LeaseEventType.written, version: 3 });
    expect(renewed).toMatchObject([{ noteDetails: undefined }]);
  });
});
