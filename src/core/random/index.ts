/** Seeded pseudo-random numbers. Generators are passed as arguments to make runs repeatable. */
import { unsafeUniformIntDistribution } from 'pure-rand/distribution/UnsafeUniformIntDistribution';
import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro';

const REAL_STEPS = 0x7fffffff;

/** A generator of pseudo-random numbers. */
export interface Random {
  /** Uniform integer from `min` to `max`, both inclusive. */
  int(min: number, max: number): number;
  /** Uniform number from 0 inclusive to 1 exclusive. */
  real(): number;
  /** Uniformly chosen element of `items`; undefined if there are none. */
  pick<T>(items: readonly T[]): T | undefined;
  /** Exponentially distributed number with this mean. */
  exponential(mean: number): number;
}

/** Creates a generator. The same seed yields the same sequence. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const int = (min: number, max: number) => unsafeUniformIntDistribution(min, max, generator);
  const real = () => int(0, REAL_STEPS - 1) / REAL_STEPS;
  return {
    int,
    real,
    pick: (items) => (items.length === 0 ? undefined : items[int(0, items.length - 1)]),
    exponential: (mean) => -Math.log(1 - real()) * mean,
  };
}
