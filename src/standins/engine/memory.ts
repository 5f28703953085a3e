/** Memory of an engine stand-in: its replicas and the engine orders that change them. */
import * as undici from 'undici';
import type { EngineOptions } from './types.js';

export interface EngineReplica {
  readonly target: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly orderId: string;
  readonly bytesMb: number;
  readonly state: 'loading' | 'loaded' | 'failed';
}

export interface OrderBody {
  readonly action: string;
  readonly orderId: string;
  readonly fence: number;
  readonly target: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly bytesMb: number;
}

export class EngineMemory {
  readonly replicas = new Map<string, EngineReplica>();

  readonly counts = {
    loadsStarted: 0,
    unloads: 0,
    fencedOrders: 0,
    peakMemoryMb: 0,
    overcommits: 0,
  };

  private readonly onDisk = new Set<string>();

  private fence = 0;

  private incarnation = 0;

  constructor(private readonly opts: EngineOptions) {}

  get usedMb(): number {
    return [...this.replicas.values()].reduce((sum, replica) => sum + replica.bytesMb, 0);
  }

  get checkpointsOnDisk(): readonly string[] {
    return [...this.onDisk];
  }

  get loading(): number {
    return [...this.replicas.values()].filter(({ state }) => state === 'loading').length;
  }

  /** Drops all replicas, as a crash does; checkpoints on disk stay. */
  reset(): void {
    this.replicas.clear();
    this.incarnation += 1;
  }

  /** Whether a replica of `target` is loaded, so that requests for it can run. */
  isLoaded(target: string): boolean {
    return [...this.replicas.values()].some((r) => r.target === target && r.state === 'loaded');
  }

  /** Applies an engine order and returns the HTTP status of the response. */
  applyOrder(order: OrderBody, failLoad: boolean): number {
    if (this.opts.fencing && order.fence < this.fence) {
      this.counts.fencedOrders += 1;
      return 412;
    }
    this.fence = Math.max(this.fence, order.fence);
    if (order.action === 'load') return this.load(order, failLoad);
    if (order.action === 'unload') this.unload(order.orderId);
    return 202;
  }

  private load(order: OrderBody, failLoad: boolean): number {
    if (this.replicas.has(order.orderId)) return 202;
    const { target, model, adapter, orderId, bytesMb } = order;
    const replica: EngineReplica = { target, model, adapter, orderId, bytesMb, state: 'loading' };
    this.replicas.set(orderId, replica);
    this.counts.loadsStarted += 1;
    this.counts.peakMemoryMb = Math.max(this.counts.peakMemoryMb, this.usedMb);
    if (this.usedMb > this.opts.memoryMb) this.counts.overcommits += 1;
    void this.fetchCheckpoint(replica, failLoad, this.incarnation);
    return 202;
  }

  private async fetchCheckpoint(
    replica: EngineReplica,
    failLoad: boolean,
    incarnation: number,
  ): Promise<void> {
    const { target, adapter, bytesMb } = replica;
    let ok = !failLoad;
    if (ok && !this.onDisk.has(target)) {
      const query = `bytesMb=${bytesMb}&adapter=${adapter !== null}`;
      const url = `http://${this.opts.weights}/checkpoints/${target}?${query}`;
      ok = await undici
        .request(url)
        .then(async ({ statusCode, body }) => {
          await body.dump();
          return statusCode === 200;
        })
        .catch(() => false);
    }
    if (incarnation !== this.incarnation || !this.replicas.has(replica.orderId)) return;
    if (ok) this.onDisk.add(target);
    this.replicas.set(replica.orderId, { ...replica, state: ok ? 'loaded' : 'failed' });
  }

  private unload(orderId: string): void {
    if (this.replicas.delete(orderId)) this.counts.unloads += 1;
  }
}
