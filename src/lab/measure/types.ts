/** Types of recorded traces and of the measures of a replay. */

/** The deployment that a trace belongs to; first line of the trace file. */
export interface TraceHeader {
  readonly name: string;
  readonly dataCentres: number;
  readonly vmsPerDataCentre: number;
  /** Engines; `dataCentre` is the index of a data centre. */
  readonly engines: readonly {
    readonly id: string;
    readonly dataCentre: number;
    readonly memoryMb: number;
    readonly slots: number;
    /** Models whose checkpoints are on the local disk at the start. */
    readonly disk: readonly string[];
  }[];
  readonly models: readonly {
    readonly name: string;
    readonly bytesMb: number;
    /** Base model of an adapter; null for a model. */
    readonly base: string | null;
  }[];
  readonly customers: readonly {
    readonly name: string;
    /** Tokens per second. */
    readonly ratePerS: number;
    /** Tokens. */
    readonly burst: number;
    /** Whether the trace has a period in which the customer sends at several times its rate. */
    readonly greedy: boolean;
  }[];
  /** Duration of the trace, ms. */
  readonly endMs: number;
  /** Transfer rate of one load from the weight store without contention, MB/s. */
  readonly storeMbPerS: number;
}

/** One recorded request. */
export interface TraceRequest {
  /** Arrival, ms from the start of the trace. */
  readonly atMs: number;
  readonly customer: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Tokens that the engine generates. */
  readonly outTokens: number;
  /** Index of the entry VM that receives the request. */
  readonly vm: number;
  /** Time budget from arrival to the first token, ms. */
  readonly deadlineMs: number;
}

export interface Trace {
  readonly header: TraceHeader;
  readonly requests: readonly TraceRequest[];
}

/** Implementation of each decision in a replay. */
export interface PolicyChoice {
  readonly name: string;
  readonly quota: 'loans' | 'static' | 'central';
  readonly queue: 'fair' | 'fifo';
  readonly router: 'least-loaded' | 'random';
  readonly placement: 'demand' | 'on-demand';
}

/** Measures of the requests of one customer that are within its rate. */
export interface CustomerMeasure {
  readonly customer: string;
  readonly requests: number;
  /** Requests with a first token before the deadline. */
  readonly servedInTime: number;
  /** From arrival to first token, ms. */
  readonly p95Ms: number;
}

/** Measures of one replay. */
export interface Measure {
  readonly trace: string;
  readonly policy: string;
  readonly seed: number;
  readonly requests: number;
  /** Requests whose target had no loaded replica on admission. */
  readonly coldStarts: number;
  /** From arrival to first token, of the cold starts, ms. */
  readonly coldP50Ms: number;
  readonly coldP95Ms: number;
  readonly coldP99Ms: number;
  /** Accelerator memory occupied by idle replicas over time, in hours of one full engine. */
  readonly idleEngineHours: number;
  /** Fraction of in-rate requests served in time: minimum over the customers. */
  readonly worstServed: number;
  /** The same fraction: maximum over the customers. */
  readonly bestServed: number;
  /** Jain's fairness index of the customers' fractions; 1 when all are equal. */
  readonly jain: number;
  /** 95th percentile from arrival to first token: maximum over the customers, ms. */
  readonly worstP95Ms: number;
  /** From arrival to first token, of all in-rate requests, ms. */
  readonly insideP99Ms: number;
  /** In-rate requests that quota admission refused. */
  readonly wrongfulRefusals: number;
  /** `wrongfulRefusals` as a fraction of the in-rate requests. */
  readonly wrongfulShare: number;
  /** Admitted requests whose deadline passed before the first token. */
  readonly deadlineMisses: number;
  /** Messages of quota admission and demand reports. */
  readonly messagesPerS: number;
  /** Loads that the engines started. */
  readonly loads: number;
}
