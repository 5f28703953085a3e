/** Replays a trace through the decisions, with the least of a fleet around them. */
import { createRandom, type Random } from '../../core/random/index.js';
import * as fairQueue from '../../decisions/fair-queue/index.js';
import * as placement from '../../decisions/placement/index.js';
import * as routing from '../../decisions/routing/index.js';
import * as settingsTree from '../../decisions/settings-tree/index.js';
import * as naive from '../naive/index.js';
import { VirtualClock } from '../virtual/index.js';
import { type Admission, createAdmission } from './admission.js';
import { VirtualEngine } from './engine.js';
import type { PolicyChoice, Trace, TraceHead, TraceRequest } from './types.js';
import { WeightStore } from './weight-store.js';

const TICK_MS = 25;
const PLAN_EVERY_MS = 100;
const REPORT_EVERY_MS = 1_000;
/** From a decision to the engine's start: a platform write and an order, ms. */
const DECISION_MS = 8;
const KEEP_WARM_MS = settingsTree.DEFAULT_VALUES.keepWarmMs;
const SERVICE = 'drafting';

/** What became of one request. */
export interface RequestRecord {
  readonly request: TraceRequest;
  /** Place among the records. */
  readonly index: number;
  /** It found no replica when it was admitted. */
  cold: boolean;
  refusedForRate: boolean;
  firstTokenAtMs: number;
  missed: boolean;
}

export interface ReplayResult {
  readonly records: readonly RequestRecord[];
  readonly engines: readonly VirtualEngine[];
  readonly messages: number;
}

interface Vm {
  readonly dataCentre: number;
  readonly queue: fairQueue.RequestQueue;
  readonly router: routing.Router;
}

function targetsOf(head: TraceHead): ReadonlyMap<string, placement.PlacementTarget> {
  return new Map(
    head.models.map(({ name, bytesMb, base }) => [
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

  private orders = 0;

  private plannedAtMs = -Infinity;

  private demandMessages = 0;

  constructor(
    private readonly trace: Trace,
    private readonly choice: PolicyChoice,
    seed: number,
  ) {
    const random = createRandom(seed);
    const { head } = trace;
    const store = new WeightStore(this.clock, head.storeMbPerS);
    this.engines = head.engines.map(
      ({ id, dataCentre, memoryMb, slots, disk }) =>
        new VirtualEngine(id, dataCentre, memoryMb, slots, new Set(disk), this.clock, store),
    );
    this.vms = Array.from({ length: head.dataCentres * head.vmsPerDataCentre }, (_, index) =>
      this.createVm(Math.floor(index / head.vmsPerDataCentre), random),
    );
    const shape = {
      dataCentres: head.dataCentres,
      vmsPerDataCentre: head.vmsPerDataCentre,
      limits: head.customers.map(({ name, ratePerS, burst }) => ({
        customer: name,
        ratePerS,
        burst,
      })),
    };
    this.admission = createAdmission(choice.quota, this.clock, shape, random);
    this.targets = targetsOf(head);
    this.policy =
      choice.placement === 'demand'
        ? new placement.DemandPlacement(this.usage)
        : new naive.OnDemandPlacement();
  }

  run(): ReplayResult {
    const { head, requests } = this.trace;
    requests.forEach((request) => {
      this.clock.at(request.atMs, () => this.arrive(request));
    });
    this.clock.every(TICK_MS, () => this.tick());
    this.clock.every(PLAN_EVERY_MS, () => this.plan());
    this.clock.every(REPORT_EVERY_MS, () => this.report());
    this.clock.runUntil(head.endMs);
    this.engines.forEach((engine) => engine.account());
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

  private arrive(request: TraceRequest): void {
    const record: RequestRecord = {
      request,
      index: this.records.length,
      cold: false,
      refusedForRate: false,
      firstTokenAtMs: Infinity,
      missed: false,
    };
    this.records.push(record);
    const index = request.vm % this.vms.length;
    const { customer, promptTokens, maxTokens, atMs, deadlineMs } = request;
    const tokens = promptTokens + maxTokens;
    this.admission.reserve(
      { atMs, vm: index, customer, tokens, patienceMs: deadlineMs },
      (admitted) => {
        if (admitted) this.enqueue(record, index);
        else record.refusedForRate = true;
      },
    );
  }

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
    this.pump(vm, index);
  }

  private tick(): void {
    this.vms.forEach((vm, index) => {
      vm.queue.takeLate(this.clock.nowMs()).forEach(({ id }) => {
        const record = this.records[Number(id)];
        if (record === undefined) return;
        record.missed = true;
        const { customer, promptTokens, maxTokens } = record.request;
        this.admission.refund(index, customer, promptTokens + maxTokens);
      });
      if (vm.queue.size > 0) this.pump(vm, index);
    });
  }

  private pump(vm: Vm, index: number): void {
    const queryOf = (target: string) => ({ target, prefixKey: null, exclude: [], avoid: [] });
    const canRun = (lane: string) =>
      vm.router.route(this.clock.nowMs(), queryOf(lane)).type === routing.RouteOutcome.chosen;
    let next = vm.queue.take(canRun);
    while (next !== null) {
      const decision = vm.router.route(this.clock.nowMs(), queryOf(next.target));
      if (decision.type !== routing.RouteOutcome.chosen) break;
      this.runOn(vm, index, Number(next.id), decision.engine.engineId);
      next = vm.queue.take(canRun);
    }
  }

  private runOn(vm: Vm, index: number, recordIndex: number, engineId: string): void {
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
        record.missed = record.firstTokenAtMs > atMs + deadlineMs;
      },
      onDone: () => {
        vm.router.finished(this.clock.nowMs(), engineId, true);
        this.usage.note(this.clock.nowMs(), model);
        this.admission.refund(index, customer, maxTokens - outTokens);
        this.pump(vm, index);
      },
    });
  }

  /** Demand of all entry VMs joined at the steward of each model's home. */
  private demands(): readonly placement.WakeDemand[] {
    const all = this.vms.flatMap(({ queue }) => queue.demands());
    this.demandMessages += this.vms.filter(({ queue }) => queue.size > 0).length;
    return placement.joinDemands(all);
  }

  private plan(): void {
    const nowMs = this.clock.nowMs();
    const demands = this.demands();
    // Idle replicas need no plan ten times a second.
    if (demands.length === 0 && nowMs - this.plannedAtMs < REPORT_EVERY_MS) return;
    this.plannedAtMs = nowMs;
    const view: placement.PlacementView = {
      nowMs,
      targets: this.targets,
      engines: this.engines.map((engine) => this.viewOf(engine)),
      demands,
      lastUsedAtMs: (target) => this.usage.lastUsedAtMs(target),
    };
    const actions = this.policy.plan(view);
    this.clock.after(DECISION_MS, () => {
      actions.forEach((action) => this.act(action));
      if (actions.length > 0) this.report();
    });
    if (demands.length > 0) this.report();
  }

  private act(action: placement.PlacementAction): void {
    const engine = this.engines.find(({ id }) => id === action.engineId);
    if (engine === undefined) return;
    if (action.type === placement.PlacementActionType.unload) {
      engine.stop(action.orderId);
      return;
    }
    this.orders += 1;
    const { name: target, model, adapter, bytesMb } = action.target;
    if (engine.freeMb < bytesMb) return;
    engine.start({ target, model, adapter, bytesMb, orderId: String(this.orders) });
  }

  private viewOf(engine: VirtualEngine): placement.EngineView {
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

/** Replays `trace` under one choice of policy. */
export function replay(trace: Trace, choice: PolicyChoice, seed: number): ReplayResult {
  return new Replay(trace, choice, seed).run();
}
