/** A fleet keeps a steward although most of its VMs have links that its control traffic would fill. */
import { describe, expect, test } from 'vitest';
import { HandoverReason } from '../../src/decisions/leases/index.js';
import { ControlFleet } from './control-fleet.js';
import { UnpacedRules } from './control-rules.js';

const SLOW_MBPS = 7;
const FAST_MBPS = 140;
/** A lease, its margin, and the longer wait of VMs with slow links, with two ticks of the lease task. */
const MAX_GAP_MS = 2_000 + 300 + 500 + 100;
/** Part of a steward's link that its traffic may take. */
const MAX_USE = 0.5;

function linksOf(vms: number, fast: number): readonly number[] {
  return Array.from({ length: vms }, (_, at) => (at >= vms - fast ? FAST_MBPS : SLOW_MBPS));
}

describe('a fleet with slow links', () => {
  test.each([
    [31, 3],
    [84, 6],
    [84, 0],
    [300, 20],
    [300, 0],
  ])('of %i VMs, %i of them with fast links, keeps its steward', (vms, fast) => {
    const fleet = new ControlFleet({ links: linksOf(vms, fast) });
    fleet.run(15_000);
    expect(fleet.record.largestUse).toBeLessThan(MAX_USE);
    expect(fleet.record.longestGapMs).toBeLessThan(MAX_GAP_MS);
    expect(fleet.record.lostStewards).toBe(0);
    expect(fleet.record.stewards.length).toBeLessThanOrEqual(2);
  });
});

describe('a fleet whose messages are not paced', () => {
  // Shows that the replay has the failure that the other cases guard against.
  test.each([6, 0])('of 84 VMs, %i of them with fast links, loses its stewards', (fast) => {
    const fleet = new ControlFleet({ links: linksOf(84, fast), rules: () => new UnpacedRules() });
    fleet.run(15_000);
    expect(fleet.record.lostStewards).toBeGreaterThan(1);
    expect(fleet.record.largestUse).toBeGreaterThan(1);
  });
});

describe('a fleet whose steward is lost', () => {
  test.each([31, 84, 300])('of %i VMs finds one when all with fast links are gone', (vms) => {
    const killed = { vms: (mbps: number) => mbps === FAST_MBPS, atMs: 5_000 };
    const fleet = new ControlFleet({ links: linksOf(vms, 6), killed });
    fleet.run(15_000);
    expect(fleet.record.longestGapMs).toBeLessThan(MAX_GAP_MS);
    expect([fleet.record.lostStewards, fleet.record.stewards.length]).toEqual([1, 2]);
    expect(fleet.record.largestUse).toBeLessThan(MAX_USE);
  });

  test.each([
    [0, 0],
    [0, 6],
    [2, 6],
  ])('as the store rejects every third VM from %i on finds one (%i fast links)', (first, fast) => {
    const rejected = { vms: (at: number) => at % 3 === first, fromMs: 2_500, untilMs: 11_500 };
    const fleet = new ControlFleet({ links: linksOf(84, fast), rejected });
    fleet.run(20_000);
    expect(fleet.record.longestGapMs).toBeLessThan(MAX_GAP_MS);
    expect(fleet.record.lostStewards).toBeLessThanOrEqual(1);
    expect(fleet.record.largestUse).toBeLessThan(MAX_USE);
  });

  test('has one at all times if the store rejects it, but not its successor', () => {
    const rejected = {
      vms: (at: number) => at % 3 === 1 || at === 0,
      fromMs: 2_500,
      untilMs: 11_500,
    };
    const fleet = new ControlFleet({ links: linksOf(84, 0), rejected });
    fleet.run(20_000);
    expect(fleet.handovers).toEqual([HandoverReason.store]);
    expect(fleet.record.longestGapMs).toBeLessThan(100);
  });
});

describe('a fleet whose VMs with fast links start last', () => {
  test('hands over to one of them, once', () => {
    const fleet = new ControlFleet({ links: linksOf(84, 6), fastFromMs: 4_000 });
    fleet.run(15_000);
    expect(fleet.handovers).toEqual([HandoverReason.link]);
    expect(fleet.record.longestGapMs).toBeLessThan(100);
    expect(fleet.steward?.mbps).toBe(FAST_MBPS);
  });
});
