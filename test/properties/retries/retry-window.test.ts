/** Checks that entry VMs keep the global retry limit although each counts only its own requests. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { type RetryBound, RetryWindow } from '../../../src/decisions/retries/index.js';

const BOUND: RetryBound = { ratio: 0.2, windowMs: 10_000, slack: 52 };
const SERVICE = 'drafts';

interface Sent {
  readonly atMs: number;
  readonly retry: boolean;
}

/** Maximum number of retries above the limit in any window that ends with a retry. */
function worstExcess(sent: readonly Sent[], { ratio, windowMs, slack }: RetryBound): number {
  const ends = sent.filter(({ retry }) => retry).map(({ atMs }) => atMs);
  const excess = ends.map((endMs) => {
    const inside = sent.filter(({ atMs }) => atMs <= endMs && atMs > endMs - windowMs);
    const retries = inside.filter(({ retry }) => retry).length;
    return retries - ratio * (inside.length - retries) - slack;
  });
  return Math.max(0, ...excess);
}

/** A VM that has been running for longer than a window. */
function createRunningVm(bound: RetryBound, members: number): RetryWindow {
  const vm = new RetryWindow(bound, -2 * bound.windowMs);
  vm.noteMembers(members);
  return vm;
}

describe('retries across all entry VMs', () => {
  test('never exceed the limit in any window, even if processes restart', () => {
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
          const vms = Array.from({ length: count }, () => createRunningVm(BOUND, count));
          const sent: Sent[] = [];
          let atMs = 0;
          steps.forEach(({ vm: which, pauseMs, requests, failures, restarts }) => {
            atMs += pauseMs;
            // A restarted process has lost its counts.
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

  test('stay within the limit when all servers of a data centre fail at 74 entry VMs', () => {
    const vms = Array.from({ length: 74 }, () => createRunningVm({ ...BOUND, slack: 188 }, 74));
    const spent = vms.reduce(
      (sum, vm) => sum + Array.from({ length: 30 }).filter(() => vm.spend(1_000, SERVICE)).length,
      0,
    );
    expect(spent).toBeLessThanOrEqual(188);
    expect(spent).toBeGreaterThan(0);
  });

  test('are allowed by requests of the same service only', () => {
    const vm = createRunningVm({ ...BOUND, slack: 0 }, 1);
    Array.from({ length: 20 }).forEach(() => vm.noteRequest(0, SERVICE));
    expect(vm.spend(100, 'orders')).toBe(false);
    expect(vm.spend(100, SERVICE)).toBe(true);
  });

  test('use none of the fixed allowance while the number of entry VMs is unknown', () => {
    expect(new RetryWindow(BOUND, -2 * BOUND.windowMs).spend(0, SERVICE)).toBe(false);
  });

  test('use an allowance share that does not grow when members leave', () => {
    const vm = createRunningVm(BOUND, 74);
    vm.noteMembers(2);
    expect(vm.spend(0, SERVICE)).toBe(false);
  });

  test('use none of the fixed allowance for one window after a start', () => {
    const vm = new RetryWindow(BOUND, 0);
    vm.noteMembers(1);
    expect(vm.spend(BOUND.windowMs, SERVICE)).toBe(false);
    expect(vm.spend(BOUND.windowMs * 1.1, SERVICE)).toBe(true);
  });
});
