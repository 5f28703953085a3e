/** A model engine's stand-in: options, faults, counters. */

export interface EngineOptions {
  readonly engineId: string;
  readonly memoryMb: number;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Whether it refuses orders with an old fencing number. */
  readonly fencing: boolean;
  /** Time to generate one token, ms. */
  readonly tokenMs: number;
  /** Time before the first token, ms. */
  readonly prefillMs: number;
  /** Address of the weight store. */
  readonly weights: string;
}

export interface EngineFaults {
  /** A prompt that holds this text crashes the engine; empty for none. */
  crashMarker: string;
  /** How long the prompt runs before the engine crashes, ms. */
  crashAfterMs: number;
  /** How long it stays down after a crash, ms. */
  crashDownMs: number;
  /** Streams end without their last part after this many tokens; 0 for never. */
  cutAfterTokens: number;
  /** Whether a stream that is cut looks like one that came to its end. */
  cutCleanly: boolean;
  /** Answers that carry the id of another request, from now on. */
  crossAnswers: number;
  /** Loads that fail, from now on. */
  failLoads: number;
  /** Added before each answer, ms. */
  slowMs: number;
  /** How long an order waits before it takes effect, ms. */
  orderDelayMs: number;
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
  /** Times that loads held more memory than the engine has. */
  readonly overcommits: number;
  readonly headersSeen: readonly string[];
  readonly keysSeen: readonly string[];
  readonly cancelled: number;
}
