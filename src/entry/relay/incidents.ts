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
  isSegmentFingerprint,
  type RequestIdentity,
  type RunProgress,
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
  /** Whether a request is refused because of a segment of its prompt, not because of its own runs. */
  isPromptRefused(request: RequestIdentity): boolean;
  /** Whether a refused request runs nevertheless, to probe the segments of its prompt. */
  takeProbe(request: RequestIdentity): boolean;
  /** Time until a refused request may be served, ms. */
  retryAfterMs(request: RequestIdentity): number;
  /**
   * Records a run that was cut off, also if its caller had disconnected.
   * @param progress How far the run had come; null if it proves that its segments are sound.
   */
  noteCutOff(request: RequestIdentity, run: Run, progress: RunProgress | null): void;
  /** Records a run that completed. */
  noteCompleted(request: RequestIdentity): void;
  /** Records that the segments of a request's prompt are sound: a server writes a response to it. */
  noteSound(request: RequestIdentity): void;
  /**
   * Calls `onRefused` once a prompt segment of the request is refused.
   * @returns Function that ends the watch.
   */
  watch(request: RequestIdentity, onRefused: () => void): () => void;
}

/** A request in progress that is told when it is refused. */
interface Watch {
  readonly request: RequestIdentity;
  onRefused(): void;
}

export interface IncidentOptions {
  readonly storeWatcher: StoreWatcherTask;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Sends a message to the steward; false if it could not be sent. */
  send(message: RelayMessage): boolean;
  /** Whether this entry VM may probe refused segments: one of those that hear each other may. */
  mayProbe(): boolean;
}

function fieldsOf({ fingerprint, serverId, run }: Incident) {
  return { fingerprint: shortFingerprint(fingerprint), server: serverId, progress: run?.progress };
}

export class IncidentTask implements Task, Incidents, SharedIncidents {
  readonly name = 'incidents';

  private readonly table = new IncidentTable();

  private readonly watches = new Set<Watch>();

  /** Suspected segments, each with those that are suspected together with it, to log changes. */
  private readonly suspected = new Map<string, string>();

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
    return this.table.isRefused(this.opts.clock.steadyMs(), this.subjectsOf(request));
  }

  isPromptRefused({ segments }: RequestIdentity): boolean {
    return this.table.isRefused(this.opts.clock.steadyMs(), segments);
  }

  takeProbe(request: RequestIdentity): boolean {
    if (!this.opts.mayProbe()) return false;
    const isProbe = this.table.takeProbe(this.opts.clock.steadyMs(), this.subjectsOf(request));
    if (isProbe) this.opts.logger.info('segments-probed', { segments: request.segments });
    return isProbe;
  }

  retryAfterMs(request: RequestIdentity): number {
    return this.table.retryAfterMs(this.opts.clock.steadyMs(), this.subjectsOf(request));
  }

  watch(request: RequestIdentity, onRefused: () => void): () => void {
    const entry = { request, onRefused };
    if (request.segments.length > 0) this.watches.add(entry);
    return () => this.watches.delete(entry);
  }

  noteCutOff(request: RequestIdentity, { server }: Run, progress: RunProgress | null): void {
    // A draining server exits as planned: runs cut off there are no evidence against the request.
    if (this.opts.storeWatcher.backends.get(server.id)?.leaving === true) return;
    const { id: serverId, bornMs } = server;
    const segments = progress === null ? [] : request.segments;
    const run =
      progress === null ? undefined : { request: request.broad, segments: [...segments], progress };
    const added: readonly Incident[] = [
      ...this.fingerprintsOf(request).map((fingerprint) => ({ fingerprint, serverId, bornMs })),
      ...segments.map((fingerprint) => ({ fingerprint, serverId, bornMs, run })),
    ].filter((incident) => this.note(incident, 0, LOCAL));
    if (added.length === 0) return;
    const incidents = added.map((incident) => ({ ...incident, ageMs: 0 }));
    if (this.opts.send({ type: RelayMessageType.incidents, incidents })) return;
    added.forEach((incident) => this.opts.logger.warn('incident-not-told', fieldsOf(incident)));
  }

  noteCompleted(request: RequestIdentity): void {
    this.clearAndReport(this.subjectsOf(request));
  }

  noteSound({ segments }: RequestIdentity): void {
    this.clearAndReport(segments);
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
    const shared = fingerprints.filter((fingerprint) => this.table.isShared(fingerprint));
    this.clear(fingerprints);
    return shared;
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
    died
      .filter(({ fingerprint }) => this.table.isShared(fingerprint))
      .forEach((incident) => logger.info('incident-died', fieldsOf(incident)));
    [...died, ...cleared].forEach(({ fingerprint }) => this.updateSuspicion(fingerprint));
    [...this.suspected.keys()].forEach((fingerprint) => this.updateSuspicion(fingerprint));
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

  /** Fingerprints of a request and of the segments of its prompt. */
  private subjectsOf(request: RequestIdentity): readonly string[] {
    return [...this.fingerprintsOf(request), ...request.segments];
  }

  private clearAndReport(subjects: readonly string[]): void {
    const fingerprints = this.clear(subjects);
    if (fingerprints.length > 0) this.opts.send({ type: RelayMessageType.ranWhole, fingerprints });
  }

  /** Logs changes of the suspicion against a segment, and tells the requests in progress. */
  private updateSuspicion(fingerprint: string): void {
    if (!isSegmentFingerprint(fingerprint)) return;
    const nowMs = this.opts.clock.steadyMs();
    const suspected = this.table.suspectedWith(nowMs, fingerprint);
    const before = this.suspected.get(fingerprint) ?? '';
    if (suspected.join() === before) return;
    if (suspected.length === 0) {
      this.suspected.delete(fingerprint);
      this.opts.logger.warn('segment-accepted', { fingerprint });
      return;
    }
    this.suspected.set(fingerprint, suspected.join());
    this.opts.logger.warn('segment-refused', { fingerprint, together: suspected });
    this.opts.metrics.count('relay_segments_refused_total', {});
    [...this.watches]
      .filter(({ request }) => request.segments.includes(fingerprint) && this.isRefused(request))
      .forEach(({ onRefused }) => onRefused());
  }

  /** Clears the incidents of requests and segments; returns those that had any. */
  private clear(fingerprints: readonly string[]): string[] {
    const nowMs = this.opts.clock.steadyMs();
    const cleared = fingerprints.filter(
      (fingerprint) => this.table.noteCompleted(nowMs, fingerprint) > 0,
    );
    cleared.forEach((fingerprint) => {
      this.opts.logger.debug('request-cleared', { fingerprint: shortFingerprint(fingerprint) });
      this.updateSuspicion(fingerprint);
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
    const isLogged = source === LOCAL || this.table.isShared(incident.fingerprint);
    if (isLogged) logger.info('incident', fields);
    metrics.count('relay_incidents_total', { verdict: 'open' });
    this.updateSuspicion(incident.fingerprint);
    return true;
  }
}
