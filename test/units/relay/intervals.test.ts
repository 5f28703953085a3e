/** The message rate of a steward is bounded in fleets of any size. */
import { describe, expect, test } from 'vitest';
import {
  messageIntervalMs,
  ownWriteIntervalMs,
  permitRepeatMs,
  planningIntervalMs,
} from '../../../src/entry/relay/intervals.js';

describe('the message interval', () => {
  test('keeps a steward with 8, 74 and 340 members at or below 400 messages per second', () => {
    const perS = [8, 74, 340].map((members) => (members * 1000) / messageIntervalMs(members));
    perS.forEach((messages) => expect(messages).toBeLessThanOrEqual(400));
  });

  test('is 60 ms in a small fleet', () => {
    expect(messageIntervalMs(6)).toBe(60);
  });
});

describe('the interval at which VMs without a steward store their own streams', () => {
  test('keeps all of them at or below 100 writes per second', () => {
    const perS = [3, 8, 74].map((members) => (members * 1000) / ownWriteIntervalMs(members));
    perS.forEach((writes) => expect(writes).toBeLessThanOrEqual(100));
  });
});

describe('the planning interval', () => {
  test('grows with the number of engines between its bounds', () => {
    expect([15, 83, 600].map(planningIntervalMs)).toEqual([20, 41.5, 150]);
  });
});

describe('the repeat interval of requests for permits', () => {
  test('keeps a steward at or below 400 of them per second, if all members wait for all servers', () => {
    const perS = [
      [66, 8],
      [74, 60],
      [340, 60],
    ].map(
      ([members = 0, servers = 0]) => (members * servers * 1000) / permitRepeatMs(members, servers),
    );
    perS.forEach((messages) => expect(messages).toBeLessThanOrEqual(400.01));
  });

  test('is 250 ms in a small fleet', () => {
    expect(permitRepeatMs(8, 8)).toBe(250);
  });
});
