/** What this entry VM knows of requests that servers may have died under, and tells the others. */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type AgedIncident,
  type Incident,
  IncidentTable,
  type RequestIdentity,
  SHARED_FROM,
  shortFingerprint,
} from '../../decisions/suspects/index.js';
import type { Run } from './fleet-view.js';
import type { FollowerTask } from './follower.js';
import type { SharedIncidents } from './incident-teller.js';
import { type RelayMessage, type RelayMessageOf, RelayMessageType } from './messages.js';

/** The list of servers is held against open incidents this often, ms. */
const JUDGE_MS = 200;
/** A list that was not confirmed for this long may lack what happened since, ms. */
const LIST_GAP_MS = 2_500;

/** Who told of an incident that was seen at this entry VM. */
const HERE = 'here';

/** What an exchange asks and tells of its request. */
export interface Incidents {
  isRefused(request: RequestIdentity): boolean;
  /** Time until a refused request may be served, ms. */
  retryAfterMs(request: RequestIdentity): number;
  /** A run broke off, or its caller left it. */
  noteBreak(request: RequestIdentity, run: Run): void;
  /** A run came to its end. */
  noteWhole(request: RequestIdentity): void;
}

export interface IncidentOptions {
  readonly follower: FollowerTask;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Tells the steward; false where none is heard. */
  send(message: RelayMessage): boolean;
}

function fieldsOf({ fingerprint, serverId }: Incident) {
  return { fingerprint: shortFingerprint(fingerprint), server: serverId };
}

export class IncidentTask implements Task, Incidents, SharedIncidents {
  readonly name = 'incidents';

  private readonly table = new IncidentTable();

  private steadySinceMs: number;

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly opts: IncidentOptions) {
    this.steadySinceMs = opts.clock.steadyMs();
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.judge(), JUDGE_MS);
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

  noteBreak(request: RequestIdentity, { server }: Run): void {
    // A server that leaves ends by plan: what it breaks off says nothing of the request.
    if (this.opts.follower.backends.get(server.id)?.leaving === true) return;
    const seen = this.fingerprintsOf(request)
      .map((fingerprint) => ({ fingerprint, serverId: server.id, bornMs: server.bornMs }))
      .filter((incident) => this.note(incident, 0, HERE));
    if (seen.length === 0) return;
    const incidents = seen.map((incident) => ({ ...incident, ageMs: 0 }));
    if (this.opts.send({ type: RelayMessageType.incidents, incidents })) return;
    seen.forEach((incident) => this.opts.logger.warn('incident-not-told', fieldsOf(incident)));
  }

  noteWhole(request: RequestIdentity): void {
    const fingerprints = this.clear(this.fingerprintsOf(request), 1);
    if (fingerprints.length > 0) this.opts.send({ type: RelayMessageType.ranWhole, fingerprints });
  }

  get sharedVersion(): number {
    return this.table.sharedVersion;
  }

  shared(): readonly AgedIncident[] {
    return this.table.shared(this.opts.clock.steadyMs());
  }

  get size(): number {
    return this.table.size;
  }

  /** Takes in what the platform's store keeps. */
  noteStored(incidents: readonly AgedIncident[]): void {
    incidents.forEach(({ ageMs, ...incident }) => this.note(incident, ageMs, 'store'));
  }

  /** Tells a steward that has just been reached all that is known here: the one before may be gone. */
  introduce(): void {
    const incidents = [...this.table.all(this.opts.clock.steadyMs())];
    if (incidents.length > 0) this.opts.send({ type: RelayMessageType.incidents, incidents });
  }

  /**
   * Takes in what another entry VM saw.
   * @returns Fingerprints that ran to their end here since, which the other does not know.
   */
  take({ incidents }: RelayMessageOf<'incidents'>, toldBy: string): string[] {
    incidents.forEach(({ ageMs, ...incident }) => this.note(incident, ageMs, toldBy));
    const nowMs = this.opts.clock.steadyMs();
    const refuted = incidents.filter(({ fingerprint, ageMs }) =>
      this.table.ranWholeSince(nowMs, fingerprint, ageMs),
    );
    return [...new Set(refuted.map(({ fingerprint }) => fingerprint))];
  }

  /** Takes in what the steward tells, and contradicts it where a request ran to its end here. */
  answer(message: RelayMessageOf<'incidents'>): void {
    const fingerprints = this.take(message, 'steward');
    if (fingerprints.length > 0) this.opts.send({ type: RelayMessageType.ranWhole, fingerprints });
  }

  /**
   * Takes in which requests ran to their end elsewhere.
   * @returns Those that others have been told to suspect.
   */
  takeWhole({ fingerprints }: RelayMessageOf<'ran-whole'>): string[] {
    return this.clear(fingerprints, SHARED_FROM);
  }

  /** Holds the list of servers against open incidents. */
  judge(): void {
    const { clock, follower, logger, metrics } = this.opts;
    const nowMs = clock.steadyMs();
    const { backends } = follower.confirmed();
    if (backends === null) return;
    if (backends.ageMs > LIST_GAP_MS) this.steadySinceMs = nowMs;
    const { died, cleared } = this.table.judge(nowMs, {
      servers: follower.backends,
      missing: follower.missing,
      confirmedAtMs: nowMs - backends.ageMs,
      steadySinceMs: this.steadySinceMs,
    });
    died.forEach((incident) => logger.info('incident-died', fieldsOf(incident)));
    cleared.forEach((incident) => logger.debug('incident-cleared', fieldsOf(incident)));
    metrics.count('relay_incidents_total', { verdict: 'died' }, died.length);
    metrics.count('relay_incidents_total', { verdict: 'cleared' }, cleared.length);
  }

  /** The exact fingerprint counts only where the broad one stands for sound requests too. */
  private fingerprintsOf(request: RequestIdentity): readonly string[] {
    const { broad } = request;
    return this.table.ranWhole(broad) ? [broad, request.exact] : [broad];
  }

  /** Notes that requests ran to their end; returns those that had so many incidents. */
  private clear(fingerprints: readonly string[], atLeast: number): string[] {
    const nowMs = this.opts.clock.steadyMs();
    const cleared = fingerprints.filter((one) => this.table.noteWhole(nowMs, one) >= atLeast);
    cleared.forEach((fingerprint) => {
      this.opts.logger.debug('request-cleared', { fingerprint: shortFingerprint(fingerprint) });
    });
    return cleared;
  }

  private note(incident: Incident, ageMs: number, toldBy: string): boolean {
    const { clock, logger, metrics } = this.opts;
    const nowMs = clock.steadyMs();
    if (!this.table.note(nowMs, incident, ageMs)) return false;
    const incidents = this.table.count(nowMs, incident.fingerprint);
    const fields = { ...fieldsOf(incident), toldBy, incidents };
    if (toldBy === HERE || incidents >= SHARED_FROM) logger.info('incident', fields);
    metrics.count('relay_incidents_total', { verdict: 'open' });
    return true;
  }
}
