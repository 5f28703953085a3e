/** The policy against the naive version on the recorded traces, by the aims of the brief. */
import { beforeAll, describe, expect, test } from 'vitest';
import { readTrace } from '../../src/lab/measure/files.js';
import { measure } from '../../src/lab/measure/measure.js';
import { NAIVE, OURS } from '../../src/lab/measure/policies.js';
import { replay } from '../../src/lab/measure/replay.js';
import type { Measure } from '../../src/lab/measure/types.js';
import { isKnownRed } from '../known-red.js';

const WRONGFUL_SHARE = 1 / 10_000;
const WORST_OF_BEST = 0.9;
const COLD_OF_NAIVE = 0.5;

const cases = ['association', 'kitami', 'third'].flatMap((trace) =>
  [1, 2, 3].map((seed) => ({ trace, seed })),
);

describe.each(cases)('$trace, seed $seed', ({ trace: name, seed }) => {
  let ours: Measure;
  let naive: Measure;

  beforeAll(() => {
    const trace = readTrace(name);
    ours = measure(trace, OURS, seed, replay(trace, OURS, seed));
    naive = measure(trace, NAIVE, seed, replay(trace, NAIVE, seed));
  });

  test('refuses nobody inside the rate', () => {
    expect(ours.wrongfulShare).toBeLessThan(WRONGFUL_SHARE);
  });

  test('serves the worst-served customer nearly as well as the best-served', () => {
    expect(ours.worstServed).toBeGreaterThanOrEqual(ours.bestServed * WORST_OF_BEST);
  });

  test('leaves no more accelerators idle', () => {
    expect(ours.idleEngineHours).toBeLessThanOrEqual(naive.idleEngineHours);
  });

  const coldTail = `halves the p99 cold start: ${name}, seed ${seed}`;
  test.skipIf(isKnownRed(coldTail))(coldTail, () => {
    expect(ours.coldP99Ms).toBeLessThanOrEqual(naive.coldP99Ms * COLD_OF_NAIVE);
  });
});
