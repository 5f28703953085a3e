/** How the VMs of the replay pace and encode their messages. */
import type { StewardState } from '../../src/decisions/leases/index.js';
import * as pacing from '../../src/decisions/message-pacing/index.js';
import { messageIntervalMs } from '../../src/entry/relay/intervals.js';
import * as messages from './control-messages.js';

/** Kinds of the messages of a steward. */
export const Kind = pacing.SendPriority;
export type Kind = pacing.SendPriority;

export interface ControlRules {
  /** Whether any message shows a member that its steward is there, not only views. */
  readonly isPaced: boolean;
  readonly listBytes: number;
  /** Longest time between two messages to a member, ms. */
  readonly keepAliveMs: number;
  /** Shortest time between two renewed leases to a member that is not the successor, ms. */
  readonly leasePauseMs: number;
  acquireWaitMs(leaseMs: number): number;
  /** What a steward knows of this VM when it chooses its successor. */
  candidate(nowMs: number): object;
  noteStoreCall(nowMs: number, isAnswered: boolean): void;
  stewardState(): StewardState;
  /** As a member: what the steward announces. */
  noteWelcome(stewardMbps: number): void;
  noteSteward(members: number, stewardMbps: number, bestMbps: number): void;
  immediateGapMs(): number;
  reportIntervalMs(): number;
  hasShares(sinceMs: number): boolean;
  reportBytes(hasShares: boolean): number;
  /** As a steward. */
  setMembers(members: number): void;
  viewIntervalMs(): number;
  grantBytes(hasShares: boolean): number;
  leaseBytes(members: number): number;
  viewBytes(hasChanges: boolean, peers: number): number;
  allows(nowMs: number, kind: Kind): boolean;
  noteSent(nowMs: number, kind: Kind, bytes: number): void;
}

const REPORT_BYTES = messages.sizeOf(messages.report(1));
const GRANT_BYTES = messages.sizeOf(messages.GRANT);
const IMMEDIATE_GAP_MS = 20;
const LIST_BYTES =
  messages.sizeOf(messages.SERVER_LIST) + messages.sizeOf(messages.view(63, 0, 63));

/** The rules without any knowledge of link rates. */
export class UnpacedRules implements ControlRules {
  readonly isPaced: boolean = false;

  readonly listBytes: number = LIST_BYTES;

  readonly keepAliveMs: number = 250;

  readonly leasePauseMs: number = 0;

  protected members = 1;

  acquireWaitMs(_leaseMs: number): number {
    return 0;
  }

  candidate(_nowMs: number): object {
    return {};
  }

  noteStoreCall(_nowMs: number, _isAnswered: boolean): void {}

  stewardState(): StewardState {
    return { partitions: 0, isStoreLost: false, hasSlowLink: false };
  }

  noteWelcome(_stewardMbps: number): void {}

  noteSteward(members: number, _stewardMbps: number, _bestMbps: number): void {
    this.members = members;
  }

  immediateGapMs(): number {
    return IMMEDIATE_GAP_MS;
  }

  reportIntervalMs(): number {
    return messageIntervalMs(this.members);
  }

  hasShares(_sinceMs: number): boolean {
    return true;
  }

  reportBytes(_hasShares: boolean): number {
    return REPORT_BYTES;
  }

  setMembers(members: number): void {
    this.members = members;
  }

  viewIntervalMs(): number {
    return messageIntervalMs(this.members);
  }

  grantBytes(_hasShares: boolean): number {
    return GRANT_BYTES;
  }

  leaseBytes(members: number): number {
    return messages.sizeOf(messages.lease(members));
  }

  viewBytes(hasChanges: boolean, peers: number): number {
    return messages.sizeOf(messages.view(hasChanges ? 3 : 0, peers, hasChanges ? 20 : 0));
  }

  allows(_nowMs: number, _kind: Kind): boolean {
    return true;
  }

  noteSent(_nowMs: number, _kind: Kind, _bytes: number): void {}
}

const PACKED_REPORT_BYTES = messages.packedSizeOf(messages.report(1));
const PACKED_LEAN_REPORT_BYTES = messages.packedSizeOf(messages.report(1, false));
const LEAN_REPORT_BYTES = messages.sizeOf(messages.report(1, false));
const PACKED_GRANT_BYTES = messages.packedSizeOf(messages.GRANT);
const CONFIRMATION_BYTES = messages.sizeOf(messages.CONFIRMATION);
const SHORT_LEASE_BYTES = messages.sizeOf(messages.lease(0));
const PACKED_LIST_BYTES =
  messages.packedSizeOf(messages.SERVER_LIST) + messages.packedSizeOf(messages.view(63, 0, 63));
const CHANGED_VIEW = messages.view(3, 0, 20);
const STORE_AGE_LIMIT_MS = 1_000;

/** The rules of VMs that know their link rates. */
export class PacedRules extends UnpacedRules {
  override readonly isPaced = true;

  override readonly listBytes = PACKED_LIST_BYTES;

  override readonly keepAliveMs: number;

  override readonly leasePauseMs: number;

  private readonly reports = new pacing.ReportPacer();

  private readonly budget: pacing.SendBudget;

  private bytesPerS: number | null = null;

  private bestMbps: number | undefined;

  private hasView = false;

  private storeAnsweredAtMs = -Infinity;

  private isStoreLost = false;

  constructor(private readonly mbps: number) {
    super();
    this.keepAliveMs = pacing.isSlowLink(mbps) ? 400 : 250;
    this.leasePauseMs = pacing.isSlowLink(mbps) ? 500 : 0;
    this.budget = new pacing.SendBudget(pacing.controlBytesPerS(mbps));
  }

  override acquireWaitMs(leaseMs: number): number {
    return pacing.acquireWaitMs(this.mbps, this.bestMbps, leaseMs);
  }

  override candidate(nowMs: number): object {
    return {
      hasSlowLink: pacing.isSlowLink(this.mbps),
      reachesStore: nowMs - this.storeAnsweredAtMs < STORE_AGE_LIMIT_MS,
    };
  }

  override noteStoreCall(nowMs: number, isAnswered: boolean): void {
    this.isStoreLost = !isAnswered;
    if (isAnswered) this.storeAnsweredAtMs = nowMs;
  }

  override stewardState(): StewardState {
    const hasSlowLink = pacing.isSlowLink(this.mbps);
    return { partitions: 0, isStoreLost: this.isStoreLost, hasSlowLink };
  }

  override noteWelcome(stewardMbps: number): void {
    this.bytesPerS = pacing.controlBytesPerS(stewardMbps);
    this.hasView = false;
  }

  override noteSteward(members: number, stewardMbps: number, bestMbps: number): void {
    super.noteSteward(members, stewardMbps, bestMbps);
    this.bytesPerS = pacing.controlBytesPerS(stewardMbps);
    this.bestMbps = bestMbps;
    this.hasView = true;
  }

  private get load(): pacing.ReportLoad {
    const { bytesPerS } = this;
    const members = this.hasView ? this.members : null;
    return { members, baseIntervalMs: messageIntervalMs(this.members), bytesPerS };
  }

  override immediateGapMs(): number {
    return this.reports.immediateGapMs(this.load);
  }

  override reportIntervalMs(): number {
    return this.reports.intervalMs(this.load);
  }

  override hasShares(sinceMs: number): boolean {
    const shares = new pacing.SharesPacer();
    shares.noteSent(0, []);
    return shares.isDue(sinceMs, this.reportIntervalMs(), []);
  }

  override reportBytes(hasShares: boolean): number {
    if (!pacing.isSlowBudget(this.bytesPerS))
      return hasShares ? super.reportBytes(true) : LEAN_REPORT_BYTES;
    const bytes = hasShares ? PACKED_REPORT_BYTES : PACKED_LEAN_REPORT_BYTES;
    this.reports.noteSent(bytes);
    return bytes;
  }

  override grantBytes(hasShares: boolean): number {
    if (!hasShares) return CONFIRMATION_BYTES;
    return pacing.isSlowLink(this.mbps) ? PACKED_GRANT_BYTES : super.grantBytes(true);
  }

  override leaseBytes(_members: number): number {
    return SHORT_LEASE_BYTES;
  }

  override viewBytes(hasChanges: boolean, peers: number): number {
    const view = peers > 0 ? messages.view(0, peers) : CHANGED_VIEW;
    if (peers === 0 && !hasChanges) return super.viewBytes(false, 0);
    const isPacked = peers > 0 || pacing.isSlowLink(this.mbps);
    return isPacked ? messages.packedSizeOf(view) : messages.sizeOf(view);
  }

  override allows(nowMs: number, kind: Kind): boolean {
    return this.budget.allows(nowMs, kind);
  }

  override noteSent(nowMs: number, _kind: Kind, bytes: number): void {
    this.budget.noteSent(nowMs, bytes);
  }
}
