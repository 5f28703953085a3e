/** Types for replays of quota admission over several entry VMs. */

/** A request that arrives at an entry VM and needs tokens. */
export interface Arrival {
  readonly atMs: number;
  /** Index of the entry VM. */
  readonly vm: number;
  readonly customer: string;
  readonly tokens: number;
  /** Longest time that the request waits for tokens, ms. */
  readonly maxWaitMs: number;
}

/** Admission decision for a request. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly admitted: boolean;
  /** Time of the decision. */
  readonly atMs: number;
}

/** Size of the fleet and limits of the customers. */
export interface QuotaScenario {
  readonly dataCentres: number;
  readonly vmsPerDataCentre: number;
  readonly limits: readonly {
    readonly customer: string;
    /** Tokens per second. */
    readonly ratePerS: number;
    /** Tokens. */
    readonly burst: number;
  }[];
}

/** Simulated network between the entry VMs. */
export interface Network {
  /** Minimum and maximum delay of a message, ms. */
  readonly delayMs: readonly [number, number];
  /** Fraction of the messages that are lost. */
  readonly loss: number;
  /** Fraction of the messages that are delivered twice. */
  readonly duplicates: number;
}

/** An injected fault, or the end of all network cuts (`heal`). */
export interface FleetFault {
  readonly atMs: number;
  readonly type: 'kill-vm' | 'replace-lender' | 'cut-data-centre' | 'heal';
  /** Index of an entry VM; cuts and lender replacements affect its data centre. */
  readonly index: number;
}
