/** Alternative implementations of quota admission behind one interface. */
import type { Random } from '../../core/random/index.js';
import * as quota from '../../decisions/quota/index.js';
import { LoanFleet } from '../quota/loans.js';
import type { Arrival, QuotaScenario } from '../quota/types.js';
import type { VirtualClock } from '../virtual/index.js';
import type { PolicyChoice } from './types.js';

/** Quota admission: reserves tokens within the rate and burst of each customer. */
export interface Admission {
  /** Calls `onDecision` when the tokens are reserved or refused; the call may be synchronous. */
  reserve(arrival: Arrival, onDecision: (admitted: boolean) => void): void;
  /** Returns reserved tokens that were not used. */
  refund(vm: number, customer: string, tokens: number): void;
  /** Messages between daemons and to the platform so far. */
  readonly messages: number;
}

/** Quota loans between the entry VMs, as in the daemon. */
class LoanAdmission implements Admission {
  private readonly loanFleet: LoanFleet;

  private readonly pending = new Map<Arrival, (admitted: boolean) => void>();

  constructor(clock: VirtualClock, scenario: QuotaScenario, random: Random) {
    const network = { delayMs: [0.5, 1.5] as const, loss: 0, duplicates: 0 };
    this.loanFleet = new LoanFleet(clock, scenario, network, random, ({ arrival, admitted }) => {
      this.pending.get(arrival)?.(admitted);
      this.pending.delete(arrival);
    });
  }

  get messages(): number {
    return this.loanFleet.messages;
  }

  reserve(arrival: Arrival, onDecision: (admitted: boolean) => void): void {
    this.pending.set(arrival, onDecision);
    this.loanFleet.handleArrival(arrival);
  }

  refund(vm: number, customer: string, tokens: number): void {
    this.loanFleet.refund(vm, customer, tokens);
  }
}

/** Each entry VM has an equal share of every rate and refuses immediately when it is used up. */
class StaticAdmission implements Admission {
  readonly messages = 0;

  private readonly grantors: quota.LoanGrantor[];

  constructor(
    private readonly clock: VirtualClock,
    scenario: QuotaScenario,
  ) {
    const vms = scenario.dataCentres * scenario.vmsPerDataCentre;
    const limits = scenario.limits.map(({ customer, ratePerS, burst }) => ({
      customer,
      ratePerS: ratePerS / vms,
      burst: burst / vms,
    }));
    this.grantors = Array.from({ length: vms }, () => {
      const grantor = new quota.LoanGrantor(0, null);
      grantor.configure(0, limits);
      return grantor;
    });
  }

  reserve({ vm, customer, tokens }: Arrival, onDecision: (admitted: boolean) => void): void {
    const grantor = this.grantors[vm % this.grantors.length];
    onDecision(grantor?.spend(this.clock.nowMs(), customer, tokens) ?? false);
  }

  refund(vm: number, customer: string, tokens: number): void {
    this.grantors[vm % this.grantors.length]?.refund(this.clock.nowMs(), customer, tokens);
  }
}

/** One counter in the platform, read and updated for every request. */
class CentralAdmission implements Admission {
  messages = 0;

  private readonly grantor = new quota.LoanGrantor(0, null);

  constructor(
    private readonly clock: VirtualClock,
    scenario: QuotaScenario,
  ) {
    this.grantor.configure(0, scenario.limits);
  }

  reserve({ customer, tokens }: Arrival, onDecision: (admitted: boolean) => void): void {
    // A read and a conditional write.
    this.messages += 2;
    onDecision(this.grantor.spend(this.clock.nowMs(), customer, tokens));
  }

  refund(_vm: number, customer: string, tokens: number): void {
    this.messages += 2;
    this.grantor.refund(this.clock.nowMs(), customer, tokens);
  }
}

/** Creates the implementation that a policy names. */
export function createAdmission(
  kind: PolicyChoice['quota'],
  clock: VirtualClock,
  scenario: QuotaScenario,
  random: Random,
): Admission {
  if (kind === 'loans') return new LoanAdmission(clock, scenario, random);
  return kind === 'static'
    ? new StaticAdmission(clock, scenario)
    : new CentralAdmission(clock, scenario);
}
