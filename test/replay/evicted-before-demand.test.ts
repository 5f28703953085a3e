/** Rarely used models that only the weight store has, beside models whose demand begins later. */
import { describe, expect, test } from 'vitest';
import { ModelFleet, type ModelFleetOptions, type RequestClass } from './model-fleet.js';

const BUSY = ['b0', 'b1', 'b2', 'b3', 'b4', 'b5'];
const RARE = Array.from({ length: 20 }, (_, at) => `r${at}`);
/** Replicas at the start: the busiest model has many, each of the others one. */
const PLACES = [9, 1, 1, 1, 1, 1];

const draft: Omit<RequestClass, 'name' | 'perS' | 'models'> = {
  objectiveMs: 400,
  callerTimeoutMs: 2_000,
  deadlineMs: 12_000,
  runMs: 1_500,
};

function optionsFor(seed: number): ModelFleetOptions {
  const busy = [
    ['b0', 0.6],
    ['b2', 0.1],
    ['b3', 0.1],
    ['b4', 0.1],
    ['b5', 0.1],
  ] as const;
  const rare = RARE.map((model) => [model, 1] as const);
  return {
    seed,
    engines: 8,
    places: 3,
    copies: 5,
    slots: 16,
    loadMs: { remoteLoadMs: 7_800, diskLoadMs: 610, memoryLoadMs: 470 },
    fullSpeedLoads: 2,
    loadsPerS: 3,
    models: [...BUSY, ...RARE],
    busyPlaces: PLACES,
    classes: [
      { ...draft, name: 'draft', perS: 6, models: busy },
      { ...draft, name: 'late', perS: 7, models: [['b1', 1]], fromMs: 3_000 },
      {
        name: 'tender',
        perS: 3,
        models: rare,
        objectiveMs: 2_000,
        callerTimeoutMs: 8_000,
        deadlineMs: 20_000,
        runMs: 1_500,
      },
    ],
    durationMs: 34_000,
  };
}

describe('a model that is loaded but not requested yet', () => {
  [1, 2, 3, 4, 5, 6, 7, 8].forEach((seed) => {
    test(`is not evicted for a long load while others have spare replicas, seed ${seed}`, () => {
      const fleet = new ModelFleet(optionsFor(seed));
      fleet.play();
      const refused = BUSY.filter((model) => fleet.refusals.has(model));
      expect(refused).toEqual([]);
    });
  });
});
