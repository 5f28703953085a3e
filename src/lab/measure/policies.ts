/** The policies that `npm run measure` compares. */
import type { PolicyChoice } from './types.js';

/** The implementations that the daemon uses. */
export const OURS: PolicyChoice = {
  name: 'bilberrystand',
  quota: 'loans',
  queue: 'fair',
  router: 'least-loaded',
  placement: 'demand',
};

/** Baseline: the simplest implementation of each decision. */
export const NAIVE: PolicyChoice = {
  name: 'naive',
  quota: 'static',
  queue: 'fifo',
  router: 'random',
  placement: 'on-demand',
};

/** Ablations: each replaces one decision of the policy by a simpler one. */
export const ABLATIONS: readonly PolicyChoice[] = [
  { ...OURS, name: 'static rates', quota: 'static' },
  { ...OURS, name: 'central counter', quota: 'central' },
  { ...OURS, name: 'first in first out', queue: 'fifo' },
  { ...OURS, name: 'random replica', router: 'random' },
  { ...OURS, name: 'on-demand placement', placement: 'on-demand' },
];
