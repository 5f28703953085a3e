/** The task that admits requests within their customers' rates, and lends to other entry VMs. */
import type { Channel, Unsubscribe } from '../../core/channels/index.js';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import * as messages from '../../core/messages/index.js';
import { Pacer } from '../../core/pacer/index.js';
import type { Random } from '../../core/random/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Catalog } from '../../decisions/catalog/index.js';
import * as quota from '../../decisions/quota/index.js';
import * as tenures from '../../decisions/tenures/index.js';
import type { Inbound, Peers } from '../peers/index.js';
import { type PlatformClient, PlatformOutcome } from '../platform/index.js';

const TICK_MS = 25;
const REST_TICK_MS = 250;
const LIST_EVERY_MS = 3_000;
const GIVERS_EVERY_MS = 100;
/** The same while no floor is held. */
const LIST_EVERY_UNSEATED_MS = 500;

/** Whether a request may spend its tokens now. */
export type Admission =
  { readonly admitted: true } | { readonly admitted: false; readonly retryAfterMs: number };

export interface QuotaDesk {
  /** Waits until the tokens are there, or until it is clear that they come too late. */
  reserve(req: quota.QuotaRequest, signal: AbortSignal): Promise<Admission>;
  /** Puts back what was reserved and not used. */
  refund(customer: string, tokens: number): void;
}

export interface QuotaDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly incarnation: number;
  readonly platform: PlatformClient;
  readonly peers: Peers;
  readonly inbox: Channel<Inbound>;
  readonly applied: Channel<Catalog>;
  currentCatalog(): Catalog | null;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class QuotaTask implements Task, QuotaDesk {
  readonly name = 'quota';

  private floor: quota.QuotaGiver;

  private lender: quota.QuotaGiver | null = null;

  private borrower: quota.QuotaBorrower;

  private readonly keeper: tenures.TenureKeeper;

  private readonly waiting = new Map<string, (admission: Admission) => void>();

  private readonly pacer = new Pacer({
    busyMs: TICK_MS,
    restMs: REST_TICK_MS,
    isBusy: () => !this.borrower.isAtRest(),
    tick: () => this.tick(),
  });

  private unsubscribes: Unsubscribe[] = [];

  private floorName: string | null = null;

  private looking = false;

  private foundGiversAtMs = -Infinity;

  private lookedAtMs = -Infinity;

  constructor(private readonly deps: QuotaDeps) {
    const { vm, incarnation } = deps;
    this.keeper = new tenures.TenureKeeper({ vm, incarnation });
    this.floor = new quota.QuotaGiver(0, {});
    this.borrower = new quota.QuotaBorrower(this.floor);
  }

  async start(): Promise<void> {
    this.pacer.start();
    this.unsubscribes = [
      this.deps.inbox.subscribe((inbound) => this.receive(inbound)),
      this.deps.applied.subscribe(() => {
        this.configure();
        void this.look();
      }),
    ];
    this.configure();
    await this.look();
  }

  async stop(): Promise<void> {
    this.pacer.stop();
    this.unsubscribes.forEach((unsubscribe) => unsubscribe());
  }

  /** Returns loans and gives the tenures up, for a planned stop. */
  async handOver(): Promise<void> {
    this.keeper.stop();
    const nowMs = this.deps.clock.nowMs();
    this.carryOut(this.borrower.returnAll(nowMs));
    const writes = [...this.keeper.heldVersions()].map(([name, version]) => {
      const giver = name === tenures.LENDER_TENURE ? this.lender : this.floor;
      const levels = giver?.levels(nowMs) ?? {};
      const tenure: tenures.Tenure = { vm: null, incarnation: this.deps.incarnation, levels };
      return this.deps.platform.write(this.keyOf(name), tenure, version);
    });
    // What is handed over is neither spent nor lent here any more.
    this.lender = null;
    this.floorName = null;
    this.floor = new quota.QuotaGiver(0, {});
    this.borrower.setFloor(this.floor);
    this.deps.peers.announce({ lender: false });
    await Promise.all(writes);
  }

  reserve(req: quota.QuotaRequest, signal: AbortSignal): Promise<Admission> {
    return new Promise((resolve) => {
      this.waiting.set(req.requestId, resolve);
      signal.addEventListener('abort', () => this.abandon(req.requestId), { once: true });
      const nowMs = this.deps.clock.nowMs();
      this.findGivers(nowMs);
      this.carryOut(this.borrower.request(nowMs, req));
      this.pacer.wake();
    });
  }

  refund(customer: string, tokens: number): void {
    if (tokens > 0) {
      this.carryOut(this.borrower.refund(this.deps.clock.nowMs(), customer, tokens));
    }
  }

  /** Requests that wait for tokens. */
  get waitingCount(): number {
    return this.borrower.waitingCount();
  }

  private abandon(requestId: string): void {
    this.borrower.cancel(requestId);
    this.settle(requestId, { admitted: false, retryAfterMs: 0 });
  }

  private settle(requestId: string, admission: Admission): void {
    this.waiting.get(requestId)?.(admission);
    this.waiting.delete(requestId);
  }

  private keyOf(name: string): string {
    return `quota/${this.deps.dataCentre}/${name}`;
  }

  private configure(): void {
    const current = this.deps.currentCatalog();
    if (current === null) return;
    const nowMs = this.deps.clock.nowMs();
    const limits = [...current.customers.values()].map(({ name, ratePerS, burst }) => ({
      customer: name,
      ratePerS,
      burst,
    }));
    const shape = { dataCentres: current.dataCentres.length, floors: current.entryVms };
    this.borrower.setLimits(limits);
    this.lender?.configure(nowMs, quota.lenderLimits(limits, shape));
    if (this.floorName !== null) this.floor.configure(nowMs, quota.floorLimits(limits, shape));
  }

  private tick(): void {
    const nowMs = this.deps.clock.nowMs();
    if (!this.borrower.isAtRest()) {
      this.findGivers(nowMs);
      this.carryOut(this.borrower.tick(nowMs));
    }
    const everyMs = this.floorName === null ? LIST_EVERY_UNSEATED_MS : LIST_EVERY_MS;
    if (nowMs - this.lookedAtMs >= everyMs) void this.look();
  }

  private findGivers(nowMs: number): void {
    if (nowMs - this.foundGiversAtMs < GIVERS_EVERY_MS) return;
    this.foundGiversAtMs = nowMs;
    const { peers, random } = this.deps;
    this.borrower.setGivers(quota.chooseGivers(peers.self(), peers.members(), random));
  }

  private receive({ from, message }: Inbound): void {
    const nowMs = this.deps.clock.nowMs();
    switch (message.type) {
      case messages.PeerMessageType.quotaAsk: {
        const { askId, customer, tokens } = message;
        const grant = this.giver(message.role)?.lend(nowMs, askId, customer, tokens);
        const none = { askId, customer, loanId: 0, tokens: 0 };
        const type = messages.PeerMessageType.quotaGrant;
        this.deps.peers.send(from, { type, ...(grant ?? none) });
        break;
      }
      case messages.PeerMessageType.quotaGrant:
        this.carryOut(this.borrower.grant(nowMs, message));
        break;
      case messages.PeerMessageType.quotaSettle: {
        const { customer, loanId, spent, returned } = message;
        this.giver(message.role)?.settle(nowMs, customer, loanId, spent, returned);
        break;
      }
      case messages.PeerMessageType.quotaRefund:
        this.giver(message.role)?.refund(nowMs, message.customer, message.tokens);
        break;
      default:
    }
  }

  private giver(role: quota.GiverRole): quota.QuotaGiver | null {
    return role === quota.GiverRole.lender ? this.lender : this.floor;
  }

  private carryOut(effects: readonly quota.QuotaEffect[]): void {
    effects.forEach((effect) => {
      switch (effect.type) {
        case quota.QuotaEffectType.admit:
          this.settle(effect.requestId, { admitted: true });
          break;
        case quota.QuotaEffectType.refuse:
          this.settle(effect.requestId, { admitted: false, retryAfterMs: effect.retryAfterMs });
          break;
        case quota.QuotaEffectType.ask: {
          const { role, vm } = effect.to;
          const { askId, customer, tokens } = effect;
          const type = messages.PeerMessageType.quotaAsk;
          this.deps.peers.send(vm, { type, role, askId, customer, tokens });
          break;
        }
        case quota.QuotaEffectType.settle: {
          const { role, vm } = effect.to;
          const { customer, loanId, spent, returned } = effect;
          const type = messages.PeerMessageType.quotaSettle;
          this.deps.peers.send(vm, { type, role, customer, loanId, spent, returned });
          break;
        }
        case quota.QuotaEffectType.refund: {
          const { role, vm } = effect.to;
          const { customer, tokens } = effect;
          const type = messages.PeerMessageType.quotaRefund;
          this.deps.peers.send(vm, { type, role, customer, tokens });
          break;
        }
        default:
      }
    });
  }

  /** Looks for tenures that this entry VM may take. */
  private async look(): Promise<void> {
    const listedVms = this.deps.peers.listedVms();
    const current = this.deps.currentCatalog();
    if (this.looking || listedVms === null || current === null) return;
    this.looking = true;
    this.lookedAtMs = this.deps.clock.nowMs();
    try {
      const prefix = this.keyOf('');
      const outcome = await this.deps.platform.list(prefix);
      if (outcome.type !== PlatformOutcome.ok) return;
      const listed = outcome.value.flatMap(({ key, version, value }) => {
        const tenure = tenures.tenureSchema.safeParse(value);
        return tenure.success
          ? [{ name: key.slice(prefix.length), version, tenure: tenure.data }]
          : [];
      });
      const nowMs = this.deps.clock.nowMs();
      await this.claim(this.keeper.listed(nowMs, listed, listedVms, current.entryVms));
    } finally {
      this.looking = false;
    }
  }

  private async claim(effects: readonly tenures.TenureEffect[]): Promise<void> {
    await Promise.all(
      effects.map(async (effect) => {
        if (effect.type === tenures.TenureEffectType.acquired) {
          this.take(effect.name, effect.levels);
          return;
        }
        const { name, tenure, version } = effect;
        const outcome = await this.deps.platform.write(this.keyOf(name), tenure, version);
        if (outcome.type === PlatformOutcome.conflict) this.keeper.conflict();
        if (outcome.type === PlatformOutcome.ok) {
          await this.claim(this.keeper.written(outcome.version));
          void this.look();
        }
      }),
    );
  }

  private take(name: string, levels: Readonly<Record<string, number>> | null): void {
    const nowMs = this.deps.clock.nowMs();
    const frozenMs = levels === null ? 0 : quota.LOAN_TTL_MS + quota.LOAN_MARGIN_MS;
    const giver = new quota.QuotaGiver(nowMs + frozenMs, levels);
    this.deps.logger.info('tenure-taken', { tenure: name, first: levels === null });
    if (name === tenures.LENDER_TENURE) {
      this.lender = giver;
      this.deps.peers.announce({ lender: true });
    } else {
      this.floorName = name;
      this.floor = giver;
      this.borrower.setFloor(giver);
    }
    this.configure();
  }
}
