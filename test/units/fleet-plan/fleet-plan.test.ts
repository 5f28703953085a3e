/** Routes and traffic splits of a decoded fleet plan. */
import { describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';
import { findRoute, pickTarget } from '../../../src/decisions/fleet-plan/index.js';

const CONFIG = {
  version: 7,
  routes: [
    { host: 'A.example', path_prefix: '/x/', route_kind: 'idempotent', service: 's1' },
    { host: 'a.example', path_prefix: '/x/y/', route_kind: 'streaming', service: 's2' },
    { host: 'a.example', path_prefix: '/w/', route_kind: 'unheard-of', service: 's2' },
  ],
  services: [{ name: 's1' }, { name: 's2' }],
};

describe('a fleet plan', () => {
  const plan = platform.createWire().decodePlan(CONFIG);
  if (plan === null) throw new Error('the configuration could not be decoded');

  test('routes by host and longest path prefix, ignoring the query', () => {
    const serviceOf = (host: string, url: string) =>
      findRoute(plan, host, url)?.targets[0]?.service;
    expect(serviceOf('a.example', '/x/y/z?q=/x/')).toBe('s2');
    expect(serviceOf('a.example:8080', '/x/z')).toBe('s1');
    expect(serviceOf('a.example', '/x')).toBeUndefined();
    expect(serviceOf('b.example', '/x/z')).toBeUndefined();
    expect(serviceOf('a.example', '/?to=/x/')).toBeUndefined();
  });

  test('treats an unknown route kind as not safe to retry', () => {
    expect(findRoute(plan, 'a.example', '/w/1')?.retrySafety).toBe('once');
  });

  test('splits traffic by weight', () => {
    const targets = [
      { service: 's1', weight: 9 },
      { service: 's2', weight: 1 },
    ];
    const draws = Array.from({ length: 100 }, (_, at) => pickTarget(targets, at / 100));
    expect(draws.filter((service) => service === 's1')).toHaveLength(90);
  });

  test('has a caller timeout of at least 2 s for streams and none for other routes', () => {
    expect(findRoute(plan, 'a.example', '/x/y/')?.callerTimeoutMs).toBeGreaterThanOrEqual(2_000);
    expect(findRoute(plan, 'a.example', '/x/')?.callerTimeoutMs).toBe(Infinity);
  });
});
