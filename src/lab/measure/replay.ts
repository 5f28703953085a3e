/** Replays a trace through the decision modules in a minimal simulated fleet. */
import { createRandom, type Random } from '../../core/random/index.js';
import * as fairQueue from '../../decisions/fair-queue/index.js';
import * as placement from '../../decisions/placement/index.js';
import * as routing from '../../decisions/routing/index.js';
import * as settingsTree from '../../decisions/settings-tree/index.js';
import * as naive from '../naive/index.js';
import { VirtualClock } from '../virtual/index.js';
import { type Admission, createAdmission } from './admission.js';
import { VirtualEngine } from './engine.js';
import type { PolicyChoice, Trace, TraceHeader, TraceRequest } from './types.js';
import { WeightStore } from './weight-store.js';

const TICK_MS = 25;
const PLAN_INTERVAL_MS = 100;
const REPORT_INTERVAL_MS = 1_000;
/** From a placement decision to the start of the load: a platform write and an engine order. */
const DECISION_DELAY_MS = 8;
const KEEP_WARM_MS = settingsTree.DEFAULT_VALUES.keepWarmMs;
const SERVICE = 'drafting';

/** Outcome of one request. */
export interface RequestRecord {
  readonly request: TraceRequest;
  /** Index in `ReplayResult.records`. */
  readonly index: number;
  /** Whether the router had no loaded replica of the target when the request was admitted. */
  cold: boolean;
  refusedByQuota: boolean;
  /** Infinity when no token was generated. */
  firstTokenAtMs: number;
  /** Whether the deadline passed before the first token. */
  missedDeadline: boolean;
}

/** Result of a replay. */
export interface ReplayResult {
  /** In the order of the requests of the trace. */
  readonly records: readonly RequestRecord[];
  readonly engines: readonly VirtualEngine[];
  /** Messages of quota admission and demand reports. */
  readonly messages: number;
}

/** An entry VM. */
interface Vm {
  readonly dataCentre: number;
  readonly queue: fairQueue.RequestQueue;
  readonly router: routing.Router;
}

function createTargets(header: TraceHeader): ReadonlyMap<string, placement.PlacementTarget> {
  return new Map(
    header.models.map(({ name, bytesMb, base }) => [
      name,
      {
        name,
        service: SERVICE,
        model: base ?? name,
        adapter: base === null ? null : name,
        bytesMb,
        keepWarmMs: KEEP_WARM_MS,
      },
    ]),
  );
}

class Replay {
  private readonly clock = new VirtualClock();

  private readonly engines: VirtualEngine[];

  private readonly vms: Vm[];

  private readonly admission: Admission;

  private readonly records: RequestRecord[] = [];

  private readonly targets: ReadonlyMap<string, placement.PlacementTarget>;

  private readonly usage = new placement.UsageHistory();

  private readonly policy: placement.PlacementPolicy;

  private lastOrderNumber = 0;

  private plannedAtMs = -Infinity;

  private demandMessages = 0;

  constructor(
    private readonly trace: Trace,
    private readonly choice: PolicyChoice,
    seed: number,
  ) {
    const random = createRandom(seed);
    const { header } = trace;
    const store = new WeightStore(this.clock, header.storeMbPerS);
    this.engines = header.engines.map(
      ({ id, dataCentre, memoryMb, slots, disk }) =>
        new VirtualEngine(id, dataCentre, memoryMb, slots, new Set(disk), this.clock, store),
    );
    this.vms = Array.from({ length: header.dataCentres * header.vmsPerDataCentre }, (_, index) =>
      this.createVm(Math.floor(index / header.vmsPerDataCentre), random),
    );
    const scenario = {
      dataCentres: header.dataCentres,
      vmsPerDataCentre: header.vmsPerDataCentre,
      limits: header.customers.map(({ name, ratePerS, burst }) => ({
        customer: name,
        ratePerS,
        burst,
      })),
    };
    this.admission = createAdmission(choice.quota, this.clock, scenario, random);
    this.targets = createTargets(header);
    this.policy =
      choice.placement === 'demand'
        ? new placement.DemandPlacement(this.usage)
        : new naive.OnDemandPlacement();
  }

  run(): ReplayResult {
    const { header, requests } = this.trace;
    requests.forEach((request) => {
      this.clock.at(request.atMs, () => this.handleArrival(request));
    });
    this.clock.every(TICK_MS, () => this.tick());
    this.clock.every(PLAN_INTERVAL_MS, () => this.plan());
    this.clock.every(REPORT_INTERVAL_MS, () => this.report());
    this.clock.runUntil(header.endMs);
    this.engines.forEach((engine) => engine.accountIdleMemory());
    const messages = this.admission.messages + this.demandMessages;
    return { records: this.records, engines: this.engines, messages };
  }

  private createVm(dataCentre: number, random: Random): Vm {
    const router =
      this.choice.router === 'random'
        ? new naive.RandomRouter(random)
        : new routing.LeastLoadedRouter(String(dataCentre), random);
    const queue = this.choice.queue === 'fifo' ? new naive.FifoQueue() : new fairQueue.FairQueue();
    return { dataCentre, queue, router };
  }

  private handleArrival(request: TraceRequest): void {
    const record: RequestRecord = {
      request,
      index: this.records.length,
      cold: false,
      refusedByQuota: false,
      firstTokenAtMs: Infinity,
      missedDeadline: false,
    };
    this.records.push(record);
    const index = request.vm % this.vms.length;
    const { customer, promptTokens, maxTokens, atMs, deadlineMs } = request;
    const tokens = promptTokens + maxTokens;
    this.admission.reserve(
      { atMs, vm: index, customer, tokens, maxWaitMs: deadlineMs },
      (admitted) => {
        if (admitted) this.enqueue(record, index);
        else record.refusedByQuota = true;
      },
    );
  }

  /** Queues an admitted request at its entry VM. */
  private enqueue(record: RequestRecord, index: number): void {
    const vm = this.vms[index];
    if (vm === undefined) return;
    const { request } = record;
    const nowMs = this.clock.nowMs();
    this.usage.note(nowMs, request.model);
    const query = { target: request.model, prefixKey: null, exclude: [], avoid: [] };
    const cold = vm.router.route(nowMs, query).type === routing.RouteOutcome.cold;
    Object.assign(record, { cold });
    vm.queue.push({
      id: String(record.index),
      customer: request.customer,
      target: request.model,
      lane: request.model,
      cost: request.promptTokens + request.maxTokens,
      weight: 1,
      deadlineAtMs: request.atMs + request.deadlineMs,
      arrivedAtMs: nowMs,
    });
    this.dispatchQueued(vm, index);
  }

  /** Removes expired requests from the queues and retries the dispatch of the others. */
  private tick(): void {
    this.vms.forEach((vm, index) => {
      vm.queue.takeExpired(this.clock.nowMs()).forEach(({ id }) => {
        const record = this.records[Number(id)];
        if (record === undefined) return;
        record.missedDeadline = true;
        const { customer, promptTokens, maxTokens } = record.request;
        this.admission.refund(index, customer, promptTokens + maxTokens);
      });
      if (vm.queue.size > 0) this.dispatchQueued(vm, index);
    });
  }

  /** Sends queued requests to engines while their targets are loaded. */
  private dispatchQueued(vm: Vm, index: number): void {
    const queryOf = (target: string) => ({ target, prefixKey: null, exclude: [], avoid: [] });
    const canRun = (lane: string) =>
      vm.router.route(this.clock.nowMs(), queryOf(lane)).type === routing.RouteOutcome.chosen;
    let next = vm.queue.take(canRun);
    while (next !== null) {
      const decision = vm.router.route(this.clock.nowMs(), queryOf(next.target));
      if (decision.type !== routing.RouteOutcome.chosen) break;
      this.runOnEngine(vm, index, Number(next.id), decision.engine.engineId);
      next = vm.queue.take(canRun);
    }
  }

  private runOnEngine(vm: Vm, index: number, recordIndex: number, engineId: string): void {
    const record = this.records[recordIndex];
    const engine = this.engines.find(({ id }) => id === engineId);
    if (record === undefined || engine === undefined) return;
    const { model, promptTokens, maxTokens, outTokens, customer, deadlineMs, atMs } =
      record.request;
    vm.router.started(engineId);
    engine.run({
      target: model,
      promptTokens,
      outTokens,
      onFirstToken: () => {
        record.firstTokenAtMs = this.clock.nowMs();
        record.missedDeadline = record.firstTokenAtMs > atMs + deadlineMs;
      },
      onDone: () => {
        vm.router.finished(this.clock.nowMs(), engineId, true);
        this.usage.note(this.clock.nowMs(), model);
        this.admission.refund(index, customer, maxTokens - outTokens);
        this.dispatchQueued(vm, index);
      },
    });
  }

  /** Demand of all entry VMs, merged as by the steward of each model's loading data centre. */
  private demands(): readonly placement.ReplicaDemand[] {
    const vmDemands = this.vms.flatMap(({ queue }) => queue.demands());
    this.demandMessages += this.vms.filter(({ queue }) => queue.size > 0).length;
    return placement.joinDemands(vmDemands);
  }

  /** Runs a planning pass; its actions take effect after `DECISION_DELAY_MS`. */
  private plan(): void {
    const nowMs = this.clock.nowMs();
    const demands = this.demands();
    // Without demand a pass only manages idle replicas, for which one pass per second is enough.
    if (demands.length === 0 && nowMs - this.plannedAtMs < REPORT_INTERVAL_MS) return;
    this.plannedAtMs = nowMs;
    const view: placement.PlacementView = {
      nowMs,
      targets: this.targets,
      engines: this.engines.map((engine) => this.createEngineView(engine)),
      demands,
      lastUsedAtMs: (target) => this.usage.lastUsedAtMs(target),
    };
    const actions = this.policy.plan(view);
    this.clock.after(DECISION_DELAY_MS, () => {
      actions.forEach((action) => this.execute(action));
      if (actions.length > 0) this.report();
    });
    if (demands.length > 0) this.report();
  }

  private execute(action: placement.PlacementAction): void {
    const engine = this.engines.find(({ id }) => id === action.engineId);
    if (engine === undefined) return;
    if (action.type === placement.PlacementActionType.unload) {
      engine.stop(action.orderId);
      return;
    }
    this.lastOrderNumber += 1;
    const { name: target, model, adapter, bytesMb } = action.target;
    if (engine.freeMb < bytesMb) return;
    engine.startLoad({ target, model, adapter, bytesMb, orderId: String(this.lastOrderNumber) });
  }

  private createEngineView(engine: VirtualEngine): placement.EngineView {
    return {
      engineId: engine.id,
      service: SERVICE,
      memoryMb: engine.memoryMb,
      freeMb: engine.freeMb,
      ready: true,
      reachable: true,
      leaving: false,
      replicas: [...engine.replicas.values()],
      checkpoints: new Map(
        [...engine.disk].map((name) => [name, placement.CheckpointTier.disk] as const),
      ),
      load: engine.load,
      slots: engine.slots,
    };
  }

  /** Sends the state of all engines to the routers of all entry VMs. */
  private report(): void {
    this.engines.forEach((engine) => {
      const { id: engineId, dataCentre, slots, targets, load } = engine;
      this.vms.forEach(({ router }) => {
        router.update({
          engineId,
          dataCentre: String(dataCentre),
          address: engineId,
          slots,
          targets,
          load,
          leaving: false,
        });
      });
    });
  }
}

/** Replays `trace` under the policy `choice`; the same seed gives the same result. */
export function replay(trace: Trace, choice: PolicyChoice, seed: number): ReplayResult {
  return new Replay(trace, choice, seed).run();
}
