/** Entry VMs that count for themselves keep the fleet's bound on retries. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { type RetryBound, RetryWindow } from '../../../src/decisions/retries/index.js';

const BOUND: RetryBound = { ratio: 0.2, windowMs: 10_000, slack: 52 };
const SERVICE = 'drafts';

interface Sent {
  readonly atMs: number;
  readonly retry: boolean;
}

/** Most retries beyond the bound in any window that ends with a retry. */
function worstExcess(sent: readonly Sent[], { ratio, windowMs, slack }: RetryBound): number {
  const ends = sent.filter(({ retry }) => retry).map(({ atMs }) => atMs);
  const excess = ends.map((endMs) => {
    const inside = sent.filter(({ atMs }) => atMs <= endMs && atMs > endMs - windowMs);
    const retries = inside.filter(({ retry }) => retry).length;
    return retries - ratio * (inside.length - retries) - slack;
  });
  return Math.max(0, ...excess);
}

/** A VM that has been there for longer than a window. */
function settledVm(bound: RetryBound, members: number): RetryWindow {
  const vm = new RetryWindow(bound, -2 * bound.windowMs);
  vm.noteMembers(members);
  return vm;
}

describe('retries over all entry VMs', () => {
  test('never exceed the bound in any window, whoever sends them and restarts meanwhile', () => {
    const step = fc.record({
      vm: fc.nat(73),
      pauseMs: fc.nat(400),
      requests: fc.nat(6),
      failures: fc.nat(40),
      restarts: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 74 }),
        fc.array(step, { maxLength: 150 }),
        (count, steps) => {
          const vms = Array.from({ length: count }, () => settledVm(BOUND, count));
          const sent: Sent[] = [];
          let atMs = 0;
          steps.forEach(({ vm: which, pauseMs, requests, failures, restarts }) => {
            atMs += pauseMs;
            // A process that was killed comes back, and forgets what it has sent.
            const vm = restarts
              ? new RetryWindow(BOUND, atMs)
              : (vms[which % count] as RetryWindow);
            vm.noteMembers(count);
            vms[which % count] = vm;
            Array.from({ length: requests }).forEach(() => {
              vm.noteRequest(atMs, SERVICE);
              sent.push({ atMs, retry: false });
            });
            Array.from({ length: failures }).forEach(() => {
              if (vm.spend(atMs, SERVICE)) sent.push({ atMs, retry: true });
            });
          });
          expect(worstExcess(sent, BOUND)).toBe(0);
        },
      ),
      { seed: 41, numRuns: 200 },
    );
  });

  test('all servers of a data centre fail at 74 entry VMs: the sum stays inside', () => {
    const vms = Array.from({ length: 74 }, () => settledVm({ ...BOUND, slack: 188 }, 74));
    const spent = vms.reduce(
      (sum, vm) => sum + Array.from({ length: 30 }).filter(() => vm.spend(1_000, SERVICE)).length,
      0,
    );
    expect(spent).toBeLessThanOrEqual(188);
    expect(spent).toBeGreaterThan(0);
  });

  test('traffic earns retries for its own service only', () => {
    const vm = settledVm({ ...BOUND, slack: 0 }, 1);
    Array.from({ length: 20 }).forEach(() => vm.noteRequest(0, SERVICE));
    expect(vm.spend(100, 'orders')).toBe(false);
    expect(vm.spend(100, SERVICE)).toBe(true);
  });

  test('a VM that knows no number of members takes none of the fixed part', () => {
    expect(new RetryWindow(BOUND, -2 * BOUND.windowMs).spend(0, SERVICE)).toBe(false);
  });

  test('members that left are still counted', () => {
    const vm = settledVm(BOUND, 74);
    vm.noteMembers(2);
    expect(vm.spend(0, SERVICE)).toBe(false);
  });

  test('a VM that was just started has none of the fixed part for a window', () => {
    const vm = new RetryWindow(BOUND, 0);
    vm.noteMembers(1);
    expect(vm.spend(BOUND.windowMs, SERVICE)).toBe(false);
    expect(vm.spend(BOUND.windowMs * 1.1, SERVICE)).toBe(true);
  });
});
