/** The steward's side of brittle servers: issues their slots and tells the members which they are. */
import { type SlotGrant, SlotIssuer } from '../../decisions/brittle-servers/index.js';
import type { Throttle } from '../../decisions/throttling/index.js';
import { permitRepeatMs } from './intervals.js';
import type { MessageLink } from './message-link.js';
import { type RelayMessageOf, RelayMessageType } from './messages.js';
import type { ServerSlotsTask } from './server-slots.js';

/** Number of repeat intervals for which a request for slots is valid. */
const VALID_REPEATS = 1.4;

/** An entry VM that is connected to the steward. */
export interface SlotMember {
  readonly link: Pick<MessageLink, 'send' | 'understands'>;
  /** Null until its first report. */
  readonly vm: string | null;
  /** The statements of brittle servers last sent to the member, by server. */
  readonly sentBrittle: Map<string, string>;
  /** Number of services with a known answer last sent to the member. */
  sentAnswered: number;
}

export interface SlotServiceOptions {
  readonly slots: Pick<
    ServerSlotsTask,
    'isAnyKnown' | 'all' | 'brittle' | 'addReceived' | 'answered' | 'addAnswered'
  >;
  readonly members: ReadonlySet<SlotMember>;
}

type SlotsMessage = Partial<Omit<RelayMessageOf<'slots'>, 'type'>>;

function send(member: SlotMember, message: SlotsMessage): boolean {
  const { answered = [], brittle = [], issued = {}, pauses = {} } = message;
  return member.link.send({
    type: RelayMessageType.slots,
    answered,
    brittle,
    issued,
    pauses,
  });
}

/** Whether the member's build uses slots; it has stated so in its first report. */
function usesSlots({ link }: SlotMember): boolean {
  return link.understands(RelayMessageType.slots);
}

function keyOf({ bornMs, requestsPerS }: Throttle): string {
  return `${bornMs} ${requestsPerS}`;
}

export class SlotService {
  private readonly issuer: SlotIssuer;

  /** Each connection has a key of its own: slots of an earlier one of the same VM stay in use. */
  private readonly keys = new Map<SlotMember, string>();

  private lastKey = 0;

  constructor(
    nowMs: number,
    private readonly opts: SlotServiceOptions,
  ) {
    this.issuer = new SlotIssuer(nowMs);
  }

  /** Updates the brittle servers, tells the members, and issues the slots that are free. */
  tick(nowMs: number): void {
    const { slots, members } = this.opts;
    [...this.keys]
      .filter(([member]) => !members.has(member))
      .forEach(([member, key]) => {
        this.issuer.removeVm(nowMs, key);
        this.keys.delete(member);
      });
    const answered = slots.answered();
    members.forEach((member) => SlotService.sendAnswered(member, answered));
    if (!slots.isAnyKnown) return;
    this.issuer.setServers(nowMs, slots.brittle());
    const all = slots.all();
    members.forEach((member) => SlotService.sendBrittle(member, all));
    this.issue(nowMs);
  }

  handleNeeds(nowMs: number, member: SlotMember, message: RelayMessageOf<'slot-needs'>): void {
    const { answered, brittle, held, returned, turnedAway, probes, needs, received } = message;
    this.opts.slots.addAnswered(answered);
    const newer = this.opts.slots.addReceived(brittle, member.vm ?? 'member');
    if (newer.length > 0) send(member, { brittle: newer });
    this.issuer.setServers(nowMs, this.opts.slots.brittle());
    const key = this.keyOf(member);
    Object.entries(held).forEach(([id, count]) => this.issuer.hold(key, id, count));
    Object.entries(returned).forEach(([id, count]) => this.issuer.release(key, id, count));
    this.handleTurnedAway(nowMs, key, turnedAway);
    if (needs !== null) {
      const validMs = permitRepeatMs(this.opts.members.size, 1) * VALID_REPEATS;
      const parsed = needs.map(({ servers, needed }) => ({
        servers: new Map(Object.entries(servers)),
        needed,
      }));
      this.issuer.request(nowMs, key, parsed, received, validMs);
    }
    this.sendGrants(probes.flatMap((id) => this.issuer.issueProbe(nowMs, key, id) ?? []));
    this.tick(nowMs);
  }

  private handleTurnedAway(
    nowMs: number,
    key: string,
    turnedAway: Readonly<Record<string, number>>,
  ): void {
    const pauses = Object.entries(turnedAway).flatMap(([id, count]) => {
      const all = Array.from({ length: count }, () => this.issuer.noteTurnedAway(nowMs, key, id));
      const pauseMs = all.at(-1) ?? null;
      return pauseMs === null ? [] : [[id, pauseMs] as const];
    });
    if (pauses.length === 0) return;
    this.opts.members.forEach((member) => {
      if (usesSlots(member)) send(member, { pauses: Object.fromEntries(pauses) });
    });
  }

  private keyOf(member: SlotMember): string {
    const known = this.keys.get(member);
    if (known !== undefined) return known;
    this.lastKey += 1;
    const key = String(this.lastKey);
    this.keys.set(member, key);
    return key;
  }

  private issue(nowMs: number): void {
    this.sendGrants(this.issuer.issue(nowMs));
  }

  private sendGrants(grants: readonly SlotGrant[]): void {
    const byVm = new Map<string, Record<string, number>>();
    grants.forEach(({ vm, serverId }) => {
      const issued = byVm.get(vm) ?? {};
      byVm.set(vm, { ...issued, [serverId]: (issued[serverId] ?? 0) + 1 });
    });
    const members = new Map([...this.keys].map(([member, key]) => [key, member]));
    byVm.forEach((issued, key) => {
      const member = members.get(key);
      if (member !== undefined && send(member, { issued })) return;
      Object.entries(issued).forEach(([id, count]) => this.issuer.release(key, id, count));
    });
  }

  private static sendAnswered(member: SlotMember, answered: string[]): void {
    if (!usesSlots(member) || member.sentAnswered === answered.length) return;
    if (send(member, { answered })) Object.assign(member, { sentAnswered: answered.length });
  }

  private static sendBrittle(member: SlotMember, all: readonly Throttle[]): void {
    if (!usesSlots(member)) return;
    const brittle = all.filter(
      (statement) => member.sentBrittle.get(statement.serverId) !== keyOf(statement),
    );
    if (brittle.length === 0 || !send(member, { brittle })) return;
    brittle.forEach((statement) => member.sentBrittle.set(statement.serverId, keyOf(statement)));
  }
}
