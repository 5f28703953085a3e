/**
 * Decides which models and adapters are loaded where.
 *
 * Answers the load of a fleet with more models than places: most are asked for rarely and evenly,
 * one or two make up half of the demand, and which ones changes within seconds. A load from an
 * engine's own disk or memory takes half a second, one from the weight store holds the engine's
 * orders for many; so a model goes where a copy of it lies, and from the store only if none does or
 * an engine has room to spare, or if one crowded engine has the only copy. Room that is free is filled with what is asked for most, so that an
 * engine that comes new and empty is of use before requests wait for it.
 */
import { OrderStepType } from '../engine-orders/index.js';
import type { ModelSpec } from '../fleet-plan/index.js';
import type { QueuedLoad } from './load-forecast.js';
import type { EngineState, Place, SwapAction, SwapView, Want } from './types.js';

export { type ForecastLoad, forecastLoads, type QueuedLoad } from './load-forecast.js';
export { StorePace } from './store-pace.js';
export * from './types.js';

/** A new arrival is kept this long, so that what was loaded is also used, ms. */
const KEEP_NEW_MS = 1_500;
/** An adapter that was loaded or used within this time is kept, ms: its requests are on the way. */
const KEEP_ADAPTER_MS = 250;
/** A place that was used within this time counts as in use, ms. */
const RECENT_MS = 300;
/** Time until the runs of a place have ended, ms: an unload waits for the longest of them. */
const RUN_END_MS = 2_000;
/** Price of giving up a place, ms for each request a second that it serves. */
const RATE_PRICE_MS = 1_500;
/**
 * Engines whose models are asked for with adapters are spared: adapter orders wait behind a load.
 * Price for each request a second of such a model, ms, and the most that counts.
 */
const ADAPTER_RATE_PRICE_MS = 300;
const MOST_ADAPTER_PRICE_MS = 2_500;
/** Time before its objective from which on a want presses more, and for as much as a request, ms. */
const PRESS_LEAD_MS = 2_000;
const PRESS_MS = 700;
/** Requests a second below which a model is not loaded before one waits. */
const LEAST_RATE = 0.02;
/** Loads from the store that are left to what requests wait for. */
const STORE_LOADS_SPARED = 1;
/** So long after its objective a request may make a place of running requests, ms. */
const OVERDUE_MS = 500;
/** A place is not made at a higher price than this, and this for each further request, ms. */
const MOST_PRICE_MS = 4_000;
const PRICE_PER_WAITING_MS = 500;
/** Requests a second above which a model gets a second place, in case the first fails. */
const SECOND_PLACE_RATE = 3;
/** Part of an engine's slots in use at its places above which a model gets one more. */
const FULL_PART = 0.6;
/** Requests that wait for a model that is held before it gets one more place. */
const WAITING_FOR_MORE = 6;

interface Option {
  readonly engine: EngineState;
  readonly evict: readonly Place[];
  readonly fromStore: boolean;
  readonly priceMs: number;
  /** What callers of other models lose by it, ms. */
  readonly costMs: number;
}

/** The view with what is looked up for every option, worked out once a plan. */
interface IndexedView extends SwapView {
  readonly enginesOf: ReadonlyMap<string, readonly EngineState[]>;
  /** Sound engines that hold each model, by service and model. */
  readonly holdersOf: ReadonlyMap<string, readonly EngineState[]>;
  readonly wantedModels: ReadonlySet<string>;
  /** Requests that wait for each model, with whichever adapter, by service and model. */
  readonly waitingOf: ReadonlyMap<string, number>;
  /** What it costs that adapter orders wait while an engine loads, ms. */
  readonly sparedMs: ReadonlyMap<string, number>;
}

function group<T>(entries: readonly (readonly [string, T])[]): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  entries.forEach(([key, value]) => {
    const known = groups.get(key);
    if (known === undefined) groups.set(key, [value]);
    else known.push(value);
  });
  return groups;
}

function placeKey(service: string, model: string): string {
  return `${service} ${model}`;
}

function sparedPrice(view: SwapView, engine: EngineState): number {
  const rates = engine.places
    .filter(({ adapters }) => adapters.size > 0)
    .map(({ model }) => view.rates.get(model) ?? 0);
  const price = rates.reduce((sum, rate) => sum + rate, 0) * ADAPTER_RATE_PRICE_MS;
  return Math.min(MOST_ADAPTER_PRICE_MS, price);
}

function createIndex(view: SwapView): IndexedView {
  const held = view.engines
    .filter(({ sound }) => sound)
    .flatMap((engine) =>
      engine.places.map(({ model }) => [placeKey(engine.service, model), engine] as const),
    );
  const waitingOf = new Map<string, number>();
  view.wants.forEach(({ service, model, waiting }) => {
    const key = placeKey(service, model);
    waitingOf.set(key, (waitingOf.get(key) ?? 0) + waiting);
  });
  return {
    ...view,
    waitingOf,
    enginesOf: group(view.engines.map((engine) => [engine.service, engine] as const)),
    holdersOf: group(held),
    wantedModels: new Set(view.wants.map(({ model }) => model)),
    sparedMs: new Map(view.engines.map((engine) => [engine.id, sparedPrice(view, engine)])),
  };
}

function specOf(engine: EngineState, model: string): ModelSpec | undefined {
  return engine.spec.models.get(model);
}

function loadMs(engine: EngineState, spec: ModelSpec): { ms: number; fromStore: boolean } {
  if (engine.copies.inMemory.includes(spec.name))
    return { ms: spec.memoryLoadMs, fromStore: false };
  if (engine.copies.onDisk.includes(spec.name)) return { ms: spec.diskLoadMs, fromStore: false };
  return { ms: spec.remoteLoadMs, fromStore: true };
}

function hasCopy({ copies }: EngineState, model: string): boolean {
  return copies.inMemory.includes(model) || copies.onDisk.includes(model);
}

function placeOf(engine: EngineState, model: string): Place | undefined {
  return engine.places.find((place) => place.model === model);
}

/**
 * How pressing a want is: one for each request, and more the longer its objective is missed, so that
 * a crowd goes first and a single request is not left behind for ever.
 */
function pressOf(nowMs: number, { waiting, dueAtMs }: Want): number {
  return waiting + Math.max(0, nowMs - dueAtMs + PRESS_LEAD_MS) / PRESS_MS;
}

function runningWith(holders: readonly EngineState[], model: string): number {
  return holders.reduce((sum, engine) => sum + (placeOf(engine, model)?.running ?? 0), 0);
}

export class SwapPlanner {
  /** Actions for engines that take orders now; at most one each. */
  plan(seen: SwapView): readonly SwapAction[] {
    const view = createIndex(seen);
    const taken = new Set<string>();
    const placed = new Set<string>();
    let { storeLoadsLeft } = view;
    const byPress = [...view.wants].sort((a, b) => pressOf(view.nowMs, b) - pressOf(view.nowMs, a));
    const steps: readonly ((want: Want) => SwapAction | null)[] = [
      (want) => this.placeAdapter(view, want, taken),
      // A model comes to one engine at a time, however many of its adapters are waited for.
      (want) =>
        placed.has(want.model) ? null : this.placeModel(view, want, taken, storeLoadsLeft),
    ];
    const wanted = steps.flatMap((step) =>
      byPress.flatMap((want) => {
        const action = step(want);
        if (action === null) return [];
        taken.add(action.engineId);
        if (step === steps[1]) placed.add(want.model);
        if (action.fromStore) storeLoadsLeft -= 1;
        return [action];
      }),
    );
    const coming = new Set(wanted.flatMap(({ steps: all }) => all.map(({ model }) => model)));
    const filled = view.engines.flatMap((engine) => {
      if (!engine.open || taken.has(engine.id)) return [];
      const action = this.fill(view, engine, coming, storeLoadsLeft > STORE_LOADS_SPARED);
      if (action === null) return [];
      coming.add(action.steps[0]?.model ?? '');
      if (action.fromStore) storeLoadsLeft -= 1;
      return [action];
    });
    return [...wanted, ...filled];
  }

  /** What waits for its turn at the weight store: no engine holds it, loads it or has a copy. */
  queuedLoads(seen: SwapView): readonly QueuedLoad[] {
    const byPress = [...seen.wants].sort((a, b) => pressOf(seen.nowMs, b) - pressOf(seen.nowMs, a));
    const models = new Map(byPress.map(({ model, service }) => [model, service]));
    return [...models].flatMap(([model, service]) => {
      const engines = seen.engines.filter((engine) => engine.sound && engine.service === service);
      const isNear = (engine: EngineState) =>
        engine.loading.includes(model) ||
        hasCopy(engine, model) ||
        placeOf(engine, model) !== undefined;
      const spec = engines[0]?.spec.models.get(model);
      if (spec === undefined || engines.some(isNear)) return [];
      return [{ model, loadMs: spec.remoteLoadMs }];
    });
  }

  /** Loads what is asked for most and has the fewest places into room that is free. */
  private fill(
    view: IndexedView,
    engine: EngineState,
    coming: ReadonlySet<string>,
    mayUseStore: boolean,
  ): SwapAction | null {
    const freeMb = engine.spec.memoryMb - engine.chargedMb;
    const best = [...engine.spec.models.values()]
      .filter(({ name, sizeMb }) => sizeMb <= freeMb && !coming.has(name))
      .filter(({ name }) => placeOf(engine, name) === undefined)
      .map((spec) => ({
        spec,
        fromStore: loadMs(engine, spec).fromStore,
        need: this.needOf(view, engine.service, spec.name),
      }))
      .filter(({ need, fromStore }) => need > 0 && (!fromStore || mayUseStore))
      .sort((a, b) => b.need - a.need)[0];
    if (best === undefined) return null;
    const { spec, fromStore } = best;
    return {
      engineId: engine.id,
      steps: [{ type: OrderStepType.load, model: spec.name, adapter: null }],
      fromStore,
      reason: 'room is free',
    };
  }

  /** How much one more place of a model is worth: its rate, shared by the places that it has. */
  private needOf(view: IndexedView, service: string, model: string): number {
    const rate = view.rates.get(model) ?? 0;
    if (rate < LEAST_RATE) return 0;
    const engines = view.enginesOf.get(service) ?? [];
    const places = engines.filter(
      (engine) =>
        engine.loading.includes(model) || (engine.sound && placeOf(engine, model) !== undefined),
    ).length;
    return rate / (1 + places * places * 4);
  }

  /** An adapter goes to an engine that holds its model: a few milliseconds. */
  private placeAdapter(
    view: IndexedView,
    want: Want,
    taken: ReadonlySet<string>,
  ): SwapAction | null {
    const { adapter, model } = want;
    if (adapter === null) return null;
    const name = `${model}/${adapter}`;
    const engines = view.enginesOf.get(want.service) ?? [];
    const coming = engines.some((engine) => engine.loadingAdapters.includes(name));
    const present = engines.some(
      (engine) => engine.sound && placeOf(engine, model)?.adapters.has(adapter) === true,
    );
    if (coming || present) return null;
    const options = engines
      .filter((engine) => engine.openForAdapters && !taken.has(engine.id))
      .flatMap((engine) => this.adapterOption(view.nowMs, engine, model))
      .sort((a, b) => a.priceMs - b.priceMs);
    const best = options[0];
    if (best === undefined) return null;
    const load = { type: OrderStepType.load, model, adapter };
    return {
      engineId: best.engineId,
      steps: [...best.evict, load],
      fromStore: false,
      reason: `adapter wanted by ${want.waiting}`,
    };
  }

  private adapterOption(nowMs: number, engine: EngineState, model: string) {
    const place = placeOf(engine, model);
    const spec = specOf(engine, model);
    if (place === undefined || spec === undefined) return [];
    const load = engine.places.reduce((sum, { running }) => sum + running, 0);
    const hasPlace = engine.chargedAdapters < engine.spec.adapterSlots;
    const hasRoom = engine.chargedMb + spec.adapterMb <= engine.spec.memoryMb;
    if (hasPlace && hasRoom) return [{ engineId: engine.id, evict: [], priceMs: load }];
    const idle = this.idleAdapter(nowMs, engine);
    if (idle === null) return [];
    return [{ engineId: engine.id, evict: [idle.step], priceMs: load + idle.priceMs }];
  }

  /** The adapter that was unused for longest and that no request runs with. */
  private idleAdapter(nowMs: number, engine: EngineState) {
    const idle = engine.places
      .flatMap((place) =>
        [...place.adapters]
          .filter((adapter) => (place.runningAdapters.get(adapter) ?? 0) === 0)
          .filter((adapter) => nowMs - (place.adapterUsedAtMs.get(adapter) ?? 0) >= KEEP_ADAPTER_MS)
          .map((adapter) => ({
            step: { type: OrderStepType.unload, model: place.model, adapter },
            usedAtMs: place.adapterUsedAtMs.get(adapter) ?? 0,
          })),
      )
      .sort((a, b) => a.usedAtMs - b.usedAtMs)[0];
    return idle === undefined ? null : { step: idle.step, priceMs: 10 };
  }

  private placeModel(
    view: IndexedView,
    want: Want,
    taken: ReadonlySet<string>,
    storeLoadsLeft: number,
  ): SwapAction | null {
    const { model } = want;
    const engines = view.enginesOf.get(want.service) ?? [];
    if (!this.wantsPlace(view, engines, want)) return null;
    const holders = view.holdersOf.get(placeKey(want.service, model)) ?? [];
    const overdue = view.nowMs > want.dueAtMs + OVERDUE_MS;
    const options = engines
      .filter((engine) => engine.open && !taken.has(engine.id))
      .filter((engine) => placeOf(engine, model) === undefined)
      .flatMap((engine) => this.option(view, engine, model, overdue))
      .sort((a, b) => a.priceMs - b.priceMs);
    // The store is for what no engine has a copy of.
    const copied = engines.some((engine) => engine.sound && hasCopy(engine, model));
    const mostMs = MOST_PRICE_MS + want.waiting * PRICE_PER_WAITING_MS;
    const elsewhere = engines.some(
      (engine) => engine.sound && !holders.includes(engine) && hasCopy(engine, model),
    );
    const usable = ({ fromStore, evict, costMs }: Option) => {
      if (!fromStore) return true;
      if (holders.length === 0) return storeLoadsLeft > 0 && (!copied || evict.length === 0);
      // One crowded engine has the only copy: the store is the one way to a second place.
      const mayUseStore = storeLoadsLeft > STORE_LOADS_SPARED && !elsewhere;
      return mayUseStore && this.isCrowded(holders, model) && costMs <= mostMs;
    };
    const best = options.find(usable);
    if (best === undefined || (!best.fromStore && best.priceMs > mostMs)) return null;
    const unloads = best.evict.map((place) => ({
      type: OrderStepType.unload,
      model: place.model,
      adapter: null,
    }));
    return {
      engineId: best.engine.id,
      steps: [...unloads, { type: OrderStepType.load, model, adapter: null }],
      fromStore: best.fromStore,
      reason: `model wanted by ${want.waiting}`,
    };
  }

  /** Whether the model has too few places for what waits, runs and is asked for. */
  private wantsPlace(view: IndexedView, engines: readonly EngineState[], want: Want): boolean {
    const { model } = want;
    const coming = engines.filter((engine) => engine.loading.includes(model)).length;
    const holders = view.holdersOf.get(placeKey(want.service, model)) ?? [];
    if (coming === 0 && holders.length === 0) return want.waiting > 0;
    if (holders.length + coming >= engines.length / 2) return false;
    if (coming > 0) return holders.length + coming < this.placesNeeded(view, holders, want);
    if (this.lacksAdapterPlaces(view.nowMs, holders, want)) return true;
    if (want.adapter === null && want.waiting >= WAITING_FOR_MORE) return true;
    if (this.isCrowded(holders, model)) return true;
    return holders.length < 2 && (view.rates.get(model) ?? 0) > SECOND_PLACE_RATE;
  }

  /** Places at which all that waits and runs with a model would leave some room. */
  private placesNeeded(
    view: IndexedView,
    holders: readonly EngineState[],
    { service, model }: Want,
  ): number {
    const slots = view.enginesOf.get(service)?.[0]?.spec.slots ?? 1;
    const waiting = view.waitingOf.get(placeKey(service, model)) ?? 0;
    return (runningWith(holders, model) + waiting) / (slots * FULL_PART);
  }

  private isCrowded(holders: readonly EngineState[], model: string): boolean {
    const slots = holders.reduce((sum, { spec }) => sum + spec.slots, 0);
    return runningWith(holders, model) > slots * FULL_PART;
  }

  /** Whether every engine with the model has its adapter places in use by others. */
  private lacksAdapterPlaces(nowMs: number, holders: readonly EngineState[], want: Want): boolean {
    if (want.adapter === null) return false;
    const name = `${want.model}/${want.adapter}`;
    return holders.every(
      (engine) =>
        engine.openForAdapters &&
        !engine.loadingAdapters.includes(name) &&
        placeOf(engine, want.model)?.adapters.has(want.adapter ?? '') !== true &&
        this.adapterOption(nowMs, engine, want.model).length === 0,
    );
  }

  /** The cheapest way to make room for a model on an engine. */
  private option(
    view: IndexedView,
    engine: EngineState,
    model: string,
    overdue: boolean,
  ): readonly Option[] {
    const spec = specOf(engine, model);
    if (spec === undefined) return [];
    const { ms, fromStore } = loadMs(engine, spec);
    const missingMb = engine.chargedMb + spec.sizeMb - engine.spec.memoryMb;
    const spared = view.sparedMs.get(engine.id) ?? 0;
    const holdsOrdersMs = fromStore ? ms : 0;
    if (missingMb <= 0)
      return [
        { engine, evict: [], fromStore, priceMs: ms + spared + holdsOrdersMs, costMs: spared },
      ];
    const victims = engine.places
      .filter((place) => view.nowMs - place.loadedAtMs >= KEEP_NEW_MS)
      // An idle place on another engine comes up sooner than the end of the runs here.
      .filter((place) => place.running === 0 || overdue)
      .map((place) => ({ place, priceMs: this.evictPrice(view, engine, place, model) }))
      .sort((a, b) => a.priceMs - b.priceMs);
    const chosen = this.enough(engine, victims, missingMb);
    if (chosen === null) return [];
    const evictMs = chosen.reduce((sum, { priceMs }) => sum + priceMs, 0);
    return [
      {
        engine,
        evict: chosen.map(({ place }) => place),
        fromStore,
        priceMs: ms + evictMs + spared + holdsOrdersMs,
        costMs: evictMs + spared,
      },
    ];
  }

  private enough(
    engine: EngineState,
    victims: readonly { place: Place; priceMs: number }[],
    missingMb: number,
  ) {
    const sizeOf = (place: Place) => {
      const spec = specOf(engine, place.model);
      return (spec?.sizeMb ?? 0) + place.adapters.size * (spec?.adapterMb ?? 0);
    };
    const alone = victims.find(({ place }) => sizeOf(place) >= missingMb);
    if (alone !== undefined) return [alone];
    let freed = 0;
    const chosen = victims.filter(({ place }) => {
      if (freed >= missingMb) return false;
      freed += sizeOf(place);
      return true;
    });
    return freed >= missingMb ? chosen : null;
  }

  /** What giving up a place costs: runs to wait for, and callers who will miss it. */
  private evictPrice(view: IndexedView, engine: EngineState, place: Place, wanted: string): number {
    const rate = view.rates.get(place.model) ?? 0;
    const holders = view.holdersOf.get(placeKey(engine.service, place.model)) ?? [];
    const others = holders.filter(({ id }) => id !== engine.id).length;
    const wantedRate = view.rates.get(wanted) ?? 0;
    const missed = Math.max(0, rate / (1 + others * 2) - wantedRate / 4) * RATE_PRICE_MS;
    const waited = place.running > 0 ? RUN_END_MS + place.running * 50 : 0;
    const recent = view.nowMs - place.usedAtMs < RECENT_MS ? RECENT_MS : 0;
    const stillWanted = view.wantedModels.has(place.model) ? 10_000 : 0;
    return missed + waited + recent + stillWanted;
  }
}
