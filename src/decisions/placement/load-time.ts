/** How long loads take, by where the checkpoint lies. */
import { CheckpointTier } from './types.js';

/** MB/s from each tier into accelerator memory. */
const MB_PER_S: Readonly<Record<CheckpointTier, number>> = {
  [CheckpointTier.memory]: 60_000,
  [CheckpointTier.disk]: 30_000,
  [CheckpointTier.remote]: 15_000,
};

/** Expected time to load `bytesMb` from `tier`, ms, with no other load in the way. */
export function expectedLoadMs(tier: CheckpointTier, bytesMb: number): number {
  return (bytesMb / MB_PER_S[tier]) * 1000;
}
