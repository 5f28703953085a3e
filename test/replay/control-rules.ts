/** How the VMs of the replay pace and encode their messages. */
import { messageIntervalMs } from '../../src/entry/relay/intervals.js';
import * as messages from './control-messages.js';

/** Kinds of the messages of a steward, the most important first. */
export const Kind = { first: 'first', changes: 'changes', lists: 'lists' } as const;
export type Kind = (typeof Kind)[keyof typeof Kind];

export interface ControlRules {
  readonly listBytes: number;
  acquireWaitMs(leaseMs: number): number;
  /** What a steward knows of this VM when it chooses its successor. */
  candidate(nowMs: number): object;
  noteStoreCall(nowMs: number, isAnswered: boolean): void;
  /** As a member: what the steward announces. */
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
  readonly listBytes: number = LIST_BYTES;

  protected members = 1;

  acquireWaitMs(_leaseMs: number): number {
    return 0;
  }

  candidate(_nowMs: number): object {
    return {};
  }

  noteStoreCall(_nowMs: number, _isAnswered: boolean): void {}

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
