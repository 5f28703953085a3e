/** Estimates load times by the storage tier of the checkpoint. */
import { CheckpointTier } from './types.js';

/** Bandwidth from each tier into accelerator memory, MB/s. */
const MB_PER_S: Readonly<Record<CheckpointTier, number>> = {
  [CheckpointTier.memory]: 60_000,
  [CheckpointTier.disk]: 30_000,
  [CheckpointTier.remote]: 15_000,
};

/** Returns the time to load `bytesMb` from `tier` without concurrent loads, ms. */
export function expectedLoadMs(tier: CheckpointTier, bytesMb: number): number {
  return (bytesMb / MB_PER_S[tier]) * 1000;
}
