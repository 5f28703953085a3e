/** Types of the estimate of the time to the first token. */

/**
 * How fast the servers of a service answer. The time to the first token at a server of usual speed is
 * `baseMs + loadMs * utilisation + tokens / tokensPerMs`.
 */
export interface Pace {
  /** Time without load and without a prompt, ms. */
  readonly baseMs: number;
  /** Time that a fully utilised server takes in addition, ms. */
  readonly loadMs: number;
  /** Prompt tokens that a server processes per ms. */
  readonly tokensPerMs: number;
}

/** What decides when a server would send the first token of a request. */
export interface ServerState {
  readonly dataCentre: string;
  readonly slots: number;
  /** Running requests of all entry VMs, according to the latest reports. */
  readonly running: number;
  /** Time to the first byte of a server that is in trouble, as a multiple of its peers'; else 1. */
  readonly slowness: number;
  /** Learnt duration as a multiple of its peers' median; 1 if it is unknown. */
  readonly speedRatio: number;
  /** Prompt tokens of the request that the server has to process. */
  readonly newTokens: number;
}

/** One measured time to the first token. */
export interface FirstTokenSample {
  readonly server: string;
  /** Running requests per slot when the request was sent, this one included. */
  readonly utilisation: number;
  /** Prompt tokens that the server had to process. */
  readonly newTokens: number;
  readonly tookMs: number;
}
