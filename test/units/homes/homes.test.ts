/** Requests stay in the homes of their route and customer. */
import { describe, expect, test } from 'vitest';
import { allows, Homes } from '../../../src/decisions/homes/index.js';

const REGIONS = { 'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'c-1': 'c' };
const homes = new Homes({ region: 'c', regions: REGIONS });

describe('the data centres that a request may reach', () => {
  test('are all without homes', () => {
    expect(homes.dataCentresFor({}, null)).toBeNull();
    expect(homes.dataCentresFor({ homes: null }, { homes: null })).toBeNull();
  });

  test('are those in the homes of the route and of the customer', () => {
    expect(homes.dataCentresFor({ homes: ['a', 'b'] }, null)).toEqual(['a-1', 'a-2', 'b-1']);
    expect(homes.dataCentresFor({ homes: ['a', 'b'] }, { homes: ['b', 'c'] })).toEqual(['b-1']);
    expect(homes.dataCentresFor({ homes: ['a'] }, { homes: ['b'] })).toEqual([]);
  });

  test('are all in a deployment with one region, unless that is no home', () => {
    const single = new Homes({ region: 'a', regions: {} });
    expect(single.dataCentresFor({ homes: ['a'] }, null)).toBeNull();
    expect(single.dataCentresFor({ homes: ['b'] }, null)).toEqual([]);
    expect(
      new Homes({ region: null, regions: {} }).dataCentresFor({ homes: ['a'] }, null),
    ).toBeNull();
  });
});

test('a request is relayed by VMs in a home or in the region of its caller only', () => {
  const allowed = homes.dataCentresFor({ homes: ['a'] }, null);
  const relays = ['a-1', 'b-1', 'c-1', 'unknown'].filter((name) => homes.mayRelay(name, allowed));
  expect(relays).toEqual(['a-1', 'c-1']);
  expect(homes.mayRelay('unknown', null)).toBe(true);
});

test('a server of an unknown data centre gets no request with homes', () => {
  expect(allows(['a-1'], 'unknown')).toBe(false);
  expect(allows(null, 'unknown')).toBe(true);
});
