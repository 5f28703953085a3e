/** Demand that is confined to data centres is served by loads there, and only there. */
import { expect, test } from 'vitest';
import type { EngineSpec } from '../../../src/decisions/fleet-plan/index.js';
import {
  type EngineState,
  type PendingDemand,
  SwapPlanner,
} from '../../../src/decisions/swaps/index.js';
import { createEngine, createReplica } from './engine-fixture.js';

const MODEL = {
  name: 'm1',
  sizeMb: 70,
  remoteLoadMs: 6_000,
  diskLoadMs: 600,
  memoryLoadMs: 450,
  adapterCount: 0,
  adapterMb: 1,
};
const SPEC: EngineSpec = {
  slots: 32,
  kvTokens: 80_000,
  memoryMb: 215,
  adapterSlots: 2,
  loadsPerS: 3,
  models: new Map([['m1', MODEL]]),
};

function engine(dataCentre: string, isLoaded: boolean): EngineState {
  const replicas = isLoaded ? [createReplica('m1')] : [];
  const onDisk = dataCentre === 'a' ? ['m1'] : [];
  const copies = { inMemory: [], onDisk };
  return createEngine(`e-${dataCentre}`, SPEC, replicas, { dataCentre, copies });
}

function loadsFor(demand: readonly Partial<PendingDemand>[]) {
  const engines = [engine('a', true), engine('b', false), engine('c', false)];
  const pending = { service: 'drafting', model: 'm1', adapter: null, version: null, waiting: 2 };
  const actions = new SwapPlanner().plan({
    nowMs: 100_000,
    engines,
    pendingDemand: demand.map((fields) => ({ ...pending, dueAtMs: 102_000, ...fields })),
    rates: new Map(),
    expectedRates: new Map(),
    storeLoadsLeft: 4,
    placeLoadsLeft: 4,
  });
  return actions.map(({ engineId }) => engineId);
}

test('a model that is loaded outside of the homes is loaded in a home', () => {
  expect(loadsFor([{}])).toEqual([]);
  expect(loadsFor([{ dataCentres: ['b'] }])).toEqual(['e-b']);
  expect(loadsFor([{}, { dataCentres: ['a', 'c'] }])).toEqual([]);
});

test('one load serves the demand of several homes that it lies in', () => {
  expect(loadsFor([{ dataCentres: ['b'] }, { dataCentres: ['b'], version: 'v1' }])).toEqual([
    'e-b',
  ]);
});

test('demand without an engine in its homes causes no load', () => {
  expect(loadsFor([{ dataCentres: ['d'] }, { dataCentres: [] }])).toEqual([]);
});
