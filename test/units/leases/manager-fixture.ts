/** Lease managers for tests. */
import { LeaseManager, type LeaseSettings } from '../../../src/decisions/leases/index.js';

export const DURATION_MS = 2_000;

/** @param heir VM that the manager names as successor; null for none. */
export function createManager(
  self: string,
  heir: string | null = null,
  settings: Partial<LeaseSettings> = {},
): LeaseManager {
  return new LeaseManager({
    self,
    address: `${self}:1`,
    durationMs: DURATION_MS,
    marginMs: 300,
    heir: () => (heir === null ? null : { vm: heir, address: `${heir}:1` }),
    ...settings,
  });
}
