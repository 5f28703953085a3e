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

  /** Customers in a note that was built, and that is or may be stored. */
  private noted: ReadonlySet<string> = new Set();

  /** @param previous Customers that the previous lender stored. */
  constructor(private readonly previous: ReadonlySet<string>) {
    this.customers = new Set(previous);
  }

  /** Whether VMs are to get no shares of the customer's rate. */
  has(customer: string): boolean {
    return this.customers.has(customer);
  }

  /** Whether no VM held a share of the customer's rate when the previous lender's note was stored. */
  hadNoShares(customer: string): boolean {
    return this.previous.has(customer);
  }

  /** Whether a stored note says that there are no shares, so that none may be granted yet. */
  isNoted(customer: string): boolean {
    return this.noted.has(customer);
  }

  /** Whether shares may be granted of a customer's rate once a note without the customer is stored. */
  get mustStore(): boolean {
    return [...this.noted].some((customer) => !this.customers.has(customer));
  }

  /**
   * Decides whether a customer's rate is only lent.
   * @param shareUnits Units of a VM's equal share of the burst.
   * @param requestUnits Units of an average request.
   */
  update(customer: string, shareUnits: number, requestUnits: number): void {
    const isOnlyLent =
      shareUnits < requestUnits * (this.customers.has(customer) ? REGAINED_FACTOR : 1);
    if (isOnlyLent) this.customers.add(customer);
    else this.customers.delete(customer);
  }

  /** Records that a note with these customers was built, and may be stored from now on. */
  noteBuilt(customers: readonly string[]): void {
    this.noted = new Set([...this.noted, ...customers]);
  }

  /** Records that a note with these customers is stored. */
  noteStored(customers: readonly string[]): void {
    this.noted = new Set(customers);
  }
}
