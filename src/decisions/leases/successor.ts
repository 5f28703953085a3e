/**
 * Selects the designated successor that is named in a lease.
 *
 * Without a successor, a rolling restart or a killed process leaves the data centre without a
 * steward until another entry VM has acquired the lease. That takes long if the store responds
 * slowly. A disconnected successor may still take over the lease. No other successor is named until
 * the lease that named the disconnected one has expired.
 */
import type { LeaseSuccessor } from './types.js';

/** Members that have been connected for longer than this are preferred. */
export const STABLE_AFTER_MS = 2_000;

/** An entry VM that can be named as successor. */
export interface SuccessorCandidate {
  readonly vm: string;
  readonly address: string;
  /** Time at which the VM connected, ms. */
  readonly sinceMs: number;
  /** Whether the VM is shutting down and therefore never takes over a lease. */
  readonly leaving: boolean;
  /** Number of services from whose servers the VM is partitioned. */
  readonly partitions: number;
  /** Whether the VM's link is too slow for the control traffic of a large fleet. */
  readonly hasSlowLink?: boolean;
  /** Whether a store call of the VM was answered lately; VMs with a steward make none. */
  readonly reachesStore?: boolean;
}

export class SuccessorSelector {
  private current: Omit<LeaseSuccessor, 'epoch'> | null = null;

  private lastNamedAtMs = -Infinity;

  /**
   * @param leaseDurationMs Time for which a successor may take over after the last lease that named
   * it.
   */
  constructor(private readonly leaseDurationMs: number) {}

  /** Successor for the lease that is about to be written, or null to name none. */
  choose(
    nowMs: number,
    candidates: readonly SuccessorCandidate[],
  ): Omit<LeaseSuccessor, 'epoch'> | null {
    const known = candidates.find(({ vm }) => vm === this.current?.vm);
    if (known === undefined && nowMs - this.lastNamedAtMs < this.leaseDurationMs) return null;
    const isReplaced =
      known === undefined ||
      known.leaving ||
      candidates.some(({ leaving, partitions }) => !leaving && partitions < known.partitions) ||
      candidates.some((candidate) => SuccessorSelector.hasBetterLink(nowMs, candidate, known));
    if (isReplaced) this.current = this.selectBest(nowMs, candidates);
    if (this.current !== null) this.lastNamedAtMs = nowMs;
    return this.current;
  }

  private static hasBetterLink(
    nowMs: number,
    { leaving, sinceMs, partitions, hasSlowLink }: SuccessorCandidate,
    known: SuccessorCandidate,
  ): boolean {
    const isStable = !leaving && nowMs - sinceMs > STABLE_AFTER_MS;
    const isBetter = known.hasSlowLink === true && hasSlowLink !== true;
    return isStable && isBetter && partitions <= known.partitions;
  }

  /**
   * Selects the stable member that connected last, of those with the fewest partitions and a link that
   * is not slow, if any: a rolling restart does not stop this member soon.
   */
  private selectBest(nowMs: number, candidates: readonly SuccessorCandidate[]) {
    const staying = candidates.filter(({ leaving }) => !leaving);
    const fewest = Math.min(...staying.map(({ partitions }) => partitions));
    const reaching = staying.filter(({ partitions }) => partitions === fewest);
    const fast = reaching.filter(({ hasSlowLink }) => hasSlowLink !== true);
    const preferred = fast.length > 0 ? fast : reaching;
    const stable = preferred.filter(({ sinceMs }) => nowMs - sinceMs > STABLE_AFTER_MS);
    const [best] = [...(stable.length > 0 ? stable : preferred)].sort(
      (a, b) => b.sinceMs - a.sinceMs,
    );
    return best === undefined ? null : { vm: best.vm, address: best.address };
  }
}
