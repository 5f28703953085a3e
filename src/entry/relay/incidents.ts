/**
 * Records incidents and shares them with the other entry VMs.
 *
 * An incident is a run of a request that was cut off at a server, possibly because the request
 * crashed the server.
 */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type AgedIncident,
  type Incident,
  IncidentTable,
  type RequestIdentity,
  MIN_SHARED_INCIDENTS,
  shortFingerprint,
} from '../../decisions/suspects/index.js';
import type { Run } from './fleet-view.js';
import type { StoreWatcherTask } from './store-watcher.js';
import type { SharedIncidents } from './incident-publisher.js';
import { type RelayMessage, type RelayMessageOf, RelayMessageType } from './messages.js';

/** Interval at which open incidents are checked against the list of servers, ms. */
const RESOLVE_MS = 200;
/** Age beyond which the list of servers is unconfirmed and may lack recent changes, ms. */
const MAX_LIST_AGE_MS = 2_500;

/** Logged as `toldBy` for incidents that were observed at this entry VM. */
const LOCAL = 'here';

/** The operations on incidents that an exchange needs for its request. */
export interface Incidents {
  isRefused(request: RequestIdentity): boolean;
  /** Time until a refused request may be served, ms. */
  retryAfterMs(request: RequestIdentity): number;
  /** Records a run that was cut off, also if its caller had disconnected. */
  noteCutOff(request: RequestIdentity, run: Run): void;
  /** Records a run that completed. */
  noteCompleted(request: RequestIdentity): void;
}

export interface IncidentOptions {
  readonly storeWatcher: StoreWatcherTask;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Sends a message to the steward; false if it could not be sent. */
  send(message: RelayMessage): boolean;
}

function fieldsOf({ fingerprint, serverId }: Incident) {
  return { fingerprint: shortFingerprint(fingerprint), server: serverId };
}

export class IncidentTask implements Task, Incidents, SharedIncidents {
  readonly name = 'incidents';

  private readonly table = new IncidentTable();

  /** Since when the list of servers has been confirmed without a gap. */
  private confirmedSinceMs: number;

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly opts: IncidentOptions) {
    this.confirmedSinceMs = opts.clock.steadyMs();
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.resolveIncidents(), RESOLVE_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
  }

  isRefused(request: RequestIdentity): boolean {
    return this.table.isRefused(this.opts.clock.steadyMs(), this.fingerprintsOf(request));
  }

  retryAfterMs(request: RequestIdentity): number {
    return this.table.retryAfterMs(this.opts.clock.steadyMs(), this.fingerprintsOf(request));
  }

  noteCutOff(request: RequestIdentity, { server }: Run): void {
    // A draining server exits as planned: runs cut off there are no evidence against the request.
    if (this.opts.storeWatcher.backends.get(server.id)?.leaving === true) return;
    const added = this.fingerprintsOf(request)
      .map((fingerprint) => ({ fingerprint, serverId: server.id, bornMs: server.bornMs }))
      .filter((incident) => this.note(incident, 0, LOCAL));
    if (added.length === 0) return;
    const incidents = added.map((incident) => ({ ...incident, ageMs: 0 }));
    if (this.opts.send({ type: RelayMessageType.incidents, incidents })) return;
    added.forEach((incident) => this.opts.logger.warn('incident-not-told', fieldsOf(incident)));
  }

  noteCompleted(request: RequestIdentity): void {
    const fingerprints = this.clear(this.fingerprintsOf(request), 1);
    if (fingerprints.length > 0) this.opts.send({ type: RelayMessageType.ranWhole, fingerprints });
  }

  get sharedVersion(): number {
    return this.table.sharedVersion;
  }

  shared(): readonly AgedIncident[] {
    return this.table.shared(this.opts.clock.steadyMs());
  }

  /** Number of recorded incidents. */
  get size(): number {
    return this.table.size;
  }

  /** Adds incidents that were read from the platform store. */
  noteStored(incidents: readonly AgedIncident[]): void {
    incidents.forEach(({ ageMs, ...incident }) => this.note(incident, ageMs, 'store'));
  }

  /** Sends all incidents to a newly connected steward, because it may not have received them. */
  sendAll(): void {
    const incidents = [...this.table.all(this.opts.clock.steadyMs())];
    if (incidents.length > 0) this.opts.send({ type: RelayMessageType.incidents, incidents });
  }

  /**
   * Adds incidents that another entry VM observed.
   * @returns Fingerprints of requests that completed at this VM after the incident. The sender must
   * clear them.
   */
  addReceived({ incidents }: RelayMessageOf<'incidents'>, source: string): string[] {
    incidents.forEach(({ ageMs, ...incident }) => this.note(incident, ageMs, source));
    const nowMs = this.opts.clock.steadyMs();
    const completed = incidents.filter(({ fingerprint, ageMs }) =>
      this.table.hasCompletedSince(nowMs, fingerprint, ageMs),
    );
    return [...new Set(completed.map(({ fingerprint }) => fingerprint))];
  }

  /** Adds the steward's incidents; reports back the requests that completed at this VM since. */
  handleStewardIncidents(message: RelayMessageOf<'incidents'>): void {
    const fingerprints = this.addReceived(message, 'steward');
    if (fingerprints.length > 0) this.opts.send({ type: RelayMessageType.ranWhole, fingerprints });
  }

  /**
   * Clears the incidents of requests that completed at another entry VM.
   * @returns Fingerprints whose incidents had been shared with other VMs.
   */
  clearCompleted({ fingerprints }: RelayMessageOf<'ran-whole'>): string[] {
    return this.clear(fingerprints, MIN_SHARED_INCIDENTS);
  }

  /** Resolves open incidents with the list of servers, which shows whether a server crashed. */
  resolveIncidents(): void {
    const { clock, storeWatcher, logger, metrics } = this.opts;
    const nowMs = clock.steadyMs();
    const { backends } = storeWatcher.freshness();
    if (backends === null) return;
    if (backends.ageMs > MAX_LIST_AGE_MS) this.confirmedSinceMs = nowMs;
    const { died, cleared } = this.table.resolve(nowMs, {
      servers: storeWatcher.backends,
      missing: storeWatcher.missing,
      confirmedAtMs: nowMs - backends.ageMs,
      confirmedSinceMs: this.confirmedSinceMs,
    });
    died.forEach((incident) => logger.info('incident-died', fieldsOf(incident)));
    cleared.forEach((incident) => logger.debug('incident-cleared', fieldsOf(incident)));
    metrics.count('relay_incidents_total', { verdict: 'died' }, died.length);
    metrics.count('relay_incidents_total', { verdict: 'cleared' }, cleared.length);
  }

  /**
   * Fingerprints under which incidents of a request are recorded and looked up. The broad
   * fingerprint is always included. The exact one is added once a request with the same broad
   * fingerprint has completed: the broad one then also covers harmless requests.
   */
  private fingerprintsOf(request: RequestIdentity): readonly string[] {
    const { broad } = request;
    return this.table.ranWhole(broad) ? [broad, request.exact] : [broad];
  }

  /** Clears the incidents of requests; returns requests that had at least `minCount` of them. */
  private clear(fingerprints: readonly string[], minCount: number): string[] {
    const nowMs = this.opts.clock.steadyMs();
    const cleared = fingerprints.filter(
      (fingerprint) => this.table.noteCompleted(nowMs, fingerprint) >= minCount,
    );
    cleared.forEach((fingerprint) => {
      this.opts.logger.debug('request-cleared', { fingerprint: shortFingerprint(fingerprint) });
    });
    return cleared;
  }

  /** Adds an incident to the table; false if it was recorded or cleared already. */
  private note(incident: Incident, ageMs: number, source: string): boolean {
    const { clock, logger, metrics } = this.opts;
    const nowMs = clock.steadyMs();
    if (!this.table.note(nowMs, incident, ageMs)) return false;
    const incidents = this.table.count(nowMs, incident.fingerprint);
    const fields = { ...fieldsOf(incident), toldBy: source, incidents };
    if (source === LOCAL || incidents >= MIN_SHARED_INCIDENTS) logger.info('incident', fields);
    metrics.count('relay_incidents_total', { verdict: 'open' });
    return true;
  }
}
