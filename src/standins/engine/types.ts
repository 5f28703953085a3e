/** Options, faults and counters of the engine stand-in. */

export interface EngineOptions {
  readonly engineId: string;
  readonly memoryMb: number;
  /** Maximum number of concurrent requests; others are queued. */
  readonly slots: number;
  /** Whether it rejects orders with an outdated fencing token. */
  readonly fencing: boolean;
  /** Time to generate one token, ms. */
  readonly tokenMs: number;
  /** Time before the first token, ms. */
  readonly prefillMs: number;
  /** Address of the weight store. */
  readonly weights: string;
}

export interface EngineFaults {
  /** A prompt that contains this text crashes the engine; empty for none. */
  crashMarker: string;
  /** Time from such a prompt until the engine crashes, ms. */
  crashAfterMs: number;
  /** Downtime after a crash, ms. */
  crashDownMs: number;
  /** Number of tokens after which streams end without their end marker; 0 for no limit. */
  cutAfterTokens: number;
  /** Whether such a stream ends its response normally instead of closing the connection. */
  cutCleanly: boolean;
  /** Number of upcoming responses that carry the id of another request. */
  crossAnswers: number;
  /** Number of upcoming loads that fail. */
  failLoads: number;
  /** Additional delay of each response, ms. */
  slowMs: number;
  /** Time from receiving an engine order until it takes effect, ms. */
  orderDelayMs: number;
  /** Whether the inventory shows the engine as draining. */
  leaving: boolean;
}

export interface EngineCounters {
  readonly engineId: string;
  readonly requests: number;
  readonly crashes: number;
  readonly loadsStarted: number;
  readonly loadsRunning: number;
  readonly unloads: number;
  readonly fencedOrders: number;
  readonly memoryMb: number;
  readonly peakMemoryMb: number;
  /** Number of loads that exceeded the memory of the engine. */
  readonly overcommits: number;
  /** Names of all received headers. */
  readonly headersSeen: readonly string[];
  /** API keys that were found in requests. */
  readonly keysSeen: readonly string[];
  /** Number of requests whose connection closed before the end of the response. */
  readonly cancelled: number;
}
