/** Selects the data centres to which the demand for a target is reported. */
import type { Catalog } from '../../decisions/catalog/index.js';
import type { TargetDemand } from '../../decisions/fair-queue/index.js';
import * as settingsTree from '../../decisions/settings-tree/index.js';
import type { Peers } from '../peers/index.js';

/** Queueing time after which demand is also reported to the local data centre. */
const LOCAL_DEMAND_AFTER_MS = 2_000;

export interface LoadingContext {
  readonly dataCentre: string;
  readonly peers: Peers;
}

function dataCentresWithEngines(current: Catalog, service: string): readonly string[] {
  const names = [...current.backends.values()]
    .filter(({ kind, service: of, leaving }) => kind === 'model' && of === service && !leaving)
    .map(({ dataCentre }) => dataCentre);
  return [...new Set(names)];
}

/**
 * Returns the data centres to which the demand for a target is reported.
 *
 * One is chosen by rendezvous hashing, so that all entry VMs that see the same stewards report to
 * the same one, whose steward then plans for the total demand. The local data centre is added once
 * requests have been queued for `LOCAL_DEMAND_AFTER_MS`.
 */
export function loadingDataCentres(
  current: Catalog,
  { dataCentre, peers }: LoadingContext,
  nowMs: number,
  { target: name, oldestAtMs }: TargetDemand,
): readonly string[] {
  const target = current.targets.get(name);
  if (target === undefined) return [];
  const reachable = dataCentresWithEngines(current, target.service).filter(
    (candidate) => peers.stewardOf(candidate) !== null,
  );
  const primary = reachable.reduce<string | null>((best, candidate) => {
    const rank = (dc: string) => settingsTree.sha256(`${target.model} ${dc}`);
    return best === null || rank(candidate) > rank(best) ? candidate : best;
  }, null);
  const isRecent = nowMs - oldestAtMs < LOCAL_DEMAND_AFTER_MS;
  const local = reachable.includes(dataCentre) && !isRecent ? [dataCentre] : [];
  return [...new Set([...(primary === null ? [] : [primary]), ...local])];
}
