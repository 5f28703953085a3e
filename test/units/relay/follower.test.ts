/** What an entry VM believes of the store, against lost history, old words and silence. */
import { afterEach, describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';
import * as channels from '../../../src/core/channels/index.js';
import { createLogger } from '../../../src/core/logger/index.js';
import { type FleetChange, FollowerTask } from '../../../src/entry/relay/follower.js';
import { type ListedServer, RelayMessageType } from '../../../src/entry/relay/messages.js';
import {
  type FeedAnswer,
  type FeedEvent,
  type FeedObject,
  FeedOutcome,
  type RelayStore,
} from '../../../src/entry/relay/types.js';

const wire = platform.createWire();
const config = (version: number) => ({ version, routes: [], services: [] });

/** A store whose answers the test gives one by one, by kind. */
class ScriptedStore implements Pick<RelayStore, 'list' | 'changes'> {
  readonly calls: string[] = [];

  private readonly waiting = new Map<string, ((answer: unknown) => void)[]>();

  list(kind: string): Promise<FeedAnswer<FeedObject>> {
    return this.call(`list ${kind}`);
  }

  changes(kind: string, since: number, waitMs: number): Promise<FeedAnswer<FeedEvent>> {
    return this.call(`changes ${kind}`, ` ${since}${waitMs === 0 ? ' now' : ''}`);
  }

  /** Answers the oldest call of this name, once it is there. */
  async answer(name: string, answer: unknown): Promise<void> {
    const callers = this.waiting.get(name) ?? [];
    const caller = callers.shift();
    if (caller === undefined) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
      await this.answer(name, answer);
      return;
    }
    caller(answer);
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }

  private call<T>(name: string, detail = ''): Promise<T> {
    this.calls.push(name + detail);
    return new Promise((resolve) => {
      const callers = this.waiting.get(name) ?? [];
      callers.push(resolve as (answer: unknown) => void);
      this.waiting.set(name, callers);
    });
  }
}

const ok = (revision: number, items: readonly unknown[]) => ({
  type: FeedOutcome.ok,
  revision,
  items,
});
const main = (revision: number, version: number) => ({
  name: 'main',
  revision,
  value: config(version),
  deleted: false,
});

const RELAYED_KIND = wire.backendKind;
const listed = (id: string, fields: Partial<ListedServer> = {}): ListedServer => ({
  id,
  service: 'drafting',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  leaving: false,
  slots: 8,
  bornMs: 1_000,
  isMissing: false,
  ...fields,
});
const entry = (id: string, revision: number) => ({
  name: id,
  revision,
  value: {
    service: 'drafting',
    address: '10.0.0.1:80',
    zone: 'a',
    engine_slots: 8,
    state: 'ready',
    born: 1_000,
  },
  deleted: false,
});
const beliefs = (revision: number, servers: readonly ListedServer[], gone: string[] = []) => ({
  type: RelayMessageType.beliefs,
  whole: gone.length === 0,
  servers: [...servers],
  gone,
  revision,
});
/** The steward's word on a report that was sent at `clockMs`. */
const word = (clockMs: number, revision: number, ageMs: number, planRevision: number) => ({
  type: RelayMessageType.grant,
  seq: 1,
  reportSentAtMs: clockMs,
  reportClockMs: clockMs,
  fractions: {},
  plan: { revision, ageMs },
  backends: { revision, ageMs },
  planRevision,
});
const pauseMs = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const tasks: FollowerTask[] = [];

async function follow() {
  const store = new ScriptedStore();
  const times = { nowMs: 0 };
  const follower = new FollowerTask({
    wire,
    store: store as unknown as RelayStore,
    clock: {
      nowMs: () => times.nowMs,
      steadyMs: () => times.nowMs,
      onJump: () => undefined,
    },
    logger: createLogger('test', 'silent'),
    changed: channels.createChannel<FleetChange>(() => undefined),
    isSteward: () => false,
  });
  tasks.push(follower);
  await follower.start(() => undefined);
  return { store, follower, times };
}

afterEach(async () => {
  await Promise.all(tasks.splice(0).map((task) => task.stop()));
});

describe('the follower of the store', () => {
  test('lists, then watches from the list', async () => {
    const { store, follower } = await follow();
    await store.answer('list config', ok(10, [main(7, 3)]));
    expect(follower.plan?.version).toBe(3);
    await store.answer('changes config', ok(12, [main(11, 5)]));
    expect(follower.plan?.version).toBe(5);
    expect(store.calls).toContain('changes config 10');
  });

  test('lists again when the history is gone', async () => {
    const { store, follower } = await follow();
    await store.answer('list config', ok(10, [main(7, 3)]));
    await store.answer('changes config', { type: FeedOutcome.historyGone });
    await store.answer('list config', ok(40, [main(39, 9)]));
    expect(follower.plan?.version).toBe(9);
  });

  test('never goes back, whatever an answer says', async () => {
    const { store, follower } = await follow();
    await store.answer('list config', ok(10, [main(9, 5)]));
    await store.answer('changes config', { type: FeedOutcome.historyGone });
    await store.answer('list config', ok(8, [main(7, 4)]));
    expect(follower.plan?.version).toBe(5);
    await store.answer('changes config', ok(20, [main(19, 4)]));
    expect(follower.plan?.version).toBe(5);
  });

  test('keeps its plan when the store holds one that can not be read', async () => {
    const { store, follower } = await follow();
    await store.answer('list config', ok(10, [main(9, 5)]));
    await store.answer('changes config', ok(12, [{ ...main(11, 6), value: 'nonsense' }]));
    expect(follower.plan?.version).toBe(5);
  });

  test('counts the age of what it believes from when the confirming call was sent', async () => {
    const { store, follower, times } = await follow();
    await store.answer('list config', ok(10, [main(9, 5)]));
    times.nowMs = 1_400;
    expect(follower.planAgeMs()).toBe(1_400);
    // A watch that tells nothing confirms as of its sending.
    await store.answer('changes config', ok(10, []));
    expect(follower.planAgeMs()).toBe(1_400);
    times.nowMs = 2_000;
    await store.answer('changes config', ok(10, []));
    expect(follower.planAgeMs()).toBe(600);
  });

  test('does not count a failed call as a confirmation', async () => {
    const { store, follower, times } = await follow();
    await store.answer('list config', ok(10, [main(9, 5)]));
    times.nowMs = 3_000;
    await store.answer('changes config', { type: FeedOutcome.failed, reason: 'silence' });
    expect(follower.planAgeMs()).toBe(3_000);
  });
});

describe('the word of the steward, which follows the store for all', () => {
  test('confirms the plan as of the report that it answers, less its own age', async () => {
    const { store, follower, times } = await follow();
    await store.answer('list config', ok(10, [main(9, 5)]));
    times.nowMs = 3_000;
    follower.takeConfirmed(word(2_900, 12, 200, 9));
    expect(follower.planAgeMs()).toBe(300);
  });

  test('takes the place of calls to the store, until it is old', async () => {
    const { store, follower, times } = await follow();
    await store.answer('list config', ok(10, [main(9, 5)]));
    follower.takeConfirmed(word(0, 12, 0, 9));
    await store.answer('changes config', ok(12, []));
    const before = store.calls.length;
    await pauseMs(250);
    expect(store.calls.length).toBe(before);
    times.nowMs = 1_400;
    await store.answer('changes config', ok(13, []));
    expect(store.calls).toContain('changes config 12');
  });

  test('of a newer plan sends this VM to the store, and confirms nothing', async () => {
    const { store, follower, times } = await follow();
    await store.answer('list config', ok(10, [main(9, 5)]));
    follower.takeConfirmed(word(0, 12, 0, 9));
    await store.answer('changes config', ok(12, []));
    times.nowMs = 500;
    follower.takeConfirmed(word(500, 15, 0, 14));
    expect(follower.planAgeMs()).toBe(500);
    await store.answer('changes config', ok(15, [main(14, 7)]));
    expect(follower.plan?.version).toBe(7);
  });

  test('brings the plan itself where the store is out of reach, and never an older one', async () => {
    const { store, follower } = await follow();
    await store.answer('list config', ok(10, [main(9, 5)]));
    const plan = (revision: number, version: number) => ({
      type: RelayMessageType.plan,
      revision,
      value: config(version),
    });
    follower.takeToldPlan(plan(14, 7));
    expect(follower.plan?.version).toBe(7);
    follower.takeToldPlan(plan(12, 6));
    expect(follower.plan?.version).toBe(7);
  });

  test('brings the list of servers, and what left it', async () => {
    const { store, follower } = await follow();
    await store.answer(`list ${RELAYED_KIND}`, ok(10, [entry('s1', 3)]));
    follower.takeBeliefs(beliefs(12, [listed('s1'), listed('s2')]));
    expect([...follower.backends.keys()].sort()).toEqual(['s1', 's2']);
    expect(follower.isAdopted('s2')).toBe(true);
    follower.takeBeliefs(beliefs(13, [listed('s2', { leaving: true })], ['s1']));
    expect([...follower.backends.keys()]).toEqual(['s2']);
    expect(follower.backends.get('s2')?.leaving).toBe(true);
  });

  test('is not followed back behind what the store said here', async () => {
    const { store, follower } = await follow();
    await store.answer(`list ${RELAYED_KIND}`, ok(20, [entry('s2', 18)]));
    // s1 has gone in between, and s2 has come.
    follower.takeBeliefs(beliefs(15, [listed('s1')]));
    expect([...follower.backends.keys()]).toEqual(['s2']);
    follower.takeBeliefs(beliefs(18, [listed('s2')], ['s1']));
    expect([...follower.backends.keys()]).toEqual(['s2']);
    follower.takeConfirmed(word(0, 21, 0, 0));
    expect([...follower.backends.keys()]).toEqual(['s2']);
  });

  test('brings no server back that the store took away here while the steward could not see it', async () => {
    const { store, follower, times } = await follow();
    await store.answer(`list ${RELAYED_KIND}`, ok(10, [entry('s1', 3), entry('s2', 4)]));
    times.nowMs = 5_000;
    const gone = { ...entry('s1', 15), deleted: true };
    await store.answer(`changes ${RELAYED_KIND}`, ok(15, [gone]));
    // The steward was cut off from the store: it keeps what has gone until that had time to return.
    follower.takeBeliefs(beliefs(20, [listed('s1', { isMissing: true }), listed('s2')]));
    expect([...follower.backends.keys()]).toEqual(['s2']);
  });

  test('keeps what is missing since an outage that this VM has not seen the end of', async () => {
    const { store, follower } = await follow();
    await store.answer(`list ${RELAYED_KIND}`, ok(10, [entry('s1', 3), entry('s2', 4)]));
    follower.takeBeliefs(beliefs(20, [listed('s1', { isMissing: true }), listed('s2')]));
    expect([...follower.backends.keys()].sort()).toEqual(['s1', 's2']);
    follower.takeBeliefs(beliefs(21, [], ['s1']));
    expect([...follower.backends.keys()]).toEqual(['s2']);
  });

  test('outlives an answer of the store that was on its way', async () => {
    const { store, follower } = await follow();
    await store.answer(`list ${RELAYED_KIND}`, ok(10, [entry('s1', 3)]));
    follower.takeBeliefs(beliefs(30, [listed('s1'), listed('s3')]));
    follower.takeConfirmed(word(0, 30, 0, 0));
    const gone = { ...entry('s1', 25), deleted: true };
    await store.answer(`changes ${RELAYED_KIND}`, ok(25, [gone]));
    expect([...follower.backends.keys()].sort()).toEqual(['s1', 's3']);
  });

  test('counts for nothing once another steward speaks', async () => {
    const { store, follower } = await follow();
    await store.answer(`list ${RELAYED_KIND}`, ok(10, [entry('s1', 3)]));
    follower.takeBeliefs(beliefs(12, [listed('s1'), listed('s2')]));
    follower.forgetBeliefs();
    follower.takeConfirmed(word(0, 40, 0, 0));
    await store.answer(`changes ${RELAYED_KIND}`, ok(41, [entry('s4', 41)]));
    expect(follower.backends.has('s4')).toBe(true);
  });
});
