/**
 * Persists the incidents of suspect requests in the platform store, so that they survive a
 * simultaneous exit of all entry VMs.
 *
 * The steward writes for all entry VMs; a VM without a connected steward writes for itself. A
 * reader adds the stored incidents to its own. Only incidents of requests that have several are
 * written, so that calls are rare.
 */
import { z } from 'zod';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type AgedIncident,
  type Incident,
  reportKey,
  segmentRunSchema,
} from '../../decisions/suspects/index.js';
import * as storeVersions from '../../decisions/store-versions/index.js';
import { PlatformOutcome } from '../platform/index.js';
import type { SharedIncidents } from './incident-publisher.js';
import type { RelayStore } from './types.js';

export const INCIDENTS_KEY = 'bilberrystand/incidents';
const TICK_MS = 100;
/** Minimum time between two calls for the record, ms: each call is billed. */
const MIN_CALL_PAUSE_MS = 250;
/** Maximum number of stored incidents, the newest; keeps the record below the store's value limit. */
const MAX_STORED_INCIDENTS = 1_000;
/** Interval at which a VM without a connected steward reads the record, ms. */
const DISCONNECTED_READ_MS = 1_000;

const recordSchema = z.object({
  incidents: z.array(
    z.object({
      fingerprint: z.string(),
      serverId: z.string(),
      bornMs: z.number(),
      run: segmentRunSchema.optional(),
      /** Wall-clock time. Clock skew between entry VMs only shifts the end of a refusal. */
      atUnixMs: z.number(),
    }),
  ),
});

export interface IncidentRecordOptions {
  readonly store: Pick<RelayStore, 'read' | 'write' | 'era'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly incidents: SharedIncidents & {
    /** Number of incidents recorded by this VM, whether shared or not. */
    readonly size: number;
    noteStored(incidents: readonly AgedIncident[]): void;
  };
  isSteward(): boolean;
  isStewardConnected(): boolean;
  unixMs(): number;
}

function keysOf(incidents: readonly Incident[]): string {
  return incidents.map(reportKey).sort().join();
}

export class IncidentRecordTask implements Task {
  readonly name = 'incident-record';

  private timer: NodeJS.Timeout | null = null;

  private calling = false;

  private calledAtMs = -Infinity;

  private readAtMs = -Infinity;

  /** Version of the stored record; null if it must be read before the next write. */
  private version: number | null = null;

  /** Keys of the incidents in the stored record. */
  private storedKeys = '';

  /** The last `sharedVersion` that matched the stored record; -1 for none. */
  private storedSharedVersion = -1;

  private hasRead = false;

  constructor(private readonly opts: IncidentRecordOptions) {}

  /** Whether the record has been read in this process. */
  get isLoaded(): boolean {
    return this.hasRead;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    this.timer = setInterval(() => {
      this.tick().catch(fail);
    }, TICK_MS);
    this.tick().catch(fail);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  /** Reads or writes the record if either is due, with at most one store call. */
  async tick(): Promise<void> {
    const nowMs = this.opts.clock.steadyMs();
    this.noteEra();
    if (this.calling || nowMs - this.calledAtMs < MIN_CALL_PAUSE_MS) return;
    const isChanged = this.hasRead && this.isChanged();
    if (isChanged && this.version !== null) await this.call(nowMs, () => this.write());
    else if (isChanged || !this.hasRead || this.isDisconnectedReadDue(nowMs)) {
      await this.call(nowMs, () => this.read(nowMs));
    }
  }

  /** Makes the record be read and compared again after the store has returned from a copy. */
  private noteEra(): void {
    const { era } = this.opts.store;
    if (this.version === null || storeVersions.eraOf(this.version) >= era) return;
    this.version = null;
    this.storedKeys = '';
    this.storedSharedVersion = -1;
  }

  private isDisconnectedReadDue(nowMs: number): boolean {
    const { isStewardConnected, incidents, isSteward } = this.opts;
    return (
      !isStewardConnected() &&
      !isSteward() &&
      incidents.size > 0 &&
      nowMs - this.readAtMs >= DISCONNECTED_READ_MS
    );
  }

  /** Whether this VM writes the record and its shared incidents differ from the stored ones. */
  private isChanged(): boolean {
    const { isStewardConnected, incidents, isSteward } = this.opts;
    if (!isSteward() && isStewardConnected()) return false;
    if (incidents.sharedVersion === this.storedSharedVersion) return false;
    const isSame = keysOf(this.incidentsToStore()) === this.storedKeys;
    if (isSame) this.storedSharedVersion = incidents.sharedVersion;
    return !isSame;
  }

  private incidentsToStore(): readonly AgedIncident[] {
    return [...this.opts.incidents.shared()]
      .sort((a, b) => a.ageMs - b.ageMs)
      .slice(0, MAX_STORED_INCIDENTS);
  }

  private async call(nowMs: number, make: () => Promise<void>): Promise<void> {
    this.calling = true;
    this.calledAtMs = nowMs;
    try {
      await make();
    } finally {
      this.calling = false;
    }
  }

  private async read(nowMs: number): Promise<void> {
    const answer = await this.opts.store.read(INCIDENTS_KEY);
    if (answer.type !== PlatformOutcome.ok) {
      this.opts.logger.debug('record-not-read', { reason: answer.reason });
      return;
    }
    this.hasRead = true;
    this.readAtMs = nowMs;
    this.version = answer.value?.version ?? 0;
    const record = recordSchema.safeParse(answer.value?.value ?? { incidents: [] });
    if (!record.success) this.opts.logger.warn('record-unreadable', { version: this.version });
    const stored = record.data?.incidents ?? [];
    this.storedKeys = keysOf(stored);
    this.storedSharedVersion = -1;
    const unixMs = this.opts.unixMs();
    this.opts.incidents.noteStored(
      stored.map(({ atUnixMs, ...incident }) => ({
        ...incident,
        ageMs: Math.max(0, unixMs - atUnixMs),
      })),
    );
  }

  private async write(): Promise<void> {
    const { incidents, logger, store, unixMs } = this.opts;
    const { sharedVersion } = incidents;
    const shared = this.incidentsToStore();
    const nowUnixMs = unixMs();
    const record = {
      incidents: shared.map(({ ageMs, ...incident }) => ({
        ...incident,
        atUnixMs: Math.round(nowUnixMs - ageMs),
      })),
    };
    const answer = await store.write(INCIDENTS_KEY, record, this.version ?? 0);
    if (answer.type !== PlatformOutcome.ok) {
      // Another VM wrote the record, or the answer was lost. The record must be read and merged
      // before the next write.
      logger.info('record-not-written', { outcome: answer.type });
      this.version = null;
      return;
    }
    this.version = answer.version;
    this.storedKeys = keysOf(shared);
    this.storedSharedVersion = sharedVersion;
  }
}
