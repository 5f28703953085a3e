/** Admits requests inside their customers' rates: from the parts held here, or by asking. */
import * as clocks from '../../core/clock/index.js';
import type { Customer } from '../../decisions/fleet-plan/index.js';
import { SHARE_TTL_MS, ShareHolder, waitsForRate } from '../../decisions/rate-shares/index.js';
import type { RelayMessageOf } from './messages.js';
import type { RequestFacts } from './types.js';

/** Longest wait for the lender's answer, ms: a few round trips between data centres. */
const ASK_TIMEOUT_MS = 60;
/** Callers over their rate return this late at the earliest and at the latest, ms. */
const SOONEST_RETURN_MS = 250;
const LATEST_RETURN_MS = 5_000;
/** Shortest wait for units of a rate, ms. */
const LEAST_WAIT_MS = 10;
/** A rate that is not known yet is looked for this often, ms. */
const UNHEARD_POLL_MS = 25;
/** Callers return this late where their rate is not known, ms: another entry VM may know it. */
const UNHEARD_RETURN_MS = 500;
/** Shortest time between two asks for a customer whose rate is spent, ms. */
const ASK_PAUSE_MS = 50;

export const AdmissionType = {
  admitted: 'admitted',
  overRate: 'over-rate',
  /** No steward has told of the customer's rate. */
  rateUnknown: 'rate-unknown',
} as const;

export type Admitted =
  | { readonly type: typeof AdmissionType.admitted }
  | {
      readonly type: typeof AdmissionType.overRate | typeof AdmissionType.rateUnknown;
      readonly retryAfterMs: number;
    };

/** How long a request may wait to be admitted. */
export interface AdmissionPatience {
  /** For units of a rate that is known, ms. */
  readonly rateMs: number;
  /** Until the caller or the route gives up, ms. */
  readonly lifeMs: number;
}

type Lent = RelayMessageOf<'lent'>;

export interface AdmissionOptions {
  readonly clock: clocks.Clock;
  /** Sends an ask to the steward; false where none is heard. */
  ask(message: Omit<RelayMessageOf<'ask'>, 'type'>): boolean;
}

const YES: Admitted = { type: AdmissionType.admitted };
const UNKNOWN: Admitted = {
  type: AdmissionType.rateUnknown,
  retryAfterMs: UNHEARD_RETURN_MS,
};

export class Admission {
  readonly holder = new ShareHolder();

  private readonly asks = new Map<number, (lent: Lent | null) => void>();

  private readonly pausedUntilMs = new Map<string, number>();

  private lastAskId = 0;

  private appliedSeq = 0;

  private closed = false;

  /** When the rates were known last. */
  private knownAtMs: number;

  constructor(private readonly opts: AdmissionOptions) {
    this.knownAtMs = opts.clock.steadyMs();
  }

  /** Last grant of the present steward that was taken in. */
  get lastSeq(): number {
    return this.appliedSeq;
  }

  setCustomers(customers: ReadonlyMap<string, Customer>): void {
    this.holder.setLimits(this.opts.clock.steadyMs(), customers);
  }

  /** A new steward counts its grants anew. */
  resetSeq(): void {
    this.appliedSeq = 0;
  }

  takeGrant(grant: RelayMessageOf<'grant'>): void {
    if (this.closed) return;
    this.appliedSeq = grant.seq;
    this.knownAtMs = this.opts.clock.steadyMs();
    const fractions = new Map(Object.entries(grant.fractions));
    // Counted from when the report was sent, so that the part ends here first.
    const expiresAtMs = grant.reportSentAtMs + SHARE_TTL_MS;
    this.holder.grant(this.opts.clock.steadyMs(), fractions, expiresAtMs);
  }

  /** Lets all parts go; for a planned stop. */
  giveBack(): void {
    this.closed = true;
    this.holder.clear();
  }

  takeLent(lent: Lent): void {
    this.asks.get(lent.askId)?.(lent);
  }

  /** Units that a request counts for. */
  static unitsOf(customer: Customer, facts: RequestFacts): number {
    if (!customer.countsTokens) return 1;
    return facts.tokens === null ? customer.plainUnits : facts.tokens.prompt + facts.tokens.output;
  }

  /** Admits a request, waiting for its customer's rate to be known and to allow it. */
  async admit(customer: Customer, units: number, patience: AdmissionPatience): Promise<Admitted> {
    if (customer.ratePerS === 0) return YES;
    const { clock } = this.opts;
    this.holder.noteDemand(clock.steadyMs(), customer.name, units);
    const sinceMs = clock.steadyMs();
    let admitted = await this.tryOnceKnown(customer.name, units, patience.lifeMs);
    const fits = (waitMs: number) => clock.steadyMs() - sinceMs + waitMs <= patience.rateMs;
    // Others may take what became free meanwhile: the request waits on while its time lasts.
    while (admitted.type === AdmissionType.overRate && fits(admitted.retryAfterMs)) {
      await clocks.sleep(Math.max(LEAST_WAIT_MS, admitted.retryAfterMs));
      admitted = await this.tryOnce(customer.name, units);
    }
    return admitted;
  }

  /** Puts back what a request took that did not run. */
  refund(customer: string, units: number): void {
    this.holder.refund(this.opts.clock.steadyMs(), customer, units);
  }

  /** Tries until the customer's rate is known, for as long as that is worth it. */
  private async tryOnceKnown(customer: string, units: number, lifeMs: number): Promise<Admitted> {
    const arrivedAtMs = this.opts.clock.steadyMs();
    const isWorthIt = () => {
      const unheardSinceMs = this.knownAtMs;
      return waitsForRate(this.opts.clock.steadyMs(), { arrivedAtMs, lifeMs, unheardSinceMs });
    };
    let admitted = await this.tryOnce(customer, units);
    while (admitted.type === AdmissionType.rateUnknown && isWorthIt()) {
      await clocks.sleep(UNHEARD_POLL_MS);
      admitted = await this.tryOnce(customer, units);
    }
    return admitted;
  }

  private async tryOnce(customer: string, units: number): Promise<Admitted> {
    const { clock } = this.opts;
    if (this.holder.take(clock.steadyMs(), customer, units)) return YES;
    const localWaitMs = this.holder.waitMs(clock.steadyMs(), customer, units);
    const pausedMs = (this.pausedUntilMs.get(customer) ?? 0) - clock.steadyMs();
    if (pausedMs > 0) return this.refusal(Math.min(localWaitMs, pausedMs));
    // What is here counts: only the rest is asked for.
    const missing = units - this.holder.available(clock.steadyMs(), customer);
    const lent = await this.ask(customer, Math.max(1, Math.ceil(missing)));
    const nowMs = clock.steadyMs();
    if (lent !== null && lent.units > 0) this.holder.addLoan(nowMs, customer, lent.units);
    if (this.holder.take(nowMs, customer, units)) return YES;
    // Without the lender's word, a part that never covers the request tells nothing of the rate.
    if (lent === null && !Number.isFinite(localWaitMs)) return UNKNOWN;
    this.knownAtMs = nowMs;
    const waitMs = Math.min(localWaitMs, lent?.waitMs ?? Infinity);
    if (lent !== null) this.pausedUntilMs.set(customer, nowMs + Math.min(waitMs, ASK_PAUSE_MS));
    return this.refusal(waitMs);
  }

  private refusal(waitMs: number): Admitted {
    const bounded = Math.min(LATEST_RETURN_MS, Math.max(SOONEST_RETURN_MS, waitMs));
    const retryAfterMs = waitMs < SOONEST_RETURN_MS ? waitMs : bounded;
    return { type: AdmissionType.overRate, retryAfterMs };
  }

  private ask(customer: string, units: number): Promise<Lent | null> {
    this.lastAskId += 1;
    const askId = this.lastAskId;
    if (!this.opts.ask({ askId, customer, units })) return Promise.resolve(null);
    return new Promise((resolve) => {
      const settle = (lent: Lent | null) => {
        this.asks.delete(askId);
        resolve(lent);
      };
      const timer = setTimeout(() => settle(null), ASK_TIMEOUT_MS);
      this.asks.set(askId, (lent) => {
        clearTimeout(timer);
        settle(lent);
      });
    });
  }
}
