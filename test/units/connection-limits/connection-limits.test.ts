/** How many idle connections an entry VM keeps to a server. */
import { describe, expect, test } from 'vitest';
import { maxIdleConnections } from '../../../src/decisions/connection-limits/index.js';

describe('the idle connections of one entry VM', () => {
  test('leave room for the running requests, over all entry VMs and both pools', () => {
    [1, 6, 8, 66, 340].forEach((members) =>
      [24, 96, 240, 360].forEach((maxConnections) => {
        const idle = maxIdleConnections({ maxConnections, slots: 6, members });
        expect(idle * members * 2 + 6).toBeLessThanOrEqual(maxConnections);
      }),
    );
  });

  test('are enough for the usual concurrency in small fleets', () => {
    const idle = maxIdleConnections({ maxConnections: 360, slots: 64, members: 6 });
    expect(idle).toBeGreaterThanOrEqual(20);
    expect(maxIdleConnections({ maxConnections: 10_000, slots: 6, members: 6 })).toBe(32);
  });

  test('are none if the server accepts no more connections than it runs requests', () => {
    expect(maxIdleConnections({ maxConnections: 4, slots: 6, members: 1 })).toBe(0);
  });
});
