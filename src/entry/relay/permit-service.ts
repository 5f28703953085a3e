/** The steward's side of throttling: issues permits and publishes the limits to the members. */
import type { SharedCold } from '../../decisions/cold-servers/index.js';
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

/** Change of the time for which a server stays cold that is sent, ms: entries are seconds apart. */
const MIN_COLD_CHANGE_MS = 300;

/** When a server is no longer cold, as a member was last told. */
interface SentCold {
  readonly bornMs: number;
  readonly untilMs: number;
}

/** Whether a member does not know the time for which a server stays cold. */
function isNews(
  nowMs: number,
  { serverId, bornMs, forMs }: SharedCold,
  sent: ReadonlyMap<string, SentCold>,
): boolean {
  const before = sent.get(serverId);
  if (before?.bornMs !== bornMs) return true;
  return Math.abs(nowMs + forMs - Math.max(nowMs, before.untilMs)) > MIN_COLD_CHANGE_MS;
}

export class PermitService {
  readonly issuer = new PermitIssuer();

  private readonly sentCold = new WeakMap<PermitMember, Map<string, SentCold>>();

  constructor(private readonly opts: PermitServiceOptions) {}

  /** Updates the limits, sends them to the members, and issues the permits that are due. */
  tick(nowMs: number): void {
    const { storeWatcher, throttling } = this.opts;
    const throttles = throttling.all();
    const cold = throttling.coldServers();
    if (throttles.length === 0 && cold.length === 0 && this.issuer.size === 0) return;
    const ids = new Set([...throttles, ...cold].map(({ serverId }) => serverId));
    const inForce = [...ids].flatMap((serverId) => {
      const server = storeWatcher.backends.get(serverId);
      const limit = server === undefined ? null : throttling.limitOf(server);
      return limit === null ? [] : [[serverId, limit] as const];
    });
    this.issuer.setLimits(nowMs, new Map(inForce));
    this.opts.members.forEach((member) => this.sendLimits(nowMs, member, throttles, cold));
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

  private sendLimits(
    nowMs: number,
    member: PermitMember,
    throttles: readonly Throttle[],
    cold: readonly SharedCold[],
  ): void {
    const changed = throttles.filter(
      (throttle) => member.sentThrottles.get(throttle.serverId) !== keyOf(throttle),
    );
    const sentCold = this.sentCold.get(member) ?? new Map<string, SentCold>();
    this.sentCold.set(member, sentCold);
    const changedCold = cold.filter((server) => isNews(nowMs, server, sentCold));
    if (changed.length === 0 && changedCold.length === 0) return;
    const message = {
      type: RelayMessageType.throttles,
      throttles: [...changed],
      cold: changedCold.map(({ serverId, bornMs, forMs }) => ({ serverId, bornMs, forMs })),
    };
    if (!member.link.send(message)) return;
    changed.forEach((throttle) => member.sentThrottles.set(throttle.serverId, keyOf(throttle)));
    changedCold.forEach(({ serverId, bornMs, forMs }) =>
      sentCold.set(serverId, { bornMs, untilMs: nowMs + forMs }),
    );
  }
}
