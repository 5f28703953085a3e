/** A fleet of separate processes on one machine. */

/** A process that the launcher started. */
export interface FleetProcess {
  readonly name: string;
  readonly pid: number;
  /** What it printed when it was up. */
  readonly started: Readonly<Record<string, string>>;
  readonly exited: Promise<number | null>;
  signal(name: NodeJS.Signals): void;
}

export interface EngineSpec {
  readonly id: string;
  readonly dataCentre: string;
  readonly fencing: boolean;
  readonly memoryMb: number;
  readonly slots: number;
}

export interface FleetSpec {
  readonly dataCentres: readonly string[];
  /** Entry VMs of each data centre. */
  readonly entryVms: number;
  readonly engines: readonly EngineSpec[];
  /** Plain services by name; each runs in every data centre named. */
  readonly services: readonly { readonly name: string; readonly dataCentre: string }[];
  /** Speed of the weight store, MB/s of each load. */
  readonly weightsMbPerS: number;
  /** Time of a token, ms. */
  readonly tokenMs: number;
}
