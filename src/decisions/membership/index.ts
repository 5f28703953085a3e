/** Which entry VMs are alive, by the heartbeats heard from them. */

/** What an entry VM says of itself in each heartbeat. */
export interface MemberState {
  readonly vm: string;
  readonly dataCentre: string;
  /** Address of its peer listener. */
  readonly address: string;
  /** Tells a restarted process from the one before. */
  readonly incarnation: number;
  /** Revision of the settings tree that it has applied. */
  readonly revision: number;
  readonly leaving: boolean;
  /** Fencing number of its steward lease; 0 while it is not the steward. */
  readonly stewardEpoch: number;
  /** Whether it lends the data centre's share of the customers' rates. */
  readonly lender: boolean;
}

/** Time between heartbeats to members of the same data centre. */
export const NEAR_HEARTBEAT_MS = 2_000;
/** Time between heartbeats to members of other data centres. */
export const FAR_HEARTBEAT_MS = 10_000;
/** A member is not counted on after this many heartbeats were missed. */
const MISSED_HEARTBEATS = 3.5;
/** A member that is silent for longer is forgotten. */
export const FORGET_MS = 60_000;

interface Record {
  readonly state: MemberState;
  readonly heardAtMs: number;
}

export class Membership {
  private readonly records = new Map<string, Record>();

  constructor(
    private readonly self: string,
    private readonly dataCentre: string,
  ) {}

  heard(nowMs: number, state: MemberState): void {
    if (state.vm === this.self) return;
    const known = this.records.get(state.vm);
    if (known !== undefined && known.state.incarnation > state.incarnation) return;
    this.records.set(state.vm, { state, heardAtMs: nowMs });
  }

  /** Hears a short heartbeat; one of a process that is not known yet says nothing. */
  beat(nowMs: number, vm: string, incarnation: number, revision: number): void {
    const known = this.records.get(vm);
    if (known === undefined || known.state.incarnation !== incarnation) return;
    this.records.set(vm, { state: { ...known.state, revision }, heardAtMs: nowMs });
  }

  /** Notes that a member's connection ended after it said goodbye. */
  left(vm: string): void {
    this.records.delete(vm);
  }

  /** Members heard of lately, ordered by name. */
  alive(nowMs: number): readonly MemberState[] {
    this.forget(nowMs);
    return [...this.records.values()]
      .filter(({ state, heardAtMs }) => nowMs - heardAtMs < this.patienceMs(state))
      .map(({ state }) => state)
      .sort((a, b) => (a.vm < b.vm ? -1 : 1));
  }

  private patienceMs({ dataCentre }: MemberState): number {
    const everyMs = dataCentre === this.dataCentre ? NEAR_HEARTBEAT_MS : FAR_HEARTBEAT_MS;
    return everyMs * MISSED_HEARTBEATS;
  }

  private forget(nowMs: number): void {
    this.records.forEach(({ heardAtMs }, vm) => {
      if (nowMs - heardAtMs > FORGET_MS) this.records.delete(vm);
    });
  }
}

/** The steward among members: of several that claim it, the one with the latest epoch. */
export function stewardAmong(members: readonly MemberState[]): MemberState | null {
  return members
    .filter((state) => state.stewardEpoch > 0)
    .reduce<MemberState | null>(
      (best, state) => (best === null || state.stewardEpoch > best.stewardEpoch ? state : best),
      null,
    );
}
