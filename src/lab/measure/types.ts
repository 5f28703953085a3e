/** Recorded traces, and what a replay of one measures. */

/** The deployment that a trace was recorded on; the first line of its file. */
export interface TraceHead {
  readonly name: string;
  readonly dataCentres: number;
  readonly vmsPerDataCentre: number;
  /** Engines, each in a data centre. */
  readonly engines: readonly {
    readonly id: string;
    readonly dataCentre: number;
    readonly memoryMb: number;
    readonly slots: number;
    /** Checkpoints on its disk at the start. */
    readonly disk: readonly string[];
  }[];
  readonly models: readonly {
    readonly name: string;
    readonly bytesMb: number;
    /** Base model, for an adapter. */
    readonly base: string | null;
  }[];
  readonly customers: readonly {
    readonly name: string;
    readonly ratePerS: number;
    readonly burst: number;
    /** Whether it sends several times its rate now and then. */
    readonly greedy: boolean;
  }[];
  readonly endMs: number;
  /** Full speed of one load from the weight store, MB/s. */
  readonly storeMbPerS: number;
}

/** One recorded request. */
export interface TraceRequest {
  readonly atMs: number;
  readonly customer: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly outTokens: number;
  readonly vm: number;
  readonly deadlineMs: number;
}

export interface Trace {
  readonly head: TraceHead;
  readonly requests: readonly TraceRequest[];
}

/** Which part of each decision is in force. */
export interface PolicyChoice {
  readonly name: string;
  readonly quota: 'loans' | 'static' | 'central';
  readonly queue: 'fair' | 'fifo';
  readonly router: 'least-loaded' | 'random';
  readonly placement: 'demand' | 'on-demand';
}

export interface CustomerMeasure {
  readonly customer: string;
  readonly requests: number;
  readonly servedInTime: number;
  readonly p95Ms: number;
}

export interface Measure {
  readonly trace: string;
  readonly policy: string;
  readonly seed: number;
  readonly requests: number;
  readonly coldStarts: number;
  /** From arrival to first token, of requests that met a cold model, ms. */
  readonly coldP50Ms: number;
  readonly coldP95Ms: number;
  readonly coldP99Ms: number;
  /** Accelerator memory that held idle replicas, as hours of whole engines. */
  readonly idleEngineHours: number;
  /** Served in time over all requests inside the rate, of the worst-served customer. */
  readonly worstServed: number;
  readonly bestServed: number;
  readonly jain: number;
  readonly worstP95Ms: number;
  /** From arrival to first token, of all requests inside the rate, ms. */
  readonly insideP99Ms: number;
  /** Refused for the rate although the customer sent within it. */
  readonly wrongfulRefusals: number;
  readonly wrongfulShare: number;
  readonly deadlineMisses: number;
  readonly messagesPerS: number;
  readonly loads: number;
}
