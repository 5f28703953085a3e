/**
 * Issues permits for requests that could exceed a server's memory if several entry VMs sent them at once.
 * A permit counts until a report of its VM, sent after the permit arrived, tells whether it was used.
 */
import { fits } from './index.js';

/** Time after which a permit counts no longer, ms; reports arrive several times a second. */
const PERMIT_TTL_MS = 3_000;

export interface MemoryRequest<M> {
  /** Connection of the entry VM. */
  readonly member: M;
  /** Rises with each request of the entry VM. */
  readonly askId: number;
  readonly serverId: string;
  readonly tokens: number;
}

interface Permit<M> extends MemoryRequest<M> {
  readonly atMs: number;
}

export class MemoryLedger<M> {
  private permits: readonly Permit<M>[] = [];

  /**
   * Whether the request may be sent.
   * @param usedTokens Tokens of the running requests that all entry VMs have reported.
   */
  issue(
    nowMs: number,
    request: MemoryRequest<M>,
    capacityTokens: number,
    usedTokens: number,
  ): boolean {
    this.permits = this.permits.filter(({ atMs }) => nowMs - atMs < PERMIT_TTL_MS);
    const issuedTokens = this.permits
      .filter(({ serverId }) => serverId === request.serverId)
      .reduce((sum, { tokens }) => sum + tokens, 0);
    const state = { capacityTokens, usedTokens: usedTokens + issuedTokens, sharers: 1 };
    if (!fits(state, request.tokens)) return false;
    this.permits = [...this.permits, { ...request, atMs: nowMs }];
    return true;
  }

  /**
   * Drops permits that a report covers.
   * @param seenAskId Highest request whose answer the entry VM had handled before its report.
   */
  noteReport(member: M, seenAskId: number): void {
    this.permits = this.permits.filter(
      (permit) => permit.member !== member || permit.askId > seenAskId,
    );
  }
}
