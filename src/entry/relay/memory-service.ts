/** The steward's side of the memory of servers: answers requests for permits. */
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { MemoryLedger } from '../../decisions/server-memory/ledger.js';
import type { MessageLink } from './message-link.js';
import { type RelayMessageOf, RelayMessageType } from './messages.js';
import { tokensByServer } from './usage-tracker.js';

/** Time at the beginning of a term in which no permits are issued, ms: members have yet to report. */
const SETTLING_MS = 500;

/** An entry VM that is connected to the steward. */
export interface MemoryMember {
  readonly link: Pick<MessageLink, 'send'>;
  /** Null until its first report. */
  readonly report: RelayMessageOf<'report'> | null;
}

export interface MemoryServiceOptions {
  readonly members: ReadonlySet<MemoryMember>;
  servers(): ReadonlyMap<string, Pick<BackendServer, 'service'>>;
  /** Memory of each server of a service, in tokens; 0 if it is unknown. */
  memoryTokens(service: string): number;
}

export class MemoryService {
  private readonly ledger = new MemoryLedger<MemoryMember>();

  constructor(
    private readonly startedAtMs: number,
    private readonly opts: MemoryServiceOptions,
  ) {}

  handleReport(member: MemoryMember, { memorySeen = 0 }: RelayMessageOf<'report'>): void {
    this.ledger.noteReport(member, memorySeen);
  }

  handleAsk(nowMs: number, member: MemoryMember, ask: RelayMessageOf<'memory-ask'>): void {
    const { askId, serverId, tokens } = ask;
    const isGranted = this.isGranted(nowMs, member, ask);
    const { memoryReply: type } = RelayMessageType;
    member.link.send({ type, askId, serverId, tokens, isGranted });
  }

  private isGranted(
    nowMs: number,
    member: MemoryMember,
    { askId, serverId, tokens }: RelayMessageOf<'memory-ask'>,
  ): boolean {
    const server = this.opts.servers().get(serverId);
    if (server === undefined || nowMs - this.startedAtMs < SETTLING_MS) return false;
    // Computed from the reports that `noteReport` has seen: the planner's sums may be older.
    const reports = [...this.opts.members].flatMap(({ report }) => report ?? []);
    const usedTokens = tokensByServer(reports).get(serverId) ?? 0;
    const capacityTokens = this.opts.memoryTokens(server.service);
    const request = { member, askId, serverId, tokens };
    return this.ledger.issue(nowMs, request, capacityTokens, usedTokens);
  }
}
