/** Sends the plan to members that can't fetch it from the platform store. */
import { SendPriority } from '../../decisions/message-pacing/index.js';
import type { ControlTraffic } from './control-traffic.js';
import { type RelayMessageOf, RelayMessageType } from './messages.js';
import { SharedMessage } from './packed-messages.js';
import type { Member } from './steward-member.js';
import type { StoreWatcherTask } from './store-watcher.js';

/** Minimum time between two plans to a member, ms: its next report shows whether it has the plan. */
const PLAN_PAUSE_MS = 500;

export interface PlanUpdatesOptions {
  readonly storeWatcher: Pick<StoreWatcherTask, 'planVersion' | 'rawPlan'>;
  readonly traffic: Pick<ControlTraffic, 'allows'>;
}

export class PlanUpdates {
  /** The plan as it was last sent: it is encoded and deflated once for all members. */
  private shared: { readonly plan: unknown; readonly message: SharedMessage } | null = null;

  private readonly sentAtMs = new WeakMap<Member, number>();

  constructor(private readonly opts: PlanUpdatesOptions) {}

  /**
   * Sends the plan to a member whose reports show that it can't fetch it. The plan has the priority of
   * changes, as there may be no budget for full lists for seconds: without the plan, a member can't
   * confirm that a customer's key is still valid, and rejects the customer's requests.
   */
  sendIfBehind(nowMs: number, member: Member, report: RelayMessageOf<'report'>): void {
    const { storeWatcher, traffic } = this.opts;
    if (!member.beliefs.needsPlan(report, storeWatcher.planVersion)) return;
    if (nowMs - (this.sentAtMs.get(member) ?? -Infinity) < PLAN_PAUSE_MS) return;
    if (!traffic.allows(nowMs, member, SendPriority.changes)) return;
    if (member.link.sendShared(this.message())) this.sentAtMs.set(member, nowMs);
  }

  private message(): SharedMessage {
    const plan = this.opts.storeWatcher.rawPlan;
    if (this.shared !== null && this.shared.plan === plan) return this.shared.message;
    const message = new SharedMessage({ type: RelayMessageType.plan, value: plan });
    this.shared = { plan, message };
    return message;
  }
}
