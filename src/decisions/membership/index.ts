/** Tracks by heartbeats which entry VMs are alive. */

/** State of an entry VM as sent in each heartbeat. */
export interface MemberState {
  readonly vm: string;
  readonly dataCentre: string;
  /** Address of its peer listener. */
  readonly address: string;
  /** Identifies the process; a restarted process has a higher value. */
  readonly incarnation: number;
  /** Revision of the settings tree that the VM has applied. */
  readonly revision: number;
  /** Whether the VM is draining before a planned stop. */
  readonly leaving: boolean;
  /** Fencing token of the VM's steward lease; 0 while the VM is not the steward. */
  readonly stewardEpoch: number;
  /** Whether the VM is the data centre's quota lender. */
  readonly lender: boolean;
}

/** Interval of heartbeats to members of the same data centre. */
export const LOCAL_HEARTBEAT_MS = 2_000;
/** Interval of heartbeats to members of other data centres. */
export const REMOTE_HEARTBEAT_MS = 10_000;
/**
 * Number of heartbeat intervals without a heartbeat after which a member is not considered alive.
 */
const MAX_MISSED_HEARTBEATS = 3.5;
/** The record of a member is removed after this time without a heartbeat. */
export const REMOVE_AFTER_MS = 60_000;

interface MemberRecord {
  readonly state: MemberState;
  readonly lastHeartbeatAtMs: number;
}

export class Membership {
  private readonly records = new Map<string, MemberRecord>();

  constructor(
    private readonly self: string,
    private readonly dataCentre: string,
  ) {}

  /** Records a heartbeat. Heartbeats from older processes of the same VM are ignored. */
  recordHeartbeat(nowMs: number, state: MemberState): void {
    if (state.vm === this.self) return;
    const known = this.records.get(state.vm);
    if (known !== undefined && known.state.incarnation > state.incarnation) return;
    this.records.set(state.vm, { state, lastHeartbeatAtMs: nowMs });
  }

  /** Records a compact heartbeat. Ignored if the full state of the sending process is unknown. */
  beat(nowMs: number, vm: string, incarnation: number, revision: number): void {
    const known = this.records.get(vm);
    if (known === undefined || known.state.incarnation !== incarnation) return;
    this.records.set(vm, { state: { ...known.state, revision }, lastHeartbeatAtMs: nowMs });
  }

  /** Removes a member that sent a goodbye message before it closed the connection. */
  remove(vm: string): void {
    this.records.delete(vm);
  }

  /** Members with a recent heartbeat, ordered by name. */
  liveMembers(nowMs: number): readonly MemberState[] {
    this.removeExpired(nowMs);
    return [...this.records.values()]
      .filter(
        ({ state, lastHeartbeatAtMs }) => nowMs - lastHeartbeatAtMs < this.livenessTimeoutMs(state),
      )
      .map(({ state }) => state)
      .sort((a, b) => (a.vm < b.vm ? -1 : 1));
  }

  private livenessTimeoutMs({ dataCentre }: MemberState): number {
    const intervalMs = dataCentre === this.dataCentre ? LOCAL_HEARTBEAT_MS : REMOTE_HEARTBEAT_MS;
    return intervalMs * MAX_MISSED_HEARTBEATS;
  }

  private removeExpired(nowMs: number): void {
    this.records.forEach(({ lastHeartbeatAtMs }, vm) => {
      if (nowMs - lastHeartbeatAtMs > REMOVE_AFTER_MS) this.records.delete(vm);
    });
  }
}

/** The steward among `members`; if several claim the role, the one with the highest epoch. */
export function stewardAmong(members: readonly MemberState[]): MemberState | null {
  return members
    .filter((state) => state.stewardEpoch > 0)
    .reduce<MemberState | null>(
      (best, state) => (best === null || state.stewardEpoch > best.stewardEpoch ? state : best),
      null,
    );
}
