/** Simulated engine on the virtual clock, with slots, a request queue and model loads. */
import type { VirtualClock } from '../virtual/index.js';
import { CheckpointTier, expectedLoadMs } from '../../decisions/placement/index.js';
import type { WeightStore } from './weight-store.js';

/** Fixed part of the prefill time. */
const PREFILL_MS = 20;
const PREFILL_MS_PER_TOKEN = 0.05;
/** Generation time per token on an otherwise idle engine. */
const TOKEN_MS = 20;
/** Relative increase of the time per token when all slots are busy. */
const BATCH_SLOWDOWN = 0.5;
const ADAPTER_LOAD_MS = 5;
const UNLOAD_MS = 50;

/** A model or adapter that the engine loads or holds in memory. */
export interface VirtualReplica {
  readonly target: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly bytesMb: number;
  readonly orderId: string;
  state: 'loading' | 'loaded';
  /** False once an unload was ordered. */
  wanted: boolean;
  /** Infinity while it is loading. */
  loadedAtMs: number;
  /** Requests that run on it. */
  running: number;
}

/** One execution of a request. */
export interface EngineJob {
  readonly target: string;
  readonly promptTokens: number;
  /** Tokens to generate. */
  readonly outTokens: number;
  onFirstToken(): void;
  onDone(): void;
}

/** An engine with its replicas in memory and its running and queued requests. */
export class VirtualEngine {
  /** Replicas by the id of the order that loaded them. */
  readonly replicas = new Map<string, VirtualReplica>();

  /** Integral of the memory of idle replicas over time, MB·ms. */
  idleMbMs = 0;

  /** Loads started so far. */
  loads = 0;

  private running = 0;

  private readonly queue: EngineJob[] = [];

  private accountedAtMs = 0;

  constructor(
    readonly id: string,
    readonly dataCentre: number,
    readonly memoryMb: number,
    readonly slots: number,
    /** Targets whose checkpoints are on the local disk. */
    readonly disk: Set<string>,
    private readonly clock: VirtualClock,
    private readonly store: WeightStore,
  ) {}

  /** Running and queued requests. */
  get load(): number {
    return this.running + this.queue.length;
  }

  get freeMb(): number {
    return this.memoryMb - [...this.replicas.values()].reduce((sum, r) => sum + r.bytesMb, 0);
  }

  /** Loaded targets that accept requests. */
  get targets(): readonly string[] {
    return [...this.replicas.values()]
      .filter(({ state, wanted }) => state === 'loaded' && wanted)
      .map(({ target }) => target);
  }

  /** Starts a load from the local disk or the weight store; an adapter loads in a fixed time. */
  startLoad(order: Omit<VirtualReplica, 'state' | 'wanted' | 'loadedAtMs' | 'running'>): void {
    this.accountIdleMemory();
    this.loads += 1;
    const replica: VirtualReplica = {
      ...order,
      state: 'loading',
      wanted: true,
      loadedAtMs: Infinity,
      running: 0,
    };
    this.replicas.set(order.orderId, replica);
    const done = () => {
      this.accountIdleMemory();
      this.disk.add(order.target);
      replica.state = 'loaded';
      replica.loadedAtMs = this.clock.nowMs();
    };
    if (order.adapter !== null) this.clock.after(ADAPTER_LOAD_MS, done);
    else if (this.disk.has(order.target)) {
      this.clock.after(expectedLoadMs(CheckpointTier.disk, order.bytesMb), done);
    } else this.store.fetch(order.bytesMb, done);
  }

  /** Unloads a replica after its running requests have finished. */
  stop(orderId: string): void {
    const replica = this.replicas.get(orderId);
    if (replica === undefined || !replica.wanted) return;
    Object.assign(replica, { wanted: false });
    this.unloadWhenIdle(replica);
  }

  /** Runs a request in a free slot, or queues it. */
  run(job: EngineJob): void {
    this.accountIdleMemory();
    if (this.running >= this.slots) {
      this.queue.push(job);
      return;
    }
    this.running += 1;
    const replica = this.findReplica(job.target);
    if (replica !== undefined) replica.running += 1;
    const prefillMs = PREFILL_MS + job.promptTokens * PREFILL_MS_PER_TOKEN;
    const tokenMs = TOKEN_MS * (1 + (BATCH_SLOWDOWN * this.running) / this.slots);
    this.clock.after(prefillMs, () => job.onFirstToken());
    this.clock.after(prefillMs + job.outTokens * tokenMs, () => this.finish(job, replica));
  }

  /** Adds the memory that was idle since the last call to `idleMbMs`; called before each change. */
  accountIdleMemory(): void {
    const elapsedMs = this.clock.nowMs() - this.accountedAtMs;
    this.accountedAtMs = this.clock.nowMs();
    const busyModels = new Set(
      [...this.replicas.values()].filter(({ running }) => running > 0).map(({ model }) => model),
    );
    const idleMb = [...this.replicas.values()]
      .filter(({ state, model }) => state === 'loaded' && !busyModels.has(model))
      .reduce((sum, { bytesMb }) => sum + bytesMb, 0);
    this.idleMbMs += idleMb * elapsedMs;
  }

  private findReplica(target: string): VirtualReplica | undefined {
    return [...this.replicas.values()].find((replica) => replica.target === target);
  }

  private finish(job: EngineJob, replica: VirtualReplica | undefined): void {
    this.accountIdleMemory();
    this.running -= 1;
    if (replica !== undefined) {
      Object.assign(replica, { running: replica.running - 1 });
      if (!replica.wanted) this.unloadWhenIdle(replica);
    }
    job.onDone();
    const next = this.queue.shift();
    if (next !== undefined) this.run(next);
  }

  private unloadWhenIdle(replica: VirtualReplica): void {
    if (replica.running > 0) return;
    this.clock.after(UNLOAD_MS, () => {
      this.accountIdleMemory();
      this.replicas.delete(replica.orderId);
    });
  }
}
