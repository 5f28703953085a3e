/**
 * Decides whether this entry VM is partitioned from the servers of a service, from its own attempts
 * to connect to them.
 *
 * A connection to one server that fails says little: the server may have ended. The other servers
 * are then probed. Only if the connections to several of them, or to all of a small service, fail
 * with none made in between, is the VM partitioned. Bytes on established connections don't count,
 * since these may live on in a partition. A VM cannot tell a partition from the end of all servers
 * at once; other VMs and the store can.
 */

/** Servers whose connections must fail; all of them if the service has fewer, but at least two. */
const MAX_FAILING = 5;
const MIN_FAILING = 2;
/** Age from which on a failed attempt no longer counts while the VM is not partitioned, ms. */
const FAILURE_TTL_MS = 2_000;
/** Time after a connection was made until a mere suspicion causes probes, ms. */
const MIN_ROUND_MS = 1_000;
/** Servers that are probed first if the result is needed at once. */
const URGENT_PROBES = 1;
/** Interval at which servers are probed during a partition, ms, and their number. */
const PARTITION_PROBE_MS = 250;
const PARTITION_PROBES = 2;

interface ListedServer {
  readonly id: string;
  readonly service: string;
  readonly leaving: boolean;
}

/** A service whose servers became reachable or unreachable. */
export interface ReachabilityChange {
  readonly service: string;
  readonly isPartitioned: boolean;
  /** When the first of the connections failed, ms. */
  readonly sinceMs: number;
}

interface ServiceRecord {
  /** Servers that are not leaving, in the order in which they are probed. */
  servers: readonly string[];
  /** Servers whose last connection failed, with the time at which that attempt began. */
  readonly failed: Map<string, number>;
  /** When a connection to any of the servers was last made. */
  connectedAtMs: number;
  readonly probing: Set<string>;
  /** Since when connections fail; null while the VM is not partitioned from the service. */
  sinceMs: number | null;
  /** Whether a round of probes is to be made. */
  isSuspected: boolean;
  /** Whether it is to be made at once, and others until the result is known. */
  isUrgent: boolean;
  /** When servers were last probed. */
  probedAtMs: number;
  /** Number of probes during partitions, so that all servers are probed in turn. */
  probes: number;
}

function createRecord(): ServiceRecord {
  return {
    servers: [],
    failed: new Map(),
    connectedAtMs: -Infinity,
    probing: new Set(),
    sinceMs: null,
    isSuspected: false,
    isUrgent: false,
    probedAtMs: -Infinity,
    probes: 0,
  };
}

export class Reachability {
  private readonly services = new Map<string, ServiceRecord>();

  private serviceOf = new Map<string, string>();

  private changes: ReachabilityChange[] = [];

  /** Sets the list of servers. Leaving ones are not probed. */
  setServers(servers: Iterable<ListedServer>): void {
    const staying = [...servers].filter(({ leaving }) => !leaving);
    this.serviceOf = new Map(staying.map(({ id, service }) => [id, service]));
    staying.forEach(({ service }) => {
      if (!this.services.has(service)) this.services.set(service, createRecord());
    });
    this.services.forEach((record, service) => {
      const ids = staying.filter((server) => server.service === service).map(({ id }) => id);
      const listed = new Set(ids);
      Object.assign(record, { servers: ids });
      [...record.failed.keys()]
        .filter((id) => !listed.has(id))
        .forEach((id) => record.failed.delete(id));
      if (ids.length === 0) this.endPartition(service, record);
    });
  }

  /** Records that a new connection to a server was made. */
  noteConnected(nowMs: number, id: string): void {
    const service = this.serviceOf.get(id);
    const record = this.recordOf(id);
    if (record === undefined || service === undefined) return;
    record.probing.delete(id);
    record.failed.delete(id);
    Object.assign(record, { connectedAtMs: nowMs, isSuspected: false, isUrgent: false });
    this.endPartition(service, record);
  }

  /** Records that a new connection to a server, begun at `startedAtMs`, could not be made. */
  noteConnectFailure(nowMs: number, id: string, startedAtMs: number): void {
    const service = this.serviceOf.get(id);
    const record = this.recordOf(id);
    if (record === undefined || service === undefined) return;
    record.probing.delete(id);
    record.failed.set(id, startedAtMs);
    if (record.sinceMs !== null || startedAtMs <= record.connectedAtMs) return;
    const counted = Reachability.countedFailures(nowMs, record);
    Object.assign(record, { isSuspected: true });
    if (counted.length < Reachability.failuresNeeded(record)) return;
    const sinceMs = Math.min(...counted.map(([, atMs]) => atMs));
    Object.assign(record, { sinceMs, isUrgent: false });
    this.changes.push({ service, isPartitioned: true, sinceMs });
  }

  /**
   * Records a sign of a partition that is no proof, such as a connection that broke.
   * @param isUrgent Whether to probe although a connection has been made just before.
   */
  noteSuspicion(service: string, isUrgent = false): void {
    const record = this.services.get(service);
    if (record === undefined) return;
    Object.assign(record, { isSuspected: true, isUrgent: record.isUrgent || isUrgent });
  }

  /** Servers to which connections are to be made now, to learn whether they can be made. */
  nextProbes(nowMs: number): readonly string[] {
    return [...this.services.values()].flatMap((record) => {
      const isRound = record.sinceMs === null;
      const ids = isRound ? Reachability.round(nowMs, record) : Reachability.inTurn(nowMs, record);
      if (ids.length > 0) Object.assign(record, { probedAtMs: nowMs });
      ids.forEach((id) => record.probing.add(id));
      return ids;
    });
  }

  /** Whether new connections to the service's servers can't be made. */
  isPartitioned(service: string): boolean {
    return this.sinceMs(service) !== null;
  }

  /** Since when they can't be made, ms; null if they can. */
  sinceMs(service: string): number | null {
    return this.services.get(service)?.sinceMs ?? null;
  }

  /** Whether probes are on their way, or due, that may show a partition from the service. */
  isUndecided(nowMs: number, service: string): boolean {
    const record = this.services.get(service);
    if (record === undefined || record.sinceMs !== null) return false;
    const isDue =
      Reachability.isRoundDue(nowMs, record) && Reachability.unproved(nowMs, record).length > 0;
    return isDue || record.probing.size > 0;
  }

  /** When a connection to any server of the service was last made, ms; -Infinity for never. */
  connectedAtMs(service: string): number {
    return this.services.get(service)?.connectedAtMs ?? -Infinity;
  }

  /** Services from which this VM is partitioned. */
  partitionedServices(): readonly string[] {
    return [...this.services].filter(([, { sinceMs }]) => sinceMs !== null).map(([name]) => name);
  }

  /** The changes since the last call. */
  takeChanges(): readonly ReachabilityChange[] {
    const { changes } = this;
    this.changes = [];
    return changes;
  }

  private recordOf(id: string): ServiceRecord | undefined {
    const service = this.serviceOf.get(id);
    return service === undefined ? undefined : this.services.get(service);
  }

  /** Failed attempts that began after the last connection was made. */
  private static countedFailures(nowMs: number, { failed, connectedAtMs }: ServiceRecord) {
    return [...failed].filter(([, atMs]) => atMs > connectedAtMs && nowMs - atMs <= FAILURE_TTL_MS);
  }

  private static failuresNeeded({ servers }: ServiceRecord): number {
    return Math.max(MIN_FAILING, Math.min(MAX_FAILING, servers.length));
  }

  private endPartition(service: string, record: ServiceRecord): void {
    const { sinceMs } = record;
    if (sinceMs === null) return;
    Object.assign(record, { sinceMs: null });
    this.changes.push({ service, isPartitioned: false, sinceMs });
  }

  /** Whether to probe: a mere suspicion counts for nothing soon after a connection was made. */
  private static isRoundDue(nowMs: number, record: ServiceRecord): boolean {
    const { isSuspected, isUrgent, connectedAtMs } = record;
    return isSuspected && (isUrgent || nowMs - connectedAtMs >= MIN_ROUND_MS);
  }

  /** Servers that, if their connections fail as well, show that this VM is partitioned. */
  private static round(nowMs: number, record: ServiceRecord): readonly string[] {
    const { failed, isUrgent } = record;
    if (!Reachability.isRoundDue(nowMs, record)) return [];
    Object.assign(record, { isSuspected: false });
    const unproved = Reachability.unproved(nowMs, record);
    // Servers whose last connection failed may have ended, and so tell less than the others.
    const inOrder = [...unproved].sort((a, b) => Number(failed.has(a)) - Number(failed.has(b)));
    const counted = Reachability.countedFailures(nowMs, record).length;
    const missing = Math.max(1, Reachability.failuresNeeded(record) - counted);
    return inOrder.slice(0, isUrgent && counted === 0 ? Math.min(URGENT_PROBES, missing) : missing);
  }

  /** Servers whose connections have not failed lately and that are not being probed. */
  private static unproved(nowMs: number, record: ServiceRecord): readonly string[] {
    const failed = new Map(Reachability.countedFailures(nowMs, record));
    return record.servers.filter((id) => !failed.has(id) && !record.probing.has(id));
  }

  private static inTurn(nowMs: number, record: ServiceRecord): readonly string[] {
    if (nowMs - record.probedAtMs < PARTITION_PROBE_MS) return [];
    const { servers, probing, probes } = record;
    const ids = Array.from(
      { length: Math.min(PARTITION_PROBES, servers.length) },
      (_, at) => servers[(probes + at) % servers.length] as string,
    );
    Object.assign(record, { probes: probes + ids.length });
    return ids.filter((id) => !probing.has(id));
  }
}
