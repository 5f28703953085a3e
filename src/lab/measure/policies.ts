/** The policies that are compared. */
import type { PolicyChoice } from './types.js';

export const OURS: PolicyChoice = {
  name: 'bilberrystand',
  quota: 'loans',
  queue: 'fair',
  router: 'least-loaded',
  placement: 'demand',
};

export const NAIVE: PolicyChoice = {
  name: 'naive',
  quota: 'static',
  queue: 'fifo',
  router: 'random',
  placement: 'on-demand',
};

/** Each part taken out alone. */
export const ABLATIONS: readonly PolicyChoice[] = [
  { ...OURS, name: 'static rates', quota: 'static' },
  { ...OURS, name: 'central counter', quota: 'central' },
  { ...OURS, name: 'first in first out', queue: 'fifo' },
  { ...OURS, name: 'random replica', router: 'random' },
  { ...OURS, name: 'on-demand placement', placement: 'on-demand' },
];
