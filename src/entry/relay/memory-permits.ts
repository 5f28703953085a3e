/**
 * Asks the steward before a request is sent that could exceed a server's memory if other entry VMs sent
 * theirs at the same time. Small requests to servers with much free memory need no permit.
 */
import type { Clock } from '../../core/clock/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import { type RelayMessage, type RelayMessageOf, RelayMessageType } from './messages.js';

/** Part of a server's memory above which a request needs a permit. */
const MAX_FREE_SIZE = 0.05;
/** Part of a server's memory that requests without a permit may fill. */
const MAX_FREE_FILL = 0.5;
/** Time after which a request without an answer asks again, ms. */
const ANSWER_TIMEOUT_MS = 400;
/** Time for which a late answer is used, ms. */
const LATE_ANSWER_MS = 2_000;
/** Time for which a server is not asked for after a refusal, ms; reports change what is free. */
const REFUSAL_MS = 200;
/** Largest number of requests that wait for an answer at once. */
const MAX_ASKS = 16;

/** Memory of a server as this entry VM knows it, in tokens. */
export interface KnownMemory {
  readonly capacityTokens: number;
  readonly usedTokens: number;
}

/** A request that waits for an answer of the steward. */
interface Ask {
  readonly requestId: string;
  readonly askId: number;
  readonly atMs: number;
}

export interface MemoryPermitsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  isStewardConnected(): boolean;
  /** Sends a message to the steward; false if it could not be sent, or is not understood there. */
  send(message: RelayMessage): boolean;
  /** Places a waiting request at a server now. */
  place(requestId: string, serverId: string): void;
}

export class MemoryPermits {
  private asks: readonly Ask[] = [];

  private readonly refusals = new Map<string, { untilMs: number; tokens: number }>();

  /** Whether the steward answers; false after a message that it does not understand. */
  private isAnswered = true;

  private lastAskId = 0;

  private seenAskId = 0;

  constructor(private readonly opts: MemoryPermitsOptions) {}

  /** Highest request for a permit whose answer was handled, for the report. */
  get seen(): number {
    return this.seenAskId;
  }

  /** Whether the steward issues permits, so that no memory is kept free for unseen requests. */
  get areIssued(): boolean {
    return this.isAnswered && this.opts.isStewardConnected();
  }

  /** Whether the steward has lately refused a request of this size at the server. */
  isRefused(serverId: string, tokens: number): boolean {
    const refusal = this.refusals.get(serverId);
    if (refusal === undefined || this.opts.clock.steadyMs() >= refusal.untilMs) return false;
    return tokens >= refusal.tokens;
  }

  /**
   * Whether a request has to wait for the answer of the steward, which is asked if it was not yet. A
   * steward that does not understand this is not waited for.
   */
  mustWait(requestId: string, serverId: string, tokens: number, memory: KnownMemory): boolean {
    const { capacityTokens, usedTokens } = memory;
    if (capacityTokens === 0 || !this.opts.isStewardConnected()) return false;
    const isSmall = tokens <= capacityTokens * MAX_FREE_SIZE;
    if (isSmall && usedTokens + tokens <= capacityTokens * MAX_FREE_FILL) return false;
    const nowMs = this.opts.clock.steadyMs();
    this.asks = this.asks.filter(({ atMs }) => nowMs - atMs < LATE_ANSWER_MS);
    const pending = this.asks.filter(({ atMs }) => nowMs - atMs < ANSWER_TIMEOUT_MS);
    const isAsked = pending.some((ask) => ask.requestId === requestId);
    if (isAsked || pending.length >= MAX_ASKS) return true;
    const askId = this.lastAskId + 1;
    const type = RelayMessageType.memoryAsk;
    this.isAnswered = this.opts.send({ type, askId, serverId, tokens });
    if (!this.isAnswered) return false;
    this.lastAskId = askId;
    this.asks = [...this.asks, { requestId, askId, atMs: nowMs }];
    return true;
  }

  /** Handles an answer. A permit is used at once, or not at all: the next report tells. */
  handleReply({ askId, serverId, tokens, isGranted }: RelayMessageOf<'memory-reply'>): void {
    this.seenAskId = Math.max(this.seenAskId, askId);
    const ask = this.asks.find((one) => one.askId === askId);
    // An earlier or later request for the same one needs no further permit.
    this.asks = this.asks.filter(
      (one) => one !== ask && !(isGranted && one.requestId === ask?.requestId),
    );
    this.opts.metrics.count('relay_memory_permits_total', {
      outcome: isGranted ? 'granted' : 'refused',
    });
    if (!isGranted) {
      const untilMs = this.opts.clock.steadyMs() + REFUSAL_MS;
      this.refusals.set(serverId, { untilMs, tokens });
    } else if (ask !== undefined) this.opts.place(ask.requestId, serverId);
  }

  /** Forgets requests to an earlier steward. */
  reset(): void {
    this.isAnswered = true;
    this.asks = [];
    this.refusals.clear();
  }
}
