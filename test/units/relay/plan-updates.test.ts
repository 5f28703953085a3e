/**
 * A member that the platform store rejects gets the plan from the steward, also while changes of the view
 * leave no budget for full lists: without the plan, it rejects customers' requests.
 */
import { describe, expect, test } from 'vitest';
import { SendBudget, SendPriority } from '../../../src/decisions/message-pacing/index.js';
import type { MessageLink } from '../../../src/entry/relay/message-link.js';
import { PlanUpdates } from '../../../src/entry/relay/plan-updates.js';
import type { SharedMessage } from '../../../src/entry/relay/packed-messages.js';
import { createMember } from '../../../src/entry/relay/steward-member.js';
import { samples } from '../../fixtures/builds/samples.js';

const LINK_BYTES_PER_S = 1_000_000;
const REPORT_PAUSE_MS = 100;
const PLAN_VERSION = 9;

/** Times at which a member that stays behind gets the plan, with the bytes that others get meanwhile. */
function sentAtMs(otherBytesPerS: number): readonly number[] {
  const budget = new SendBudget(LINK_BYTES_PER_S);
  const sent: SharedMessage[] = [];
  const link = { sendShared: (message: SharedMessage) => sent.push(message) > 0 };
  const member = createMember(0, link as unknown as MessageLink);
  const updates = new PlanUpdates({
    storeWatcher: { planVersion: PLAN_VERSION, rawPlan: { routes: ['a'] } },
    traffic: { allows: (nowMs, _, priority) => budget.allows(nowMs, priority) },
  });
  const report = { ...samples.report, planRevision: PLAN_VERSION - 1 };
  return Array.from({ length: 30 }, (_, at) => at * REPORT_PAUSE_MS).filter((nowMs) => {
    budget.noteSent(nowMs, (otherBytesPerS * REPORT_PAUSE_MS) / 1_000);
    const before = sent.length;
    updates.sendIfBehind(nowMs + 1, member, report);
    return sent.length > before;
  });
}

describe('a member that stays behind the plan', () => {
  test('gets it although there is no budget for full lists', () => {
    const busy = new SendBudget(LINK_BYTES_PER_S);
    busy.noteSent(0, 60_000);
    expect(busy.allows(1, SendPriority.lists)).toBe(false);
    expect(sentAtMs(600_000)[0]).toBeLessThan(1_000);
  });

  test('gets it again after a pause only', () => {
    const times = sentAtMs(0);
    const pauses = times.slice(1).map((atMs, at) => atMs - (times[at] ?? 0));
    expect(times.length).toBeGreaterThan(2);
    expect(Math.min(...pauses)).toBeGreaterThanOrEqual(500);
  });
});
