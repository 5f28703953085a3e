/** Two software versions side by side: the servers of one version that hold a crowded model crash. */
import { describe, expect, test } from 'vitest';
import { ModelFleet, type ModelFleetOptions, type RequestClass } from './model-fleet.js';

const CROWDED = ['c0', 'c1'];
const RARE = Array.from({ length: 37 }, (_, at) => `r${at}`);
/** Half of the requests are for the two crowded models. */
const MODELS = [['c0', 26], ['c1', 11], ...RARE.map((model) => [model, 1] as const)] as const;

/** Smallest share of the streams taken up that must go on, of the share of new ones that begin. */
const MIN_SHARE = 0.5;

const impatient: Omit<RequestClass, 'name' | 'perS' | 'deadlineMs' | 'runMs'> = {
  models: MODELS,
  objectiveMs: 400,
  callerTimeoutMs: 2_000,
  retries: 3,
};

function optionsFor(seed: number): ModelFleetOptions {
  return {
    seed,
    engines: 8,
    places: 3,
    copies: 11,
    slots: 64,
    loadMs: { remoteLoadMs: 6_000, diskLoadMs: 610, memoryLoadMs: 470 },
    fullSpeedLoads: 4,
    loadsPerS: 3,
    models: [...CROWDED, ...RARE],
    busyPlaces: [3, 2],
    versions: ['v1', 'v1', 'v1', 'v1', 'v2', 'v2', 'v2', 'v2'],
    emptyVersions: ['v2'],
    classes: [
      { ...impatient, name: 'draft', perS: 23, deadlineMs: 12_000, runMs: 1_500 },
      { ...impatient, name: 'question', perS: 19, deadlineMs: 4_000, runMs: 400 },
      {
        name: 'tender',
        perS: 10,
        models: MODELS,
        objectiveMs: 2_000,
        callerTimeoutMs: 8_000,
        deadlineMs: 20_000,
        runMs: 1_500,
      },
    ],
    crashes: [
      { atMs: 12_000, version: 'v1', count: 2, forMs: 4_000 },
      { atMs: 18_000, version: 'v1', count: 2, forMs: 4_000 },
      { atMs: 24_000, version: 'v1', count: 2, forMs: 4_000 },
    ],
    durationMs: 30_000,
  };
}

describe('streams of a crowded model whose servers crash, beside another version', () => {
  [1, 2, 3, 4, 5, 6, 7, 8].forEach((seed) => {
    test(`are taken up at the servers of their version that are left, seed ${seed}`, () => {
      const fleet = new ModelFleet(optionsFor(seed));
      fleet.play();
      const begun = fleet.begun.served / fleet.begun.asked;
      const { asked, served } = fleet.takenUp;
      expect(served / Math.max(1, asked)).toBeGreaterThanOrEqual(
        asked < 12 ? 0 : begun * MIN_SHARE,
      );
    });
  });
});
