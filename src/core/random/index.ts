/** Seeded randomness, passed in wherever a choice is random. */
import { unsafeUniformIntDistribution } from 'pure-rand/distribution/UnsafeUniformIntDistribution';
import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro';

const REAL_STEPS = 0x7fffffff;

/** A generator of random numbers. */
export interface Random {
  /** A whole number from `min` to `max`, both included. */
  int(min: number, max: number): number;
  /** A number from 0 up to, but without, 1. */
  real(): number;
  /** One of `items`, or undefined where there are none. */
  pick<T>(items: readonly T[]): T | undefined;
  /** Exponentially distributed with this mean. */
  exponential(mean: number): number;
}

/** Creates a generator; the same seed gives the same numbers. */
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
