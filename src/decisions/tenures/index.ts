/**
 * Tenures: parts of the customers' rates that belong to one entry VM at a time.
 *
 * A tenure has no expiry, so that it outlives any outage of the platform. It passes on only when
 * its holder gave it up, or when the platform no longer lists the holder's VM.
 */
import { z } from 'zod';

export const tenureSchema = z.object({
  /** Entry VM that holds it; null once it was given up. */
  vm: z.string().nullable(),
  /** Process of that VM. */
  incarnation: z.number(),
  /** Tokens left by customer when it was given up. */
  levels: z.record(z.string(), z.number()),
});
export type Tenure = z.infer<typeof tenureSchema>;

export interface ListedTenure {
  readonly name: string;
  readonly version: number;
  readonly tenure: Tenure;
}

/** Name of the tenure that holds the data centre's share. */
export const LENDER_TENURE = 'lender';
/** A VM must be missing from the platform's list for this long before it counts as gone. */
export const GONE_AFTER_MS = 5_000;

export const TenureEffectType = { claim: 'claim', acquired: 'acquired' } as const;

export type TenureEffect =
  | {
      readonly type: typeof TenureEffectType.claim;
      readonly name: string;
      readonly tenure: Tenure;
      readonly version: number;
    }
  | {
      readonly type: typeof TenureEffectType.acquired;
      readonly name: string;
      /** Tokens to start with; null where nobody ever held it. */
      readonly levels: Readonly<Record<string, number>> | null;
    };

interface PendingClaim {
  readonly name: string;
  readonly tenure: Tenure;
  readonly levels: Readonly<Record<string, number>> | null;
}

export interface TenureSettings {
  readonly vm: string;
  readonly incarnation: number;
}

export class TenureKeeper {
  private readonly held = new Map<string, number>();

  private readonly missingSinceMs = new Map<string, number>();

  private pending: PendingClaim | null = null;

  private stopping = false;

  constructor(private readonly cfg: TenureSettings) {}

  holds(name: string): boolean {
    return this.held.has(name);
  }

  /** Names and versions of the tenures that are held. */
  heldVersions(): ReadonlyMap<string, number> {
    return this.held;
  }

  stop(): void {
    this.stopping = true;
  }

  /**
   * Looks at all tenures of the data centre and the platform's VM list.
   * @param floorCount Floors of the data centre.
   */
  listed(
    nowMs: number,
    tenures: readonly ListedTenure[],
    listedVms: ReadonlySet<string>,
    floorCount: number,
  ): readonly TenureEffect[] {
    const settled = this.settlePending(tenures);
    this.noteMissing(nowMs, tenures, listedVms);
    if (this.stopping) return settled;
    return [...settled, ...this.claimNext(nowMs, tenures, floorCount)];
  }

  /** The claim was written. */
  written(version: number): readonly TenureEffect[] {
    const { pending } = this;
    this.pending = null;
    if (pending === null) return [];
    this.held.set(pending.name, version);
    return [{ type: TenureEffectType.acquired, name: pending.name, levels: pending.levels }];
  }

  /** Somebody else was first. */
  conflict(): void {
    this.pending = null;
  }

  /** A claim whose answer was lost took effect if the list shows it. */
  private settlePending(tenures: readonly ListedTenure[]): readonly TenureEffect[] {
    const { pending } = this;
    if (pending === null) return [];
    const shown = tenures.find(({ name }) => name === pending.name);
    if (shown === undefined || !this.isOwn(shown.tenure)) {
      this.pending = null;
      return [];
    }
    return this.written(shown.version);
  }

  private isOwn({ vm, incarnation }: Tenure): boolean {
    return vm === this.cfg.vm && incarnation === this.cfg.incarnation;
  }

  private noteMissing(
    nowMs: number,
    tenures: readonly ListedTenure[],
    listedVms: ReadonlySet<string>,
  ): void {
    tenures.forEach(({ tenure: { vm } }) => {
      if (vm === null || listedVms.has(vm)) this.missingSinceMs.delete(vm ?? '');
      else if (!this.missingSinceMs.has(vm)) this.missingSinceMs.set(vm, nowMs);
    });
  }

  private isFree(nowMs: number, { vm }: Tenure): boolean {
    if (vm === null || vm === this.cfg.vm) return true;
    const sinceMs = this.missingSinceMs.get(vm);
    return sinceMs !== undefined && nowMs - sinceMs >= GONE_AFTER_MS;
  }

  private claimNext(
    nowMs: number,
    tenures: readonly ListedTenure[],
    floorCount: number,
  ): readonly TenureEffect[] {
    const byName = new Map(tenures.map((listed) => [listed.name, listed]));
    const floors = Array.from({ length: floorCount }, (_, index) => `floor-${index}`);
    const hasFloor = floors.some((name) => this.held.has(name));
    const wanted = [
      ...(this.held.has(LENDER_TENURE) ? [] : [LENDER_TENURE]),
      ...(hasFloor ? [] : floors),
    ];
    const free = wanted.find((name) => {
      const listed = byName.get(name);
      return listed === undefined || this.isFree(nowMs, listed.tenure);
    });
    return free === undefined ? [] : [this.claim(free, byName.get(free) ?? null)];
  }

  private claim(name: string, listed: ListedTenure | null): TenureEffect {
    const { vm, incarnation } = this.cfg;
    const tenure: Tenure = { vm, incarnation, levels: {} };
    const levels = listed === null ? null : listed.tenure.levels;
    this.pending = { name, tenure, levels };
    return { type: TenureEffectType.claim, name, tenure, version: listed?.version ?? 0 };
  }
}
