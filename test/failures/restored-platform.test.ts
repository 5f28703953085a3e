/** Settings edits after the platform has returned from an older copy of its objects. */
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import { callControlEndpoint } from '../../src/lab/fleet/index.js';
import { LocalFleet } from './local-fleet.js';

interface Status {
  readonly self: { readonly revision: number };
}

describe('after the platform has returned from an older copy', () => {
  let fleet: LocalFleet;

  beforeAll(async () => {
    fleet = await LocalFleet.start({ entries: ['a', 'b'], engines: ['a'] });
  });

  afterAll(async () => {
    await fleet.stop();
  });

  const control = (path: string) => callControlEndpoint(fleet.platform.address, path, {});
  const revisions = () =>
    Promise.all([0, 1].map(async (at) => (await fleet.status<Status>(at)).self.revision));
  const edit = (ratePerS: number) =>
    fleet.edit([{ path: '/customers/small', values: { ratePerS, burst: 100 } }]);
  const editAndWait = async (ratePerS: number) => {
    const before = Math.max(...(await revisions()));
    await edit(ratePerS);
    await fleet.until('the edit is in force', async () =>
      (await revisions()).every((revision) => revision > before),
    );
  };

  test('an accepted edit comes into force, and no daemon goes back', async () => {
    await control('/_copy');
    await editAndWait(10);
    await editAndWait(20);
    const before = await revisions();
    await control('/_restore');
    await editAndWait(30);
    const after = await revisions();
    expect(after.every((revision, at) => revision > (before[at] ?? Infinity))).toBe(true);
  });
});
