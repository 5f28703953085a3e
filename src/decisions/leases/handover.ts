/** Decides whether a steward hands its lease over to a member that serves the fleet better. */
import { STABLE_AFTER_MS, type SuccessorCandidate } from './successor.js';

export const HandoverReason = {
  /** The steward is partitioned from services that the member reaches. */
  partition: 'partition',
  /** The steward's store calls fail, and the member's do not. */
  store: 'store',
  /** The steward's link is slow, and the member's is not. */
  link: 'link',
} as const;
export type HandoverReason = (typeof HandoverReason)[keyof typeof HandoverReason];

/** State of the steward itself. */
export interface StewardState {
  /** Number of services from whose servers it is partitioned. */
  readonly partitions: number;
  readonly isStoreLost: boolean;
  readonly hasSlowLink: boolean;
}

export interface Handover {
  readonly reason: HandoverReason;
  /** Members that are better for this reason; the designated successor must be one of them. */
  readonly better: readonly SuccessorCandidate[];
}

/**
 * The reason for a handover, and the members to which it may be; null for none. Members whose store
 * calls are not known to succeed count only if `isIntended`: they are asked to make one.
 */
export function findHandover(
  nowMs: number,
  own: StewardState,
  candidates: readonly SuccessorCandidate[],
  isIntended = false,
): Handover | null {
  const staying = candidates.filter(({ leaving }) => !leaving);
  const reachable = staying.filter(
    ({ partitions, reachesStore }) =>
      partitions <= own.partitions && (isIntended || reachesStore === true),
  );
  const found: readonly Handover[] = [
    {
      reason: HandoverReason.partition,
      better: staying.filter(({ partitions }) => partitions < own.partitions),
    },
    { reason: HandoverReason.store, better: own.isStoreLost ? reachable : [] },
    {
      reason: HandoverReason.link,
      better: reachable.filter(
        ({ hasSlowLink, sinceMs }) =>
          own.hasSlowLink && hasSlowLink !== true && nowMs - sinceMs > STABLE_AFTER_MS,
      ),
    },
  ];
  return found.find(({ better }) => better.length > 0) ?? null;
}
