/** Counts the bytes that responses hold in this process, and gives responses up beyond its bound. */
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import { ByteBudget } from '../../decisions/byte-budget/index.js';

/** The bytes that one response holds. */
export interface HeldResponse {
  /** Sets the bytes that the response holds; may give up this response or others. */
  hold(bytes: number): void;
  /** Called when the response is complete and only waits for its caller; it is not given up then. */
  complete(): void;
  release(): void;
}

interface Entry {
  readonly serverId: string;
  giveUp(): void;
}

export interface ResponseMemoryOptions {
  /** Maximum bytes of all responses together. */
  readonly maxBytes: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class ResponseMemory {
  private readonly budget: ByteBudget;

  private readonly entries = new Map<number, Entry>();

  private opened = 0;

  constructor(private readonly opts: ResponseMemoryOptions) {
    this.budget = new ByteBudget(opts.maxBytes);
  }

  /** @param giveUp Drops the response, which may already have been released. */
  open(serverId: string, giveUp: () => void): HeldResponse {
    this.opened += 1;
    const id = this.opened;
    this.entries.set(id, { serverId, giveUp });
    return {
      hold: (bytes) => this.hold(id, serverId, bytes),
      complete: () => this.budget.complete(id),
      release: () => this.release(id),
    };
  }

  private hold(id: number, serverId: string, bytes: number): void {
    // Bytes may still arrive after the response was given up.
    if (!this.entries.has(id)) return;
    const evicted = this.budget.hold(id, serverId, bytes);
    this.opts.metrics.gauge('relay_response_bytes', this.budget.bytes);
    evicted.forEach((victimId) => this.evict(victimId));
  }

  private evict(id: number): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    this.entries.delete(id);
    const { serverId } = entry;
    this.opts.metrics.count('relay_responses_evicted_total', { server: serverId });
    this.opts.logger.warn('response-evicted', { server: serverId, heldBytes: this.budget.bytes });
    entry.giveUp();
  }

  private release(id: number): void {
    this.budget.release(id);
    this.entries.delete(id);
    this.opts.metrics.gauge('relay_response_bytes', this.budget.bytes);
  }
}
