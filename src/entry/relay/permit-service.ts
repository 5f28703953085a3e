/** The steward's side of throttling: issues permits and publishes the limits to the members. */
import { type PermitGrant, PermitIssuer, type Throttle } from '../../decisions/throttling/index.js';
import { permitRepeatMs } from './intervals.js';
import type { StoreWatcherTask } from './store-watcher.js';
import type { MessageLink } from './message-link.js';
import { type RelayMessageOf, RelayMessageType } from './messages.js';
import type { ThrottlingTask } from './throttling.js';

/** Number of repeat intervals for which a request for permits is valid. */
const VALID_REPEATS = 1.4;

/** An entry VM that is connected to the steward. */
export interface PermitMember {
  readonly link: Pick<MessageLink, 'send'>;
  /** Null until its first report. */
  readonly vm: string | null;
  /** The limits last sent to the member, by server. */
  readonly sentThrottles: Map<string, string>;
}

export interface PermitServiceOptions {
  readonly storeWatcher: StoreWatcherTask;
  readonly throttling: ThrottlingTask;
  readonly members: ReadonlySet<PermitMember>;
}

function keyOf({ bornMs, requestsPerS }: Throttle): string {
  return `${bornMs} ${requestsPerS}`;
}

export class PermitService {
  readonly issuer = new PermitIssuer();

  constructor(private readonly opts: PermitServiceOptions) {}

  /** Updates the limits, sends them to the members, and issues the permits that are due. */
  tick(nowMs: number): void {
    const { storeWatcher, throttling } = this.opts;
    const throttles = throttling.all();
    if (throttles.length === 0) return;
    const inForce = throttles.flatMap(({ serverId }) => {
      const server = storeWatcher.backends.get(serverId);
      const limit = server === undefined ? null : throttling.limitOf(server);
      return limit === null ? [] : [[serverId, limit] as const];
    });
    this.issuer.setLimits(nowMs, new Map(inForce));
    this.opts.members.forEach((member) => PermitService.sendThrottles(member, throttles));
    this.issuePermits(nowMs);
  }

  /** Adds the limits that a member observed, and publishes them. */
  handleThrottles(nowMs: number, member: PermitMember, message: RelayMessageOf<'throttles'>): void {
    const newer = this.opts.throttling.addReceived(message, member.vm ?? 'member');
    if (newer.length > 0) {
      member.link.send({ type: RelayMessageType.throttles, throttles: newer });
    }
    this.tick(nowMs);
  }

  handleRequest(
    nowMs: number,
    member: PermitMember,
    { serverId, needed, isProbe }: RelayMessageOf<'permit-request'>,
  ): void {
    if (member.vm === null) return;
    if (isProbe) {
      this.sendGrant(this.issuer.issueProbe(nowMs, member.vm, serverId));
      return;
    }
    const repeatMs = permitRepeatMs(this.opts.members.size, this.issuer.size);
    this.issuer.request(nowMs, member.vm, serverId, needed, repeatMs * VALID_REPEATS);
    const servedVms = this.issuePermits(nowMs);
    const intervalMs = this.issuer.intervalMs(serverId);
    if (servedVms.has(member.vm) || intervalMs === null) return;
    member.link.send({
      type: RelayMessageType.permits,
      serverId,
      permits: 0,
      intervalMs,
    });
  }

  handleReturn(nowMs: number, { serverId, permits }: RelayMessageOf<'permit-return'>): void {
    this.issuer.refund(nowMs, serverId, permits);
    this.issuePermits(nowMs);
  }

  /** Sends the permits that are due; returns the entry VMs that got any. */
  private issuePermits(nowMs: number): ReadonlySet<string> {
    const grants = this.issuer.issue(nowMs);
    grants.forEach((grant) => this.sendGrant(grant));
    return new Set(grants.map(({ vm }) => vm));
  }

  private sendGrant(grant: PermitGrant | null): void {
    if (grant === null) return;
    const { vm, serverId, permits, intervalMs } = grant;
    const member = [...this.opts.members].find((other) => other.vm === vm);
    if (member === undefined) return;
    member.link.send({ type: RelayMessageType.permits, serverId, permits, intervalMs });
  }

  private static sendThrottles(member: PermitMember, throttles: readonly Throttle[]): void {
    const changed = throttles.filter(
      (throttle) => member.sentThrottles.get(throttle.serverId) !== keyOf(throttle),
    );
    if (changed.length === 0) return;
    const message = { type: RelayMessageType.throttles, throttles: [...changed] };
    if (!member.link.send(message)) return;
    changed.forEach((throttle) => member.sentThrottles.set(throttle.serverId, keyOf(throttle)));
  }
}
