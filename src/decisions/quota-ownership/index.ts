/**
 * Quota ownership records ("tenures"): each assigns a share of the customers' rate limits to one
 * entry VM at a time.
 *
 * A record does not expire, so ownership survives an outage of the platform. A share becomes free
 * when its owner releases it, or when the platform has not listed the owner's VM for some time. A
 * new process of the owner's VM may claim the share at once.
 */
import { z } from 'zod';

export const ownershipRecordSchema = z.object({
  /** Entry VM that owns the share; null after a release. */
  vm: z.string().nullable(),
  /** Identifies the process of the owner VM. */
  incarnation: z.number(),
  /** Remaining tokens by customer, recorded when the share is released. */
  levels: z.record(z.string(), z.number()),
});
export type OwnershipRecord = z.infer<typeof ownershipRecordSchema>;

/** An ownership record as listed by the platform. */
export interface ListedRecord {
  readonly name: string;
  readonly version: number;
  readonly tenure: OwnershipRecord;
}

/** Name of the ownership record of the lender's share; each data centre has one. */
export const LENDER_RECORD = 'lender';
/** Time for which a VM must be missing from the platform's list to count as removed. */
export const MISSING_TIMEOUT_MS = 5_000;

export const OwnershipEffectType = { claim: 'claim', acquired: 'acquired' } as const;

export type OwnershipEffect =
  | {
      readonly type: typeof OwnershipEffectType.claim;
      readonly name: string;
      readonly tenure: OwnershipRecord;
      readonly version: number;
    }
  | {
      readonly type: typeof OwnershipEffectType.acquired;
      readonly name: string;
      /** Initial tokens by customer; null if the share has never been owned. */
      readonly levels: Readonly<Record<string, number>> | null;
    };

interface PendingClaim {
  readonly name: string;
  readonly tenure: OwnershipRecord;
  readonly levels: Readonly<Record<string, number>> | null;
}

export interface OwnershipSettings {
  readonly vm: string;
  readonly incarnation: number;
}

export class OwnershipManager {
  private readonly owned = new Map<string, number>();

  private readonly missingSinceMs = new Map<string, number>();

  private pending: PendingClaim | null = null;

  private stopping = false;

  constructor(private readonly cfg: OwnershipSettings) {}

  owns(name: string): boolean {
    return this.owned.has(name);
  }

  /** Versions of the owned records, by name. */
  ownedVersions(): ReadonlyMap<string, number> {
    return this.owned;
  }

  stop(): void {
    this.stopping = true;
  }

  /**
   * Compares the ownership records of the data centre with the platform's VM list and claims a free
   * share if this VM needs one.
   * @param reserveCount Number of local reserves in the data centre; each VM owns at most one.
   */
  onRecordsListed(
    nowMs: number,
    records: readonly ListedRecord[],
    listedVms: ReadonlySet<string>,
    reserveCount: number,
  ): readonly OwnershipEffect[] {
    const resolved = this.resolvePending(records);
    this.trackMissing(nowMs, records, listedVms);
    if (this.stopping) return resolved;
    return [...resolved, ...this.claimNext(nowMs, records, reserveCount)];
  }

  /** Records that the pending claim was written. */
  onClaimWritten(version: number): readonly OwnershipEffect[] {
    const { pending } = this;
    this.pending = null;
    if (pending === null) return [];
    this.owned.set(pending.name, version);
    return [{ type: OwnershipEffectType.acquired, name: pending.name, levels: pending.levels }];
  }

  /** Discards the pending claim after a write conflict: another entry VM has claimed the share. */
  conflict(): void {
    this.pending = null;
  }

  /**
   * Resolves a claim whose response was lost. The claim took effect if the listed record names this
   * process.
   */
  private resolvePending(records: readonly ListedRecord[]): readonly OwnershipEffect[] {
    const { pending } = this;
    if (pending === null) return [];
    const listed = records.find(({ name }) => name === pending.name);
    if (listed === undefined || !this.isOwn(listed.tenure)) {
      this.pending = null;
      return [];
    }
    return this.onClaimWritten(listed.version);
  }

  private isOwn({ vm, incarnation }: OwnershipRecord): boolean {
    return vm === this.cfg.vm && incarnation === this.cfg.incarnation;
  }

  private trackMissing(
    nowMs: number,
    records: readonly ListedRecord[],
    listedVms: ReadonlySet<string>,
  ): void {
    records.forEach(({ tenure: { vm } }) => {
      if (vm === null || listedVms.has(vm)) this.missingSinceMs.delete(vm ?? '');
      else if (!this.missingSinceMs.has(vm)) this.missingSinceMs.set(vm, nowMs);
    });
  }

  private isFree(nowMs: number, { vm }: OwnershipRecord): boolean {
    if (vm === null || vm === this.cfg.vm) return true;
    const sinceMs = this.missingSinceMs.get(vm);
    return sinceMs !== undefined && nowMs - sinceMs >= MISSING_TIMEOUT_MS;
  }

  private claimNext(
    nowMs: number,
    records: readonly ListedRecord[],
    reserveCount: number,
  ): readonly OwnershipEffect[] {
    const byName = new Map(records.map((listed) => [listed.name, listed]));
    const reserves = Array.from({ length: reserveCount }, (_, index) => `floor-${index}`);
    const hasReserve = reserves.some((name) => this.owned.has(name));
    const needed = [
      ...(this.owned.has(LENDER_RECORD) ? [] : [LENDER_RECORD]),
      ...(hasReserve ? [] : reserves),
    ];
    const free = needed.find((name) => {
      const listed = byName.get(name);
      return listed === undefined || this.isFree(nowMs, listed.tenure);
    });
    return free === undefined ? [] : [this.claim(free, byName.get(free) ?? null)];
  }

  private claim(name: string, listed: ListedRecord | null): OwnershipEffect {
    const { vm, incarnation } = this.cfg;
    const tenure: OwnershipRecord = { vm, incarnation, levels: {} };
    const levels = listed === null ? null : listed.tenure.levels;
    this.pending = { name, tenure, levels };
    return { type: OwnershipEffectType.claim, name, tenure, version: listed?.version ?? 0 };
  }
}
