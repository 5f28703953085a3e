/** Ways to keep a customer's rate over several entry VMs, to be compared by replay. */

/** A request for tokens at one entry VM. */
export interface Arrival {
  readonly atMs: number;
  readonly vm: number;
  readonly customer: string;
  readonly tokens: number;
  /** Longest wait, ms. */
  readonly patienceMs: number;
}

export interface Outcome {
  readonly arrival: Arrival;
  readonly admitted: boolean;
  readonly atMs: number;
}

export interface QuotaShape {
  readonly dataCentres: number;
  readonly vmsPerDataCentre: number;
  readonly limits: readonly {
    readonly customer: string;
    readonly ratePerS: number;
    readonly burst: number;
  }[];
}

export interface Network {
  /** Shortest and longest time of a message, ms. */
  readonly delayMs: readonly [number, number];
  /** Part of the messages that is lost. */
  readonly loss: number;
  /** Part of the messages that arrives twice. */
  readonly duplicates: number;
}

/** Something that happens to the fleet. */
export interface Disturbance {
  readonly atMs: number;
  readonly type: 'kill-vm' | 'replace-lender' | 'cut-data-centre' | 'heal';
  readonly index: number;
}
