import fc from 'fast-check';
import { expect, test } from 'vitest';
import { createRandom } from '../../../src/core/random/index.js';
import { type Peer, PeerChoice } from '../../../src/decisions/peer-choice/index.js';

const SERVER = { id: 's1', service: 'desk' };
const OWN = { vm: 'vm-0', dataCentre: 'a' };
const SEED = 41;

const peers = fc.uniqueArray(
  fc.record<Peer>({
    vm: fc.integer({ min: 0, max: 9 }).map((at) => `vm-${at}`),
    address: fc.constant('10.0.0.1:7000'),
    dataCentre: fc.constantFrom('a', 'b'),
    unreachable: fc.subarray(['s1', 's2']),
    partitioned: fc.subarray(['desk', 'drafts']),
    leaving: fc.boolean(),
  }),
  { selector: ({ vm }) => vm },
);

test('a peer is asked once at most, and only if it may reach the server', () => {
  fc.assert(
    fc.property(peers, fc.integer(), (listed, seed) => {
      const choice = new PeerChoice(OWN);
      choice.setPeers(listed);
      const random = createRandom(seed);
      const tried = new Set<string>();
      const canReach = choice.canReach(0, SERVER);
      let peer = choice.choose(0, { server: SERVER, tried, random });
      expect(peer !== null).toBe(canReach);
      while (peer !== null) {
        expect(tried.has(peer.vm)).toBe(false);
        expect(peer.vm).not.toBe(OWN.vm);
        expect(
          peer.leaving || peer.partitioned.includes('desk') || peer.unreachable.includes('s1'),
        ).toBe(false);
        tried.add(peer.vm);
        peer = choice.choose(0, { server: SERVER, tried, random });
      }
      const usable = listed.filter(
        ({ vm, leaving, partitioned, unreachable }) =>
          vm !== OWN.vm && !leaving && !partitioned.includes('desk') && !unreachable.includes('s1'),
      );
      expect(tried.size).toBe(usable.length);
    }),
    { seed: SEED },
  );
});

test('connections are spread evenly over the peers of a data centre', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 6 }),
      fc.array(fc.boolean(), { minLength: 1, maxLength: 100 }),
      (count, opens) => {
        const choice = new PeerChoice(OWN);
        const vms = Array.from({ length: count }, (_, at) => `vm-${at + 1}`);
        choice.setPeers(
          vms.map((vm) => ({
            vm,
            address: '10.0.0.1:7000',
            dataCentre: 'a',
            unreachable: [],
            partitioned: [],
            leaving: false,
          })),
        );
        const random = createRandom(SEED);
        const open = new Map(vms.map((vm) => [vm, 0]));
        const tried = new Set<string>();
        opens.forEach(() => {
          const vm = choice.choose(0, { server: SERVER, tried, random })?.vm ?? '';
          choice.noteOpened(vm);
          open.set(vm, (open.get(vm) ?? 0) + 1);
          const counts = [...open.values()];
          expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
        });
      },
    ),
    { seed: SEED },
  );
});
