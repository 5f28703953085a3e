/** A steward of any fleet takes and sends a bounded number of messages. */
import { describe, expect, test } from 'vitest';
import { lookMs, paceMs } from '../../../src/entry/relay/pace.js';

describe('the pace of reports', () => {
  test('keeps a steward of 8, 74 and 340 members below 400 messages a second', () => {
    const perS = [8, 74, 340].map((members) => (members * 1000) / paceMs(members));
    perS.forEach((messages) => expect(messages).toBeLessThanOrEqual(400));
  });

  test('is quick where few report', () => {
    expect(paceMs(6)).toBe(60);
  });
});

describe('the looks at all engines', () => {
  test('come less often where there are many, and never rarely', () => {
    expect([15, 83, 600].map(lookMs)).toEqual([20, 41.5, 150]);
  });
});
