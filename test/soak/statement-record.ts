/** What a backend server asks of the entry VMs in its answers, and the requests that it gets. */

/** Time after an answer in which requests that its VM had sent before may arrive, ms. */
const IN_FLIGHT_MS = 500;

interface Arrival {
  readonly atMs: number;
  readonly id: string;
}

/** An answer that asks for no more requests until some time. */
interface Statement extends Arrival {
  readonly untilMs: number;
}

export class StatementRecord {
  private readonly arrivals: Arrival[] = [];

  private readonly statements: Statement[] = [];

  noteArrival(id: string): void {
    this.arrivals.push({ atMs: performance.now(), id });
  }

  /** Records that the answer to request `id` asks for no more requests until `untilMs`. */
  noteStatement(id: string, untilMs: number): void {
    this.statements.push({ atMs: performance.now(), id, untilMs });
  }

  /** VMs that have had an answer with the statement. */
  informed(vmOf: (id: string) => number): ReadonlySet<number> {
    return new Set(this.statements.map(({ id }) => vmOf(id)));
  }

  /** Number of requests that came after the end that the answers named. */
  get arrivalsAfterEnd(): number {
    const endMs = Math.max(...this.statements.map(({ untilMs }) => untilMs));
    return this.arrivals.filter(({ atMs }) => atMs >= endMs).length;
  }

  /**
   * Requests that a VM sent although it had an answer that asks for none, as text. A VM without such
   * an answer may send requests.
   * @param vmOf The VM that a request was sent to, by its id.
   */
  violations(vmOf: (id: string) => number): readonly string[] {
    return this.arrivals.flatMap(({ atMs, id }) => {
      const statement = this.statements.find(
        (other) =>
          vmOf(other.id) === vmOf(id) && atMs > other.atMs + IN_FLIGHT_MS && atMs < other.untilMs,
      );
      if (statement === undefined) return [];
      const afterMs = Math.round(atMs - statement.atMs);
      const leftMs = Math.round(statement.untilMs - atMs);
      return [
        `${id} of VM ${vmOf(id)}: ${afterMs} ms after the answer, ${leftMs} ms before the end`,
      ];
    });
  }
}
