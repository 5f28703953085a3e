/** What an entry VM believes of the store, against lost history, old words and silence. */
import { afterEach, describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';
import * as channels from '../../../src/core/channels/index.js';
import { createLogger } from '../../../src/core/logger/index.js';
import { type FleetChange, FollowerTask } from '../../../src/entry/relay/follower.js';
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
