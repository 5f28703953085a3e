/** Ways to admit within a customer's rate, behind one interface. */
import type { Random } from '../../core/random/index.js';
import * as quota from '../../decisions/quota/index.js';
import { LoanFleet } from '../quota/loans.js';
import type { Arrival, QuotaShape } from '../quota/types.js';
import type { VirtualClock } from '../virtual/index.js';
import type { PolicyChoice } from './types.js';

export interface Admission {
  reserve(arrival: Arrival, onSettled: (admitted: boolean) => void): void;
  refund(vm: number, customer: string, tokens: number): void;
  /** Messages between daemons and to the platform so far. */
  readonly messages: number;
}

/** Loans between the entry VMs. */
class LoanAdmission implements Admission {
  private readonly fleet: LoanFleet;

  private readonly pending = new Map<Arrival, (admitted: boolean) => void>();

  constructor(clock: VirtualClock, shape: QuotaShape, random: Random) {
    const network = { delayMs: [0.5, 1.5] as const, loss: 0, duplicates: 0 };
    this.fleet = new LoanFleet(clock, shape, network, random, ({ arrival, admitted }) => {
      this.pending.get(arrival)?.(admitted);
      this.pending.delete(arrival);
    });
  }

  get messages(): number {
    return this.fleet.messages;
  }

  reserve(arrival: Arrival, onSettled: (admitted: boolean) => void): void {
    this.pending.set(arrival, onSettled);
    this.fleet.arrive(arrival);
  }

  refund(vm: number, customer: string, tokens: number): void {
    this.fleet.refund(vm, customer, tokens);
  }
}

/** Each entry VM owns an equal part of every rate, and refuses at once when it is dry. */
class StaticAdmission implements Admission {
  readonly messages = 0;

  private readonly givers: quota.QuotaGiver[];

  constructor(
    private readonly clock: VirtualClock,
    shape: QuotaShape,
  ) {
    const vms = shape.dataCentres * shape.vmsPerDataCentre;
    const limits = shape.limits.map(({ customer, ratePerS, burst }) => ({
      customer,
      ratePerS: ratePerS / vms,
      burst: burst / vms,
    }));
    this.givers = Array.from({ length: vms }, () => {
      const giver = new quota.QuotaGiver(0, null);
      giver.configure(0, limits);
      return giver;
    });
  }

  reserve({ vm, customer, tokens }: Arrival, onSettled: (admitted: boolean) => void): void {
    const giver = this.givers[vm % this.givers.length];
    onSettled(giver?.spend(this.clock.nowMs(), customer, tokens) ?? false);
  }

  refund(vm: number, customer: string, tokens: number): void {
    this.givers[vm % this.givers.length]?.refund(this.clock.nowMs(), customer, tokens);
  }
}

/** One counter in the platform, asked for every request. */
class CentralAdmission implements Admission {
  messages = 0;

  private readonly giver = new quota.QuotaGiver(0, null);

  constructor(
    private readonly clock: VirtualClock,
    shape: QuotaShape,
  ) {
    this.giver.configure(0, shape.limits);
  }

  reserve({ customer, tokens }: Arrival, onSettled: (admitted: boolean) => void): void {
    // A read and a conditional update.
    this.messages += 2;
    onSettled(this.giver.spend(this.clock.nowMs(), customer, tokens));
  }

  refund(_vm: number, customer: string, tokens: number): void {
    this.messages += 2;
    this.giver.refund(this.clock.nowMs(), customer, tokens);
  }
}

export function createAdmission(
  kind: PolicyChoice['quota'],
  clock: VirtualClock,
  shape: QuotaShape,
  random: Random,
): Admission {
  if (kind === 'loans') return new LoanAdmission(clock, shape, random);
  return kind === 'static' ? new StaticAdmission(clock, shape) : new CentralAdmission(clock, shape);
}
