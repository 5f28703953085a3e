/**
 * Tracks the customers whose rate is only lent, because a VM's share would not cover one request.
 *
 * The steward stores them with the allowances. A lender that follows another one then knows that no VM
 * holds a share of their rates, however many VMs have not reported to it: a partition of a third of the
 * VMs would otherwise leave it nothing to lend until their shares had expired.
 */

/**
 * Factor by which a share must exceed an average request before shares are granted again. Averages and
 * the number of VMs vary, and each change is written to the platform store.
 */
const REGAINED_FACTOR = 1.25;

export class LentOnly {
  private readonly customers: Set<string>;

  /** Customers that are stored, or may be: a list that was built may take effect later. Null for all. */
  private stored: ReadonlySet<string> | null = new Set();

  /** @param previous Customers that the previous lender stored: of their rates, VMs hold no shares. */
  constructor(readonly previous: ReadonlySet<string>) {
    this.customers = new Set(previous);
  }

  /** Whether VMs are to get no shares of the customer's rate. */
  has(customer: string): boolean {
    return this.customers.has(customer);
  }

  /** Whether the next lender may find the customer in the store, so that no share may be granted. */
  mayBeStored(customer: string): boolean {
    return this.stored === null || this.stored.has(customer);
  }

  /** Whether a list without some customer is to be stored, so that shares of its rate may be granted. */
  get mustStore(): boolean {
    return this.stored === null || [...this.stored].some((customer) => !this.has(customer));
  }

  /**
   * Decides whether a customer's rate is only lent.
   * @param shareUnits Units of a VM's equal share of the burst.
   * @param requestUnits Units of an average request.
   */
  update(customer: string, shareUnits: number, requestUnits: number): void {
    const neededUnits = requestUnits * (this.has(customer) ? REGAINED_FACTOR : 1);
    if (shareUnits < neededUnits) this.customers.add(customer);
    else this.customers.delete(customer);
  }

  /** Records that a list was built, which may be stored from now on. */
  addBuilt(customers: readonly string[]): void {
    if (this.stored !== null) this.stored = new Set([...this.stored, ...customers]);
  }

  /** Records that a list is stored; null if it is unknown which one is. */
  setStored(customers: readonly string[] | null): void {
    this.stored = customers === null ? null : new Set(customers);
  }
}
