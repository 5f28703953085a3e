/** What this entry VM knows of requests that servers may have died under, and tells the others. */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';
import {
  type AgedIncident,
  type Incident,
  IncidentTable,
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

/** What an exchange asks and tells of its request. */
export interface Incidents {
  isRefused(fingerprint: string): boolean;
  /** Time until a refused request may be served, ms. */
  retryAfterMs(fingerprint: string): number;
  /** A run broke off, or its caller left it. */
  noteBreak(fingerprint: string, run: Run): void;
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

  isRefused(fingerprint: string): boolean {
    return this.table.isRefused(this.opts.clock.steadyMs(), [fingerprint]);
  }

  retryAfterMs(fingerprint: string): number {
    return this.table.retryAfterMs(this.opts.clock.steadyMs(), [fingerprint]);
  }

  noteBreak(fingerprint: string, { server }: Run): void {
    const incident = { fingerprint, serverId: server.id, bornMs: server.bornMs };
    // A server that leaves ends by plan: what it breaks off says nothing of the request.
    if (this.opts.follower.backends.get(server.id)?.leaving === true) return;
    if (!this.note(incident, 0, 'here')) return;
    const incidents = [{ ...incident, ageMs: 0 }];
    const isTold = this.opts.send({ type: RelayMessageType.incidents, incidents });
    if (!isTold) this.opts.logger.warn('incident-not-told', fieldsOf(incident));
  }

  get version(): number {
    return this.table.version;
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

  /** Takes in what another entry VM saw. */
  take({ incidents }: RelayMessageOf<'incidents'>, toldBy: string): void {
    incidents.forEach(({ ageMs, ...incident }) => this.note(incident, ageMs, toldBy));
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

  private note(incident: Incident, ageMs: number, toldBy: string): boolean {
    const { clock, logger, metrics } = this.opts;
    const nowMs = clock.steadyMs();
    if (!this.table.note(nowMs, incident, ageMs)) return false;
    const incidents = this.table.count(nowMs, incident.fingerprint);
    logger.info('incident', { ...fieldsOf(incident), toldBy, incidents });
    metrics.count('relay_incidents_total', { verdict: 'open' });
    return true;
  }
}
