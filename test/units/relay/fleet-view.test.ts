/** What an entry VM makes of the steward's words about engines. */
import { describe, expect, test } from 'vitest';
import { FleetView } from '../../../src/entry/relay/fleet-view.js';
import type { FollowerTask } from '../../../src/entry/relay/follower.js';
import { type RelayMessageOf, RelayMessageType } from '../../../src/entry/relay/messages.js';
import { backendServer } from './backend-server.js';

const SERVER = backendServer('s1');
const NEED = { service: 'drafting', model: 'm1', adapter: null };

function viewOf(fields: Partial<RelayMessageOf<'view'>> = {}): RelayMessageOf<'view'> {
  return {
    type: RelayMessageType.view,
    whole: false,
    engines: [],
    running: {},
    loads: [],
    members: 1,
    ...fields,
  };
}

const HOLDS = viewOf({
  whole: true,
  engines: [{ id: 's1', bornMs: 1, models: [{ name: 'm1', adapters: [] }] }],
  running: { s1: 5 },
});

function setUp(adopted: boolean) {
  const steward = { heard: true };
  const follower = { backends: new Map([['s1', SERVER]]), isAdopted: () => adopted };
  const times = { nowMs: 0 };
  const clock = {
    nowMs: () => times.nowMs,
    steadyMs: () => times.nowMs,
    onJump: () => undefined,
  };
  const view = new FleetView(follower as unknown as FollowerTask, clock, () => steward.heard);
  return { view, steward, times };
}

describe('engines as the steward tells of them', () => {
  test('count what runs there over all entry VMs, until the next word of it', () => {
    const { view } = setUp(true);
    view.takeView(HOLDS);
    expect(view.candidates(NEED)[0]?.running).toBe(5);
    view.takeView(viewOf());
    expect(view.candidates(NEED)[0]?.running).toBe(5);
    view.takeView(viewOf({ running: { s1: 0 } }));
    expect(view.candidates(NEED)[0]?.running).toBe(0);
  });

  test('do not count twice what runs from here', () => {
    const { view } = setUp(true);
    view.started({ ...NEED, server: SERVER });
    view.noteTold();
    view.takeView(HOLDS);
    expect(view.candidates(NEED)[0]?.running).toBe(5);
  });

  test('are still known to hold what they held when the steward falls silent', () => {
    const { view, steward } = setUp(true);
    view.takeView(HOLDS);
    steward.heard = false;
    expect(view.candidates(NEED)).toHaveLength(1);
  });

  test('give way to what the store says once that was asked', () => {
    const { view, steward } = setUp(false);
    view.takeView(HOLDS);
    steward.heard = false;
    expect(view.candidates(NEED)).toHaveLength(0);
  });
});

describe('a model that a server does not hold although the steward takes its load for done', () => {
  test('is asked of it less and less often, and again when it has come', () => {
    const { view, times } = setUp(true);
    view.takeView(HOLDS);
    const askedAt: number[] = [];
    for (times.nowMs = 0; times.nowMs < 2_000; times.nowMs += 10) {
      if (view.candidates(NEED).length > 0) {
        askedAt.push(times.nowMs);
        view.noteMissing({ ...NEED, server: SERVER });
      }
    }
    expect(askedAt).toEqual([0, 80, 240, 560, 1_200]);
  });

  test('counts once for all requests that were on their way together', () => {
    const { view, times } = setUp(true);
    view.takeView(HOLDS);
    [1, 2, 3].forEach(() => view.noteMissing({ ...NEED, server: SERVER }));
    times.nowMs = 80;
    expect(view.candidates(NEED)).toHaveLength(1);
  });
});
