/**
 * Finds crowded models whose streams could go on nowhere if a few servers crashed.
 *
 * While several software versions serve, a stream can only go on at the version that began it. A
 * release takes servers away from one version and adds empty ones to the other, so that few servers
 * of a version may be left with a model or a copy of its weights. Callers take up a stream for a
 * shorter time than a load from the weight store lasts, so the load must begin before the crash.
 */
import type { EngineState } from './types.js';
import {
  hasCopy,
  holdsOrLoads,
  type IndexedView,
  modelKey,
  type ModelNeed,
  runningRequests,
  targetKey,
} from './view-index.js';

/** Requests per second above which a model counts as crowded. */
const CROWDED_RATE_PER_S = 3;
/** Requests for a model at a version below which their loss is accepted. */
const MIN_REQUESTS = 4;
/** Servers of a version that should have a crowded model or a copy of its weights. */
const MIN_PLACES = 3;

/** A crowded model at a version at which too few servers have it. */
export interface PlaceNeed extends ModelNeed {
  /** Servers that have the model, load it or have a copy of its weights. */
  readonly places: number;
  /** Running requests, and queued ones that only this version can serve. */
  readonly requests: number;
}

function needOf(
  view: IndexedView,
  engines: readonly EngineState[],
  need: ModelNeed,
): readonly PlaceNeed[] {
  const { model } = need;
  // Streams of servers that leave or have crashed need a place as well.
  const requests = runningRequests(engines, model) + (view.queuedByModel.get(modelKey(need)) ?? 0);
  if (requests < MIN_REQUESTS) return [];
  const healthy = engines.filter((engine) => engine.healthy);
  const holders = healthy.filter((engine) => holdsOrLoads(engine, model));
  const places = healthy.filter(
    (engine) => holders.includes(engine) || hasCopy(engine, model),
  ).length;
  // A copy that has to be loaded for the queued requests goes ahead.
  if (holders.length === 0 && places > 0) return [];
  return places < Math.min(MIN_PLACES, healthy.length) ? [{ ...need, places, requests }] : [];
}

/** Returns the crowded models that need another place at a version, fewest places first. */
export function findPlaceNeeds(view: IndexedView): readonly PlaceNeed[] {
  const crowded = [...view.rates].filter(([, perS]) => perS > CROWDED_RATE_PER_S);
  const services = [...new Set(view.engines.map(({ service }) => service))];
  return services
    .flatMap((service) => {
      const engines = view.enginesByTarget.get(targetKey({ service, version: null })) ?? [];
      const versions = [...new Set(engines.map(({ version }) => version))];
      if (versions.length < 2) return [];
      return versions.flatMap((version) => {
        const own = engines.filter((engine) => engine.version === version);
        return crowded.flatMap(([model]) => needOf(view, own, { service, model, version }));
      });
    })
    .sort((a, b) => a.places - b.places || b.requests - a.requests);
}
