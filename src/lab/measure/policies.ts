/** The policies that `npm run measure` compares. */
import type { PolicyChoice } from './types.js';

/** The implementations that the daemon uses. */
export const DAEMON_POLICY: PolicyChoice = {
  name: 'bilberrystand',
  quota: 'loans',
  queue: 'fair',
  router: 'least-loaded',
  placement: 'demand',
};

/** Baseline: the simplest implementation of each decision. */
export const NAIVE_POLICY: PolicyChoice = {
  name: 'naive',
  quota: 'static',
  queue: 'fifo',
  router: 'random',
  placement: 'on-demand',
};

/** Ablations: each replaces one decision of the policy by a simpler one. */
export const ABLATIONS: readonly PolicyChoice[] = [
  { ...DAEMON_POLICY, name: 'static rates', quota: 'static' },
  { ...DAEMON_POLICY, name: 'central counter', quota: 'central' },
  { ...DAEMON_POLICY, name: 'first in first out', queue: 'fifo' },
  { ...DAEMON_POLICY, name: 'random replica', router: 'random' },
  { ...DAEMON_POLICY, name: 'on-demand placement', placement: 'on-demand' },
];
