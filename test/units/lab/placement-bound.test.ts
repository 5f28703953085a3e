/** The bound of a placement must count what no plan can avoid, and nothing else. */
import { expect, test } from 'vitest';
import { type PlacementTrace, placementBound } from '../../../src/lab/placement-bound/index.js';

const trace: PlacementTrace = {
  requests: [],
  loaded: new Set(['loaded']),
  copies: new Map([
    ['loaded', 1],
    ['copied', 1],
  ]),
  slots: 2,
  copyLoadMs: 500,
  storeLoadMs: 10_000,
  fullSpeedLoads: 1,
  durationMs: 10_000,
};

const request = (model: string, atMs: number, objectiveMs = 250) => ({
  model,
  atMs,
  objectiveMs,
  runMs: 1_000,
});

test('requests before the first load of their model are lost, unless they can wait', () => {
  const requests = [
    request('loaded', 0),
    request('copied', 0),
    request('copied', 0, 4_000),
    request('copied', 600),
  ];
  const bound = placementBound({ ...trace, requests });
  expect(bound).toMatchObject({ inTime: 3, lostToLoads: 1, lostToSlots: 0 });
});

test('the weight store brings as many models as it can load, those with most requests', () => {
  const late = (model: string, count: number) =>
    Array.from({ length: count }, () => request(model, 9_900));
  const bound = placementBound({ ...trace, requests: [...late('far1', 2), ...late('far2', 5)] });
  expect(bound).toMatchObject({ inTime: 5, lostToLoads: 2 });
});

test('requests beyond the slots of all engines with the model are lost', () => {
  const requests = Array.from({ length: 9 }, () => request('loaded', 0));
  const bound = placementBound({ ...trace, fullSpeedLoads: 0, requests });
  expect(bound).toMatchObject({ inTime: 2, lostToSlots: 7 });
});
