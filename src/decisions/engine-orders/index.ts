/**
 * The orders of one engine, one at a time.
 *
 * An order without an answer may be carried out seconds later, as long as the engine's count of
 * orders is the one that it names. It is sent again unchanged until an answer or the count shows
 * that it can't run any more; until then its memory stays charged and nothing else is ordered.
 *
 * A model's load is over when the engine says so: the same order sent again would load it again.
 * An unload is over once its runs have ended; until then the next order would be turned down.
 * An adapter's load takes a few milliseconds and lets the next order in meanwhile.
 */
import type { HeldModel } from '../fleet-plan/index.js';
import {
  type Order,
  OrderOutcome,
  type OrderSizes,
  type OrderStep,
  OrderStepType,
  type Sighting,
} from './types.js';

export * from './types.js';

/** Pause before an order without an answer is sent again, ms. */
const RESEND_MS = 100;
/** Pause between questions whether an order has been carried out, ms. */
const ASK_AGAIN_MS = 60;
/** Pause after an order was turned down because another one is under way, doubled each time, ms. */
const CONFLICT_MS = 30;
const LONGEST_CONFLICT_MS = 240;
/** After this many refusals the engine's count goes before the one that was kept here. */
const CONFLICTS_TO_DOUBT = 8;
/** A step that takes longer than this is given up, ms. */
const LONGEST_STEP_MS = 20_000;

/** Beyond its usual time a load is taken for done, ms: reports lag by more. */
const LOAD_MARGIN_MS = 30;
/** Time for the engine to show it, ms; after that the load takes longer than usual. */
const BELIEVED_MS = 300;
/** Adapter steps that may wait at once: an engine takes four on their way. */
const MOST_ADAPTER_STEPS = 6;

/** An adapter's name with its model's. */
function nameOf({ model, adapter }: OrderStep): string {
  return `${model}/${adapter}`;
}

const Phase = {
  /** Not sent, or to be sent again. */
  due: 'due',
  /** On its way. */
  sent: 'sent',
  /** Accepted; the model is looked for in reports. */
  underWay: 'under-way',
} as const;
type Phase = (typeof Phase)[keyof typeof Phase];

interface Current {
  readonly step: OrderStep;
  phase: Phase;
  /** Count of orders that every copy of this order names. */
  expected: number;
  /** Whether a copy got no answer and may still run. */
  loose: boolean;
  accepted: boolean;
  /** How often it was turned down because another order is under way or the count differs. */
  conflicts: number;
  readonly begunAtMs: number;
  nextAtMs: number;
}

/** A model's unload that was accepted and may wait for its runs. */
interface Unloading {
  readonly model: string;
  /** Count of orders once it was accepted. */
  readonly count: number;
  readonly notBeforeMs: number;
}

function conflictPauseMs({ conflicts }: Current): number {
  return Math.min(LONGEST_CONFLICT_MS, CONFLICT_MS * 2 ** conflicts);
}

export class EngineOrders {
  private models = new Map<string, Set<string>>();

  private readonly steps: OrderStep[] = [];

  private current: Current | null = null;

  private count: number | null = null;

  private bornMs = 0;

  private needsReport = true;

  private notBeforeMs = 0;

  private unloadUnderWay: Unloading | null = null;

  /** When adapters are there whose load was accepted, by MODEL/NAME. */
  private readonly readyAtMs = new Map<string, number>();

  constructor(private readonly sizes: OrderSizes) {}

  /** Whether a step is under way or waits. */
  get busy(): boolean {
    return this.current !== null || this.steps.length > 0;
  }

  /** Whether the engine's own word is wanted before the next order. */
  get wantsReport(): boolean {
    return this.needsReport;
  }

  /** Models that hold, with their adapters. */
  get held(): ReadonlyMap<string, ReadonlySet<string>> {
    return this.models;
  }

  /** Adapters of a held model that can be used now. */
  readyAdapters(nowMs: number, model: string): readonly string[] {
    return [...(this.models.get(model) ?? [])].filter(
      (adapter) => (this.readyAtMs.get(`${model}/${adapter}`) ?? 0) <= nowMs,
    );
  }

  /** Whether all that is under way or waits are adapters, so that more may be added. */
  get hasOnlyAdapters(): boolean {
    const steps = this.pendingSteps();
    return steps.length < MOST_ADAPTER_STEPS && steps.every(({ adapter }) => adapter !== null);
  }

  /** Models that are being loaded or wait for it. */
  get loading(): readonly string[] {
    return this.pendingSteps()
      .filter(({ type, adapter }) => type === OrderStepType.load && adapter === null)
      .map(({ model }) => model);
  }

  /** Adapters that are being loaded or wait for it, as MODEL/NAME. */
  get loadingAdapters(): readonly string[] {
    return this.pendingSteps()
      .filter(({ type, adapter }) => type === OrderStepType.load && adapter !== null)
      .map(nameOf);
  }

  /** Models that are being unloaded or wait for it: nothing new is sent to them. */
  get unloading(): readonly string[] {
    return this.pendingSteps()
      .filter(({ type, adapter }) => type === OrderStepType.unload && adapter === null)
      .map(({ model }) => model);
  }

  /** Adapters that wait to be unloaded, as MODEL/NAME. */
  get leavingAdapters(): readonly string[] {
    return this.pendingSteps()
      .filter(({ type, adapter }) => type === OrderStepType.unload && adapter !== null)
      .map(nameOf);
  }

  /** Memory that is taken once all steps are done, and what leaves is still counted, MB. */
  get chargedMb(): number {
    const coming = this.pendingSteps()
      .filter(({ type }) => type === OrderStepType.load)
      .reduce((sum, step) => sum + this.sizeOf(step), 0);
    return this.heldMb() + coming;
  }

  /** Adapter places that are taken once all steps are done. */
  get chargedAdapters(): number {
    return this.heldAdapters() + this.loadingAdapters.length - this.leavingAdapters.length;
  }

  /**
   * Adds steps; the caller has checked that there will be room. None is sent before `notBeforeMs`,
   * so that others can stop sending work to what is unloaded.
   */
  add(steps: readonly OrderStep[], notBeforeMs = 0): void {
    this.steps.push(...steps);
    this.notBeforeMs = notBeforeMs;
  }

  /** Models whose load should be over by its usual time, though the engine has not said so. */
  probablyLoaded(nowMs: number): readonly string[] {
    const { current } = this;
    if (current === null || !this.isModelLoad(current)) return [];
    const overdueMs = nowMs - current.nextAtMs - LOAD_MARGIN_MS;
    return overdueMs >= 0 && overdueMs < BELIEVED_MS ? [current.step.model] : [];
  }

  /** Takes in what the engine says; older words than those known change nothing. */
  observe(sighting: Sighting): void {
    const { bornMs, count } = sighting;
    if (bornMs !== 0 && bornMs < this.bornMs) return;
    if (bornMs > this.bornMs) this.restart(bornMs);
    // The answer to the order on its way says more than a report that may or may not know of it.
    if (this.current?.phase === Phase.sent) return;
    const doubted = this.current !== null && !this.current.accepted;
    const mistaken =
      doubted && !sighting.busy && (this.current?.conflicts ?? 0) >= CONFLICTS_TO_DOUBT;
    const known = this.count;
    if (known !== null && count < known && !mistaken) return;
    this.count = count;
    if (!sighting.busy && count >= (this.unloadUnderWay?.count ?? 0)) this.unloadUnderWay = null;
    if (known !== null && count !== known) this.noteOthers(sighting);
    if (this.current !== null && this.isModelLoad(this.current)) this.noteLoadSeen(sighting);
    // While it is busy with somebody else's order, what it will hold is not known.
    if (!this.busy) {
      if (sighting.busy) return;
      this.replaceHeld(sighting.models);
      this.needsReport = false;
    } else if (this.current === null || !this.current.loose) {
      this.needsReport = false;
    }
  }

  /** The count moved without an answer: by an order of ours that was lost, or by another steward's. */
  private noteOthers(sighting: Sighting): void {
    if (this.current?.loose === true && !this.current.accepted) this.resolve(sighting);
    else this.abandon();
  }

  /** The order to send now; null while there is none. */
  next(nowMs: number): Order | null {
    if (this.current === null) this.begin(nowMs);
    const { current } = this;
    if (current === null || this.count === null) return null;
    if (current.phase === Phase.sent || nowMs < current.nextAtMs) return null;
    if (this.isModelLoad(current)) {
      this.needsReport = true;
      return null;
    }
    if (this.notBeforeMs > nowMs || this.isUnloading(nowMs)) return null;
    if (this.needsReport && !current.loose && !current.accepted && current.conflicts === 0)
      return null;
    if (!current.loose && !this.fits(current.step)) {
      this.abandon();
      return null;
    }
    current.phase = Phase.sent;
    if (!current.loose) current.expected = this.count;
    const { type, model, adapter } = current.step;
    return { type, model, adapter, expected: current.expected };
  }

  /** Takes in the answer to the order that `next` gave. */
  answered(nowMs: number, outcome: OrderOutcome): void {
    const { current } = this;
    if (current === null || current.phase !== Phase.sent) return;
    current.phase = current.accepted ? Phase.underWay : Phase.due;
    current.nextAtMs = nowMs + ASK_AGAIN_MS;
    switch (outcome) {
      case OrderOutcome.accepted:
        this.noteAccepted(nowMs, current);
        break;
      case OrderOutcome.done:
        // An unload that was done at once counts; what held already does not.
        if (current.step.type === OrderStepType.unload) this.count = current.expected + 1;
        this.finish(current.step);
        break;
      case OrderOutcome.conflict:
        // Not carried out by this copy: an earlier order runs, or the count has moved on.
        current.conflicts += 1;
        current.nextAtMs = nowMs + (current.accepted ? ASK_AGAIN_MS : conflictPauseMs(current));
        if (!current.accepted) this.needsReport = true;
        break;
      case OrderOutcome.unknown:
        current.loose = !current.accepted;
        current.nextAtMs = nowMs + RESEND_MS;
        break;
      default:
        this.abandon();
    }
    if (nowMs - current.begunAtMs > LONGEST_STEP_MS) this.abandon();
  }

  /** Whether a model's unload still waits for its runs, as far as known. */
  private isUnloading(nowMs: number): boolean {
    if (this.unloadUnderWay === null) return false;
    const { model, notBeforeMs } = this.unloadUnderWay;
    if (nowMs < notBeforeMs) return true;
    const waits = this.sizes.running(model) > 0;
    if (waits) this.needsReport = true;
    else this.unloadUnderWay = null;
    return waits;
  }

  private noteAccepted(nowMs: number, current: Current): void {
    this.count = Math.max(this.count ?? 0, current.expected + 1);
    const { step } = current;
    if (step.type === OrderStepType.unload && step.adapter === null) {
      const notBeforeMs = nowMs + this.sizes.expectedMs(step);
      this.unloadUnderWay = { model: step.model, count: this.count, notBeforeMs };
    }
    if (current.step.type === OrderStepType.unload || current.step.adapter !== null) {
      this.finish(current.step);
      if (current.step.type === OrderStepType.load) {
        this.readyAtMs.set(nameOf(current.step), nowMs + this.sizes.expectedMs(current.step));
      }
      return;
    }
    // Accepted again after it was under way: it had ended otherwise, and begins anew.
    Object.assign(current, {
      accepted: true,
      phase: Phase.underWay,
      loose: false,
      nextAtMs: nowMs + this.sizes.expectedMs(current.step),
    });
  }

  /** The count moved while an order was loose: it ran, or can't run any more. */
  private resolve(sighting: Sighting): void {
    const { current } = this;
    if (current === null) return;
    const { type, model, adapter } = current.step;
    const seen = sighting.models.find(({ name }) => name === model);
    const present =
      adapter === null ? seen !== undefined : seen?.adapters.includes(adapter) === true;
    current.loose = false;
    const isLoad = type === OrderStepType.load;
    if (present === isLoad) {
      this.finish(current.step);
      return;
    }
    current.accepted = sighting.busy;
    current.phase = sighting.busy ? Phase.underWay : Phase.due;
  }

  /** Whether a model's load was accepted and has not been seen to end. */
  private isModelLoad(current: Current): boolean {
    return current.accepted && current.step.adapter === null;
  }

  private noteLoadSeen({ busy, models }: Sighting): void {
    const { current } = this;
    if (current === null || busy) return;
    if (models.some(({ name }) => name === current.step.model)) this.finish(current.step);
    else this.abandon();
  }

  /** Whether a load has room beside all that is held; the engine would crash otherwise. */
  private fits(step: OrderStep): boolean {
    if (step.type === OrderStepType.unload) return true;
    const places = step.adapter === null ? 0 : 1;
    return (
      this.heldMb() + this.sizeOf(step) <= this.sizes.memoryMb &&
      this.heldAdapters() + places <= this.sizes.adapterSlots
    );
  }

  private sizeOf({ model, adapter }: OrderStep): number {
    return adapter === null ? this.sizes.modelMb(model) : this.sizes.adapterMb(model);
  }

  private heldMb(): number {
    return [...this.models].reduce(
      (sum, [model, adapters]) =>
        sum + this.sizes.modelMb(model) + adapters.size * this.sizes.adapterMb(model),
      0,
    );
  }

  private heldAdapters(): number {
    return [...this.models.values()].reduce((sum, adapters) => sum + adapters.size, 0);
  }

  private begin(nowMs: number): void {
    const step = this.steps.shift();
    if (step === undefined) return;
    this.current = {
      step,
      phase: Phase.due,
      expected: 0,
      loose: false,
      accepted: false,
      conflicts: 0,
      begunAtMs: nowMs,
      nextAtMs: nowMs,
    };
  }

  private finish(step: OrderStep): void {
    this.current = null;
    if (step.type === OrderStepType.unload) {
      this.dropHeld(step);
      return;
    }
    if (step.adapter === null)
      this.models.set(step.model, this.models.get(step.model) ?? new Set());
    else this.models.get(step.model)?.add(step.adapter);
  }

  private dropHeld({ model, adapter }: OrderStep): void {
    if (adapter === null) this.models.delete(model);
    else this.models.get(model)?.delete(adapter);
  }

  /** Gives up what was planned; the engine's own word decides what it holds. */
  private abandon(): void {
    this.current = null;
    this.steps.length = 0;
    this.needsReport = true;
  }

  private restart(bornMs: number): void {
    this.bornMs = bornMs;
    this.count = null;
    this.unloadUnderWay = null;
    this.models = new Map();
    this.abandon();
  }

  private replaceHeld(models: readonly HeldModel[]): void {
    this.models = new Map(models.map(({ name, adapters }) => [name, new Set(adapters)]));
  }

  private pendingSteps(): readonly OrderStep[] {
    return this.current === null ? this.steps : [this.current.step, ...this.steps];
  }
}
