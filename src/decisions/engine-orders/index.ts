/**
 * Sends load and unload orders to one engine, one at a time.
 *
 * An engine counts the orders that it has accepted since its start. Each order names the expected
 * count, and the engine rejects the order if the counts differ. An order without a response may
 * still be executed seconds later while the counts match. Such an order is resent unchanged until a
 * response or the reported count rules out a late execution. Until then, its memory stays reserved
 * and no other order is sent.
 *
 * A model load ends when an engine report shows the model. Its order is not resent after
 * acceptance, because the engine could load the model a second time. A model unload ends when the
 * requests that use the model have ended; the engine rejects further orders until then. An adapter
 * load takes a few milliseconds and does not block the next order.
 */
import type { LoadedModel } from '../fleet-plan/index.js';
import {
  type EngineProfile,
  type Order,
  OrderOutcome,
  type OrderStep,
  OrderStepType,
  type ReportedState,
} from './types.js';

export * from './types.js';

/** Pause before an order without a response is resent, ms. */
const RESEND_PAUSE_MS = 100;
/** Pause before an order that may be in progress is resent to learn its outcome, ms. */
const OUTCOME_POLL_MS = 60;
/**
 * Base of the exponential backoff after the engine rejected an order as conflicting, ms. The first
 * backoff is twice this value.
 */
const CONFLICT_BACKOFF_MS = 30;
/** Upper bound of the backoff after a conflict, ms. */
const MAX_CONFLICT_BACKOFF_MS = 240;
/**
 * Conflicts after which the local order count is presumed stale. A lower reported count can then
 * replace it.
 */
const CONFLICTS_UNTIL_STALE = 8;
/** Time after which a step is abandoned, ms. Checked only when a response arrives. */
const STEP_TIMEOUT_MS = 20_000;

/**
 * Time after the expected end of a model load until the model is presumed loaded, ms. Waiting for
 * the report would take longer, since reports lag by more than this.
 */
const LOAD_MARGIN_MS = 30;
/**
 * Time for which a model is presumed loaded without a report that shows it, ms. If no report shows
 * the model by then, the load is taking longer than expected.
 */
const PRESUMED_LOADED_MS = 300;
/** Maximum number of pending adapter steps; an engine runs up to four adapter loads at once. */
const MAX_ADAPTER_STEPS = 6;

/** Formats the adapter of a step as MODEL/ADAPTER. */
function adapterName({ model, adapter }: OrderStep): string {
  return `${model}/${adapter}`;
}

const Phase = {
  /** Not sent yet, or to be resent. */
  due: 'due',
  /** Sent; its response is pending. */
  sent: 'sent',
  /** Accepted; completion is detected from reports. */
  underWay: 'under-way',
} as const;
type Phase = (typeof Phase)[keyof typeof Phase];

/** The step in progress. Its order may be sent several times. */
interface CurrentStep {
  readonly step: OrderStep;
  phase: Phase;
  /** Accepted order count that the order names each time it is sent. */
  expected: number;
  /** Whether the order is unresolved: it got no response and may still be executed. */
  unresolved: boolean;
  accepted: boolean;
  /** Number of rejections because another order was in progress or the order count differed. */
  conflicts: number;
  readonly startedAtMs: number;
  /** When the order was first sent; null before. */
  sentAtMs: number | null;
  /** When the engine accepted the order of a model load; null before, and for other orders. */
  acceptedAtMs: number | null;
  /** Earliest time to send the order; for an accepted model load, its expected end. */
  nextAtMs: number;
}

/** An accepted model unload that may be waiting for requests that use the model. */
interface PendingUnload {
  readonly model: string;
  /** The engine's accepted order count after the unload. */
  readonly acceptedOrders: number;
  /** Expected end of the unload if no request uses the model. */
  readonly notBeforeMs: number;
}

function conflictBackoffMs({ conflicts }: CurrentStep): number {
  return Math.min(MAX_CONFLICT_BACKOFF_MS, CONFLICT_BACKOFF_MS * 2 ** conflicts);
}

export class EngineOrders {
  private models = new Map<string, Set<string>>();

  private readonly steps: OrderStep[] = [];

  private current: CurrentStep | null = null;

  private acceptedOrders: number | null = null;

  private bornMs = 0;

  private reportNeeded = true;

  /** Whether a report has shown the engine without an order in progress since its start. */
  private isStateKnown = false;

  private notBeforeMs = 0;

  private pendingUnload: PendingUnload | null = null;

  /** Whether the engine carries out a model order of another steward, such as the last one. */
  hasForeignOrder = false;

  /** Expected end of each accepted adapter load, by MODEL/ADAPTER. */
  private readonly adapterReadyAtMs = new Map<string, number>();

  constructor(private readonly profile: EngineProfile) {}

  /** Whether a step is in progress or queued. */
  get busy(): boolean {
    return this.current !== null || this.steps.length > 0;
  }

  /** Whether a new engine report is needed before the next order. */
  get needsReport(): boolean {
    return this.reportNeeded;
  }

  /** Loaded models with their adapters. */
  get loadedModels(): ReadonlyMap<string, ReadonlySet<string>> {
    return this.models;
  }

  /** Adapters of a loaded model whose loads have completed. */
  readyAdapters(nowMs: number, model: string): readonly string[] {
    return [...(this.models.get(model) ?? [])].filter(
      (adapter) => (this.adapterReadyAtMs.get(`${model}/${adapter}`) ?? 0) <= nowMs,
    );
  }

  /**
   * Whether adapter steps can be added: all pending steps are adapter steps, and there are fewer
   * than `MAX_ADAPTER_STEPS`.
   */
  get acceptsAdapterSteps(): boolean {
    const steps = this.pendingSteps();
    return steps.length < MAX_ADAPTER_STEPS && steps.every(({ adapter }) => adapter !== null);
  }

  /** Models that are being loaded or queued to be loaded. */
  get loading(): readonly string[] {
    return this.pendingSteps()
      .filter(({ type, adapter }) => type === OrderStepType.load && adapter === null)
      .map(({ model }) => model);
  }

  /**
   * When the engine accepted the model load in progress, ms; null if it has accepted none: a load waits
   * for the runs of the model that is unloaded for it.
   */
  get loadAcceptedAtMs(): number | null {
    return this.current?.acceptedAtMs ?? null;
  }

  /** Adapters that are being loaded or queued to be loaded, as MODEL/ADAPTER. */
  get loadingAdapters(): readonly string[] {
    return this.pendingSteps()
      .filter(({ type, adapter }) => type === OrderStepType.load && adapter !== null)
      .map(adapterName);
  }

  /** Models that are being unloaded or queued to be unloaded; they get no new requests. */
  get unloading(): readonly string[] {
    return this.pendingSteps()
      .filter(({ type, adapter }) => type === OrderStepType.unload && adapter === null)
      .map(({ model }) => model);
  }

  /** Adapters that are being unloaded or queued to be unloaded, as MODEL/ADAPTER. */
  get unloadingAdapters(): readonly string[] {
    return this.pendingSteps()
      .filter(({ type, adapter }) => type === OrderStepType.unload && adapter !== null)
      .map(adapterName);
  }

  /**
   * Memory of everything that is loaded or queued to be loaded, MB. Pending unloads still count.
   */
  get reservedMb(): number {
    const loadingMb = this.pendingSteps()
      .filter(({ type }) => type === OrderStepType.load)
      .reduce((sum, step) => sum + this.sizeOf(step), 0);
    return this.loadedMb() + loadingMb;
  }

  /** Adapter slots in use once all pending steps have completed. */
  get reservedAdapterSlots(): number {
    return this.loadedAdapterCount() + this.loadingAdapters.length - this.unloadingAdapters.length;
  }

  /**
   * Queues steps; the caller has checked that they will fit. No step is sent before `notBeforeMs`,
   * so that entry VMs can first stop sending requests to the models and adapters to unload.
   */
  add(steps: readonly OrderStep[], notBeforeMs = 0): void {
    this.steps.push(...steps);
    this.notBeforeMs = notBeforeMs;
  }

  /** Models whose load should have completed, although no report has shown it yet. */
  presumedLoaded(nowMs: number): readonly string[] {
    const { current } = this;
    if (current === null || !this.isLoadingModel(current)) return [];
    const overdueMs = nowMs - current.nextAtMs - LOAD_MARGIN_MS;
    return overdueMs >= 0 && overdueMs < PRESUMED_LOADED_MS ? [current.step.model] : [];
  }

  /** Applies a report from the engine. Reports that are older than the known state are ignored. */
  observe(report: ReportedState): void {
    const { bornMs, acceptedOrders } = report;
    if (bornMs !== 0 && bornMs < this.bornMs) return;
    if (bornMs > this.bornMs) this.resetForRestart(bornMs);
    // Wait for the pending response. The report may predate the execution of the order.
    if (this.current?.phase === Phase.sent) return;
    const isUnaccepted = this.current !== null && !this.current.accepted;
    const isLocalCountStale =
      isUnaccepted && !report.busy && (this.current?.conflicts ?? 0) >= CONFLICTS_UNTIL_STALE;
    const previousCount = this.acceptedOrders;
    if (previousCount !== null && acceptedOrders < previousCount && !isLocalCountStale) return;
    this.acceptedOrders = acceptedOrders;
    if (!report.busy && acceptedOrders >= (this.pendingUnload?.acceptedOrders ?? 0))
      this.pendingUnload = null;
    if (previousCount !== null && acceptedOrders !== previousCount)
      this.handleUnexpectedCount(report);
    if (this.current !== null && this.isLoadingModel(this.current)) this.handleLoadReport(report);
    // While the engine executes another steward's order, its resulting state is unknown.
    this.hasForeignOrder = report.busy && !this.busy;
    if (!this.busy) {
      // No order is sent until its end, but requests may go to what it has loaded meanwhile.
      if (!report.busy || !this.isStateKnown) this.replaceLoaded(report.models);
      if (report.busy) return;
      this.isStateKnown = true;
      this.reportNeeded = false;
    } else if (this.current === null || !this.current.unresolved) {
      this.reportNeeded = false;
    }
  }

  /**
   * Handles an accepted order count that changed without a response: an unresolved order has been
   * executed, or another steward has sent an order.
   */
  private handleUnexpectedCount(report: ReportedState): void {
    if (this.current?.unresolved === true && !this.current.accepted) this.resolveOrder(report);
    else this.dropSteps();
  }

  /** Returns the order to send now, or null if there is none. */
  next(nowMs: number): Order | null {
    if (this.current === null) this.startNextStep(nowMs);
    const { current } = this;
    if (current === null || this.acceptedOrders === null) return null;
    if (current.phase === Phase.sent || nowMs < current.nextAtMs) return null;
    if (this.isLoadingModel(current)) {
      this.reportNeeded = true;
      return null;
    }
    if (this.notBeforeMs > nowMs || this.isUnloading(nowMs)) return null;
    if (this.reportNeeded && !current.unresolved && !current.accepted && current.conflicts === 0)
      return null;
    if (!current.unresolved && !this.fits(current.step)) {
      this.dropSteps();
      return null;
    }
    current.phase = Phase.sent;
    current.sentAtMs ??= nowMs;
    if (!current.unresolved) current.expected = this.acceptedOrders;
    const { type, model, adapter } = current.step;
    return { type, model, adapter, expected: current.expected };
  }

  /** Handles the response to the order that `next` returned. */
  answered(nowMs: number, outcome: OrderOutcome): void {
    const { current } = this;
    if (current === null || current.phase !== Phase.sent) return;
    current.phase = current.accepted ? Phase.underWay : Phase.due;
    current.nextAtMs = nowMs + OUTCOME_POLL_MS;
    switch (outcome) {
      case OrderOutcome.accepted:
        this.handleAccepted(nowMs, current);
        break;
      case OrderOutcome.done:
        // An unload that completes at once is included in the accepted order count. A load of a
        // model or adapter that is already loaded is not.
        if (current.step.type === OrderStepType.unload) this.acceptedOrders = current.expected + 1;
        this.finishStep(current.step);
        break;
      case OrderOutcome.conflict:
        // Not executed this time: an earlier order is in progress, or the order count has changed.
        current.conflicts += 1;
        current.nextAtMs =
          nowMs + (current.accepted ? OUTCOME_POLL_MS : conflictBackoffMs(current));
        if (!current.accepted) this.reportNeeded = true;
        break;
      case OrderOutcome.unknown:
        current.unresolved = !current.accepted;
        current.nextAtMs = nowMs + RESEND_PAUSE_MS;
        break;
      default:
        this.dropSteps();
    }
    if (nowMs - current.startedAtMs > STEP_TIMEOUT_MS) this.dropSteps();
  }

  /** Whether an unload is in progress: before its expected end, or while requests use the model. */
  private isUnloading(nowMs: number): boolean {
    if (this.pendingUnload === null) return false;
    const { model, notBeforeMs } = this.pendingUnload;
    if (nowMs < notBeforeMs) return true;
    const isWaiting = this.profile.running(model) > 0;
    if (isWaiting) this.reportNeeded = true;
    else this.pendingUnload = null;
    return isWaiting;
  }

  private handleAccepted(nowMs: number, current: CurrentStep): void {
    this.acceptedOrders = Math.max(this.acceptedOrders ?? 0, current.expected + 1);
    const { step } = current;
    if (step.type === OrderStepType.unload && step.adapter === null) {
      const notBeforeMs = nowMs + this.profile.expectedMs(step);
      this.pendingUnload = { model: step.model, acceptedOrders: this.acceptedOrders, notBeforeMs };
    }
    if (current.step.type === OrderStepType.unload || current.step.adapter !== null) {
      this.finishStep(current.step);
      if (current.step.type === OrderStepType.load) {
        this.adapterReadyAtMs.set(
          adapterName(current.step),
          nowMs + this.profile.expectedMs(current.step),
        );
      }
      return;
    }
    // An accepted model load stays the current step until a report shows its end. If the order is
    // accepted a second time, the earlier load ended without the model and now starts again.
    Object.assign(current, {
      accepted: true,
      phase: Phase.underWay,
      unresolved: false,
      acceptedAtMs: nowMs,
      nextAtMs: nowMs + this.profile.expectedMs(current.step),
    });
  }

  /**
   * Resolves an order after the accepted order count has changed. The order has been executed, or
   * the engine will reject it from now on.
   */
  private resolveOrder(report: ReportedState): void {
    const { current } = this;
    if (current === null) return;
    const { type, model, adapter } = current.step;
    const reported = report.models.find(({ name }) => name === model);
    const isPresent =
      adapter === null ? reported !== undefined : reported?.adapters.includes(adapter) === true;
    current.unresolved = false;
    const isLoad = type === OrderStepType.load;
    if (isPresent === isLoad) {
      this.finishStep(current.step);
      return;
    }
    current.accepted = report.busy;
    current.phase = report.busy ? Phase.underWay : Phase.due;
    if (!report.busy || !isLoad || adapter !== null) return;
    // It was accepted at some time since it was first sent.
    current.acceptedAtMs = current.sentAtMs ?? current.startedAtMs;
    current.nextAtMs = current.acceptedAtMs + this.profile.expectedMs(current.step);
  }

  /** Whether a model order was accepted and no report has shown its end. */
  private isLoadingModel(current: CurrentStep): boolean {
    return current.accepted && current.step.adapter === null;
  }

  private handleLoadReport({ busy, models }: ReportedState): void {
    const { current } = this;
    if (current === null || busy) return;
    if (models.some(({ name }) => name === current.step.model)) this.finishStep(current.step);
    else this.dropSteps();
  }

  /**
   * Whether a load fits beside everything that is loaded. The engine crashes if a load does not
   * fit.
   */
  private fits(step: OrderStep): boolean {
    if (step.type === OrderStepType.unload) return true;
    const slots = step.adapter === null ? 0 : 1;
    return (
      this.loadedMb() + this.sizeOf(step) <= this.profile.memoryMb &&
      this.loadedAdapterCount() + slots <= this.profile.adapterSlots
    );
  }

  private sizeOf({ model, adapter }: OrderStep): number {
    return adapter === null ? this.profile.modelMb(model) : this.profile.adapterMb(model);
  }

  private loadedMb(): number {
    return [...this.models].reduce(
      (sum, [model, adapters]) =>
        sum + this.profile.modelMb(model) + adapters.size * this.profile.adapterMb(model),
      0,
    );
  }

  private loadedAdapterCount(): number {
    return [...this.models.values()].reduce((sum, adapters) => sum + adapters.size, 0);
  }

  private startNextStep(nowMs: number): void {
    const step = this.steps.shift();
    if (step === undefined) return;
    this.current = {
      step,
      phase: Phase.due,
      expected: 0,
      unresolved: false,
      accepted: false,
      conflicts: 0,
      startedAtMs: nowMs,
      sentAtMs: null,
      acceptedAtMs: null,
      nextAtMs: nowMs,
    };
  }

  private finishStep(step: OrderStep): void {
    this.current = null;
    if (step.type === OrderStepType.unload) {
      this.removeLoaded(step);
      return;
    }
    if (step.adapter === null)
      this.models.set(step.model, this.models.get(step.model) ?? new Set());
    else this.models.get(step.model)?.add(step.adapter);
  }

  private removeLoaded({ model, adapter }: OrderStep): void {
    if (adapter === null) this.models.delete(model);
    else this.models.get(model)?.delete(adapter);
  }

  /** Drops all pending steps. The state of the engine is unknown until the next report. */
  private dropSteps(): void {
    this.current = null;
    this.steps.length = 0;
    this.reportNeeded = true;
  }

  private resetForRestart(bornMs: number): void {
    this.bornMs = bornMs;
    this.acceptedOrders = null;
    this.pendingUnload = null;
    this.hasForeignOrder = false;
    this.models = new Map();
    this.isStateKnown = false;
    this.dropSteps();
  }

  private replaceLoaded(models: readonly LoadedModel[]): void {
    this.models = new Map(models.map(({ name, adapters }) => [name, new Set(adapters)]));
  }

  private pendingSteps(): readonly OrderStep[] {
    return this.current === null ? this.steps : [this.current.step, ...this.steps];
  }
}
