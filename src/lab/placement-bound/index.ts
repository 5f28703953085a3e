/**
 * Upper bound of the requests that any placement of models could serve within their objectives.
 *
 * The bound counts what no plan can avoid: the first load of a model takes its time, the weight store
 * serves few loads at full speed, and the engines that can have a model have a number of slots. It
 * leaves out evictions (each model stays loaded once it is), the memory of engines, the sharing of
 * slots between models, and the time in which a load blocks an engine. A real plan stays below it.
 */

/** A request of a caller. */
export interface TraceRequest {
  readonly atMs: number;
  readonly model: string;
  readonly objectiveMs: number;
  readonly runMs: number;
}

export interface PlacementTrace {
  readonly requests: readonly TraceRequest[];
  /** Models that an engine has loaded at the start. */
  readonly loaded: ReadonlySet<string>;
  /** Engines with a copy of each model at the start; no entry for a model that only the store has. */
  readonly copies: ReadonlyMap<string, number>;
  readonly slots: number;
  readonly copyLoadMs: number;
  readonly storeLoadMs: number;
  /** Concurrent loads that the weight store serves at full speed. */
  readonly fullSpeedLoads: number;
  readonly durationMs: number;
}

export interface PlacementBound {
  readonly asked: number;
  /** Requests that the best plan could serve within their objectives. */
  readonly inTime: number;
  /** Requests lost because their model is loaded too late, and because slots are in use. */
  readonly lostToLoads: number;
  readonly lostToSlots: number;
}

function byModel(requests: readonly TraceRequest[]): ReadonlyMap<string, readonly TraceRequest[]> {
  const groups = new Map<string, TraceRequest[]>();
  requests.forEach((request) => {
    const group = groups.get(request.model);
    if (group === undefined) groups.set(request.model, [request]);
    else group.push(request);
  });
  return groups;
}

/** Requests of a model that are in time if the model is loaded from `readyAtMs` on. */
function servable(requests: readonly TraceRequest[], readyAtMs: number): readonly TraceRequest[] {
  return requests.filter(({ atMs, objectiveMs }) => atMs + objectiveMs >= readyAtMs);
}

/** Ends of the loads that the weight store can serve, one after the other at full speed, ms. */
function storeLoadEnds({ storeLoadMs, fullSpeedLoads, durationMs }: PlacementTrace) {
  const rounds = Math.floor(durationMs / storeLoadMs);
  return Array.from({ length: rounds }, (_, at) => (at + 1) * storeLoadMs).flatMap((endMs) =>
    Array.from({ length: fullSpeedLoads }, () => endMs),
  );
}

/** Most requests served if each store load brings one model: the best assignment of models to loads. */
function bestStoreLoads(models: readonly (readonly TraceRequest[])[], ends: readonly number[]) {
  const gains = models.map((requests) => ends.map((endMs) => servable(requests, endMs).length));
  // After each model, the most requests served with each set of loads used, as a bit mask.
  const best = gains.reduce<ReadonlyMap<number, number>>(
    (before, gain) => {
      const after = new Map(before);
      before.forEach((sum, used) =>
        gain.forEach((count, at) => {
          const mask = 2 ** at;
          if (Math.floor(used / mask) % 2 === 1) return;
          after.set(used + mask, Math.max(after.get(used + mask) ?? 0, sum + count));
        }),
      );
      return after;
    },
    new Map([[0, 0]]),
  );
  return Math.max(...best.values());
}

/**
 * Requests of a model beyond the slots of all engines that may have it, over the whole trace. Each
 * store load may add an engine to any model.
 */
function beyondSlots(trace: PlacementTrace, requests: readonly TraceRequest[], copies: number) {
  const [first] = requests;
  const last = requests.at(-1);
  if (first === undefined || last === undefined) return 0;
  const engines = copies + storeLoadEnds(trace).length;
  const spanMs = last.atMs + last.objectiveMs + last.runMs - first.atMs;
  const shortestFirst = requests.map(({ runMs }) => runMs).sort((a, b) => a - b);
  let leftMs = engines * trace.slots * spanMs;
  const served = shortestFirst.filter((runMs) => {
    leftMs -= runMs;
    return leftMs >= 0;
  });
  return requests.length - served.length;
}

export function placementBound(trace: PlacementTrace): PlacementBound {
  const models = [...byModel(trace.requests)];
  const near = models.filter(([model]) => trace.loaded.has(model) || trace.copies.has(model));
  const far = models.filter(([model]) => !trace.loaded.has(model) && !trace.copies.has(model));
  const served = near.map(([model, requests]) => {
    const readyAtMs = trace.loaded.has(model) ? 0 : trace.copyLoadMs;
    const inTime = servable(requests, readyAtMs);
    const beyond = beyondSlots(trace, inTime, trace.copies.get(model) ?? 1);
    return { inTime: inTime.length - beyond, beyond };
  });
  const lostToSlots = served.reduce((sum, { beyond }) => sum + beyond, 0);
  const fromStore = bestStoreLoads(
    far.map(([, requests]) => requests),
    storeLoadEnds(trace),
  );
  const inTime = served.reduce((sum, model) => sum + model.inTime, 0) + fromStore;
  const asked = trace.requests.length;
  return { asked, inTime, lostToLoads: asked - inTime - lostToSlots, lostToSlots };
}
