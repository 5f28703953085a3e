/**
 * Queues the loans that the lender can't grant yet.
 *
 * Each customer has its own queue, in the order of priority, then of arrival over all entry VMs. An
 * entry VM has one loan in it. A loan is refused at once if the lender can't grant it within the time
 * that the VM states, also if it becomes so by a more urgent loan.
 */
import type { LoanAsk } from './loan-types.js';

/** The units that can be lent; see `RateLender`. */
export interface LoanSource {
  lend(nowMs: number, customer: string, units: number): boolean;
  available(nowMs: number, customer: string): number;
  waitMs(nowMs: number, customer: string, units: number, ahead: number): number;
}

/** A loan that an entry VM asks for; `V` identifies the VM. */
export interface QueuedLoan<V> extends LoanAsk {
  readonly vm: V;
  readonly askId: number;
  readonly customer: string;
}

export interface LoanAnswer<V> {
  readonly loan: QueuedLoan<V>;
  /** Lent units; 0 for a refusal. */
  readonly units: number;
  /** Time until the units that were not lent are available, ms; Infinity for never. */
  readonly waitMs: number;
  readonly queuedMs: number;
}

type Entry<V> = QueuedLoan<V> & { readonly arrivedAtMs: number };

export class LoanQueue<V> {
  private readonly queues = new Map<string, readonly Entry<V>[]>();

  constructor(private readonly source: LoanSource) {}

  /** Number of loans in the queue. */
  get size(): number {
    return [...this.queues.values()].reduce((sum, entries) => sum + entries.length, 0);
  }

  /** Adds a loan, which replaces an earlier one of the same VM; returns the answers that are due. */
  add(nowMs: number, loan: QueuedLoan<V>): readonly LoanAnswer<V>[] {
    const others = (this.queues.get(loan.customer) ?? []).filter(({ vm }) => vm !== loan.vm);
    const firstBehind = others.findIndex(({ priority }) => priority > loan.priority);
    const at = firstBehind < 0 ? others.length : firstBehind;
    const entry = { ...loan, arrivedAtMs: nowMs };
    return this.settle(nowMs, loan.customer, [...others.slice(0, at), entry, ...others.slice(at)]);
  }

  /** Returns the answers that have become due. */
  serve(nowMs: number): readonly LoanAnswer<V>[] {
    return [...this.queues].flatMap(([customer, entries]) => this.settle(nowMs, customer, entries));
  }

  /** When the first loan of a queue can be granted; Infinity if none is queued. */
  dueAtMs(nowMs: number): number {
    const times = [...this.queues.values()].flatMap(([first]) =>
      first === undefined
        ? []
        : [nowMs + this.source.waitMs(nowMs, first.customer, first.minUnits, 0)],
    );
    return Math.min(Infinity, ...times);
  }

  private settle(
    nowMs: number,
    customer: string,
    entries: readonly Entry<V>[],
  ): readonly LoanAnswer<V>[] {
    const kept: Entry<V>[] = [];
    let ahead = 0;
    const answers = entries.flatMap((entry, at): LoanAnswer<V>[] => {
      const queuedMs = nowMs - entry.arrivedAtMs;
      if (kept.length === 0) {
        const units = this.lend(nowMs, entry, at === entries.length - 1);
        if (units > 0) {
          const waitMs = this.source.waitMs(nowMs, customer, 0, entry.units - units);
          return [{ loan: entry, units, waitMs, queuedMs }];
        }
      }
      const waitMs = this.source.waitMs(nowMs, customer, entry.minUnits, ahead);
      if (queuedMs + waitMs > entry.maxWaitMs) return [{ loan: entry, units: 0, waitMs, queuedMs }];
      kept.push(entry);
      ahead += entry.minUnits;
      return [];
    });
    if (kept.length === 0) this.queues.delete(customer);
    else this.queues.set(customer, kept);
    return answers;
  }

  /** Lends the minimum while other loans are queued behind, otherwise as much as is available. */
  private lend(nowMs: number, { customer, units, minUnits }: Entry<V>, isLast: boolean): number {
    const available = this.source.available(nowMs, customer);
    if (available < minUnits) return 0;
    const lent = isLast ? Math.max(minUnits, Math.min(units, Math.floor(available))) : minUnits;
    return this.source.lend(nowMs, customer, lent) ? lent : 0;
  }
}
