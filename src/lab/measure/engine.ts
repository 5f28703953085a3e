/** An engine on the virtual clock: slots, a queue, loads through the weight store. */
import type { VirtualClock } from '../virtual/index.js';
import { CheckpointTier, expectedLoadMs } from '../../decisions/placement/index.js';
import type { WeightStore } from './weight-store.js';

const PREFILL_MS = 20;
const PREFILL_MS_PER_TOKEN = 0.05;
const TOKEN_MS = 20;
/** How much slower tokens come when all slots are busy. */
const BATCH_SLOWDOWN = 0.5;
const ADAPTER_MS = 5;
const UNLOAD_MS = 50;

export interface HeldReplica {
  readonly target: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly bytesMb: number;
  readonly orderId: string;
  state: 'loading' | 'loaded';
  wanted: boolean;
  loadedAtMs: number;
  running: number;
}

export interface EngineJob {
  readonly target: string;
  readonly promptTokens: number;
  readonly outTokens: number;
  onFirstToken(): void;
  onDone(): void;
}

export class VirtualEngine {
  readonly replicas = new Map<string, HeldReplica>();

  /** Integral of idle replica memory over time, MB·ms. */
  idleMbMs = 0;

  loads = 0;

  private running = 0;

  private readonly queue: EngineJob[] = [];

  private accountedAtMs = 0;

  constructor(
    readonly id: string,
    readonly dataCentre: number,
    readonly memoryMb: number,
    readonly slots: number,
    readonly disk: Set<string>,
    private readonly clock: VirtualClock,
    private readonly store: WeightStore,
  ) {}

  get load(): number {
    return this.running + this.queue.length;
  }

  get freeMb(): number {
    return this.memoryMb - [...this.replicas.values()].reduce((sum, r) => sum + r.bytesMb, 0);
  }

  get targets(): readonly string[] {
    return [...this.replicas.values()]
      .filter(({ state, wanted }) => state === 'loaded' && wanted)
      .map(({ target }) => target);
  }

  start(replica: Omit<HeldReplica, 'state' | 'wanted' | 'loadedAtMs' | 'running'>): void {
    this.account();
    this.loads += 1;
    const held: HeldReplica = {
      ...replica,
      state: 'loading',
      wanted: true,
      loadedAtMs: Infinity,
      running: 0,
    };
    this.replicas.set(replica.orderId, held);
    const done = () => {
      this.account();
      this.disk.add(replica.target);
      held.state = 'loaded';
      held.loadedAtMs = this.clock.nowMs();
    };
    if (replica.adapter !== null) this.clock.after(ADAPTER_MS, done);
    else if (this.disk.has(replica.target)) {
      this.clock.after(expectedLoadMs(CheckpointTier.disk, replica.bytesMb), done);
    } else this.store.fetch(replica.bytesMb, done);
  }

  /** Unloads once the requests that run on the replica are done. */
  stop(orderId: string): void {
    const held = this.replicas.get(orderId);
    if (held === undefined || !held.wanted) return;
    Object.assign(held, { wanted: false });
    this.finishUnload(held);
  }

  run(job: EngineJob): void {
    this.account();
    if (this.running >= this.slots) {
      this.queue.push(job);
      return;
    }
    this.running += 1;
    const held = this.replicaOf(job.target);
    if (held !== undefined) held.running += 1;
    const prefillMs = PREFILL_MS + job.promptTokens * PREFILL_MS_PER_TOKEN;
    const tokenMs = TOKEN_MS * (1 + (BATCH_SLOWDOWN * this.running) / this.slots);
    this.clock.after(prefillMs, () => job.onFirstToken());
    this.clock.after(prefillMs + job.outTokens * tokenMs, () => this.finish(job, held));
  }

  /** Adds the time since the last change up. */
  account(): void {
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

  private replicaOf(target: string): HeldReplica | undefined {
    return [...this.replicas.values()].find((held) => held.target === target);
  }

  private finish(job: EngineJob, held: HeldReplica | undefined): void {
    this.account();
    this.running -= 1;
    if (held !== undefined) {
      Object.assign(held, { running: held.running - 1 });
      if (!held.wanted) this.finishUnload(held);
    }
    job.onDone();
    const next = this.queue.shift();
    if (next !== undefined) this.run(next);
  }

  private finishUnload(held: HeldReplica): void {
    if (held.running > 0) return;
    this.clock.after(UNLOAD_MS, () => {
      this.account();
      this.replicas.delete(held.orderId);
    });
  }
}
