/** Evacuations stay in force under old answers, a restored store and changes of their source. */
import { describe, expect, test } from 'vitest';
import { COPY_SETTLES_MS, Evacuations } from '../../../src/decisions/evacuations/index.js';
import * as storeVersions from '../../../src/decisions/store-versions/index.js';

const object = (dataCentre: string, deleted = false) => ({ dataCentre, deleted });
const inEra = (era: number, revision: number) => storeVersions.versionOf(era, revision);
const known = (...names: readonly string[]) => {
  const evacuations = new Evacuations();
  evacuations.applyStored(
    0,
    inEra(1, 10),
    names.map((name) => object(name)),
    true,
  );
  return evacuations;
};

describe('the evacuated data centres', () => {
  test('allow no request before they are known', () => {
    const evacuations = new Evacuations();
    expect(evacuations.allows('a')).toBe(false);
    evacuations.applyStored(0, 1, [], true);
    expect(evacuations.allows('a')).toBe(true);
  });

  test('lose one by its removal, or by a list without it after the history is gone', () => {
    const evacuations = known('a', 'b');
    const removal = evacuations.applyStored(1, inEra(1, 11), [object('a', true)], false);
    expect(removal).toEqual({ evacuated: [], takenBack: ['a'] });
    expect(evacuations.applyStored(2, inEra(1, 12), [], true).takenBack).toEqual(['b']);
  });

  test('ignore an older answer of the store and an older set of the steward', () => {
    const evacuations = known('a');
    evacuations.applyStored(1, inEra(1, 9), [], true);
    evacuations.applyShared(1, { revision: inEra(1, 9), dataCentres: [], heldForMs: {} });
    expect(evacuations.allows('a')).toBe(false);
  });

  test('follow the newer of store and steward', () => {
    const evacuations = known('a');
    evacuations.applyShared(1, { revision: inEra(1, 12), dataCentres: ['b'], heldForMs: {} });
    expect([...evacuations.dataCentres]).toEqual(['b']);
    evacuations.applyStored(2, inEra(1, 13), [object('b', true)], false);
    expect([...evacuations.dataCentres]).toEqual([]);
  });

  test('keep one that a restored store lacks until it can have been stored again', () => {
    const evacuations = known('a');
    evacuations.applyStored(100, inEra(2, 5), [], true);
    expect(evacuations.allows('a')).toBe(false);
    expect(evacuations.expire(100 + COPY_SETTLES_MS).takenBack).toEqual(['a']);
  });

  test('drop one that is removed after the store was restored', () => {
    const evacuations = known('a');
    evacuations.applyStored(100, inEra(2, 5), [], true);
    const stored = evacuations.applyStored(200, inEra(2, 6), [object('a')], false);
    expect(stored).toEqual({ evacuated: [], takenBack: [] });
    const removed = evacuations.applyStored(300, inEra(2, 7), [object('a', true)], false);
    expect(removed.takenBack).toEqual(['a']);
  });

  test('reach a VM that starts while one is held, with the time that is left', () => {
    const steward = known('a');
    steward.applyStored(100, inEra(2, 5), [], true);
    const started = new Evacuations();
    const shared = steward.shared(1_100);
    if (shared !== null) started.applyShared(0, shared);
    expect(started.allows('a')).toBe(false);
    // A late message does not prolong it.
    if (shared !== null) started.applyShared(2_000, shared);
    expect(started.expire(COPY_SETTLES_MS - 1_000).takenBack).toEqual(['a']);
  });
});
