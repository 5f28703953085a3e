/** The message rate of a steward is bounded in fleets of any size. */
import { describe, expect, test } from 'vitest';
import { planningIntervalMs, messageIntervalMs } from '../../../src/entry/relay/intervals.js';

describe('the message interval', () => {
  test('keeps a steward with 8, 74 and 340 members at or below 400 messages per second', () => {
    const perS = [8, 74, 340].map((members) => (members * 1000) / messageIntervalMs(members));
    perS.forEach((messages) => expect(messages).toBeLessThanOrEqual(400));
  });

  test('is 60 ms in a small fleet', () => {
    expect(messageIntervalMs(6)).toBe(60);
  });
});

describe('the planning interval', () => {
  test('grows with the number of engines between its bounds', () => {
    expect([15, 83, 600].map(planningIntervalMs)).toEqual([20, 41.5, 150]);
  });
});
