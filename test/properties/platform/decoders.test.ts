/** Decoders of store entries, reports and headers never throw and reject invalid values. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { decodeReport } from '../../../platform/backends.js';
import * as platform from '../../../platform/index.js';

const wire = platform.createWire();
const RUNS = { seed: 20261204, numRuns: 2_000 };
const ENTRY = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'a',
  engine_slots: 4,
  state: 'ready',
  seq: 1,
  born: 5,
  models: [{ name: 'm', version: 1, adapters: ['a1'] }],
};

describe('decoding a value from another writer', () => {
  test('never throws', () => {
    fc.assert(
      fc.property(fc.anything(), (value) => {
        wire.decodePlan(value);
        wire.decodeBackend('e1', value);
        decodeReport(value);
      }),
      RUNS,
    );
  });

  test('returns no server if a field of its entry is missing or has a wrong type', () => {
    const required = fc.constantFrom('service', 'address', 'zone', 'engine_slots', 'state');
    const wrong = fc.constantFrom(undefined, null, {}, [], true, 'nowhere:x', -1);
    fc.assert(
      fc.property(required, wrong, (field, value) => {
        const isText = field === 'service' || field === 'zone';
        fc.pre(!(isText && typeof value === 'string'));
        expect(wire.decodeBackend('e1', { ...ENTRY, [field]: value })).toBeNull();
      }),
      RUNS,
    );
    expect(wire.decodeBackend('e1', ENTRY)).toMatchObject({ id: 'e1', bornMs: 5, orderCount: 1 });
  });

  test('never throws for headers', () => {
    fc.assert(
      fc.property(fc.array(fc.string(), { maxLength: 20 }), (flat) => {
        wire.decodeRequest(flat);
        wire.decodeResponse(flat);
        wire.encodeResponse(flat);
      }),
      RUNS,
    );
  });
});
