/** Builds the messages with the steward's lease. */
import type { SentLease } from '../../decisions/leases/index.js';
import { type RelayMessage, RelayMessageType } from './messages.js';
import type { Member } from './steward-member.js';

/** The lease for a member, with the term in which the member may take over if it is the successor. */
export function leaseMessageFor(
  member: Pick<Member, 'vm' | 'report' | 'reportedAtMs' | 'link'>,
  held: SentLease,
  isGivenUp: boolean,
  nowMs: number,
): RelayMessage {
  const { lease, leftMs } = held;
  const { vm, report, reportedAtMs, link } = member;
  const isSuccessor = vm !== null && lease.heir?.vm === vm;
  const type = RelayMessageType.lease;
  // Only the successor takes over without reading the stored lease. The note has an entry for each
  // member; without it, the message has the same size in fleets of any size. Null marks it as unknown.
  if (!isSuccessor && link.understands(RelayMessageType.confirm))
    return { type, ...held, lease: { ...lease, note: null, noteDetails: undefined }, isGivenUp };
  if (!isSuccessor || report === null) return { type, ...held, isGivenUp };
  // The term counts from the send time of the successor's report: network delay only shortens it.
  const untilMs = report.clockMs + leftMs + (nowMs - reportedAtMs);
  return { type, ...held, heirTerm: { fromMs: report.clockMs, untilMs }, isGivenUp };
}
