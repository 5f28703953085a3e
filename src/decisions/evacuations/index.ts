/**
 * The evacuated data centres: those to whose servers nothing may be sent until the evacuation is
 * taken back.
 *
 * The set comes from the platform store or from the steward; the newer version wins. It stays in
 * force while neither can be reached. When the store returns from an older copy, an evacuation that
 * the copy lacks stays in force for a time in which it can be stored again.
 */
import * as storeVersions from '../store-versions/index.js';

/**
 * Time after the store has returned from a copy for which evacuations that it lacks stay in force,
 * ms. A stored plan that is older than the one in force counts again after the same time.
 */
export const COPY_SETTLES_MS = 5_000;

/** An object of the store that evacuates a data centre, or its removal. */
export interface EvacuationChange {
  readonly dataCentre: string;
  readonly deleted: boolean;
}

/** The set as the steward sends it. */
export interface SharedEvacuations {
  /** Store version that the set reflects. */
  readonly revision: number;
  /** Data centres that have an object in the store. */
  readonly dataCentres: readonly string[];
  /** Data centres that the store's copy lacks, with the time for which they stay evacuated, ms. */
  readonly heldForMs: Readonly<Record<string, number>>;
}

/** Data centres whose state changed. */
export interface EvacuationDifference {
  readonly evacuated: readonly string[];
  readonly takenBack: readonly string[];
}

export class Evacuations {
  /** Store version of the set; null before the first answer. */
  private version: number | null = null;

  private stored: ReadonlySet<string> = new Set();

  /** Ends of the times for which data centres that the store's copy lacks stay evacuated, ms. */
  private readonly heldUntilMs = new Map<string, number>();

  /** The evacuated data centres; replaced when they change. */
  private inForce: ReadonlySet<string> = new Set();

  /** Whether the set is known. Before that, any data centre may be evacuated. */
  get isKnown(): boolean {
    return this.version !== null;
  }

  get dataCentres(): ReadonlySet<string> {
    return this.inForce;
  }

  /** Whether requests may be sent to servers of the data centre. */
  allows(dataCentre: string): boolean {
    return this.isKnown && !this.inForce.has(dataCentre);
  }

  /**
   * Applies an answer of the store.
   * @param isComplete Whether `changes` are all objects; otherwise those since an earlier answer.
   */
  applyStored(
    nowMs: number,
    version: number,
    changes: readonly EvacuationChange[],
    isComplete: boolean,
  ): EvacuationDifference {
    if (version < (this.version ?? 0)) return this.update(nowMs);
    const next = new Set(isComplete ? [] : this.stored);
    changes.forEach(({ dataCentre, deleted }) => {
      if (deleted) next.delete(dataCentre);
      else next.add(dataCentre);
      // An object that was written or removed after the return of the store decides.
      this.heldUntilMs.delete(dataCentre);
    });
    return this.replace(nowMs, version, next);
  }

  /** Applies the set of another entry VM, unless an answer of the store is newer. */
  applyShared(nowMs: number, shared: SharedEvacuations): EvacuationDifference {
    if (shared.revision < (this.version ?? 0)) return this.update(nowMs);
    const { revision, dataCentres, heldForMs } = shared;
    // Later messages must not prolong the times, which count from the first one.
    const held = this.version === null || this.isRestored(revision) ? heldForMs : {};
    return this.replace(nowMs, revision, new Set(dataCentres), held);
  }

  /** Ends the times for which evacuations were held. */
  expire(nowMs: number): EvacuationDifference {
    return this.update(nowMs);
  }

  /** The set for other entry VMs; null if it is not known. */
  shared(nowMs: number): SharedEvacuations | null {
    if (this.version === null) return null;
    const held = [...this.heldUntilMs].map(
      ([name, untilMs]) => [name, Math.max(0, untilMs - nowMs)] as const,
    );
    return {
      revision: this.version,
      dataCentres: [...this.stored],
      heldForMs: Object.fromEntries(held),
    };
  }

  /** Whether the store has returned from a copy before it reached this version. */
  private isRestored(version: number): boolean {
    return (
      this.version !== null && storeVersions.eraOf(version) > storeVersions.eraOf(this.version)
    );
  }

  private replace(
    nowMs: number,
    version: number,
    stored: ReadonlySet<string>,
    heldForMs: Readonly<Record<string, number>> = {},
  ): EvacuationDifference {
    if (this.isRestored(version)) {
      [...this.inForce]
        .filter((name) => !stored.has(name))
        .forEach((name) => this.heldUntilMs.set(name, nowMs + COPY_SETTLES_MS));
    }
    this.version = version;
    this.stored = stored;
    Object.entries(heldForMs).forEach(([name, forMs]) => this.heldUntilMs.set(name, nowMs + forMs));
    return this.update(nowMs);
  }

  private update(nowMs: number): EvacuationDifference {
    this.heldUntilMs.forEach((untilMs, name) => {
      if (nowMs >= untilMs || this.stored.has(name)) this.heldUntilMs.delete(name);
    });
    const before = this.inForce;
    const next = new Set([...this.stored, ...this.heldUntilMs.keys()]);
    const evacuated = [...next].filter((name) => !before.has(name));
    const takenBack = [...before].filter((name) => !next.has(name));
    if (evacuated.length + takenBack.length > 0) this.inForce = next;
    return { evacuated, takenBack };
  }
}
