import { beforeEach, describe, expect, test } from 'vitest';
import { createRandom } from '../../../src/core/random/index.js';
import { type Peer, PeerChoice, PeerFailure } from '../../../src/decisions/peer-choice/index.js';

const SERVER = { id: 's1', service: 'desk' };
const OWN = { vm: 'vm-0', dataCentre: 'a' };

function createPeer(vm: string, fields: Partial<Peer> = {}): Peer {
  return {
    vm,
    address: '10.0.0.1:7000',
    dataCentre: 'a',
    unreachable: [],
    partitioned: [],
    leaving: false,
    ...fields,
  };
}

describe('the peer that is asked for a connection to a server', () => {
  const random = createRandom(41);
  let choice: PeerChoice;

  const choose = (nowMs = 0, tried: readonly string[] = []) =>
    choice.choose(nowMs, { server: SERVER, tried: new Set(tried), random })?.vm ?? null;

  beforeEach(() => {
    choice = new PeerChoice(OWN);
  });

  test('is none without a list of peers, and never the VM itself', () => {
    expect(choose()).toBeNull();
    choice.setPeers([createPeer('vm-0')]);
    expect(choose()).toBeNull();
    expect(choice.canReach(0, SERVER)).toBe(false);
  });

  test('is none to which the body of the request may not be sent', () => {
    choice.setPeers([createPeer('vm-1'), createPeer('vm-2', { dataCentre: 'b' })]);
    const mayRelay = (dataCentre: string) => dataCentre === 'b';
    const query = { server: SERVER, tried: new Set<string>(), random, mayRelay };
    expect(choice.choose(0, query)?.vm).toBe('vm-2');
    expect(choice.canReach(0, SERVER, () => false)).toBe(false);
  });

  test('is one in the same data centre first', () => {
    choice.setPeers([createPeer('vm-1', { dataCentre: 'b' }), createPeer('vm-2')]);
    expect(choose()).toBe('vm-2');
    expect(choose(0, ['vm-2'])).toBe('vm-1');
    expect(choose(0, ['vm-1', 'vm-2'])).toBeNull();
  });

  test('is one in another data centre once the near ones relay more', () => {
    choice.setPeers([createPeer('vm-1', { dataCentre: 'b' }), createPeer('vm-2')]);
    ['vm-2', 'vm-2', 'vm-2'].forEach((vm) => choice.noteOpened(vm));
    expect(choose()).toBe('vm-1');
    choice.noteClosed('vm-2');
    choice.noteClosed('vm-2');
    expect(choose()).toBe('vm-2');
  });

  test.each([
    ['leaves', { leaving: true }],
    ['is partitioned from the service itself', { partitioned: ['desk'] }],
    ["can't reach the server", { unreachable: ['s1'] }],
  ])('is none that %s', (_, fields) => {
    choice.setPeers([createPeer('vm-1', fields)]);
    expect(choose()).toBeNull();
    expect(choice.canReach(0, SERVER)).toBe(false);
  });

  test('may be one that reaches this server but not others', () => {
    choice.setPeers([createPeer('vm-1', { unreachable: ['s2'], partitioned: ['drafts'] })]);
    expect(choose()).toBe('vm-1');
  });

  test.each([PeerFailure.peerLost, PeerFailure.stopping, PeerFailure.busy])(
    'is none for any server for some time after it was %s',
    (failure) => {
      choice.setPeers([createPeer('vm-1')]);
      choice.noteFailure(0, 'vm-1', 's2', failure);
      expect(choose(50)).toBeNull();
      expect(choose(2_000)).toBe('vm-1');
    },
  );

  test('is asked for other servers after it has refused one', () => {
    choice.setPeers([createPeer('vm-1')]);
    choice.noteFailure(0, 'vm-1', 's2', PeerFailure.unreachable);
    expect(choose()).toBe('vm-1');
    choice.noteFailure(0, 'vm-1', 's1', PeerFailure.unavailable);
    expect(choose()).toBeNull();
    choice.noteReached('vm-1', 's1');
    expect(choose()).toBe('vm-1');
  });

  test('is none once two peers that reach others could not reach the server', () => {
    choice.setPeers(['vm-1', 'vm-2', 'vm-3'].map((vm) => createPeer(vm)));
    ['vm-1', 'vm-2'].forEach((vm) => choice.noteFailure(0, vm, 's1', PeerFailure.unreachable));
    expect(choose()).toBeNull();
    expect(choice.canReach(0, SERVER)).toBe(false);
    expect(choose(1_000)).not.toBeNull();
  });

  test('may be one though two peers that reach nothing could not reach the server', () => {
    choice.setPeers(['vm-1', 'vm-2', 'vm-3'].map((vm) => createPeer(vm)));
    ['vm-1', 'vm-2'].forEach((vm) =>
      ['s1', 's2'].forEach((id) => choice.noteFailure(0, vm, id, PeerFailure.unreachable)),
    );
    expect(choose()).toBe('vm-3');
  });

  test('is none that has reached neither of two servers', () => {
    choice.setPeers([createPeer('vm-1')]);
    choice.noteFailure(0, 'vm-1', 's2', PeerFailure.unreachable);
    choice.noteFailure(0, 'vm-1', 's3', PeerFailure.unreachable);
    expect(choose()).toBeNull();
    expect(choose(1_000)).toBe('vm-1');
  });
});
