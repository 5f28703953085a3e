/** Test fixture: entry VMs with requests for one throttled server, and their steward. */
import {
  type NamedLimit,
  PermitHolder,
  PermitIssuer,
  RESERVE_HOLDERS,
} from '../../../src/decisions/throttling/index.js';

const SERVER = 's1';
const VM_COUNT = 8;
const STEP_MS = 20;
const REPEAT_MS = 250;
const VALID_MS = 350;

/** Entry VMs that have requests for one server at all times. */
export class Fleet {
  private nowMs = 0;

  private issuer: PermitIssuer | null = null;

  private holders = Array.from({ length: VM_COUNT }, (_, at) => Fleet.createHolder(at));

  /** VMs that have lost the steward, which the others still have. */
  private cutOff: ReadonlySet<number> = new Set();

  /** Messages to the VMs in transit, with their arrival times. */
  private inbox: { readonly atMs: number; apply(): void }[] = [];

  /** Arrival times of requests, reports and orders at the server. */
  readonly arrivals: number[] = [];

  /** @param named Since when the steward knows the limit. */
  constructor(
    private requestsPerS: number,
    private readonly named: Omit<NamedLimit, 'requestsPerS'> = { namedSinceMs: -60_000 },
  ) {
    this.changeSteward();
  }

  /** Lets time pass; each VM sends what it may, as soon as it may. */
  run(ms: number, delayMs: number): void {
    const untilMs = this.nowMs + ms;
    while (this.nowMs < untilMs) {
      this.nowMs += STEP_MS;
      this.step(delayMs);
    }
  }

  changeSteward(): void {
    this.issuer = new PermitIssuer();
    this.cutOff = new Set();
    this.holders.forEach((holder) => holder.setSteward(true));
  }

  loseSteward(): void {
    this.issuer = null;
    this.holders.forEach((holder) => holder.setSteward(false));
  }

  /** Cuts VMs off from the steward, which goes on with the others. */
  cutOffFrom(at: number): void {
    const lost = Array.from({ length: RESERVE_HOLDERS }, (_, offset) => (at + offset) % VM_COUNT);
    this.cutOff = new Set(lost);
    lost.forEach((vm) => this.holders[vm]?.setSteward(false));
  }

  changeLimit(requestsPerS: number): void {
    this.requestsPerS = requestsPerS;
  }

  restart(at: number): void {
    const holder = Fleet.createHolder(at % VM_COUNT);
    holder.setSteward(this.issuer !== null);
    this.holders[at % VM_COUNT] = holder;
  }

  /** Drops the messages in transit. */
  loseMessages(): void {
    this.inbox = [];
  }

  /** Largest number of arrivals in any span of this length, ms. */
  maxInSpan(spanMs: number): number {
    return this.arrivals.reduce((max, atMs) => {
      const inside = this.arrivals.filter((other) => other > atMs - spanMs && other <= atMs);
      return Math.max(max, inside.length);
    }, 0);
  }

  private step(delayMs: number): void {
    const { issuer, nowMs } = this;
    const arrived = this.inbox.filter(({ atMs }) => atMs <= nowMs);
    this.inbox = this.inbox.filter(({ atMs }) => atMs > nowMs);
    arrived.forEach(({ apply }) => apply());
    if (issuer !== null) this.issue(issuer, delayMs);
    this.holders.forEach((holder) => {
      while (holder.take(nowMs, SERVER, this.requestsPerS)) this.arrivals.push(nowMs);
      holder.expire(nowMs).forEach((permits) => issuer?.refund(nowMs, SERVER, permits));
    });
  }

  private issue(issuer: PermitIssuer, delayMs: number): void {
    const { nowMs } = this;
    const { requestsPerS, named } = this;
    issuer.setLimits(nowMs, new Map([[SERVER, { requestsPerS, ...named }]]));
    if (issuer.takeReport(nowMs, SERVER)) this.arrivals.push(nowMs);
    if (issuer.allowsOrder(nowMs, SERVER)) {
      issuer.noteOrder(nowMs, SERVER);
      this.arrivals.push(nowMs);
    }
    this.holders.forEach((holder, at) => {
      if (!this.cutOff.has(at) && holder.shouldAsk(nowMs, SERVER, 3, REPEAT_MS))
        issuer.request(nowMs, String(at), SERVER, 3, VALID_MS);
    });
    issuer.issue(nowMs).forEach(({ vm, permits, intervalMs }) => {
      const atMs = nowMs + delayMs;
      const holder = this.holders[Number(vm)];
      this.inbox.push({ atMs, apply: () => holder?.receive(atMs, SERVER, permits, intervalMs) });
    });
  }

  private static createHolder(at: number): PermitHolder {
    const holder = new PermitHolder();
    holder.setReserve(at < RESERVE_HOLDERS);
    return holder;
  }
}
