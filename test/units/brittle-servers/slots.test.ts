/** Slots of brittle servers: how the steward issues them and how an entry VM uses them. */
import { describe, expect, test } from 'vitest';
import {
  brittleServers,
  FirstAnswers,
  pauseAfterRejectionMs,
  SlotHolder,
  SlotIssuer,
} from '../../../src/decisions/brittle-servers/index.js';

/** Time after which a new steward issues slots, ms. */
const TERM_BEGUN_MS = 2_000;
const VALID_MS = 1_000;

function createIssuer(servers: Readonly<Record<string, { slots: number; n: number }>>) {
  const issuer = new SlotIssuer(0);
  const brittle = new Map(
    Object.entries(servers).map(([id, { slots, n }]) => [id, { slots, rejectionsPerS: n }]),
  );
  issuer.setServers(0, brittle);
  const ask = (nowMs: number, vm: string, ids: readonly string[], needed: number, received = 0) =>
    issuer.request(
      nowMs,
      vm,
      [{ servers: new Map(ids.map((id) => [id, 0])), needed }],
      received,
      VALID_MS,
    );
  const issued = (nowMs: number) => issuer.issue(nowMs).map(({ vm, serverId }) => vm + serverId);
  return { issuer, ask, issued };
}

function createHolder(perS = 2) {
  const holder = new SlotHolder(0.5);
  holder.setSteward(0, true, 4);
  holder.setBrittle(0, new Map([['s', perS]]));
  return holder;
}

describe('the steward', () => {
  test('issues no more slots than the room of a server, over all VMs and in turn', () => {
    const { ask, issued } = createIssuer({ s: { slots: 4, n: 1e9 } });
    ask(TERM_BEGUN_MS, 'a', ['s'], 9);
    ask(TERM_BEGUN_MS, 'b', ['s'], 9);
    expect(issued(TERM_BEGUN_MS)).toEqual(['as', 'bs', 'as']);
    expect(issued(TERM_BEGUN_MS + 500)).toEqual([]);
  });

  test('issues none before it may know the slots in use', () => {
    const { issuer, ask, issued } = createIssuer({ s: { slots: 4, n: 10 } });
    ask(100, 'a', ['s'], 1);
    expect(issued(100)).toEqual([]);
    issuer.hold('b', 's', 3);
    ask(TERM_BEGUN_MS, 'a', ['s'], 1);
    expect(issued(TERM_BEGUN_MS)).toEqual([]);
    issuer.release('b', 's', 1);
    expect(issued(TERM_BEGUN_MS)).toEqual(['as']);
  });

  test('has at most as many slots in doubt as the server may turn away', () => {
    const { ask, issued } = createIssuer({ s: { slots: 20, n: 2.5 }, t: { slots: 20, n: 0.5 } });
    ask(TERM_BEGUN_MS, 'a', ['s'], 9);
    ask(TERM_BEGUN_MS, 'b', ['t'], 9);
    expect(issued(TERM_BEGUN_MS).sort()).toEqual(['as', 'as', 'bt']);
    expect(issued(TERM_BEGUN_MS + 150)).toEqual([]);
    expect(issued(TERM_BEGUN_MS + 250).sort()).toEqual(['as', 'as', 'bt']);
  });

  test('lowers the bound and waits when a server turns a request away', () => {
    const { issuer, ask, issued } = createIssuer({ s: { slots: 10, n: 1 } });
    issuer.hold('a', 's', 8);
    expect(issuer.noteTurnedAway(TERM_BEGUN_MS, 'a', 's')).toBe(pauseAfterRejectionMs(1));
    issuer.release('a', 's', 2);
    ask(TERM_BEGUN_MS + 500, 'b', ['s'], 5);
    expect(issued(TERM_BEGUN_MS + 500)).toEqual([]);
    ask(TERM_BEGUN_MS + 1_300, 'b', ['s'], 5);
    expect(issued(TERM_BEGUN_MS + 1_300)).toEqual(['bs']);
    // Five and one of the eight slots are in use; the bound is 0.9 of seven.
    expect(issued(TERM_BEGUN_MS + 1_600)).toEqual([]);
  });

  test('keeps the slots of a lost VM in use for a while', () => {
    const { issuer, ask, issued } = createIssuer({ s: { slots: 3, n: 10 } });
    issuer.hold('a', 's', 2);
    issuer.removeVm(TERM_BEGUN_MS, 'a');
    ask(TERM_BEGUN_MS + 1_500, 'b', ['s'], 1);
    expect(issued(TERM_BEGUN_MS + 1_500)).toEqual([]);
    expect(issued(TERM_BEGUN_MS + 2_100)).toEqual(['bs']);
  });

  test('chooses the server with the lowest utilisation, and counts what is on its way', () => {
    const { issuer, ask, issued } = createIssuer({
      s: { slots: 10, n: 10 },
      t: { slots: 10, n: 10 },
    });
    issuer.hold('b', 's', 4);
    ask(TERM_BEGUN_MS, 'a', ['s', 't'], 1);
    expect(issued(TERM_BEGUN_MS)).toEqual(['at']);
    ask(TERM_BEGUN_MS + 10, 'a', ['s', 't'], 1);
    expect(issued(TERM_BEGUN_MS + 10)).toEqual([]);
    ask(TERM_BEGUN_MS + 20, 'a', ['s', 't'], 1, 1);
    expect(issued(TERM_BEGUN_MS + 20)).toEqual(['at']);
  });

  test('gives a probe a slot only where no other request shows whether the server is brittle', () => {
    const { issuer, ask, issued } = createIssuer({ s: { slots: 10, n: 10 } });
    ask(TERM_BEGUN_MS, 'a', ['s'], 1);
    expect(issued(TERM_BEGUN_MS)).toEqual(['as']);
    expect(issuer.issueProbe(TERM_BEGUN_MS + 500, 'a', 's')).toBeNull();
    expect(issuer.issueProbe(TERM_BEGUN_MS + 2_500, 'a', 's')).toEqual({ vm: 'a', serverId: 's' });
  });
});

describe('an entry VM', () => {
  test('sends one request a slot to a brittle server, and any number to others', () => {
    const holder = createHolder();
    expect(holder.allows(0, 'other')).toBe(true);
    expect(holder.allows(0, 's')).toBe(false);
    holder.receive(0, 's', 1);
    expect(holder.allows(0, 's')).toBe(true);
    holder.start(0, 's');
    expect(holder.allows(0, 's')).toBe(false);
    holder.end(20, 's');
    expect(holder.allows(20, 's')).toBe(true);
  });

  test('returns slots that it does not need, and those that it has used for long', () => {
    const holder = createHolder();
    holder.receive(0, 's', 2);
    holder.start(0, 's');
    expect(holder.takeReturned(150)).toEqual(new Map([['s', 1]]));
    holder.end(1_100, 's');
    expect(holder.allows(1_100, 's')).toBe(false);
    expect(holder.takeReturned(1_100)).toEqual(new Map([['s', 1]]));
  });

  test('holds slots for its requests in flight to a server that becomes brittle', () => {
    const holder = new SlotHolder(0);
    holder.setSteward(0, true, 4);
    holder.start(0, 's');
    holder.start(0, 's');
    expect(holder.setBrittle(10, new Map([['s', 1]]))).toBe(true);
    expect(holder.held()).toEqual(new Map([['s', 2]]));
    holder.end(20, 's');
    expect(holder.allows(20, 's')).toBe(true);
  });

  test('loses the slot of a request that was turned away, and pauses', () => {
    const holder = createHolder();
    holder.receive(0, 's', 2);
    holder.start(0, 's');
    holder.noteTurnedAway(10, 's');
    holder.end(10, 's');
    expect(holder.allows(10, 's')).toBe(false);
    expect(holder.takeReturned(10)).toEqual(new Map([['s', 1]]));
    expect(holder.held()).toEqual(new Map([['s', 0]]));
  });

  test('uses its slots without a steward, and few requests beside them', () => {
    const holder = createHolder(2);
    holder.receive(0, 's', 1);
    holder.start(0, 's');
    holder.setSteward(100, false, 1);
    holder.end(1_000, 's');
    expect(holder.allows(1_000, 's')).toBe(true);
    holder.start(1_000, 's');
    // A quarter of two a second over four VMs, from half of an interval after the loss.
    expect(holder.allows(4_000, 's')).toBe(false);
    expect(holder.allows(4_200, 's')).toBe(true);
    holder.start(4_200, 's');
    expect(holder.allows(12_000, 's')).toBe(false);
    expect(holder.allows(12_300, 's')).toBe(true);
  });
});

describe('a service', () => {
  const server = (id: string, service: string) => ({ id, service });

  test('is brittle as a whole until a server says otherwise', () => {
    const servers = [server('a', 'x'), server('b', 'x'), server('c', 'x'), server('d', 'y')];
    const stated = new Map<string, number | null>([
      ['a', 3],
      ['b', null],
    ]);
    const brittle = brittleServers(servers, {
      statedPerS: ({ id }) => stated.get(id) ?? null,
      isKnown: ({ id }) => stated.has(id),
    });
    expect([...brittle]).toEqual([
      ['a', 3],
      ['c', 3],
    ]);
  });

  test('gets few requests until its first answer, or until that takes long', () => {
    const answers = new FirstAnswers();
    const allows = (nowMs: number, inFlight: number) => answers.allows(nowMs, 'x', 64, inFlight);
    answers.noteSent(0, 'x');
    expect([allows(0, 6), allows(0, 7), allows(3_000, 7)]).toEqual([true, false, true]);
    expect(answers.allows(0, 'x', 2, 0)).toBe(true);
    expect([answers.noteAnswer('x'), answers.noteAnswer('x')]).toEqual([true, false]);
    expect(allows(0, 64)).toBe(true);
  });
});
