import { describe, expect, test } from 'vitest';
import { DeathWatch } from '../../../src/decisions/suspects/index.js';

const listed = (bornMs: number) => new Map([['e1', { bornMs, leaving: false }]]);

describe('a request that broke off', () => {
  test('is not blamed while its server lives on', () => {
    const watch = new DeathWatch();
    watch.noteBreak(0, 'f', 'e1', 100);
    expect(watch.deaths(1_000, listed(100))).toEqual([]);
  });

  test('is blamed once when its server restarts under the same id', () => {
    const watch = new DeathWatch();
    watch.noteBreak(0, 'f', 'e1', 100);
    expect(watch.deaths(2_000, listed(200))).toEqual([
      { fingerprint: 'f', engineId: 'e1', ranMs: 2_000 },
    ]);
    expect(watch.deaths(2_100, listed(200))).toEqual([]);
  });

  test('is blamed when its server vanishes, but not long after', () => {
    const watch = new DeathWatch();
    watch.noteBreak(0, 'f', 'e1', 100);
    expect(watch.deaths(3_900, new Map())).toHaveLength(1);
    watch.noteBreak(10_000, 'g', 'e1', 100);
    expect(watch.deaths(20_000, new Map())).toEqual([]);
  });
});
