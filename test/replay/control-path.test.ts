/** A fleet keeps a steward although most of its VMs have links that its control traffic would fill. */
import { describe, expect, test } from 'vitest';
import { ControlFleet } from './control-fleet.js';

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
    expect(fleet.largestUse).toBeLessThan(MAX_USE);
    expect(fleet.longestGapMs).toBeLessThan(MAX_GAP_MS);
    expect(fleet.lostStewards).toBe(0);
    expect(fleet.stewards.length).toBeLessThanOrEqual(2);
  });
});
