/** Types of a local fleet: entry VMs and stand-ins as separate processes on one machine. */

/** A running daemon or stand-in process. */
export interface FleetProcess {
  readonly name: string;
  readonly pid: number;
  /** Fields of the `started` event that the process printed, such as its listen addresses. */
  readonly started: Readonly<Record<string, string>>;
  /** Exit code; null when a signal ended the process. */
  readonly exited: Promise<number | null>;
  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void;
}

/** An engine stand-in. */
export interface EngineSpec {
  readonly id: string;
  readonly dataCentre: string;
  /** Whether the engine checks fencing tokens. */
  readonly fencing: boolean;
  readonly memoryMb: number;
  /** Requests that the engine runs concurrently. */
  readonly slots: number;
}

/** Processes that the fleet starts. */
export interface FleetSpec {
  readonly dataCentres: readonly string[];
  /** Number of entry VMs in each data centre. */
  readonly entryVms: number;
  readonly engines: readonly EngineSpec[];
  /** Backend servers of plain services; one process for each item. */
  readonly services: readonly { readonly name: string; readonly dataCentre: string }[];
  /** Transfer rate of one load from the weight store, MB/s. */
  readonly weightsMbPerS: number;
  /** Generation time per token, ms. */
  readonly tokenMs: number;
}
