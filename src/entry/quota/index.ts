/** Task that admits requests within their customers' rates and lends quota to other entry VMs. */
import { AdaptivePoller } from '../../core/adaptive-poller/index.js';
import type { Channel, Unsubscribe } from '../../core/channels/index.js';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import * as messages from '../../core/messages/index.js';
import type { Random } from '../../core/random/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Catalog } from '../../decisions/catalog/index.js';
import * as quota from '../../decisions/quota/index.js';
import * as ownership from '../../decisions/quota-ownership/index.js';
import type { Inbound, Peers } from '../peers/index.js';
import { type PlatformClient, PlatformOutcome } from '../platform/index.js';

const TICK_MS = 25;
const IDLE_TICK_MS = 250;
/** Interval at which the ownership records are listed. */
const OWNERSHIP_REFRESH_MS = 3_000;
/** Minimum time between two choices of the grantors that loans are requested from. */
const GRANTORS_REFRESH_MS = 100;
/** Interval at which the ownership records are listed while no local reserve is owned. */
const NO_RESERVE_REFRESH_MS = 500;

/** Whether a request is admitted; if not, the time after which to retry, ms. */
export type Admission =
  { readonly admitted: true } | { readonly admitted: false; readonly retryAfterMs: number };

export interface QuotaAdmission {
  /** Waits until the tokens are available, or until it is clear that they will not be in time. */
  reserve(req: quota.QuotaRequest, signal: AbortSignal): Promise<Admission>;
  /** Returns tokens that were reserved but not used. */
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

export class QuotaTask implements Task, QuotaAdmission {
  readonly name = 'quota';

  /** The local reserve; it has no tokens while none is owned. */
  private floor: quota.LoanGrantor;

  /** The lender of the data centre; null unless this entry VM owns its quota. */
  private lender: quota.LoanGrantor | null = null;

  private borrower: quota.QuotaBorrower;

  private readonly ownershipManager: ownership.OwnershipManager;

  private readonly waiting = new Map<string, (admission: Admission) => void>();

  private readonly poller = new AdaptivePoller({
    busyMs: TICK_MS,
    idleMs: IDLE_TICK_MS,
    isBusy: () => !this.borrower.isIdle(),
    tick: () => this.tick(),
  });

  private unsubscribes: Unsubscribe[] = [];

  /** Name of the owned local reserve; null if none is owned. */
  private reserveName: string | null = null;

  private refreshing = false;

  private grantorsRefreshedAtMs = -Infinity;

  private ownershipRefreshedAtMs = -Infinity;

  constructor(private readonly deps: QuotaDeps) {
    const { vm, incarnation } = deps;
    this.ownershipManager = new ownership.OwnershipManager({ vm, incarnation });
    this.floor = new quota.LoanGrantor(0, {});
    this.borrower = new quota.QuotaBorrower(this.floor);
  }

  async start(): Promise<void> {
    this.poller.start();
    this.unsubscribes = [
      this.deps.inbox.subscribe((inbound) => this.receive(inbound)),
      this.deps.applied.subscribe(() => {
        this.configure();
        void this.refreshOwnership();
      }),
    ];
    this.configure();
    await this.refreshOwnership();
  }

  async stop(): Promise<void> {
    this.poller.stop();
    this.unsubscribes.forEach((unsubscribe) => unsubscribe());
  }

  /** Returns loans and releases the quota ownership before a planned shutdown. */
  async releaseOwnership(): Promise<void> {
    this.ownershipManager.stop();
    const nowMs = this.deps.clock.nowMs();
    this.runEffects(this.borrower.returnAll(nowMs));
    const writes = [...this.ownershipManager.ownedVersions()].map(([name, version]) => {
      const grantor = name === ownership.LENDER_RECORD ? this.lender : this.floor;
      const levels = grantor?.levels(nowMs) ?? {};
      const record: ownership.OwnershipRecord = {
        vm: null,
        incarnation: this.deps.incarnation,
        levels,
      };
      return this.deps.platform.write(this.keyOf(name), record, version);
    });
    // Released quota must neither be spent nor lent here any more.
    this.lender = null;
    this.reserveName = null;
    this.floor = new quota.LoanGrantor(0, {});
    this.borrower.setLocalReserve(this.floor);
    this.deps.peers.announce({ lender: false });
    await Promise.all(writes);
  }

  reserve(req: quota.QuotaRequest, signal: AbortSignal): Promise<Admission> {
    return new Promise((resolve) => {
      this.waiting.set(req.requestId, resolve);
      signal.addEventListener('abort', () => this.cancel(req.requestId), { once: true });
      const nowMs = this.deps.clock.nowMs();
      this.refreshGrantors(nowMs);
      this.runEffects(this.borrower.request(nowMs, req));
      this.poller.wake();
    });
  }

  refund(customer: string, tokens: number): void {
    if (tokens > 0) {
      this.runEffects(this.borrower.refund(this.deps.clock.nowMs(), customer, tokens));
    }
  }

  /** Number of requests that wait for tokens. */
  get waitingCount(): number {
    return this.borrower.waitingCount();
  }

  private cancel(requestId: string): void {
    this.borrower.cancel(requestId);
    this.resolveAdmission(requestId, { admitted: false, retryAfterMs: 0 });
  }

  private resolveAdmission(requestId: string, admission: Admission): void {
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
    const shape = { dataCentres: current.dataCentres.length, localReserves: current.entryVms };
    this.borrower.setLimits(limits);
    this.lender?.configure(nowMs, quota.lenderLimits(limits, shape));
    if (this.reserveName !== null)
      this.floor.configure(nowMs, quota.localReserveLimits(limits, shape));
  }

  private tick(): void {
    const nowMs = this.deps.clock.nowMs();
    if (!this.borrower.isIdle()) {
      this.refreshGrantors(nowMs);
      this.runEffects(this.borrower.tick(nowMs));
    }
    const intervalMs = this.reserveName === null ? NO_RESERVE_REFRESH_MS : OWNERSHIP_REFRESH_MS;
    if (nowMs - this.ownershipRefreshedAtMs >= intervalMs) void this.refreshOwnership();
  }

  private refreshGrantors(nowMs: number): void {
    if (nowMs - this.grantorsRefreshedAtMs < GRANTORS_REFRESH_MS) return;
    this.grantorsRefreshedAtMs = nowMs;
    const { peers, random } = this.deps;
    this.borrower.setGrantors(quota.chooseGrantors(peers.self(), peers.members(), random));
  }

  private receive({ from, message }: Inbound): void {
    const nowMs = this.deps.clock.nowMs();
    switch (message.type) {
      case messages.PeerMessageType.quotaAsk: {
        const { askId, customer, tokens } = message;
        const grant = this.grantorOf(message.role)?.lend(nowMs, askId, customer, tokens);
        const none = { askId, customer, loanId: 0, tokens: 0 };
        const type = messages.PeerMessageType.quotaGrant;
        this.deps.peers.send(from, { type, ...(grant ?? none) });
        break;
      }
      case messages.PeerMessageType.quotaGrant:
        this.runEffects(this.borrower.grant(nowMs, message));
        break;
      case messages.PeerMessageType.quotaSettle: {
        const { customer, loanId, spent, returned } = message;
        this.grantorOf(message.role)?.settle(nowMs, customer, loanId, spent, returned);
        break;
      }
      case messages.PeerMessageType.quotaRefund:
        this.grantorOf(message.role)?.refund(nowMs, message.customer, message.tokens);
        break;
      default:
    }
  }

  private grantorOf(role: quota.GrantorRole): quota.LoanGrantor | null {
    return role === quota.GrantorRole.lender ? this.lender : this.floor;
  }

  private runEffects(effects: readonly quota.QuotaEffect[]): void {
    effects.forEach((effect) => {
      switch (effect.type) {
        case quota.QuotaEffectType.admit:
          this.resolveAdmission(effect.requestId, { admitted: true });
          break;
        case quota.QuotaEffectType.refuse:
          this.resolveAdmission(effect.requestId, {
            admitted: false,
            retryAfterMs: effect.retryAfterMs,
          });
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

  /** Lists the ownership records and claims those that this entry VM may take. */
  private async refreshOwnership(): Promise<void> {
    const listedVms = this.deps.peers.listedVms();
    const current = this.deps.currentCatalog();
    if (this.refreshing || listedVms === null || current === null) return;
    this.refreshing = true;
    this.ownershipRefreshedAtMs = this.deps.clock.nowMs();
    try {
      const prefix = this.keyOf('');
      const outcome = await this.deps.platform.list(prefix);
      if (outcome.type !== PlatformOutcome.ok) return;
      const listed = outcome.value.flatMap(({ key, version, value }) => {
        const record = ownership.ownershipRecordSchema.safeParse(value);
        return record.success
          ? [{ name: key.slice(prefix.length), version, tenure: record.data }]
          : [];
      });
      const nowMs = this.deps.clock.nowMs();
      await this.claim(
        this.ownershipManager.onRecordsListed(nowMs, listed, listedVms, current.entryVms),
      );
    } finally {
      this.refreshing = false;
    }
  }

  private async claim(effects: readonly ownership.OwnershipEffect[]): Promise<void> {
    await Promise.all(
      effects.map(async (effect) => {
        if (effect.type === ownership.OwnershipEffectType.acquired) {
          this.takeOwnership(effect.name, effect.levels);
          return;
        }
        const { name, tenure, version } = effect;
        const outcome = await this.deps.platform.write(this.keyOf(name), tenure, version);
        if (outcome.type === PlatformOutcome.conflict) this.ownershipManager.conflict();
        if (outcome.type === PlatformOutcome.ok) {
          await this.claim(this.ownershipManager.onClaimWritten(outcome.version));
          void this.refreshOwnership();
        }
      }),
    );
  }

  private takeOwnership(name: string, levels: Readonly<Record<string, number>> | null): void {
    const nowMs = this.deps.clock.nowMs();
    // Loans of the previous owner may still be in use until they expire.
    const frozenMs = levels === null ? 0 : quota.LOAN_TTL_MS + quota.LOAN_MARGIN_MS;
    const grantor = new quota.LoanGrantor(nowMs + frozenMs, levels);
    this.deps.logger.info('tenure-taken', { tenure: name, first: levels === null });
    if (name === ownership.LENDER_RECORD) {
      this.lender = grantor;
      this.deps.peers.announce({ lender: true });
    } else {
      this.reserveName = name;
      this.floor = grantor;
      this.borrower.setLocalReserve(grantor);
    }
    this.configure();
  }
}
